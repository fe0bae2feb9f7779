// Package modelcheck explores every interleaving of a small system, breadth first, up to a bound. A violation that it finds comes with
// the shortest run that leads to it. The system says what can happen next and which states are the same.
package modelcheck

import (
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// State is one state of a system. It is not changed once made.
type State interface {
	// Key returns the state's key. States that differ only in what does not matter (absolute times, which of two equal members) share one.
	Key() []byte
	// Transitions returns all that can happen next, in a fixed order.
	Transitions() []Transition
	// Violation returns what does not hold; empty: all does.
	Violation() string
}

// Transition is one thing that can happen.
type Transition struct {
	Name string
	Next func() State
}

// Result is the outcome of an exploration.
type Result struct {
	States, Transitions int
	Depth               int      // of the last state explored, in transitions
	Complete            bool     // nothing was left out because of a bound
	Violation           string   // the first that was found
	Trace               []string // the names of the transitions of the shortest run to it
}

// step leads back to where a state was first found. The hash of 64 bits stands for a state's key: of ten million states two are
// taken for one with a chance of some 3 in a million. With its step a state takes 16 bytes.
type step struct {
	from       int32 // index of the step before; -1: none
	transition uint16
}

// frontierState is a state whose transitions are still to be explored.
type frontierState struct {
	state State
	step  int32
}

// exploration is one under way.
type exploration struct {
	first     State
	maxStates int
	result    Result
	seen      map[uint64]struct{} // hashes of keys
	steps     []step
}

// Explore explores at most maxStates states, none deeper than maxDepth transitions.
func Explore(first State, maxStates, maxDepth int) Result {
	e := &exploration{
		first: first, maxStates: maxStates,
		result: Result{States: 1, Complete: true},
		seen:   map[uint64]struct{}{xxhash.Sum64(first.Key()): {}},
		steps:  []step{{from: -1}},
	}
	e.result.Violation = first.Violation()
	if e.result.Violation != "" {
		return e.result
	}
	level, next := []frontierState{{state: first}}, []frontierState(nil)
	for len(level) > 0 {
		if e.result.Depth == maxDepth {
			e.result.Complete = false
			return e.result
		}
		e.result.Depth++
		next = next[:0]
		for _, from := range level {
			var ended bool
			next, ended = e.expand(from, next)
			if ended {
				return e.result
			}
		}
		level, next = next, level
	}
	return e.result
}

// expand appends the new states that a state leads to; ended: a violation or the bound ends the exploration.
func (e *exploration) expand(from frontierState, next []frontierState) (_ []frontierState, ended bool) {
	for i, transition := range from.state.Transitions() {
		e.result.Transitions++
		state := transition.Next()
		key := xxhash.Sum64(state.Key())
		if _, known := e.seen[key]; known {
			continue
		}
		if e.result.States >= e.maxStates {
			e.result.Complete = false
			return next, true
		}
		index := int32(len(e.steps))
		e.seen[key] = struct{}{}
		e.steps = append(e.steps, step{from.step, uint16(i)})
		e.result.States++
		e.result.Violation = state.Violation()
		if e.result.Violation != "" {
			e.result.Trace, e.result.Complete = e.trace(index), false
			return next, true
		}
		next = append(next, frontierState{state, index})
	}
	return next, false
}

// trace plays the transitions to a state once more for their names.
func (e *exploration) trace(index int32) (names []string) {
	var transitions []uint16
	for ; index > 0; index = e.steps[index].from {
		transitions = append(transitions, e.steps[index].transition)
	}
	state := e.first
	for i := len(transitions) - 1; i >= 0; i-- {
		transition := state.Transitions()[transitions[i]]
		names = append(names, transition.Name)
		state = transition.Next()
	}
	return names
}

// WriteText writes a result for people.
func (r *Result) WriteText(out io.Writer, description string) {
	extent := "up to the bound"
	switch {
	case r.Violation != "":
		extent = "to the first violation"
	case r.Complete:
		extent = "to the end"
	}
	fmt.Fprintf(out, "%s: %d states, %d moves, %d deep, %s\n", description, r.States, r.Transitions, r.Depth, extent)
	if r.Violation == "" {
		fmt.Fprintln(out, "good   nothing is violated")
		return
	}
	fmt.Fprintln(out, "BAD    "+r.Violation)
	for i, name := range r.Trace {
		fmt.Fprintf(out, "%4d  %s\n", i+1, name)
	}
}
