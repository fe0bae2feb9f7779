package costmodel

import "math"

// Sketch holds the distribution of costs in milliseconds, in steps of a quarter from a tenth of a millisecond to an hour.
// Old observations fade as new ones come. The zero Sketch is empty.
type Sketch struct {
	counts [sketchSteps]uint16
	total  uint32
}

const (
	sketchSteps = 80
	minMillis   = 0.1  // the lower bound of the first step
	stepRatio   = 1.25 // quantiles are off by an eighth at most, far less than costs scatter
	// fadeAt is the total at which all counts are halved, so that what is older than some thousand observations counts for
	// little.
	fadeAt = 4096
	// maxMergedTotal bounds the total of merged sketches, so that no count overflows.
	maxMergedTotal = 1 << 16
	// badPlanFactor is how many times the median a cost must be to count as a bad plan. A usual cost, lognormal with a
	// deviation of 0.8, is so far off one time in forty.
	badPlanFactor = 5
)

var logStepRatio = math.Log(stepRatio)

// sketchStep returns the step of a cost.
func sketchStep(millis float64) int {
	if !(millis > minMillis) {
		return 0
	}
	return min(sketchSteps-1, int(math.Log(millis/minMillis)/logStepRatio))
}

// stepMillis returns the cost that stands for a step.
func stepMillis(step int) float64 { return minMillis * math.Pow(stepRatio, float64(step)+0.5) }

// Add adds an observation in milliseconds.
func (s *Sketch) Add(millis float64) {
	s.counts[sketchStep(millis)]++
	s.total++
	if s.total >= fadeAt {
		s.Fade()
	}
}

// Fade halves the weight of all observations so far.
func (s *Sketch) Fade() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += uint32(s.counts[i])
	}
}

// Merge adds the observations of another sketch, which stays as it is.
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

// Count returns how many observations the sketch holds; those that have faded count less or not at all.
func (s *Sketch) Count() int { return int(s.total) }

// Quantile returns the cost in milliseconds under which a share q of the observations stayed, 0 if there are none.
func (s *Sketch) Quantile(q float64) float64 {
	if s.total == 0 {
		return 0
	}
	rank := uint32(q * float64(s.total))
	for step, count := range s.counts {
		if rank < uint32(count) {
			return stepMillis(step)
		}
		rank -= uint32(count)
	}
	return stepMillis(sketchSteps - 1)
}

// SplitModes tells usual observations from bad plans: those that took several times the median, which come of a plan that
// went wrong and not of chance. usual and deviation are the mean and deviation of the logarithms of the usual
// observations, badShare is the share of the bad plans, and badFactor how many times the usual cost a bad plan takes.
func (s *Sketch) SplitModes() (usual, deviation, badShare, badFactor float64) {
	lastUsual := sketchStep(s.Quantile(0.5) * badPlanFactor)
	var weight, sum, squares, badWeight, badSum float64
	for step, count := range s.counts {
		if count == 0 {
			continue
		}
		logMillis, n := math.Log(stepMillis(step)), float64(count)
		if step > lastUsual {
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
