// Package modelcheck explores every interleaving of a small system, breadth first, up to a maximum number of states and a maximum depth.
// For a violation that it finds, it returns the shortest sequence of transitions that leads to it. The system defines the transitions
// that are possible in a state, and a key that is equal for equivalent states.
package modelcheck

import (
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
)

// State is one state of a system. It is immutable.
type State interface {
	// Key returns the state's key. States that differ only in irrelevant details have the same key. Examples are absolute times, and which
	// of two equal members something happened to.
	Key() []byte
	// Transitions returns all transitions that are possible in this state, in a fixed order.
	Transitions() []Transition
	// Violation describes the property that the state violates. It is empty if the state violates none.
	Violation() string
}

// Transition is a possible event in a state. Next returns the state after the event.
type Transition struct {
	Name string
	Next func() State
}

// Result is the outcome of an exploration.
type Result struct {
	States, Transitions int
	Depth               int      // length of the longest path explored, in transitions
	Complete            bool     // false if maxStates, maxDepth or a violation in a later state than the first ended the exploration
	Violation           string   // the first violation found; empty: none
	Trace               []string // names of the transitions on the shortest path to the violation
}

// step records how a state was reached first. Of each state the exploration stores only its step and a 64-bit hash of its key, 16 bytes
// together. Among ten million states, the probability that two different states have the same hash is about 3 in a million.
type step struct {
	from       int32  // index of the previous state's step; -1: this is the first state
	transition uint16 // index in the previous state's Transitions
}

// frontierState is a state whose transitions have not been explored yet.
type frontierState struct {
	state State
	step  int32 // index of the state's step
}

// exploration holds the progress of one call of Explore.
type exploration struct {
	first     State
	maxStates int
	result    Result
	seen      map[uint64]struct{} // hashes of the keys of all states found
	steps     []step
}

// Explore explores the states that can be reached from first: at most maxStates states, at most maxDepth transitions deep. It stops at the
// first violation.
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

// expand appends to next the new states that are one transition away from a state. It returns true if the exploration has to end, because
// of a violation or because maxStates is reached.
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

// trace returns the names of the transitions that lead to a state. It repeats the transitions to get the names, because steps do not store
// them.
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

// WriteText writes a result as human-readable text.
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
