// Package client decides what the simulated clients of a load do: when they send requests, on which session, how long
// they wait and whether they retry. It does no I/O and reads no clock: a driver calls the Handle methods of Clients for
// events, and implements Transport, which carries out the decisions.
package client

import (
	"time"

	"magpiebank/internal/testbed/load/arrival"
)

// Outcome is the result of a request, as seen by the client that sent it.
type Outcome uint8

// The outcomes. Every request of a schedule gets exactly one.
const (
	Served          Outcome = iota
	Rejected                // the last attempt was rejected
	Failed                  // the last attempt got an error that leaves open whether the statement ran
	TimedOut                // the deadline passed, or the run was stopped, during an attempt or a backoff
	NotSent                 // the deadline passed, or the run was stopped, before the request got a free connection
	NoConnection            // the last attempt could not connect
	ConnectionLost          // the connection closed before a complete answer
	MalformedAnswer         // the answer could not be parsed, or its rows are incomplete
	ClientLeft              // a misbehaving client closed the connection on purpose
	OutcomeCount    = iota
)

var outcomeNames = [OutcomeCount]string{"delivered", "nacked", "written off", "given up", "unsent", "no connection", "lost",
	"spoilt", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

// Behavior configures how the clients of a load behave.
type Behavior struct {
	// Connections is the maximum number of open connections; 0: no limit. Requests that find no free connection wait in
	// first-in, first-out order.
	Connections int
	// After a query, PooledShare of the sessions return to a pool, from which the last one is used first. HeldOpenShare
	// of the sessions stay open but are not used again. The others are closed.
	PooledShare   float64       `json:"Reused"`
	HeldOpenShare float64       `json:"Kept"`
	IdleTimeout   time.Duration `json:"Idle"` // time after which an idle pooled session is closed

	MaxAttempts                int           `json:"Tries"`       // includes the first attempt
	Backoff                    time.Duration `json:"BackOff"`     // before the second attempt; doubles with each attempt
	MaxBackoff                 time.Duration `json:"MostBackOff"` // limit of the doubled backoff; 0: no limit
	Jitter                     float64       // a backoff is shortened by up to this fraction, at random
	HonorRetryAfterProbability float64       `json:"Honour"` // that a client waits for the server's Retry-After time

	// The retry budget: in each sliding window of length RetryWindow, the clients may retry RetryBurst times plus
	// RetryRatio times the number of first attempts. Without RetryWindow, retries are not limited.
	RetryRatio  float64       `json:"Budget"`
	RetryBurst  int           `json:"BudgetFree"`
	RetryWindow time.Duration `json:"BudgetWindow"`

	// Shares of clients that misbehave:
	SlowShare    float64 `json:"Slow"`  // read answers slowly
	LeavingShare float64 `json:"Leave"` // close the connection before the answer arrives
	SilentShare  float64 `json:"Mute"`  // connect and never send a query
}

// SessionID identifies a connection of a load. The ids of closed sessions are reused.
type SessionID int32

// Attempt holds what the driver needs to send one attempt at a request.
type Attempt struct {
	Request *arrival.Request
	ID      uint64 // returned by the function ID
	WaitMS  int64  // remaining time until the deadline
	Retry   bool   // mark the attempt as a retry
	Slow    bool   // read the answer slowly
}

// Report describes how one request ended. All times count from the start of the run.
type Report struct {
	Request        *arrival.Request
	Outcome        Outcome
	FinishedAt     time.Duration
	GeneratorDelay time.Duration // part of the latency that the load generator caused by waking up or writing late
	QueueDelay     time.Duration // part of the latency spent waiting for a connection under the limit
	SentAt         time.Duration // when the last attempt was written
	Attempts       int
	Misbehaving    bool // from a slow, leaving or silent client, whose metrics are separate
}

// Transport carries out the decisions of Clients. It reports results later, by calling the Handle methods of Clients.
type Transport interface {
	Dial(sessionID SessionID)                                  // followed by HandleConnected or HandleClosed
	Send(sessionID SessionID, attempt *Attempt)                // followed by HandleAnswer or HandleClosed
	Close(sessionID SessionID)                                 // not followed by any call for this session
	KillQuery(connectionID uint32)                             // sends KILL QUERY on a separate connection; the result is not reported
	SetTimer(at time.Duration, request int32, sequence uint32) // followed by HandleTimer
	Finished(report *Report)                                   // called once for each request
}
