package router

import "magpiebank/internal/admission"

// The owner sits between frontends, which submit requests and receive final answers, and engine clients, which send attempts to
// engines and report how they ended. It depends on the protocol of neither.

// responder is a client session of a frontend that has submitted a request and receives the request's final answer. The owner
// calls its methods, so they must not block.
type responder interface {
	// sendAttempt has the responder's goroutine send an attempt to an engine, unless the client has disconnected.
	sendAttempt(attempt *attempt, client engineClient)
	// cancelAttempt has the responder's goroutine notify the engine that an attempt is cancelled.
	cancelAttempt(attempt *attempt)
	// setPriority has the responder's goroutine notify the engine of an attempt's new priority.
	setPriority(attempt *attempt, priority int)
	// answer delivers the final answer. It is called exactly once for each request.
	answer(answer finalAnswer)
	// hasClientLeft reports whether the client's connection has visibly ended. It may be called from any goroutine.
	hasClientLeft() bool
}

// engineClient sends attempts to one engine. It reports their progress and end to the owner by the events progressReceived,
// attemptFinished and attemptNotWritten.
type engineClient interface {
	// send sends an attempt. The responder's goroutine calls it, and also the attempt's cancel, setPriority and release.
	send(attempt *attempt)
	// requestHealthCheck requests a health check, unless a requested one has not started yet.
	requestHealthCheck()
	// dialAddress returns the address of the engine.
	dialAddress() string
	// retire stops the health checks, and has each connection closed once no attempt is in flight on it.
	retire()
	// close closes all connections at once.
	close()
}

// request is a client's request, from its submission to its final answer.
type request struct {
	// Set before the request is handled, and not changed afterwards.
	id               admission.RequestID
	responder        responder
	class            int // index into the deployment's classes
	className        string
	statement        []byte
	tableGroup       int    // index of the group of tables that the statement reads
	tenant           int    // index into the deployment's tenants
	orderingKey      string // requests of an ordered class with the same key run one at a time; empty: no order
	idempotencyToken []byte // nil if the client gave none
	deadline         admission.Time
	statementReader  StatementReader // nil if statements are not read

	// Used by the owner's goroutine only, except that the session sets the client's estimate at creation.
	attempts    int      // number of attempts started
	current     *attempt // the attempt in flight; nil: none
	memoryMB    float64  // memory that its attempts may use at the engine; 0: not set
	priority    int
	estimate    admission.Estimate
	policyClass int       // index of the operator's class; 0: none
	waiting     bool      // the resource groups account for it, and no attempt is in flight
	placement   Placement // as last reported to the peers
	answered    bool      // the final answer is given
	clientLeft  bool
}
