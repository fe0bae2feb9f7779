package router

import "magpiebank/internal/admission"

// sessionEvent is what the owner may tell the goroutine of a client session.
type sessionEvent interface{ isSessionEvent() }

// finalAnswer is a sessionEvent that ends a request; each request gets exactly one.
type finalAnswer interface {
	sessionEvent
	isFinalAnswer()
}

// Events of the request in hand. What is written to engines on its behalf is written by the session's goroutine.
type (
	// attemptReady has an attempt sent to an engine, unless the client has left.
	attemptReady struct {
		attempt *attempt
		client  engineClient
		first   bool // it is sent for the first time
	}
	// attemptCancelled has an engine told that an attempt is given up.
	attemptCancelled struct{ attempt *attempt }
	// priorityChanged has an engine told of an attempt's new priority.
	priorityChanged struct {
		attempt  *attempt
		priority int
	}
)

// Final answers.
type (
	// requestServed brings the result that an attempt got.
	requestServed struct{ attempt *attempt }
	// requestRejected sheds the request; the client may retry after the given time.
	requestRejected struct{ retryAfter admission.Time }
	// requestFailed ends a request that may have run and must not run again.
	requestFailed struct{}
	// requestDenied ends a request that an operator's rule forbids, or whose recorded rows are not kept, with error 1104.
	requestDenied struct{ reason string }
	// requestInvalid answers a query that is no valid request, with error 1064.
	requestInvalid struct{ reason string }
	// requestAbandoned ends a request for which nobody waits any more; no answer is owed.
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

// handleEvent handles one event, on the session's goroutine.
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
		if s.statementReader != nil && e.attempt.client != nil { // an answer from the journal has no client and cost nothing
			s.statementReader.RecordCost(e.attempt.result.work, e.attempt.result.memoryMB)
		}
	case requestRejected:
		s.writeRejection(int64(e.retryAfter / admission.Millisecond))
	case requestFailed:
		s.writeFailure()
	case requestDenied:
		s.writeDenial(e.reason)
	case requestInvalid:
		s.writeRefusal(e.reason)
	case requestAbandoned:
		s.abandonRequest()
	}
}

// startAttempt sends an attempt to its engine. The client may have left while this process stood still and the read
// that would tell has not returned yet, so its socket is looked at first.
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

// The owner tells a session by the methods of responder.

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
