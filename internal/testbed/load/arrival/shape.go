// Package arrival draws the times at which load arrives: seeded, without I/O and without a clock of its own. A
// schedule never looks at answers, so a stalled system is offered just as much.
package arrival

import (
	"cmp"
	"fmt"
	"time"
)

// Kind names how the times of a shape are drawn.
type Kind string

// The kinds of shapes. Rates are requests a second.
const (
	Poisson  Kind = "poisson"  // Rate
	Steady   Kind = "steady"   // Rate, at even distances
	Bursts   Kind = "bursts"   // Markov-modulated: Levels, each for an exponential time with the mean Dwell
	OnOff    Kind = "on-off"   // Rate while on; on and off last Pareto times with the means On and Off and the tail Tail
	Ramp     Kind = "ramp"     // from Rate to Peak over Over, and Peak from then on
	Step     Kind = "step"     // Levels, each for Dwell, the last one without end
	Diurnal  Kind = "diurnal"  // Rate on average, swinging by the share Swing over Period; the peak comes at Peaks
	Flash    Kind = "flash"    // Rate; from From on it rises to Peak over Over, then what exceeds Rate halves every Half
	Replay   Kind = "replay"   // Times
	Sum      Kind = "sum"      // all Parts at once
	Scale    Kind = "scale"    // Parts[0] with every rate times Factor
	Thin     Kind = "thin"     // of Parts[0] each arrival with the chance Factor
	Sequence Kind = "sequence" // the Parts in turn, each for its For
)

// Shape is a tree of kinds; each uses the fields that its kind names, and all may end after For.
type Shape struct {
	Kind                      Kind
	Rate, Peak, Swing, Factor float64
	Levels                    []float64
	Tail                      float64
	On, Off, Dwell, Over      time.Duration
	Period, Peaks, From, Half time.Duration
	For                       time.Duration // 0: without end
	Times                     []time.Duration
	Marks                     []Mark // of Times, where a replayed trace knows them; used when the shape is no part
	Parts                     []Shape
}

// Mark is what a recorded arrival was.
type Mark struct {
	Class int `json:"Lane"`
	Group int
}

// maxRate is above what one machine can offer; a larger rate is a mistake in the unit.
const maxRate = 1e7

// maxFactor bounds the factor of Scale.
const maxFactor = 1e4

// Check returns an error for the first field, named by its path, whose value is out of its range.
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

// checkComposition checks the fields of the kinds that are made of parts.
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
