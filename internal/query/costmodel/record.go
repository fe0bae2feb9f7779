package costmodel

import (
	"math"
	"slices"
	"sync/atomic"
)

// record holds the observations of a shape, or of a group of its literals, on a group of tables.
type record struct {
	sketch       Sketch
	memory       float64 // mean, in MB
	memoryPeak   float64 // decaying peak, in MB
	observations int     // number since the record was created or restarted
	uncertainFor int     // number of observations until estimates are certain again
	loads        int     // number of loads of data that had ended on the group of tables at the last observation

	// State of the shift detector: the sums of the distances of observations above and below the baseline, in standard
	// deviations.
	shiftUp, shiftDown  float64
	baseline, deviation float64 // mean and standard deviation of the logarithms of the usual costs, as computed by computeBaseline

	recent         [recentObservations]float64 // the last costs in milliseconds, a ring buffer
	trend          trend
	decayedAtHours int64 // age of the model up to which the decay of old observations has been applied

	skew         *skewSearch // search in progress; nil: none
	skewSearched bool        // a search has ended, with or without a result
	skewGrouping int         // the grouping of literals that determines the cost, counted from 1; 0: none is known
}

// recentObservations is the number of recent costs that a record stores. A record whose cost has shifted restarts
// with them.
const recentObservations = 8

// The shift detector is a two-sided CUSUM of clipped deviations. With a slack of 0.75, a shift by a factor of three
// at a standard deviation of 0.8 (1.37 standard deviations) adds about 0.6 per observation, so it is detected within
// about fifteen. Clipping at two standard deviations prevents single bad plans from being detected as a shift. The
// threshold keeps false alarms below one in ten thousand observations if one plan in ten is bad
// (TestShiftIsDetected).
const (
	cusumSlack         = 0.75
	cusumClip          = 2.0
	cusumThreshold     = 7.5
	warmupObservations = 24  // observations before the detector starts
	baselineInterval   = 64  // observations between two computations of the baseline
	minDeviation       = 0.2 // lowest standard deviation of the logarithms, about the difference of costs that are one bucket apart
	uncertainAfterLoad = 5   // observations
)

// The weights of the memory mean and of the memory peak.
const (
	memoryMeanObservations = 50   // a new observation has at least the weight 1/memoryMeanObservations in the mean
	memoryPeakDecay        = 0.98 // factor by which each observation reduces the peak
)

// fade halves the weight of the observations once for each half-life that has passed at the given age of the model.
func (r *record) fade(hours int64) {
	for ; hours-r.decayedAtHours >= halfLifeHours; r.decayedAtHours += halfLifeHours {
		r.sketch.Fade()
		if r.sketch.Count() == 0 {
			r.decayedAtHours = hours
		}
	}
}

// observe adds an observation. If the observation shows that the cost has shifted, the record restarts and shifts is
// incremented.
func (r *record) observe(observed observation, shifts *atomic.Int64) {
	if observed.loads > r.loads {
		r.loads, r.uncertainFor = observed.loads, uncertainAfterLoad
	}
	r.uncertainFor = max(0, r.uncertainFor-1)
	if observed.memoryMB > 0 {
		r.memory += (observed.memoryMB - r.memory) / float64(min(r.observations+1, memoryMeanObservations))
		r.memoryPeak = max(observed.memoryMB, memoryPeakDecay*r.memoryPeak)
	}
	r.trend.add(float64(observed.loads), observed.logMillis)
	r.recent[r.observations%recentObservations] = observed.millis
	r.observations++
	if r.observations >= warmupObservations && r.deviation > 0 && r.detectShift(observed) {
		shifts.Add(1)
		r.restart()
		return
	}
	r.sketch.Add(observed.millis)
	warm := r.observations > warmupObservations
	if r.observations == warmupObservations || warm && r.observations%baselineInterval == 0 {
		r.computeBaseline()
	}
}

// detectShift adds an observation to the sums of the detector and reports whether one exceeds the threshold. While
// estimates are uncertain, as after a load, the threshold is halved because a shift is likely then.
func (r *record) detectShift(observed observation) bool {
	slope, meanLoads := r.trend.slope()
	z := (observed.logMillis - r.baseline - slope*(float64(observed.loads)-meanLoads)) / r.deviation
	z = min(cusumClip, max(-cusumClip, z))
	threshold := cusumThreshold
	if r.uncertainFor > 0 {
		threshold /= 2
	}
	r.shiftUp, r.shiftDown = max(0, r.shiftUp+z-cusumSlack), max(0, r.shiftDown-z-cusumSlack)
	return r.shiftUp > threshold || r.shiftDown > threshold
}

// computeBaseline computes the usual cost. The baseline includes the mean contribution of the clipped bad plans,
// which would otherwise raise the sums of the detector all the time.
func (r *record) computeBaseline() {
	var badShare float64
	r.baseline, r.deviation, badShare, _ = r.sketch.SplitModes()
	r.baseline += badShare * cusumClip * max(minDeviation, r.deviation)
	r.deviation = max(minDeviation, r.deviation)
}

// typicalLog returns the logarithm of the lower median of the recent costs, so that a bad plan among them does not
// affect the estimates of other shapes. If there are fewer than two recent costs, it returns latest.
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

// restart drops all observations but the recent ones. It is called when the cost has shifted.
func (r *record) restart() {
	recent := r.recent
	*r = record{
		memory: r.memory, memoryPeak: r.memoryPeak,
		loads: r.loads, uncertainFor: uncertainAfterLoad, decayedAtHours: r.decayedAtHours,
		skew: r.skew, skewSearched: r.skewSearched, skewGrouping: r.skewGrouping,
	}
	for _, millis := range recent {
		r.recent[r.observations%recentObservations] = millis
		r.observations++
		r.sketch.Add(millis)
	}
}
