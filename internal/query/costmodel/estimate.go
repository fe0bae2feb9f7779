package costmodel

import "math"

// Estimate is what a statement will cost, as far as is known.
type Estimate struct {
	WorkMillis    float64 // milliseconds, usually
	UpperMillis   float64 // nine of ten stay under it
	MemoryMB      float64 // MB; 0: not known
	Observations  int     // of this shape and group that it rests on
	BadPlanShare  float64 // share of answers that took several times the usual
	BadPlanFactor float64 // and how many times
	Uncertain     bool    // a load has ended on its tables, or its cost has moved, since it was sure
	FullScan      string  // the table that it reads as a whole; empty: none
	Known         bool    // there were answers to rest on, of its own or of its lane; else Work and Upper mean nothing
}

// minClassObservations is how many answers of a lane a first estimate must rest on: with fewer its mean is a guess.
const minClassObservations = 8

// Estimate is what a statement will cost.
func (m *Model) Estimate(s *Query) (e Estimate) {
	e.FullScan = s.info.fullScan
	m.mu.Lock()
	first := m.classes[s.Class].mean + m.regression.predict(&s.info.input)
	e.Known = m.classes[s.Class].count >= minClassObservations
	loads := 0
	if g := m.groups[s.Group]; g != nil {
		loads = g.loads
	}
	m.mu.Unlock()
	work, spread := first, priorDeviation
	key, place := costKey(s.Shape, s.Group), 0
	m.records.Visit(key, func(r *record) {
		place = r.skewPlace
		work, spread = m.blend(&e, r, first, loads)
	})
	if place > 0 {
		m.records.Visit(splitKey(key, &s.literals, place), func(r *record) {
			if r.observations >= minGroupObservations {
				work, spread = m.blend(&e, r, first, loads)
			}
		})
	}
	e.WorkMillis = math.Exp(min(work, maxLogMillis))
	e.UpperMillis = math.Exp(min(work+deviationsToUpper*spread, maxLogMillis))
	if e.BadPlanShare >= 0.05 { // nine of ten don't stay under it for sure
		e.UpperMillis = max(e.UpperMillis, e.WorkMillis*e.BadPlanFactor)
	}
	if e.Uncertain {
		e.UpperMillis *= 2
	}
	return e
}

const (
	priorDeviation    = 1.0    // deviation of a first estimate, of logarithms
	deviationsToUpper = 1.2816 // deviations under which nine of ten of a normal stay
	// Answers of a literal's own group before they count more than those of the whole shape.
	minGroupObservations = 3
	// An hour in ms, of logarithms: no client waits longer, and what is beyond comes of an estimate gone astray.
	maxLogMillis = 15.1
)

// blend sets what a record says into an estimate; it returns the mean and deviation of the logarithms.
func (m *Model) blend(e *Estimate, r *record, first float64, loads int) (work, spread float64) {
	usual, dev, share, times := r.sketch.SplitModes()
	e.Observations, e.BadPlanShare, e.BadPlanFactor, e.MemoryMB = r.observations, share, times, max(r.memory, 0.7*r.memoryPeak)
	if slope, middle := r.trend.slope(); slope > 0 {
		usual += slope * (float64(loads) - middle)
	}
	// The first estimate counts as two answers. Where the shape is of a lane without answers it is none.
	weight := 2.0
	if !e.Known {
		weight = 0
	}
	n := float64(r.sketch.Count()) * math.Exp2(-float64(m.hours.Load()-r.hours)/halfLifeHours)
	e.Known = e.Known || r.observations >= minGroupObservations
	e.Uncertain = r.uncertainFor > 0 || loads > r.loads
	if weight+n == 0 {
		return first, priorDeviation
	}
	return (weight*first + n*usual) / (weight + n), (weight*priorDeviation + n*max(minDeviation, dev)) / (weight + n)
}
