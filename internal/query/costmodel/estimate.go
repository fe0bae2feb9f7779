package costmodel

import "math"

// Estimate is what a query is expected to cost.
type Estimate struct {
	WorkMillis    float64 // the typical work
	UpperMillis   float64 // nine of ten queries stay under it
	MemoryMB      float64 // 0: not known
	Observations  int     // of this shape on this group of tables
	BadPlanShare  float64 // share of observations that took several times the typical work
	BadPlanFactor float64 // how many times the typical work those took
	Uncertain     bool    // a load has ended on the tables, or the cost has shifted, a few observations ago or less
	FullScan      string  // a table that is read completely; empty: none
	Known         bool    // false: there are too few observations of the shape and of the class; work and upper mean nothing
}

const (
	// priorDeviation is the deviation of the logarithm of a first estimate.
	priorDeviation = 1.0
	// priorWeight is how many observations a first estimate counts as.
	priorWeight = 2.0
	// deviationsToUpper is the number of deviations under which nine of ten values of a normal distribution stay.
	deviationsToUpper = 1.2816
	// minClassObservations is how many observations of a class a first estimate must rest on; with fewer, the class's
	// mean is a guess.
	minClassObservations = 8
	// minGroupObservations is how many observations the record of a literal's group needs to replace that of the shape.
	minGroupObservations = 3
	// maxLogMillis is the logarithm of an hour in milliseconds. No client waits longer, so a higher estimate is an error.
	maxLogMillis = 15.1
	// minBadPlanShare is the share of bad plans from which nine of ten queries need not stay under the usual upper bound.
	minBadPlanShare = 0.05
	// uncertainFactor widens the upper bound of an uncertain estimate.
	uncertainFactor = 2
	// peakMemoryShare is the share of the fading peak that an estimate of memory has at least.
	peakMemoryShare = 0.7
)

// Estimate returns what a query is expected to cost.
func (m *Model) Estimate(q *Query) (e Estimate) {
	e.FullScan = q.info.fullScan
	m.mu.Lock()
	prior := m.classes[q.Class].mean + m.regression.predict(&q.info.input)
	e.Known = m.classes[q.Class].count >= minClassObservations
	loads := m.loadsOf(q.Group)
	m.mu.Unlock()
	mean, deviation := prior, priorDeviation
	key, place := recordKey(q.Shape, q.Group), 0
	m.records.Visit(key, func(r *record) {
		place = r.skewPlace
		mean, deviation = m.blend(&e, r, prior, loads)
	})
	if place > 0 {
		m.records.Visit(splitKey(key, &q.literals, place), func(r *record) {
			if r.observations >= minGroupObservations {
				mean, deviation = m.blend(&e, r, prior, loads)
			}
		})
	}
	e.WorkMillis = math.Exp(min(mean, maxLogMillis))
	e.UpperMillis = math.Exp(min(mean+deviationsToUpper*deviation, maxLogMillis))
	if e.BadPlanShare >= minBadPlanShare {
		e.UpperMillis = max(e.UpperMillis, e.WorkMillis*e.BadPlanFactor)
	}
	if e.Uncertain {
		e.UpperMillis *= uncertainFactor
	}
	return e
}

// blend sets in an estimate what a record says, and returns the mean and deviation of the logarithm of the work: those
// of the record and of the first estimate, weighted by their observations. A first estimate of a class without
// observations has no weight.
func (m *Model) blend(e *Estimate, r *record, prior float64, loads int) (mean, deviation float64) {
	usual, usualDeviation, badShare, badFactor := r.sketch.SplitModes()
	e.Observations, e.BadPlanShare, e.BadPlanFactor = r.observations, badShare, badFactor
	e.MemoryMB = max(r.memory, peakMemoryShare*r.memoryPeak)
	if slope, meanLoads := r.trend.slope(); slope > 0 {
		usual += slope * (float64(loads) - meanLoads)
	}
	weight := priorWeight
	if !e.Known {
		weight = 0
	}
	n := float64(r.sketch.Count()) * math.Exp2(-float64(m.hours.Load()-r.hours)/halfLifeHours)
	e.Known = e.Known || r.observations >= minGroupObservations
	e.Uncertain = r.uncertainFor > 0 || loads > r.loads
	if weight+n == 0 {
		return prior, priorDeviation
	}
	mean = (weight*prior + n*usual) / (weight + n)
	deviation = (weight*priorDeviation + n*max(minDeviation, usualDeviation)) / (weight + n)
	return mean, deviation
}
