package costmodel

import (
	"math"
	"slices"
	"sync/atomic"
)

// record is what answers told of a shape on a group of tables.
type record struct {
	sketch       Sketch
	memory       float64 // mean of the needs
	memoryPeak   float64 // of them, fading
	observations int     // answers since it began anew
	uncertainFor int     // answers that must come before it is sure again
	loads        int     // that had ended on the group at the last answer
	// The change detector: sums of how far answers stood above and below what was usual, in deviations.
	shiftUp, shiftDown  float64
	baseline, deviation float64 // what was usual when it was last set
	recent              [recentObservations]float64
	trend               trend
	hours               int64 // the age up to which old answers have faded
	skew                *skewSearch
	skewSearched        bool // no literal explained its scatter
	skewPlace           int  // of the literal that does, from 1; 0: none
}

// The sizes that are kept of recent answers: from so many a changed cost begins anew.
const recentObservations = 8

// The change detector is a two-sided CUSUM on clipped deviations. With a slack of 0.75 a shift of factor three over a
// deviation of 0.8 (1.37 deviations) adds some 0.6 an answer, so it is found within some fifteen; clipping at two
// deviations keeps single bad plans from being taken for a shift. The height is what holds false alarms under one in
// ten thousand answers with one bad plan in ten (TestAlarms).
const (
	cusumSlack         = 0.75
	cusumClip          = 2.0
	cusumThreshold     = 7.5
	warmupObservations = 24  // answers before it watches
	minDeviation       = 0.2 // of logarithms: steps of a quarter look like this
	uncertainAfterLoad = 5   // answers after a load
)

// observe takes an answer into a record.
func (r *record) observe(y, ms, memory float64, loads int, moved *atomic.Int64) {
	if loads > r.loads {
		r.loads, r.uncertainFor = loads, uncertainAfterLoad
	}
	r.uncertainFor = max(0, r.uncertainFor-1)
	if memory > 0 {
		r.memory += (memory - r.memory) / float64(min(r.observations+1, 50))
		r.memoryPeak = max(memory, 0.98*r.memoryPeak)
	}
	r.trend.add(float64(loads), y)
	r.recent[r.observations%recentObservations] = ms
	r.observations++
	if r.observations >= warmupObservations && r.deviation > 0 {
		slope, middle := r.trend.slope()
		z := (y - r.baseline - slope*(float64(loads)-middle)) / r.deviation
		z = min(cusumClip, max(-cusumClip, z))
		need := cusumThreshold
		if r.uncertainFor > 0 { // a load has just ended: less is needed to believe in a change
			need /= 2
		}
		r.shiftUp, r.shiftDown = max(0, r.shiftUp+z-cusumSlack), max(0, r.shiftDown-z-cusumSlack)
		if r.shiftUp > need || r.shiftDown > need {
			moved.Add(1)
			r.restart()
			return
		}
	}
	r.sketch.Add(ms)
	if r.observations == warmupObservations || r.observations%64 == 0 && r.observations > warmupObservations { // what is usual is looked at again now and then
		var bad float64
		r.baseline, r.deviation, bad, _ = r.sketch.SplitModes()
		r.baseline += bad * cusumClip * max(minDeviation, r.deviation) // what clipping leaves of the bad mode belongs to what is usual
		r.deviation = max(minDeviation, r.deviation)
	}
}

// typicalLog is the logarithm of the lower median of the first answers: a bad plan among them says nothing of other shapes.
func (r *record) typicalLog(y float64) float64 {
	n := min(r.observations, recentObservations)
	if n < 2 {
		return y
	}
	var sorted [recentObservations]float64
	copy(sorted[:], r.recent[:n])
	slices.Sort(sorted[:n])
	return math.Log(max(minMillis, sorted[(n-1)/2]))
}

// restart forgets all but the last answers, as the cost has moved.
func (r *record) restart() {
	recent := r.recent
	*r = record{memory: r.memory, memoryPeak: r.memoryPeak, loads: r.loads, uncertainFor: uncertainAfterLoad, hours: r.hours, skewPlace: r.skewPlace, skew: r.skew, skewSearched: r.skewSearched}
	for _, ms := range recent {
		r.recent[r.observations%recentObservations] = ms
		r.observations++
		r.sketch.Add(ms)
	}
}
