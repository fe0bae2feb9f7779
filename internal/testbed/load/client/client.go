// Package client decides what the clients of a load do: when they send, on which session, how long they wait, whether
// they retry. It does no I/O and has no clock; a driver brings events and carries out the calls on its Transport.
package client

import (
	"time"

	"magpiebank/internal/testbed/load/arrival"
)

// Outcome is how a request ended for the client that sent it.
type Outcome uint8

// The outcomes. Every request of a schedule gets exactly one.
const (
	Served          Outcome = iota
	Rejected                // the last attempt was rejected
	Failed                  // the last attempt got an error that doesn't say whether the statement ran
	TimedOut                // the attempt timeout ended while an attempt was in flight or a backoff was running
	NotSent                 // the attempt timeout ended before a connection was free
	NoConnection            // the last attempt could not connect
	ConnectionLost          // the connection ended without a complete answer
	MalformedAnswer         // the answer couldn't be read, or its rows aren't complete
	ClientLeft              // the client went away on purpose
	OutcomeCount    = iota
)

var outcomeNames = [OutcomeCount]string{"delivered", "nacked", "written off", "given up", "unsent", "no connection", "lost",
	"spoilt", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

// Behavior is how the clients of a load behave.
type Behavior struct {
	Connections int // that may be open at once; 0: no limit. Requests that find none free wait, first come first served.
	// PooledShare of the sessions goes back to a pool, last in first out; HeldOpenShare stays open and is not used
	// again; the others end with their query.
	PooledShare   float64       `json:"Reused"`
	HeldOpenShare float64       `json:"Kept"`
	IdleTimeout   time.Duration `json:"Idle"` // after which a pooled session is closed

	MaxAttempts                int           `json:"Tries"`       // in all, the first included
	Backoff                    time.Duration `json:"BackOff"`     // before the second attempt; doubled each time
	MaxBackoff                 time.Duration `json:"MostBackOff"` // bound of the doubled backoff
	Jitter                     float64       // share of a backoff that is drawn
	HonorRetryAfterProbability float64       `json:"Honour"` // chance that a retry-after time is kept to

	// The retry budget allows in each RetryWindow RetryBurst retries and RetryRatio of the first attempts in it.
	RetryRatio  float64       `json:"Budget"`
	RetryBurst  int           `json:"BudgetFree"`
	RetryWindow time.Duration `json:"BudgetWindow"`

	// Shares of clients that misbehave.
	SlowShare    float64 `json:"Slow"`  // read slowly
	LeavingShare float64 `json:"Leave"` // close the connection before the answer came
	SilentShare  float64 `json:"Mute"`  // connect and never send a query
}

// Session names a connection of a load; the numbers of closed sessions are reused.
type Session int32

// Attempt is what the driver sends for one attempt at a request.
type Attempt struct {
	Request *arrival.Request
	ID      uint64
	WaitMS  int64
	Retry   bool
	Slow    bool
}

// Report is how one request ended.
type Report struct {
	Request        *arrival.Request
	Outcome        Outcome
	FinishedAt     time.Duration // when, from the start of the run
	GeneratorDelay time.Duration // part of the latency that is the generator's: it woke late, or wrote late
	QueueDelay     time.Duration // part of it that was spent waiting for a connection under the limit
	SentAt         time.Duration // when the last attempt was written
	Attempts       int
	Misbehaving    bool // of a slow, leaving or silent client, whose metrics are kept apart
}

// Transport carries out what the clients decide. Its results come back later, as calls of the Clients' Handle methods.
type Transport interface {
	Dial(session Session)                                      // then HandleConnected or HandleClosed
	Send(session Session, attempt *Attempt)                    // then HandleAnswer or HandleClosed
	Close(session Session)                                     // then nothing more of this session
	KillQuery(connection uint32)                               // KILL QUERY on a session of its own, without a result
	SetTimer(at time.Duration, request int32, sequence uint32) // then HandleTimer
	Finished(report *Report)
}
