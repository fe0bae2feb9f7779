package costmodel

import (
	"math"
	"slices"
	"sync/atomic"
)

// record holds the observations of a shape on a group of tables.
type record struct {
	sketch       Sketch
	memory       float64 // mean, in MB
	memoryPeak   float64 // in MB, fading
	observations int     // since the record was created or restarted
	uncertainFor int     // observations until estimates are certain again
	loads        int     // that had ended on the group at the last observation

	// The shift detector: how far observations lay above and below the baseline, summed up, in deviations.
	shiftUp, shiftDown  float64
	baseline, deviation float64 // of the logarithms of the usual costs, when they were computed last

	recent [recentObservations]float64 // the last costs, a ring
	trend  trend
	hours  int64 // the model's age up to which old observations have faded

	skew         *skewSearch // nil: no search is under way
	skewSearched bool        // a search has ended, with or without a finding
	skewPlace    int         // the literal and grouping that determine the cost, from 1; 0: none is known
}

// recentObservations is how many costs a record keeps; a record whose cost has shifted restarts with them.
const recentObservations = 8

// The shift detector is a two-sided CUSUM on clipped deviations. With a slack of 0.75 a shift by a factor of three over a
// deviation of 0.8 (1.37 deviations) adds some 0.6 an observation, so it is found within some fifteen; clipping at two
// deviations keeps single bad plans from being taken for a shift. The threshold holds false alarms under one in ten
// thousand observations with one bad plan in ten (TestShiftIsDetected).
const (
	cusumSlack         = 0.75
	cusumClip          = 2.0
	cusumThreshold     = 7.5
	warmupObservations = 24  // before the detector watches
	baselineInterval   = 64  // observations after which the baseline is computed anew
	minDeviation       = 0.2 // of logarithms: a quarter, which is a step of the sketch, looks like this
	uncertainAfterLoad = 5   // observations
)

// The weights of the mean and the peak of memory.
const (
	memoryMeanObservations = 50
	memoryPeakFading       = 0.98
)

// fade halves the weight of the observations for each half-life up to an age of the model.
func (r *record) fade(hours int64) {
	for ; hours-r.hours >= halfLifeHours; r.hours += halfLifeHours {
		r.sketch.Fade()
		if r.sketch.Count() == 0 {
			r.hours = hours
		}
	}
}

// observe adds an observation. If it shows that the cost has shifted, the record restarts and shifts is raised.
func (r *record) observe(seen observation, shifts *atomic.Int64) {
	if seen.loads > r.loads {
		r.loads, r.uncertainFor = seen.loads, uncertainAfterLoad
	}
	r.uncertainFor = max(0, r.uncertainFor-1)
	if seen.memoryMB > 0 {
		r.memory += (seen.memoryMB - r.memory) / float64(min(r.observations+1, memoryMeanObservations))
		r.memoryPeak = max(seen.memoryMB, memoryPeakFading*r.memoryPeak)
	}
	r.trend.add(float64(seen.loads), seen.logMillis)
	r.recent[r.observations%recentObservations] = seen.millis
	r.observations++
	if r.observations >= warmupObservations && r.deviation > 0 && r.detectShift(seen) {
		shifts.Add(1)
		r.restart()
		return
	}
	r.sketch.Add(seen.millis)
	warm := r.observations > warmupObservations
	if r.observations == warmupObservations || warm && r.observations%baselineInterval == 0 {
		r.computeBaseline()
	}
}

// detectShift adds an observation to the sums of the detector and tells whether one is over the threshold. Soon after a
// load half the threshold will do, as a shift is likely then.
func (r *record) detectShift(seen observation) bool {
	slope, meanLoads := r.trend.slope()
	z := (seen.logMillis - r.baseline - slope*(float64(seen.loads)-meanLoads)) / r.deviation
	z = min(cusumClip, max(-cusumClip, z))
	threshold := cusumThreshold
	if r.uncertainFor > 0 {
		threshold /= 2
	}
	r.shiftUp, r.shiftDown = max(0, r.shiftUp+z-cusumSlack), max(0, r.shiftDown-z-cusumSlack)
	return r.shiftUp > threshold || r.shiftDown > threshold
}

// computeBaseline computes the usual cost. What clipping leaves of the bad plans belongs to the baseline, as it moves the
// sums of the detector all the time.
func (r *record) computeBaseline() {
	var badShare float64
	r.baseline, r.deviation, badShare, _ = r.sketch.SplitModes()
	r.baseline += badShare * cusumClip * max(minDeviation, r.deviation)
	r.deviation = max(minDeviation, r.deviation)
}

// typicalLog returns the logarithm of the lower median of the recent costs, so that a bad plan among them does not teach
// anything of other shapes, and latest if there is no more than that.
func (r *record) typicalLog(latest float64) float64 {
	n := min(r.observations, recentObservations)
	if n < 2 {
		return latest
	}
	var sorted [recentObservations]float64
	copy(sorted[:], r.recent[:n])
	slices.Sort(sorted[:n])
	return math.Log(max(minMillis, sorted[(n-1)/2]))
}

// restart drops all observations but the recent ones, as the cost has shifted.
func (r *record) restart() {
	recent := r.recent
	*r = record{
		memory: r.memory, memoryPeak: r.memoryPeak,
		loads: r.loads, uncertainFor: uncertainAfterLoad, hours: r.hours,
		skew: r.skew, skewSearched: r.skewSearched, skewPlace: r.skewPlace,
	}
	for _, millis := range recent {
		r.recent[r.observations%recentObservations] = millis
		r.observations++
		r.sketch.Add(millis)
	}
}
