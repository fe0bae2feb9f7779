package router

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// attempt is one attempt of a request to an engine. The owner has n, over, again, doubt and stop; mu of the engine
// guards what stands below state, which is its engineClient's.
type attempt struct {
	request          *request
	client           engineClient
	engineID         admission.EngineID  // to's
	requestID        admission.RequestID // of's id
	number           int
	ended            bool
	resent           bool              // it was never written on its first connection
	cancelOutcome    admission.Outcome // what the module is told once it is given up; Delivered: nothing
	stopTimer        func()
	class            string
	statement        []byte
	idempotencyToken []byte // by which engines tell a repeat; empty: none
	timeout          admission.Time
	sendBy           admission.Time // from then on it must not be written; 0: no limit
	memoryMB         float64
	state            atomic.Int32
	handedOver       bool // the owner's: it was handed to its engineClient

	// As the desk counts it.
	estimate         admission.Estimate
	threads, charged float64
	policyRevision   uint64 // the rules that had it go out; 0: none that may change

	priority      int
	conn          *engineConn
	idleBefore    time.Duration // how long its connection was idle before
	sentAt        time.Time
	cancelled     bool
	finished      bool     // nothing that comes for it counts any more
	pages         [][]byte // of the result, once its first page is there
	missingPages  int
	progressNotes int // that came; its connection's reader counts them
	resultBytes   int
	work          admission.Time // as its first page tells, and the memory in MB
	memoryUsedMB  float64
	report        admission.Report // the engine's load as its answer tells, where the settings say that answers do
}

// The states of an attempt on its way to the socket.
const (
	attemptUnwritten int32 = iota
	attemptWritten
	attemptWithdrawn
)

// withdraw keeps an attempt that isn't written yet from being so.
func (a *attempt) withdraw() bool { return a.state.CompareAndSwap(attemptUnwritten, attemptWithdrawn) }

// undo gives an attempt up, or the pages of its result that are still to come.
func (a *attempt) cancel() {
	conn := a.conn
	if conn == nil { // it was withdrawn before it had a connection
		return
	}
	conn.pool.mu.Lock()
	open := conn.attempts[a.requestID] == a && !a.cancelled && !a.finished && a.state.Load() == attemptWritten
	if a.cancelled = true; open && conn.cancelSentAt.IsZero() {
		conn.cancelSentAt = time.Now()
		conn.setReadDeadline()
	} else if a.state.Load() == attemptWithdrawn {
		conn.finishAttempt(a)
	}
	word := "undo"
	if a.pages != nil {
		word = "forget"
	}
	conn.pool.mu.Unlock()
	if open { // nothing answers this, but a page that the engine doesn't know is failed: then it has heard it
		conn.write(func() net.Buffers {
			return net.Buffers{resp.AppendArray(nil, word, string(a.requestID)), resp.AppendArray(nil, "page", string(a.requestID), "1")}
		}, ignoreFailure)
	}
}

// bump gives an attempt another rank.
func (a *attempt) setPriority(rank int) {
	conn := a.conn
	if conn == nil {
		return
	}
	conn.pool.mu.Lock()
	a.priority = rank
	open := conn.attempts[a.requestID] == a && !a.finished && a.state.Load() == attemptWritten
	conn.pool.mu.Unlock()
	if open {
		conn.writeCommand("bump", string(a.requestID), strconv.Itoa(rank))
	}
}

// forget drops what was kept to tell late answers; the request is over, and its id doesn't come again.
func (a *attempt) release() {
	conn := a.conn
	if conn == nil {
		return
	}
	conn.pool.mu.Lock()
	if conn.attempts[a.requestID] == a {
		conn.finishAttempt(a)
		delete(conn.attempts, a.requestID)
	}
	conn.pool.mu.Unlock()
}
