package router

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// attempt is one execution attempt of a request on an engine.
type attempt struct {
	// Set at creation. Only assign changes any of them: it replaces statement and idempotencyToken by copies.
	request          *request
	client           engineClient // nil if the engine is no longer listed, and for an answer from the journal
	engineID         admission.EngineID
	requestID        admission.RequestID
	number           int // position among the request's attempts, from 0
	class            string
	timeout          admission.Time
	sendBy           admission.Time // the attempt must not be written at or after this time; 0: no limit
	memoryMB         float64        // memory that the engine may use for the attempt; 0: not set
	statement        []byte
	idempotencyToken []byte // lets engines detect a repeated request; nil if the client sent none

	// state is attemptUnwritten, attemptWritten or attemptWithdrawn. Any goroutine may read and change it.
	state atomic.Int32

	// Used by the owner's goroutine only.
	ended         bool
	resent        bool              // if its connection breaks before it is written, it is not sent again
	handedOver    bool              // passed to the responder for sending
	cancelOutcome admission.Outcome // reported once the cancellation has completed; Served: nothing is left to report
	stopTimer     func()
	charge        attemptCharge

	// Guarded by the engine pool's mutex.
	conn       *engineConn // nil until the attempt is assigned to a connection
	priority   int
	sentAt     time.Time
	idleBefore time.Duration // how long the connection had been idle when the attempt was assigned to it
	cancelled  bool
	finished   bool // its last answer has arrived or is no longer needed; later answers are ignored

	// Used by the goroutine that reads the connection until the attempt ends, then by the owner and the session.
	result      attemptResult
	noticeCount int              // number of progress notices from the engine
	loadReport  admission.Report // the engine's load report if the deployment's answers contain one, else NoReport
}

// attemptCharge is what the resource groups charged for an attempt.
type attemptCharge struct {
	estimate admission.Estimate
	threads  float64
	charged  float64
	// policyRevision identifies the operator's rules that allowed the attempt; 0 if those rules can't change.
	policyRevision uint64
}

// attemptResult holds the pages of an attempt's result that have arrived so far, and its cost.
type attemptResult struct {
	pages        [][]byte // nil until the first page arrives
	missingPages int
	bytes        int
	work         admission.Time // work that the engine spent, as reported with the first page
	memoryMB     float64        // memory that the engine used, as reported with the first page
}

// The states of an attempt before and after it is written to the socket.
const (
	attemptUnwritten int32 = iota
	attemptWritten
	attemptWithdrawn
)

// withdraw prevents an attempt from being written. It reports false if the attempt is already written or withdrawn.
func (a *attempt) withdraw() bool { return a.state.CompareAndSwap(attemptUnwritten, attemptWithdrawn) }

// cancel notifies the engine that the attempt, or the rest of its result, is no longer needed.
func (a *attempt) cancel() {
	conn := a.conn
	if conn == nil { // withdrawn before it was assigned to a connection
		return
	}
	conn.pool.mu.Lock()
	open := conn.attempts[a.requestID] == a && !a.cancelled && !a.finished && a.state.Load() == attemptWritten
	a.cancelled = true
	if open && conn.cancelSentAt.IsZero() {
		conn.cancelSentAt = time.Now()
		conn.setReadDeadline()
	} else if a.state.Load() == attemptWithdrawn {
		conn.finishAttempt(a)
	}
	command := "undo"
	if a.result.pages != nil {
		command = "forget"
	}
	conn.pool.mu.Unlock()
	if !open {
		return
	}
	// An engine doesn't answer the cancel command. Therefore a page of the request is requested as well: an engine that has
	// handled the cancellation no longer knows the request and answers with a failure.
	conn.write(func() net.Buffers {
		return net.Buffers{resp.AppendArray(nil, command, string(a.requestID)), resp.AppendArray(nil, "page", string(a.requestID), "1")}
	}, ignoreFailure)
}

// setPriority changes the attempt's priority, and notifies the engine if the attempt is already written.
func (a *attempt) setPriority(priority int) {
	conn := a.conn
	if conn == nil {
		return
	}
	conn.pool.mu.Lock()
	a.priority = priority
	open := conn.attempts[a.requestID] == a && !a.finished && a.state.Load() == attemptWritten
	conn.pool.mu.Unlock()
	if open {
		conn.writeCommand("bump", string(a.requestID), strconv.Itoa(priority))
	}
}

// release removes the attempt from its connection, which keeps it to recognize late answers. It is called once the request
// has its final answer, after which the request's id is not used again.
func (a *attempt) release() {
	conn := a.conn
	if conn == nil {
		return
	}
	conn.pool.mu.Lock()
	defer conn.pool.mu.Unlock()
	if conn.attempts[a.requestID] == a {
		conn.finishAttempt(a)
		delete(conn.attempts, a.requestID)
	}
}
