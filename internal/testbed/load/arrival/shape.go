// Package arrival draws the arrival times and the contents of a load's requests from a seed. It does no I/O and reads
// no clock. A schedule doesn't depend on answers, so a stalled system is offered the same load as a fast one.
package arrival

import (
	"cmp"
	"fmt"
	"time"
)

// Kind selects how the arrival times of a shape are drawn.
type Kind string

// The kinds of shapes, with the fields of Shape that each kind uses. Rates are in requests per second. All kinds with a
// rate except Steady are Poisson processes.
const (
	Poisson  Kind = "poisson"  // constant Rate
	Steady   Kind = "steady"   // constant Rate, with equal gaps
	Bursts   Kind = "bursts"   // Markov-modulated: cycles through the rates in Levels, each for an exponential time with the mean Dwell
	OnOff    Kind = "on-off"   // Rate while on, 0 while off, each for a Pareto-distributed time: means On and Off, tail index Tail
	Ramp     Kind = "ramp"     // the rate changes linearly from Rate to Peak during Over, then stays at Peak
	Step     Kind = "step"     // each of the rates in Levels for Dwell; the last one has no end
	Diurnal  Kind = "diurnal"  // cosine around Rate with the relative amplitude Swing and the period Period; the maximum is at Peaks
	Flash    Kind = "flash"    // Rate until From, then linearly to Peak during Over; after that, the excess over Rate halves every Half
	Replay   Kind = "replay"   // the recorded Times
	Sum      Kind = "sum"      // all Parts at the same time
	Scale    Kind = "scale"    // Parts[0] with every rate multiplied by Factor
	Thin     Kind = "thin"     // Parts[0], where each arrival is retained with the probability Factor
	Sequence Kind = "sequence" // the Parts one after the other, each for its own For
)

// Shape describes how arrivals are distributed over time. It is a tree, because some kinds combine other shapes. Each
// kind uses the fields listed at its constant. A shape of any kind ends after For, if that is set.
type Shape struct {
	Kind                      Kind
	Rate, Peak, Swing, Factor float64
	Levels                    []float64
	Tail                      float64
	On, Off, Dwell, Over      time.Duration
	Period, Peaks, From, Half time.Duration
	For                       time.Duration // length of the shape; 0: unlimited
	Times                     []time.Duration
	Marks                     []Mark // classes and groups of Times, if the trace has them; used only if the outermost shape is the Replay
	Parts                     []Shape
}

// Mark holds the class and the table group of a recorded arrival.
type Mark struct {
	Class int `json:"Lane"`
	Group int
}

// maxRate, in requests per second, is more than one machine can offer. A larger rate is a mistake in the unit.
const maxRate = 1e7

// maxFactor is the largest Factor of Scale.
const maxFactor = 1e4

// Check returns an error for the first field whose value is out of range. The error names the field by its path.
func (s *Shape) Check(path string) error {
	err := s.checkFields(path)
	if err != nil {
		return err
	}
	return s.checkParts(path)
}

func (s *Shape) checkFields(path string) error {
	switch s.Kind {
	case Poisson, Steady:
		return checkRates(path, "rate", s.Rate)
	case Bursts, Step:
		if len(s.Levels) == 0 {
			return fmt.Errorf("%s.levels: expected at least one rate", path)
		}
		return cmp.Or(checkRates(path, "levels", s.Levels...), checkLength(path, "dwell", s.Dwell))
	case OnOff:
		err := cmp.Or(checkRates(path, "rate", s.Rate), checkLength(path, "on", s.On), checkLength(path, "off", s.Off))
		if err == nil && s.Tail <= 1 {
			err = fmt.Errorf("%s.tail: expected a number above 1, or the mean has no end, found %g", path, s.Tail)
		}
		return err
	case Ramp:
		return cmp.Or(checkRates(path, "rate", s.Rate, s.Peak), checkLength(path, "over", s.Over))
	case Diurnal:
		err := cmp.Or(checkRates(path, "rate", s.Rate), checkLength(path, "period", s.Period))
		if err == nil && !(s.Swing >= 0 && s.Swing <= 1) {
			err = fmt.Errorf("%s.swing: expected a share from 0 to 1, found %g", path, s.Swing)
		}
		return err
	case Flash:
		return cmp.Or(checkRates(path, "rate", s.Rate, s.Peak), checkLength(path, "over", s.Over), checkLength(path, "half", s.Half))
	case Replay:
		return s.checkTimes(path)
	case Sum, Sequence, Scale, Thin:
		return s.checkComposition(path)
	default:
		return fmt.Errorf("%s.kind: expected one of poisson, steady, bursts, on-off, ramp, step, diurnal, flash, replay, "+
			"sum, scale, thin and sequence, found %q", path, s.Kind)
	}
}

func checkRates(path, name string, rates ...float64) error {
	for _, rate := range rates {
		if !(rate >= 0 && rate <= maxRate) {
			return fmt.Errorf("%s.%s: expected tasks a second from 0 to %g, found %g", path, name, float64(maxRate), rate)
		}
	}
	return nil
}

func checkLength(path, name string, length time.Duration) error {
	if length <= 0 {
		return fmt.Errorf("%s.%s: expected a time above 0, found %v", path, name, length)
	}
	return nil
}

func (s *Shape) checkTimes(path string) error {
	for i := 1; i < len(s.Times); i++ {
		if s.Times[i] < s.Times[i-1] {
			return fmt.Errorf("%s.times: entry %d comes before the one ahead of it", path, i)
		}
	}
	return nil
}

// checkComposition checks the fields of the kinds that combine other shapes.
func (s *Shape) checkComposition(path string) error {
	if s.Kind == Sum || s.Kind == Sequence {
		if len(s.Parts) == 0 {
			return fmt.Errorf("%s.parts: expected at least one shape", path)
		}
		return nil
	}
	if len(s.Parts) != 1 {
		return fmt.Errorf("%s.parts: expected one shape, found %d", path, len(s.Parts))
	}
	if !(s.Factor >= 0 && s.Factor <= maxFactor) || s.Kind == Thin && s.Factor > 1 {
		return fmt.Errorf("%s.factor: expected a share from 0 to 1, or for scale up to 10000, found %g", path, s.Factor)
	}
	return nil
}

func (s *Shape) checkParts(path string) error {
	for i := range s.Parts {
		err := s.Parts[i].Check(fmt.Sprintf("%s.parts[%d]", path, i))
		if err != nil {
			return err
		}
		if s.Kind == Sequence && i < len(s.Parts)-1 && s.Parts[i].For <= 0 {
			return fmt.Errorf("%s.parts[%d].for: expected a time above 0, as another part follows", path, i)
		}
	}
	return nil
}
