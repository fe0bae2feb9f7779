package arrival

import (
	"math"
	"math/rand"
	"time"
)

// Stream generates arrival times in ascending order, counted from the start of the stream. ok is false when there are
// no more.
type Stream interface {
	Next() (at time.Duration, ok bool)
}

// never is later than the end of any run.
const never = time.Duration(math.MaxInt64)

// Multipliers that derive the seeds of a shape's parts and of the copies in a scaled replay.
const (
	partSeedMultiplier = 31
	copySeedMultiplier = 7919
)

// Stream returns a stream of the shape's arrival times. The same seed gives the same times.
func (s *Shape) Stream(seed int64) Stream { return s.newStream(seed, 1) }

// newStream returns the shape's stream with every rate multiplied by factor.
func (s *Shape) newStream(seed int64, factor float64) Stream {
	stream := s.newEndlessStream(seed, factor)
	if s.For > 0 {
		return &boundedStream{source: stream, end: s.For}
	}
	return stream
}

// newPartStream returns the stream of a part. Each part has its own random source.
func (s *Shape) newPartStream(part int, seed int64, factor float64) Stream {
	return s.Parts[part].newStream(seed*partSeedMultiplier+int64(part)+1, factor)
}

// newEndlessStream returns the shape's stream without the limit For.
func (s *Shape) newEndlessStream(seed int64, factor float64) Stream {
	random := rand.New(rand.NewSource(seed))
	switch s.Kind {
	case Poisson, Ramp, Step, Diurnal, Flash:
		rate, maximum := s.rateOverTime(factor)
		return &varyingRateStream{random: random, maximum: maximum, rate: rate}
	case Steady:
		return &steadyStream{rate: s.Rate * factor}
	case Bursts, OnOff:
		stream := &modulatedStream{random: random, drawState: s.stateDraw(random, factor)}
		stream.enterState()
		return stream
	case Replay:
		if factor != 1 {
			return newScaledReplay(s, seed, factor)
		}
		return &replayStream{times: s.Times}
	case Sum:
		stream := &mergedStream{}
		for part := range s.Parts {
			stream.add(s.newPartStream(part, seed, factor))
		}
		return stream
	case Scale:
		return s.newPartStream(0, seed, factor*s.Factor)
	case Thin:
		return &thinnedStream{source: s.newPartStream(0, seed, factor), random: random, probability: s.Factor}
	case Sequence:
		return &sequenceStream{parts: s.Parts, newPart: func(part int) Stream { return s.newPartStream(part, seed, factor) }}
	default:
		return &replayStream{}
	}
}

// rateOverTime returns the rate as a function of time, and the maximum of the rate. It is for the kinds that are
// Poisson processes whose rate depends only on the time.
func (s *Shape) rateOverTime(factor float64) (rate func(time.Duration) float64, maximum float64) {
	switch s.Kind {
	case Ramp:
		return func(at time.Duration) float64 {
			return factor * (s.Rate + (s.Peak-s.Rate)*min(1, float64(at)/float64(s.Over)))
		}, max(s.Rate, s.Peak) * factor
	case Step:
		highest := 0.0
		for _, level := range s.Levels {
			highest = max(highest, level)
		}
		return func(at time.Duration) float64 {
			return factor * s.Levels[min(int(at/s.Dwell), len(s.Levels)-1)]
		}, highest * factor
	case Diurnal:
		return func(at time.Duration) float64 {
			return factor * s.Rate * (1 + s.Swing*math.Cos(2*math.Pi*float64(at-s.Peaks)/float64(s.Period)))
		}, s.Rate * (1 + s.Swing) * factor
	case Flash:
		return func(at time.Duration) float64 { return s.flashRate(at, factor) }, max(s.Rate, s.Peak) * factor
	default:
		return func(time.Duration) float64 { return s.Rate * factor }, s.Rate * factor
	}
}

func (s *Shape) flashRate(at time.Duration, factor float64) float64 {
	since := float64(at - s.From)
	switch over := float64(s.Over); {
	case since < 0:
		return factor * s.Rate
	case since < over:
		return factor * (s.Rate + (s.Peak-s.Rate)*since/over)
	default:
		return factor * (s.Rate + (s.Peak-s.Rate)*math.Exp2(-(since-over)/float64(s.Half)))
	}
}

// stateDraw returns a function that draws the rate and the length of a state of a Bursts or OnOff process. number
// counts the states from 0.
func (s *Shape) stateDraw(random *rand.Rand, factor float64) func(number int) (rate float64, length time.Duration) {
	if s.Kind == Bursts {
		return func(number int) (float64, time.Duration) {
			return s.Levels[number%len(s.Levels)] * factor, time.Duration(random.ExpFloat64() * float64(s.Dwell))
		}
	}
	return func(number int) (float64, time.Duration) {
		if number%2 == 0 {
			return s.Rate * factor, drawPareto(random, s.On, s.Tail)
		}
		return 0, drawPareto(random, s.Off, s.Tail)
	}
}

// drawPareto draws a Pareto-distributed, thus heavy-tailed, time with the given mean and tail index. The result is at
// most never/4, so that adding it to the current time doesn't overflow.
func drawPareto(random *rand.Rand, mean time.Duration, tail float64) time.Duration {
	minimum := float64(mean) * (tail - 1) / tail
	return time.Duration(min(minimum*math.Pow(1-random.Float64(), -1/tail), float64(never)/4))
}

// newScaledReplay multiplies the rate of recorded arrivals by factor: it merges one complete copy of the times for each
// unit of the factor and a thinned copy for its fraction. In all copies but the first, each time moves to a random
// point in the gap that follows the recorded time. This preserves the trace's variation of the rate and prevents
// arrivals in pairs.
func newScaledReplay(s *Shape, seed int64, factor float64) Stream {
	merged := &mergedStream{}
	for number := 0; float64(number) < factor; number++ {
		random := rand.New(rand.NewSource(seed + int64(number)*copySeedMultiplier))
		var stream Stream = &replayStream{times: s.Times}
		if number > 0 {
			stream = &replayStream{times: s.Times, random: random}
		}
		fraction := factor - float64(number)
		if fraction < 1 {
			stream = &thinnedStream{source: stream, random: random, probability: fraction}
		}
		merged.add(stream)
	}
	return merged
}
