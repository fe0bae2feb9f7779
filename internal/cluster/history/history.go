// Package history records what the processes of a cluster of gateways observed and decided, as lines of JSON. Checkers of the testbed
// merge and read the histories of all processes. All times are CLOCK_MONOTONIC, which is the same clock for all processes of a
// machine, even if a process runs with a shifted wall clock.
package history

import "golang.org/x/sys/unix"

// Event is one line of a history. Kind determines which of the other fields are set. The JSON names are those of earlier versions.
type Event struct {
	At           int64   `json:"at"` // nanoseconds, CLOCK_MONOTONIC
	Process      string  `json:"process"`
	Start        uint64  `json:"start"` // incarnation with which the process started
	Kind         Kind    `json:"what"`
	Label        string  `json:"-"` // name of the file that contains the line, without its extension; set by MergeFiles
	Code         string  `json:"code,omitempty"`
	Member       string  `json:"member,omitempty"` // name of the member that the event concerns or comes from
	Detail       uint64  `json:"of,omitempty"`     // incarnation of that member, unless the comment on Kind's value says otherwise
	State        string  `json:"state,omitempty"`
	Engine       string  `json:"engine,omitempty"`
	EngineStart  int64   `json:"since,omitempty"` // admission.Time at which the engine started
	Request      string  `json:"task,omitempty"`
	AgeNanos     int64   `json:"age,omitempty"` // age of a received observation, unless the comment on Kind's value says otherwise
	Success      bool    `json:"good,omitempty"`
	FailureScore float64 `json:"against,omitempty"`
	Ejects       bool    `json:"out,omitempty"`    // the assessment alone ejects the engine, unless the comment on Kind's value says otherwise
	Number       int     `json:"number,omitempty"` // number of witnesses, unless the comment on Kind's value says otherwise
	High         int     `json:"most,omitempty"`   // see RequestsCounted and CountersRead
	ObservedAt   int64   `json:"as_of,omitempty"`  // when the process read the state that the event rests on, possibly long before At
	ValidNanos   int64   `json:"until,omitempty"`  // time from ObservedAt, or from At if ObservedAt isn't set, for which the event holds
}

// Kind is the kind of an event, stored under "what".
type Kind string

// The kinds of events, each with the fields of Event that it sets.
const (
	// ProcessStarted means that the process has joined. Number is the share of the engines that reports of other gateways may
	// eject, in thousandths; State is the address of the process.
	ProcessStarted Kind = "began"
	// StartChanged means that the process has a new incarnation from now on: Detail.
	StartChanged Kind = "renamed"
	// MemberChanged means that the state of Member with incarnation Detail has changed to State. Code is the
	// membership.EventCode.
	MemberChanged Kind = "member"
	// EngineListed means that the process's own endpoint list has a new EngineStart or State for Engine.
	EngineListed Kind = "listed"
	// OutcomeObserved is the outcome of an attempt of the process itself at Engine: EngineStart, Success.
	OutcomeObserved Kind = "saw"
	// PeerOutcomeReceived is an outcome that Member with incarnation Detail reported: Engine, EngineStart, AgeNanos, Success.
	PeerOutcomeReceived Kind = "heard"
	// EngineAssessed is a changed finding on Engine from the reports of other gateways: EngineStart, FailureScore, Number, Ejects,
	// ObservedAt, ValidNanos.
	EngineAssessed Kind = "found"
	// AttemptSent means that an attempt of Request was sent to Engine at ObservedAt.
	AttemptSent Kind = "sent"
	// RateGranted means that the process may use Number units per second of the budget Code, for ValidNanos.
	RateGranted Kind = "rate"
	// TotalChanged means that the budget Code has the total Number under the revision Detail.
	TotalChanged Kind = "total"
	// BudgetUsed means that Number units of the budget Code are in use, for ValidNanos at most.
	BudgetUsed Kind = "took"
	// BudgetReleased means that Number units of the budget Code are no longer in use.
	BudgetReleased Kind = "done"
	// RequestsCounted means that Number requests wait and High requests run at the process.
	RequestsCounted Kind = "counted"
	// CountersRead means that, AgeNanos ago, between Number and High requests of all processes were waiting (Code "waits") or
	// running (Code "runs"). A negative High means that there is no upper limit. Detail is the number of processes whose counts
	// are unknown.
	CountersRead Kind = "reading"
	// PolicyChanged means that the process applies policy Number with the digest Code and the era Detail. Success: it holds a
	// lease.
	PolicyChanged Kind = "stands"
	// RequestDecided is a decision on Request at ObservedAt. Code is taken, refused, crowded, sent or unsure. Number is the policy
	// that the decision rests on (-1: none). Ejects: the decision rests on the proposed policy as well.
	RequestDecided Kind = "decided"
	// AttemptWritten means that an attempt of Request has been written to its engine.
	AttemptWritten Kind = "wrote"
	// LateWake means that the agent's goroutine ran AgeNanos after its previous run, far more than its interval.
	LateWake Kind = "woke"
	// ProcessStopped means that the process stopped in an orderly way.
	ProcessStopped Kind = "ended"
)

// Now returns the current time on the clock of all histories, CLOCK_MONOTONIC, in nanoseconds.
func Now() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return t.Nano()
}
