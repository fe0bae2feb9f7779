package costmodel

import "math"

// Estimate is the predicted cost of a query.
type Estimate struct {
	WorkMillis    float64 // typical work
	UpperMillis   float64 // work that nine of ten queries do not exceed
	MemoryMB      float64 // 0: unknown
	Observations  int     // number of observations of this shape on this group of tables
	BadPlanShare  float64 // share of the observations that took several times the typical work
	BadPlanFactor float64 // ratio of the work of those observations to the typical work
	Uncertain     bool    // a load ended on the tables, or the cost shifted, within the last few observations
	FullScan      string  // name of a table that is read completely; empty: none
	Known         bool    // false: the shape and its class have too few observations, and WorkMillis and UpperMillis are meaningless
}

const (
	// priorDeviation is the standard deviation of the logarithm of the work in a prior estimate, which is made from
	// the class and the regression without any observation of the shape.
	priorDeviation = 1.0
	// priorWeight is the number of observations that a prior estimate counts as.
	priorWeight = 2.0
	// deviationsToUpper is the distance from the mean of a normal distribution, in standard deviations, below which
	// nine of ten values lie.
	deviationsToUpper = 1.2816
	// minClassObservations is the number of observations of a class that a prior estimate needs. With fewer, the mean
	// of the class is a guess.
	minClassObservations = 8
	// minGroupObservations is the number of observations with which the record of a group of literals replaces the
	// record of the shape, and with which the estimate of a record counts as known.
	minGroupObservations = 3
	// maxLogMillis is the logarithm of an hour in milliseconds. No client waits longer, so a higher estimate is an
	// error and is reduced to this.
	maxLogMillis = 15.1
	// minBadPlanShare is the share of bad plans from which UpperMillis is at least the work of a bad plan. From this
	// share on, nine of ten queries need not stay below the bound that is computed from the usual plans.
	minBadPlanShare = 0.05
	// uncertainFactor is the factor by which UpperMillis of an uncertain estimate is raised.
	uncertainFactor = 2
	// peakMemoryShare is the share of the decaying memory peak that an estimate of memory has at least.
	peakMemoryShare = 0.7
)

// Estimate predicts the cost of a query.
func (m *Model) Estimate(q *Query) (e Estimate) {
	e.FullScan = q.info.fullScanTable
	m.mu.Lock()
	prior := m.classes[q.Class].mean + m.regression.predict(&q.info.regressionInput)
	e.Known = m.classes[q.Class].count >= minClassObservations
	loads := m.loadsOf(q.Group)
	m.mu.Unlock()
	mean, deviation := prior, priorDeviation
	key, grouping := recordKey(q.Shape, q.Group), 0
	m.records.Visit(key, func(r *record) {
		grouping = r.skewGrouping
		mean, deviation = m.blend(&e, r, prior, loads)
	})
	if grouping > 0 {
		m.records.Visit(splitKey(key, &q.literals, grouping), func(r *record) {
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

// blend sets the fields of an estimate that come from a record. It returns the mean and the standard deviation of the
// logarithm of the work: those of the record and of the prior estimate, weighted by their numbers of observations.
// The prior estimate has no weight if e.Known is false, because its class has too few observations then.
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
	n := float64(r.sketch.Count()) * math.Exp2(-float64(m.ageHours.Load()-r.decayedAtHours)/halfLifeHours)
	e.Known = e.Known || r.observations >= minGroupObservations
	e.Uncertain = r.uncertainFor > 0 || loads > r.loads
	if weight+n == 0 {
		return prior, priorDeviation
	}
	mean = (weight*prior + n*usual) / (weight + n)
	deviation = (weight*priorDeviation + n*max(minDeviation, usualDeviation)) / (weight + n)
	return mean, deviation
}
