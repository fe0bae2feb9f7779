package router

import "magpiebank/internal/admission"

// The owner is between frontends, which hand in requests and get their final answers, and engine clients, which send
// attempts to engines and tell how they ended. It knows the protocol of neither.

// responder is a client session of a frontend, which handed in a request and is owed its answer. The owner calls it and
// never waits.
type responder interface {
	// sendAttempt has the responder's goroutine send an attempt to an engine, unless the client has left.
	sendAttempt(attempt *attempt, client engineClient)
	// cancelAttempt has the responder's goroutine tell the engine that an attempt is given up.
	cancelAttempt(attempt *attempt)
	// setPriority has the responder's goroutine tell the engine of an attempt's new priority.
	setPriority(attempt *attempt, priority int)
	// answer gives the final answer. It is called once for each request.
	answer(answer finalAnswer)
	// hasClientLeft tells whether the client can be seen to have left. It may be called from any goroutine.
	hasClientLeft() bool
}

// engineClient sends attempts to one engine, and tells the owner by attemptFinished, attemptNotWritten and
// progressReceived what becomes of them.
type engineClient interface {
	// send is called by the responder's goroutine, as are cancel, setPriority and release of the attempt.
	send(attempt *attempt)
	// requestHealthCheck starts a health check, unless one is running.
	requestHealthCheck()
	dialAddress() string
	// retire stops health checks and closes connections once no attempt is in flight on them.
	retire()
	// close closes all connections at once.
	close()
}

// request is an accepted request without a final answer. All but the fields that don't change are the owner's.
type request struct {
	// These don't change once the request is handed in.
	id               admission.RequestID
	responder        responder
	class            int // index into the deployment's classes
	className        string
	statement        []byte
	tableGroup       int    // the group of tables that the statement reads
	tenant           int    // index into the deployment's tenants
	orderingKey      string // requests of an ordered class run one at a time under it; empty: no order
	idempotencyToken []byte // nil if the client gave none
	deadline         admission.Time
	statementReader  StatementReader // nil if statements are not read

	attempts    int      // that were started
	current     *attempt // in flight; nil: none
	memoryMB    float64  // granted to its attempts
	priority    int
	estimate    admission.Estimate
	policyClass int       // the operator's class; 0: none
	waiting     bool      // it is in an operator's class and no attempt is in flight
	placement   Placement // as the peers know it
	answered    bool      // it has its final answer
	clientLeft  bool
}
