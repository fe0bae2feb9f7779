package costmodel

import "math"

// Sketch keeps the distribution of costs in milliseconds, in steps of a quarter from a tenth of a millisecond to an hour.
// Two are merged by adding up, and old answers fade as new ones come. The zero Sketch is empty.
type Sketch struct {
	counts [sketchSteps]uint16
	total  uint32
}

const (
	sketchSteps = 80
	minMillis   = 0.1  // ms
	stepRatio   = 1.25 // a step: quantiles are off by an eighth at the most, far less than costs scatter
	// At so many answers all counts are halved: what is older than some thousand answers counts for little.
	fadeAt = 4096
)

var logStepRatio = math.Log(stepRatio)

func sketchStep(ms float64) int {
	if !(ms > minMillis) {
		return 0
	}
	return min(sketchSteps-1, int(math.Log(ms/minMillis)/logStepRatio))
}

// stepMillis is the cost that stands for a step.
func stepMillis(i int) float64 { return minMillis * math.Pow(stepRatio, float64(i)+0.5) }

// Add takes a cost in.
func (s *Sketch) Add(ms float64) {
	s.counts[sketchStep(ms)]++
	if s.total++; s.total >= fadeAt {
		s.Fade()
	}
}

// Fade halves what all answers so far count.
func (s *Sketch) Fade() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += uint32(s.counts[i])
	}
}

// Merge adds another's answers.
func (s *Sketch) Merge(o *Sketch) {
	for s.total+o.total >= 1<<16 {
		s.Fade()
		c := *o
		c.Fade()
		o = &c
	}
	for i := range s.counts {
		s.counts[i] += o.counts[i]
	}
	s.total += o.total
}

// Count is how many answers it holds, as far as they have not faded.
func (s *Sketch) Count() int { return int(s.total) }

// Quantile is a cost under which a share of the answers stayed; 0 where there are none.
func (s *Sketch) Quantile(q float64) float64 {
	if s.total == 0 {
		return 0
	}
	rank := uint32(q * float64(s.total))
	for i, c := range s.counts {
		if rank < uint32(c) {
			return stepMillis(i)
		}
		rank -= uint32(c)
	}
	return stepMillis(sketchSteps - 1)
}

// SplitModes tells the usual mode from the bad one: bad are answers of so many times the median and more, which come of plans
// that went wrong and not of chance in a usual one. usual and spread are the mean and deviation of the logarithms of the
// usual ones; factor is how many times the usual a bad one takes.
func (s *Sketch) SplitModes() (usual, spread, share, factor float64) {
	const times = 5 // a usual answer of a lognormal cost with a deviation of 0.8 comes there one time in forty
	edge := sketchStep(s.Quantile(0.5) * times)
	var n, sum, squares, bad, badSum float64
	for i, c := range s.counts {
		if c == 0 {
			continue
		}
		v, w := math.Log(stepMillis(i)), float64(c)
		if i > edge {
			bad += w
			badSum += v * w
			continue
		}
		n += w
		sum += v * w
		squares += v * v * w
	}
	if n == 0 {
		return 0, 0, 0, 1
	}
	usual = sum / n
	spread = math.Sqrt(max(0, squares/n-usual*usual))
	if share = bad / (n + bad); bad > 0 {
		factor = math.Exp(badSum/bad - usual)
	} else {
		factor = 1
	}
	return usual, spread, share, factor
}
