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
	// clientGone tells whether the client can be seen to have left. It may be called from any goroutine.
	clientGone() bool
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

// request is one that was taken and has no final answer yet. It is the owner's, but for what doesn't change.
type request struct {
	id               admission.RequestID
	responder        responder
	class            int // its number in the settings
	className        string
	statement        []byte
	tables           int
	tenant           int    // its number in the settings
	key              string // requests of a class in order run one at a time under it; empty: none
	idempotencyToken []byte // the client's idempotency token; empty: none
	deadline         admission.Time
	statementReader  StatementReader // nil: its statement wasn't read

	attempts    int
	current     *attempt
	memoryMB    float64
	priority    int
	estimate    admission.Estimate
	policyClass int       // of the desk\'s; 0: none
	waiting     bool      // in a class, with no attempt out
	placement   Placement // as the peers know it
	answered    bool      // it has its final answer
	clientGone  bool      // nobody waits for it
}
