// Package modelcheck walks every interleaving of a small system, breadth first, up to a bound: what it finds violated comes with
// the shortest run that leads there. The system says what can happen next and which states are the same.
package modelcheck

import (
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// State is one state of a system. It is not changed once made.
type State interface {
	// Key names the state; states that differ only in what doesn't matter (absolute times, which of two equal members) share one.
	Key() []byte
	// Transitions are all that can happen next, in a fixed order.
	Transitions() []Transition
	// Violation tells what doesn't hold; empty: all does.
	Violation() string
}

// Transition is one thing that can happen.
type Transition struct {
	Name string
	Next func() State
}

// Result is what a walk came to.
type Result struct {
	States, Transitions int
	Depth               int      // of the last state looked at
	Complete            bool     // nothing was left out for the bound
	Violation           string   // the first violation
	Trace               []string // and the shortest run to it
}

// step leads back to where a state was first come upon. A state takes 16 bytes here; its key's hash of 64 bits stands for it, so
// that of ten million states two are taken for one with a chance of some 3 in a million.
type step struct {
	from int32
	move uint16
}

// Explore looks at no more than most states, none deeper than depth moves.
func Explore(first State, most, depth int) Result {
	var r Result
	seen := map[uint64]int32{xxhash.Sum64(first.Key()): 0}
	steps := []step{{-1, 0}}
	type place struct {
		state State
		n     int32
	}
	level, next := []place{{first, 0}}, []place(nil)
	r.States, r.Complete = 1, true
	if r.Violation = first.Violation(); r.Violation != "" {
		return r
	}
	for ; len(level) > 0; level, next = next, level[:0] {
		if r.Depth == depth {
			r.Complete = false
			return r
		}
		r.Depth++
		next = next[:0]
		for _, at := range level {
			for m, move := range at.state.Transitions() {
				r.Transitions++
				to := move.Next()
				key := xxhash.Sum64(to.Key())
				if _, ok := seen[key]; ok {
					continue
				}
				if r.States >= most {
					r.Complete = false
					return r
				}
				n := int32(len(steps))
				seen[key] = n
				steps = append(steps, step{at.n, uint16(m)})
				r.States++
				if r.Violation = to.Violation(); r.Violation != "" {
					r.Trace, r.Complete = trace(first, steps, n), false
					return r
				}
				next = append(next, place{to, n})
			}
		}
	}
	return r
}

// trace plays the moves to a state once more for their names.
func trace(first State, steps []step, n int32) (out []string) {
	var moves []uint16
	for ; n > 0; n = steps[n].from {
		moves = append(moves, steps[n].move)
	}
	s := first
	for i := len(moves) - 1; i >= 0; i-- {
		m := s.Transitions()[moves[i]]
		out = append(out, m.Name)
		s = m.Next()
	}
	return out
}

// WriteText writes a result for people.
func (r *Result) WriteText(out io.Writer, what string) {
	whole := "up to the bound"
	if r.Violation != "" {
		whole = "to the first violation"
	} else if r.Complete {
		whole = "to the end"
	}
	fmt.Fprintf(out, "%s: %d states, %d moves, %d deep, %s\n", what, r.States, r.Transitions, r.Depth, whole)
	if r.Violation == "" {
		fmt.Fprintln(out, "good   nothing is violated")
		return
	}
	fmt.Fprintln(out, "BAD    "+r.Violation)
	for i, m := range r.Trace {
		fmt.Fprintf(out, "%4d  %s\n", i+1, m)
	}
}
