package router

import "magpiebank/internal/admission"

// sessionEvent is an event that the owner sends to the goroutine of a client session.
type sessionEvent interface{ isSessionEvent() }

// finalAnswer is a sessionEvent that ends a request. Each request gets exactly one.
type finalAnswer interface {
	sessionEvent
	isFinalAnswer()
}

// Events that concern the session's outstanding request.
type (
	// attemptReady makes the session send an attempt to an engine, unless the client has disconnected.
	attemptReady struct {
		attempt *attempt
		client  engineClient
		first   bool // the attempt is not a resend
	}
	// attemptCancelled makes the session cancel an attempt at its engine.
	attemptCancelled struct{ attempt *attempt }
	// priorityChanged makes the session send an attempt's new priority to its engine.
	priorityChanged struct {
		attempt  *attempt
		priority int
	}
)

// Final answers.
type (
	// requestServed carries the attempt with the result.
	requestServed struct{ attempt *attempt }
	// requestRejected rejects the request; the client may retry after the given time.
	requestRejected struct{ retryAfter admission.Time }
	// requestFailed ends a request that may have run and must not run again.
	requestFailed struct{}
	// requestDenied ends a request with error 1104. Either an operator's rule forbids the request, or it was served before and
	// its rows are not stored.
	requestDenied struct{ reason string }
	// requestInvalid rejects a query that is not a valid request, with error 1064.
	requestInvalid struct{ reason string }
	// requestAbandoned ends a request whose client no longer waits. The client gets no answer.
	requestAbandoned struct{}
)

func (attemptReady) isSessionEvent()     {}
func (attemptCancelled) isSessionEvent() {}
func (priorityChanged) isSessionEvent()  {}
func (requestServed) isSessionEvent()    {}
func (requestRejected) isSessionEvent()  {}
func (requestFailed) isSessionEvent()    {}
func (requestDenied) isSessionEvent()    {}
func (requestInvalid) isSessionEvent()   {}
func (requestAbandoned) isSessionEvent() {}

func (requestServed) isFinalAnswer()    {}
func (requestRejected) isFinalAnswer()  {}
func (requestFailed) isFinalAnswer()    {}
func (requestDenied) isFinalAnswer()    {}
func (requestInvalid) isFinalAnswer()   {}
func (requestAbandoned) isFinalAnswer() {}

// handleEvent handles one event. It runs on the session's goroutine.
func (s *clientSession) handleEvent(e sessionEvent) {
	switch e := e.(type) {
	case attemptReady:
		s.startAttempt(e)
	case attemptCancelled:
		e.attempt.cancel()
	case priorityChanged:
		e.attempt.setPriority(e.priority)
	case requestServed:
		s.writeResult(e.attempt.result.pages)
		if s.statementReader != nil && e.attempt.client != nil { // an answer from the journal has no engine client and cost nothing
			s.statementReader.RecordCost(e.attempt.result.work, e.attempt.result.memoryMB)
		}
	case requestRejected:
		s.writeRejection(int64(e.retryAfter / admission.Millisecond))
	case requestFailed:
		s.writeFailure()
	case requestDenied:
		s.writeDenial(e.reason)
	case requestInvalid:
		s.writeInvalid(e.reason)
	case requestAbandoned:
		s.abandonRequest()
	}
}

// startAttempt sends an attempt to its engine, unless the client has disconnected. It checks the client's socket itself: after
// a stall of this process, the read that would report the disconnect may not have returned yet.
func (s *clientSession) startAttempt(e attemptReady) {
	if s.detectDeparture() {
		s.owner.post(clientLeft{e.attempt.request})
		return
	}
	if e.first {
		s.attempts = append(s.attempts, e.attempt)
	}
	e.client.send(e.attempt)
}

// The methods below implement responder, through which the owner sends events to a session.

func (s *clientSession) sendAttempt(a *attempt, client engineClient) {
	s.events.Put(attemptReady{attempt: a, client: client, first: !a.resent})
}

func (s *clientSession) cancelAttempt(a *attempt) { s.events.Put(attemptCancelled{a}) }

func (s *clientSession) setPriority(a *attempt, priority int) {
	s.events.Put(priorityChanged{attempt: a, priority: priority})
}

func (s *clientSession) answer(answer finalAnswer) {
	s.request = nil
	s.events.Put(answer)
}

func (s *clientSession) hasClientLeft() bool {
	_, ended := peekSocket(s.socket)
	return ended
}
