package router

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// attempt is one attempt to have a request served by an engine.
type attempt struct {
	// These don't change.
	request          *request
	client           engineClient // nil for an answer from the journal
	engineID         admission.EngineID
	requestID        admission.RequestID
	number           int // of the request's attempts, from 0
	class            string
	timeout          admission.Time
	sendBy           admission.Time // from then on it must not be written; 0: no limit
	memoryMB         float64        // that the engine is granted
	statement        []byte
	idempotencyToken []byte // by which engines detect a repeated request; nil if there is none

	// state is attemptUnwritten, attemptWritten or attemptWithdrawn; every goroutine may read and change it.
	state atomic.Int32

	// The owner's.
	ended         bool
	resent        bool              // it must not be sent again if its connection breaks before it is written
	handedOver    bool              // the responder was told to send it
	cancelOutcome admission.Outcome // reported once the cancellation is over; Served: nothing is left to report
	stopTimer     func()
	charge        attemptCharge

	// Guarded by the engine pool's mutex.
	conn       *engineConn // nil until it is assigned to one
	priority   int
	sentAt     time.Time
	idleBefore time.Duration // how long the connection was idle before
	cancelled  bool
	finished   bool // it has its last answer or needs none; what still comes for it is ignored

	// The connection reader's until the attempt has ended, then the owner's and the session's.
	result        attemptResult
	progressNotes int              // that the engine sent
	loadReport    admission.Report // of the engine, if the deployment has engines tell it in answers; else NoReport
}

// attemptCharge is what an attempt is charged to its resource group.
type attemptCharge struct {
	estimate admission.Estimate
	threads  float64
	charged  float64
	// policyRevision names the rules that allowed the attempt; 0 if they can't change.
	policyRevision uint64
}

// attemptResult is the result of an attempt as far as it has come.
type attemptResult struct {
	pages        [][]byte // nil until the first page is there
	missingPages int
	bytes        int
	work         admission.Time // that the engine spent, as the first page tells
	memoryMB     float64        // that the engine used, as the first page tells
}

// The states of an attempt on its way to the socket.
const (
	attemptUnwritten int32 = iota
	attemptWritten
	attemptWithdrawn
)

// withdraw keeps an attempt from being written, and reports whether it was not written yet.
func (a *attempt) withdraw() bool { return a.state.CompareAndSwap(attemptUnwritten, attemptWithdrawn) }

// cancel tells the engine that the attempt, or what is missing of its result, is given up.
func (a *attempt) cancel() {
	conn := a.conn
	if conn == nil { // it was withdrawn before it had a connection
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
	// An engine doesn't answer the command. It answers with a failure when it is asked for a page of a request that it
	// doesn't know, which tells that it knows of the cancellation.
	conn.write(func() net.Buffers {
		return net.Buffers{resp.AppendArray(nil, command, string(a.requestID)), resp.AppendArray(nil, "page", string(a.requestID), "1")}
	}, ignoreFailure)
}

// setPriority changes the attempt's priority, and tells the engine if the attempt was written.
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

// release removes the attempt from its connection, where it was kept to recognise late answers. The request is over, and
// its id doesn't come again.
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
