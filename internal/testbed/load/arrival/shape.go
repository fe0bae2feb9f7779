// Package arrival draws the times at which load arrives: seeded, without I/O and without a clock of its own. A
// schedule never looks at answers, so a system that stands still is offered just as much.
package arrival

import (
	"fmt"
	"math"
	"math/rand"
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
	Step     Kind = "step"     // Levels, each for Dwell, the last one for good
	Diurnal  Kind = "diurnal"  // Rate on average, swinging by the share Swing over Period; the peak comes at Peaks
	Flash    Kind = "flash"    // Rate; from From on it rises to Peak over Over, then the rest halves every Half
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

// mostRate is above what one machine can offer; a larger rate is a slip of the unit.
const mostRate = 1e7

// Check tells the first thing that is amiss, by the path of the field.
func (s *Shape) Check(path string) error {
	rates := func(name string, vs ...float64) error {
		for _, v := range vs {
			if !(v >= 0 && v <= mostRate) {
				return fmt.Errorf("%s.%s: expected tasks a second from 0 to %g, found %g", path, name, float64(mostRate), v)
			}
		}
		return nil
	}
	spans := func(name string, d time.Duration) error {
		if d <= 0 {
			return fmt.Errorf("%s.%s: expected a time above 0, found %v", path, name, d)
		}
		return nil
	}
	var errs []error
	switch s.Kind {
	case Poisson, Steady:
		errs = append(errs, rates("rate", s.Rate))
	case Bursts, Step:
		if len(s.Levels) == 0 {
			return fmt.Errorf("%s.levels: expected at least one rate", path)
		}
		errs = append(errs, rates("levels", s.Levels...), spans("dwell", s.Dwell))
	case OnOff:
		errs = append(errs, rates("rate", s.Rate), spans("on", s.On), spans("off", s.Off))
		if s.Tail <= 1 {
			errs = append(errs, fmt.Errorf("%s.tail: expected a number above 1, or the mean has no end, found %g", path, s.Tail))
		}
	case Ramp:
		errs = append(errs, rates("rate", s.Rate, s.Peak), spans("over", s.Over))
	case Diurnal:
		errs = append(errs, rates("rate", s.Rate), spans("period", s.Period))
		if !(s.Swing >= 0 && s.Swing <= 1) {
			errs = append(errs, fmt.Errorf("%s.swing: expected a share from 0 to 1, found %g", path, s.Swing))
		}
	case Flash:
		errs = append(errs, rates("rate", s.Rate, s.Peak), spans("over", s.Over), spans("half", s.Half))
	case Replay:
		for i := 1; i < len(s.Times); i++ {
			if s.Times[i] < s.Times[i-1] {
				return fmt.Errorf("%s.times: entry %d comes before the one ahead of it", path, i)
			}
		}
	case Sum, Sequence:
		if len(s.Parts) == 0 {
			return fmt.Errorf("%s.parts: expected at least one shape", path)
		}
	case Scale, Thin:
		if len(s.Parts) != 1 {
			return fmt.Errorf("%s.parts: expected one shape, found %d", path, len(s.Parts))
		}
		if !(s.Factor >= 0 && s.Factor <= 1e4) || s.Kind == Thin && s.Factor > 1 {
			return fmt.Errorf("%s.factor: expected a share from 0 to 1, or for scale up to 10000, found %g", path, s.Factor)
		}
	default:
		return fmt.Errorf("%s.kind: expected one of poisson, steady, bursts, on-off, ramp, step, diurnal, flash, replay, "+
			"sum, scale, thin and sequence, found %q", path, s.Kind)
	}
	for i := range s.Parts {
		errs = append(errs, s.Parts[i].Check(fmt.Sprintf("%s.parts[%d]", path, i)))
		if s.Kind == Sequence && i < len(s.Parts)-1 && s.Parts[i].For <= 0 {
			errs = append(errs, fmt.Errorf("%s.parts[%d].for: expected a time above 0, as another part follows", path, i))
		}
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Stream gives times in order, from the start on; ok is false when there are no more.
type Stream interface {
	Next() (at time.Duration, ok bool)
}

// never is later than any run lasts.
const never = time.Duration(math.MaxInt64)

// Stream draws a shape's times; the same seed draws the same.
func (s *Shape) Stream(seed int64) Stream { return s.stream(seed, 1) }

// stream draws with every rate times a factor.
func (s *Shape) stream(seed int64, factor float64) (out Stream) {
	r := rand.New(rand.NewSource(seed))
	part := func(i int) int64 { return seed*31 + int64(i) + 1 } // parts have sources of their own
	switch s.Kind {
	case Poisson:
		out = &varying{r: r, most: s.Rate * factor, rate: func(time.Duration) float64 { return s.Rate * factor }}
	case Steady:
		out = &steady{rate: s.Rate * factor}
	case Bursts:
		m := &modulated{r: r, next: func(k int) (float64, time.Duration) {
			return s.Levels[k%len(s.Levels)] * factor, time.Duration(r.ExpFloat64() * float64(s.Dwell))
		}}
		m.enter()
		out = m
	case OnOff:
		m := &modulated{r: r, next: func(k int) (float64, time.Duration) {
			if k%2 == 0 {
				return s.Rate * factor, pareto(r, s.On, s.Tail)
			}
			return 0, pareto(r, s.Off, s.Tail)
		}}
		m.enter()
		out = m
	case Ramp:
		out = &varying{r: r, most: max(s.Rate, s.Peak) * factor, rate: func(t time.Duration) float64 {
			return factor * (s.Rate + (s.Peak-s.Rate)*min(1, float64(t)/float64(s.Over)))
		}}
	case Step:
		most := 0.0
		for _, l := range s.Levels {
			most = max(most, l)
		}
		out = &varying{r: r, most: most * factor, rate: func(t time.Duration) float64 {
			return factor * s.Levels[min(int(t/s.Dwell), len(s.Levels)-1)]
		}}
	case Diurnal:
		out = &varying{r: r, most: s.Rate * (1 + s.Swing) * factor, rate: func(t time.Duration) float64 {
			return factor * s.Rate * (1 + s.Swing*math.Cos(2*math.Pi*float64(t-s.Peaks)/float64(s.Period)))
		}}
	case Flash:
		out = &varying{r: r, most: max(s.Rate, s.Peak) * factor, rate: func(t time.Duration) float64 {
			since := float64(t - s.From)
			switch over := float64(s.Over); {
			case since < 0:
				return factor * s.Rate
			case since < over:
				return factor * (s.Rate + (s.Peak-s.Rate)*since/over)
			default:
				return factor * (s.Rate + (s.Peak-s.Rate)*math.Exp2(-(since-over)/float64(s.Half)))
			}
		}}
	case Replay:
		out = &replay{times: s.Times}
		if factor != 1 {
			out = copies(s, seed, factor)
		}
	case Sum:
		m := &merged{}
		for i := range s.Parts {
			m.add(s.Parts[i].stream(part(i), factor))
		}
		out = m
	case Scale:
		out = s.Parts[0].stream(part(0), factor*s.Factor)
	case Thin:
		out = &thinned{from: s.Parts[0].stream(part(0), factor), r: r, keep: s.Factor}
	case Sequence:
		out = &sequence{parts: s.Parts, make: func(i int) Stream { return s.Parts[i].stream(part(i), factor) }}
	default:
		out = &replay{}
	}
	if s.For > 0 {
		out = &bounded{from: out, end: s.For}
	}
	return out
}

// pareto is a heavy-tailed time with a given mean.
func pareto(r *rand.Rand, mean time.Duration, tail float64) time.Duration {
	least := float64(mean) * (tail - 1) / tail
	return time.Duration(min(least*math.Pow(1-r.Float64(), -1/tail), float64(never)/4))
}

// copies scales recorded times: as many copies as the factor holds whole, and a thinned one for the rest. Copies
// after the first fall anywhere in the gap that follows, so that the trace's own pace is kept and nothing comes in
// pairs.
func copies(s *Shape, seed int64, factor float64) Stream {
	m := &merged{}
	for k := 0; float64(k) < factor; k++ {
		r := rand.New(rand.NewSource(seed + int64(k)*7919))
		var one Stream = &replay{times: s.Times}
		if k > 0 {
			one = &replay{times: s.Times, r: r}
		}
		if rest := factor - float64(k); rest < 1 {
			one = &thinned{from: one, r: r, keep: rest}
		}
		m.add(one)
	}
	return m
}
