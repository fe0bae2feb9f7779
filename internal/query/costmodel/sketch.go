package costmodel

import "math"

// Sketch is a histogram of costs in milliseconds. Each bucket is a quarter wider than the one before, from a tenth of
// a millisecond to more than an hour. The weight of old observations decays as new ones are added. The zero Sketch is
// empty.
type Sketch struct {
	counts [sketchBuckets]uint16
	total  uint32
}

const (
	sketchBuckets = 80
	minMillis     = 0.1  // lower bound of the first bucket
	bucketRatio   = 1.25 // ratio of the bounds of a bucket; quantiles are off by an eighth at most, far less than costs vary
	// fadeThreshold is the total at which all counts are halved, so that observations have little weight after some thousand
	// later ones.
	fadeThreshold = 4096
	// maxMergedTotal limits the total of merged sketches, so that no count overflows.
	maxMergedTotal = 1 << 16
	// badPlanFactor is the ratio to the median above which a cost counts as a bad plan. A usual cost, lognormal with
	// a standard deviation of 0.8, exceeds it one time in forty.
	badPlanFactor = 5
)

var logBucketRatio = math.Log(bucketRatio)

// bucketOf returns the bucket of a cost.
func bucketOf(millis float64) int {
	if !(millis > minMillis) {
		return 0
	}
	return min(sketchBuckets-1, int(math.Log(millis/minMillis)/logBucketRatio))
}

// bucketMillis returns the cost that represents a bucket, the geometric mean of its bounds.
func bucketMillis(bucket int) float64 { return minMillis * math.Pow(bucketRatio, float64(bucket)+0.5) }

// Add adds an observation in milliseconds.
func (s *Sketch) Add(millis float64) {
	s.counts[bucketOf(millis)]++
	s.total++
	if s.total >= fadeThreshold {
		s.Fade()
	}
}

// Fade halves the weight of all observations.
func (s *Sketch) Fade() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += uint32(s.counts[i])
	}
}

// Merge adds the observations of another sketch, which does not change.
func (s *Sketch) Merge(other *Sketch) {
	for s.total+other.total >= maxMergedTotal {
		s.Fade()
		faded := *other
		faded.Fade()
		other = &faded
	}
	for i := range s.counts {
		s.counts[i] += other.counts[i]
	}
	s.total += other.total
}

// Count returns the number of observations in the sketch, in which old observations count less or not at all.
func (s *Sketch) Count() int { return int(s.total) }

// Quantile returns the cost in milliseconds below which a share q of the observations lies, or 0 if there are none.
func (s *Sketch) Quantile(q float64) float64 {
	if s.total == 0 {
		return 0
	}
	rank := uint32(q * float64(s.total))
	for bucket, count := range s.counts {
		if rank < uint32(count) {
			return bucketMillis(bucket)
		}
		rank -= uint32(count)
	}
	return bucketMillis(sketchBuckets - 1)
}

// SplitModes separates the usual observations from bad plans: those that took several times the median, which is due
// to a wrong plan and not to chance. usual and deviation are the mean and the standard deviation of the logarithms of
// the usual observations. badShare is the share of the bad plans, and badFactor the ratio of their cost to the usual
// cost.
func (s *Sketch) SplitModes() (usual, deviation, badShare, badFactor float64) {
	lastUsual := bucketOf(s.Quantile(0.5) * badPlanFactor)
	var weight, sum, squares, badWeight, badSum float64
	for bucket, count := range s.counts {
		if count == 0 {
			continue
		}
		logMillis, n := math.Log(bucketMillis(bucket)), float64(count)
		if bucket > lastUsual {
			badWeight += n
			badSum += logMillis * n
			continue
		}
		weight += n
		sum += logMillis * n
		squares += logMillis * logMillis * n
	}
	if weight == 0 {
		return 0, 0, 0, 1
	}
	usual = sum / weight
	deviation = math.Sqrt(max(0, squares/weight-usual*usual))
	badShare = badWeight / (weight + badWeight)
	badFactor = 1
	if badWeight > 0 {
		badFactor = math.Exp(badSum/badWeight - usual)
	}
	return usual, deviation, badShare, badFactor
}
