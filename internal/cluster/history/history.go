// Package history records what processes of a cluster of gateways decided, as lines of JSON, for a checker to merge and
// read. All times are CLOCK_MONOTONIC, which is one clock for all processes of a machine, whatever their own clocks say.
package history

import "golang.org/x/sys/unix"

// Event is one line. Kind says which of the other fields it has. The JSON names are those of earlier versions.
type Event struct {
	At           int64   `json:"at"` // nanoseconds, CLOCK_MONOTONIC
	Process      string  `json:"process"`
	Start        uint64  `json:"start"` // of the process
	Kind         Kind    `json:"what"`
	Label        string  `json:"-"` // of the file that the line stood in; set by MergeFiles
	Code         string  `json:"code,omitempty"`
	Member       string  `json:"member,omitempty"` // that the event is about, or from
	Detail       uint64  `json:"of,omitempty"`     // the start of that member, or what Kind says
	State        string  `json:"state,omitempty"`
	Engine       string  `json:"engine,omitempty"`
	EngineStart  int64   `json:"since,omitempty"`
	Request      string  `json:"task,omitempty"`
	AgeNanos     int64   `json:"age,omitempty"` // of what was received
	Success      bool    `json:"good,omitempty"`
	FailureScore float64 `json:"against,omitempty"`
	Ejects       bool    `json:"out,omitempty"`    // what was found ejects the engine by itself, or what Kind says
	Number       int     `json:"number,omitempty"` // of witnesses, or what Kind says
	High         int     `json:"most,omitempty"`
	ObservedAt   int64   `json:"as_of,omitempty"` // when the process looked at its clock for the event, which may be long before it wrote
	ValidNanos   int64   `json:"until,omitempty"` // from ObservedAt on
}

// Kind says what an event records; it is the "what" of the file's line.
type Kind string

// Kinds of events, with the fields of Event that each of them fills.
const (
	// ProcessStarted: the process takes part. Number is the share of engines that reports of others may eject, in
	// thousandths; State is its address.
	ProcessStarted Kind = "began"
	// StartChanged: the process goes by another start from now on, Of.
	StartChanged Kind = "renamed"
	// MemberChanged: Code, Member, Of, State.
	MemberChanged Kind = "member"
	// EngineListed: Engine, EngineStart and State of the process's own endpoint list.
	EngineListed Kind = "listed"
	// OutcomeObserved: Engine, EngineStart and Success of an outcome of its own.
	OutcomeObserved Kind = "saw"
	// PeerOutcomeReceived: Member, Of, Engine, EngineStart, AgeNanos and Success of an outcome that a member reported.
	PeerOutcomeReceived Kind = "heard"
	// EngineAssessed: Engine, EngineStart, FailureScore, Number, Out, ObservedAt, ValidNanos.
	EngineAssessed Kind = "found"
	// AttemptSent: Engine, Request, ObservedAt.
	AttemptSent Kind = "sent"
	// RateGranted: Number is how much a second of the budget Code the process has now.
	RateGranted Kind = "rate"
	// TotalChanged: Number is the total of the budget Code, and Of the number under which it is.
	TotalChanged Kind = "total"
	// BudgetUsed: Number is how much of the budget Code is used, for ValidNanos at the longest.
	BudgetUsed Kind = "took"
	// BudgetReleased: Number is how much of the budget Code is used no longer.
	BudgetReleased Kind = "done"
	// RequestsCounted: Number requests wait and High run.
	RequestsCounted Kind = "counted"
	// CountersRead: Number to High is what all processes together had of Code, "waits" or "runs", AgeNanos ago; a negative
	// High is no bound. Of is the number of processes that weren't heard.
	CountersRead Kind = "reading"
	// PolicyChanged: Number is the policy that the process follows, Code its digest, Of its era; Success: it has a lease.
	PolicyChanged Kind = "stands"
	// RequestDecided: Code is taken, refused, crowded, sent or unsure; Number is the policy by which Request was decided
	// (-1: none); Out: the proposal after it allows the same.
	RequestDecided Kind = "decided"
	// AttemptWritten: an attempt of Request that was decided is written.
	AttemptWritten Kind = "wrote"
	// LateWake: the process looked at what is due AgeNanos after it had looked before, far more than its interval.
	LateWake Kind = "woke"
	// ProcessStopped: the process stopped by itself.
	ProcessStopped Kind = "ended"
)

// Now returns the time by the clock of all histories, in nanoseconds.
func Now() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return t.Nano()
}
