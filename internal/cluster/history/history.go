// Package history is what processes of the fleet write down of what they decided, to be merged and read by a checker. All
// times are CLOCK_MONOTONIC, which is one clock for all processes of a machine, whatever their own clocks say.
package history

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sys/unix"
)

// Event is one line.
type Event struct {
	At           int64   `json:"at"` // nanoseconds, CLOCK_MONOTONIC
	Process      string  `json:"process"`
	Start        uint64  `json:"start"` // of the process
	Kind         Kind    `json:"what"`
	Label        string  `json:"-"` // of the file that it stood in
	Code         string  `json:"code,omitempty"`
	Member       string  `json:"member,omitempty"` // whom it is about, or from
	Of           uint64  `json:"of,omitempty"`     // the start of that member
	State        string  `json:"state,omitempty"`
	Engine       string  `json:"engine,omitempty"`
	EngineStart  int64   `json:"since,omitempty"` // the engine's start
	Request      string  `json:"task,omitempty"`
	AgeNanos     int64   `json:"age,omitempty"` // nanoseconds, of what was heard
	Success      bool    `json:"good,omitempty"`
	FailureScore float64 `json:"against,omitempty"`
	Out          bool    `json:"out,omitempty"`    // what was found shuts the engine by itself
	Number       int     `json:"number,omitempty"` // of witnesses, or of engines that may be out
	High         int     `json:"most,omitempty"`
	ObservedAt   int64   `json:"as_of,omitempty"` // when the process looked at its clock for it, where that may be long before it wrote
	ValidNanos   int64   `json:"until,omitempty"` // nanoseconds from ObservedAt on
}

// Kind says what an event records; it is the "what" of the file's line.
type Kind string

// Kinds of events, with the fields of Event that each of them fills.
const (
	ProcessStarted      Kind = "began"   // a process takes part; Number: engines that hearsay may take out, as a share in thousandths
	StartChanged        Kind = "renamed" // the process goes by another start from now on, Of
	MemberChanged       Kind = "member"  // Code, Member, Of, State
	EngineListed        Kind = "listed"  // Engine, EngineStart, State of the own list
	OutcomeObserved     Kind = "saw"     // Engine, EngineStart, Success or not: an outcome of its own
	PeerOutcomeReceived Kind = "heard"   // Member, Of, Engine, EngineStart, AgeNanos, Success: evidence taken in
	EngineAssessed      Kind = "found"   // Engine, Evidence, Number, ValidNanos
	AttemptSent         Kind = "sent"    // Engine, Request
	RateGranted         Kind = "rate"    // Code, Number: how much a second of a budget there is here now
	TotalChanged        Kind = "total"   // Code: a budget; Number: its total, Of: under which number
	BudgetUsed          Kind = "took"    // Code, Number: how much, ValidNanos: to when at the latest
	BudgetReleased      Kind = "done"    // Code, Number
	RequestsCounted     Kind = "counted" // Number: requests that wait, Most: that run, at Engine or, with none, at all of them
	CountersRead        Kind = "reading" // AgeNanos, Engine or none; Code: waits or runs; Number to Most: what all together had of it; below 0: no bound
	PolicyChanged       Kind = "stands"  // Number: of the policy that it goes by, Of: its era, Success: it holds a lease on it
	RequestDecided      Kind = "decided" // Code: taken, refused, crowded, sent or unsure; Request, Number: of the policy that it was decided by (-1: by none), Out: by what that one and a proposal after it allow
	AttemptWritten      Kind = "wrote"   // Request: an attempt that was decided is written
	LateWake            Kind = "woke"    // AgeNanos: it looked at what there is to do so long after the look before, far more than its pace
	ProcessStopped      Kind = "ended"   // the process stopped by itself
)

// Now is the clock of all histories.
func Now() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return t.Nano()
}

// Writer writes a process's history, each event at once: what was decided before a kill is there. A nil one writes nothing.
type Writer struct {
	mu      sync.Mutex
	file    *os.File
	Process string
	Start   uint64
	failed  error
}

// Open adds to a file.
func Open(path, process string, start uint64) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	if info, err := f.Stat(); err == nil && info.Size() > 0 {
		f.Write([]byte{'\n'}) // the last line of a process that was killed may be cut; an empty one is passed over
	}
	return &Writer{file: f, Process: process, Start: start}, nil
}

// Write adds an event that happens now.
func (w *Writer) Write(e Event) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.file == nil {
		return
	}
	e.At, e.Process, e.Start = Now(), w.Process, w.Start
	b, err := json.Marshal(e)
	if err == nil {
		_, err = w.file.Write(append(b, '\n'))
	}
	if err != nil && w.failed == nil {
		w.failed = err
	}
}

// Close ends it, and tells what went wrong first.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.file.Close(); w.failed == nil {
		w.failed = err
	}
	w.file = nil // what comes after is not written
	return w.failed
}

// MergeFiles reads histories and puts their events in order of time. The last line of a process may be cut, where it was killed; any other
// that can't be read is an error.
func MergeFiles(paths ...string) (out []Event, err error) {
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		var cut error
		for n, line := range bytes.Split(text, []byte{'\n'}) {
			var e Event
			if len(line) == 0 {
				continue
			}
			err := json.Unmarshal(line, &e)
			if cut != nil && e.Kind != ProcessStarted {
				return nil, cut
			}
			if cut = nil; err != nil {
				cut = fmt.Errorf("%s:%d: expected an event, found %w", path, n+1, err)
				continue
			}
			e.Label = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return out, nil
}
