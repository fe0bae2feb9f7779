package router

import "magpiebank/internal/admission"

// The owner sits between frontends, which hand requests in and are told their final answers, and engine clients, which bring attempts to
// engines and tell how they ended. It knows the protocol of neither.

// responder is who asked for a request and is owed its answer: a session of a frontend. The owner calls it and never waits; each
// request gets exactly one of served, rejected, failed, denied, refused and left.
type responder interface {
	// do has the responder's goroutine make a call. What is written to engines on a request's behalf is written there.
	do(call func())
	// carry has the responder's goroutine bring an attempt to an engine, unless who asked has gone.
	carry(attempt *attempt, to engineClient)
	// gone tells whether who asked can be seen to have gone; from any goroutine.
	clientGone() bool
	served(attempt *attempt)
	rejected(retryAfter admission.Time)
	failed()
	denied(why string)  // an operator's rule has this for its answer
	refused(why string) // it never became a request
	left()              // nobody waits any more
}

// engineClient brings attempts to one engine, and tells the owner by tellEnded, again and the module's Noted what becomes of them.
type engineClient interface {
	send(attempt *attempt) // by the responder's goroutine; so are undo, bump and forget of the attempt
	requestHealthCheck()   // asks for a report, if that isn't under way
	dialAddress() string   // the address
	retire()               // nothing new comes; what is out ends by itself
	close()                // all ends now
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
