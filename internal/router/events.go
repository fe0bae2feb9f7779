package router

import (
	"fmt"

	"magpiebank/internal/admission"
)

// event is a message from another goroutine to the owner. Each event type below has a case in handleEvent.
type event interface{ isEvent() }

// queuedEvent is an event with the time at which it was posted.
type queuedEvent struct {
	at    admission.Time
	event event
}

// Events of client sessions.
type (
	// sessionOpened registers a session, so that KILL QUERY can refer to it by its connection id.
	sessionOpened struct{ session *clientSession }
	// sessionClosed removes a session that has ended, and ends its outstanding request.
	sessionClosed struct{ session *clientSession }
	// requestReceived submits a request. The request's deadline is the given wait time after the event.
	requestReceived struct {
		session *clientSession
		request *request
		wait    admission.Time
	}
	// clientLeft reports that the client of a request has disconnected or no longer waits for the answer.
	clientLeft struct{ request *request }
	// killRequested reports that a client sent KILL QUERY for a connection id.
	killRequested struct{ connectionID uint32 }
)

// Events of attempts.
type (
	// attemptFinished reports the end of an attempt: an engine's last answer, a timeout, a cancellation, or a connection that
	// failed or broke.
	attemptFinished struct {
		attempt *attempt
		outcome admission.Outcome
	}
	// attemptNotWritten reports that a connection broke before the attempt was written to it.
	attemptNotWritten struct{ attempt *attempt }
	// cancelTimedOut reports that an engine did not confirm the cancellation of an attempt in time.
	cancelTimedOut struct{ attempt *attempt }
	// progressReceived holds an engine's progress notice on a running attempt.
	progressReceived struct {
		request admission.RequestID
		attempt int
		notice  admission.NoticeKind
		value   float64
	}
)

// Events of engines and discovery.
type (
	// endpointsUpdated holds an update of the engine list. addresses has one entry for each endpoint.
	endpointsUpdated struct {
		kind      admission.UpdateKind
		endpoints []admission.Endpoint
		addresses []string
	}
	// healthCheckFinished holds the result of a health check.
	healthCheckFinished struct {
		engine  admission.EngineID
		outcome admission.Outcome
		report  admission.Report
	}
)

// Events of the request journal, the timer and the peers.
type (
	// attemptRecorded reports that the journal has recorded the start of an attempt, or the error that prevented it.
	attemptRecorded struct {
		attempt *attempt
		err     error
	}
	// answerRecorded reports that the journal has recorded a request's final answer, or failed to. In both cases the client
	// gets the answer.
	answerRecorded struct {
		request *request
		answer  finalAnswer
	}
	// tickDue reports that a timer set by the admission controller has expired.
	tickDue struct{}
	// peerReportReceived holds the other gateways' observations of an engine.
	peerReportReceived struct{ report *admission.PeerReport }
	// sharedCapacityChanged reports that a shared quota may now have capacity for waiting requests.
	sharedCapacityChanged struct{}
)

func (sessionOpened) isEvent()         {}
func (sessionClosed) isEvent()         {}
func (requestReceived) isEvent()       {}
func (clientLeft) isEvent()            {}
func (killRequested) isEvent()         {}
func (attemptFinished) isEvent()       {}
func (attemptNotWritten) isEvent()     {}
func (cancelTimedOut) isEvent()        {}
func (progressReceived) isEvent()      {}
func (endpointsUpdated) isEvent()      {}
func (healthCheckFinished) isEvent()   {}
func (attemptRecorded) isEvent()       {}
func (answerRecorded) isEvent()        {}
func (tickDue) isEvent()               {}
func (peerReportReceived) isEvent()    {}
func (sharedCapacityChanged) isEvent() {}

// post queues an event with the current time. It may be called from any goroutine and never blocks.
func (o *owner) post(e event) { o.events.Put(queuedEvent{at: o.clock.Now(), event: e}) }

// dispatch advances the owner's time to the time of an event and handles the event. Events of concurrent goroutines may be
// queued in another order than that of their times; the owner's time still never goes backwards.
func (o *owner) dispatch(queued queuedEvent) {
	o.now = max(o.now, queued.at)
	o.handle(o.now, queued.event)
}

// handleEvent handles one event. It runs on the owner's goroutine.
func (o *owner) handleEvent(now admission.Time, e event) {
	switch e := e.(type) {
	case sessionOpened:
		o.sessions[e.session.connectionID] = e.session
	case sessionClosed:
		o.closeSession(now, e.session)
	case requestReceived:
		e.request.deadline = now + e.wait
		e.session.request = e.request
		o.handleRequest(now, e.request)
	case clientLeft:
		o.handleClientLeft(now, e.request)
	case killRequested:
		o.killQuery(now, e.connectionID)
	case attemptFinished:
		o.handleAttemptEnd(now, e.attempt, e.outcome)
	case attemptNotWritten:
		o.resendAttempt(now, e.attempt)
	case cancelTimedOut:
		o.finishCancelledAttempt(now, e.attempt)
	case progressReceived:
		o.admission.HandleNotice(now, e.request, e.attempt, e.notice, e.value)
	case endpointsUpdated:
		o.handleEndpoints(now, e.kind, e.endpoints, e.addresses)
	case healthCheckFinished:
		o.admission.HandleProbeResult(now, e.engine, e.outcome, e.report)
	case attemptRecorded:
		o.sendRecordedAttempt(now, e.attempt, e.err)
	case answerRecorded:
		e.request.responder.answer(e.answer)
	case tickDue:
		o.tick(now)
	case peerReportReceived:
		o.admission.HandlePeerReport(now, e.report)
	case sharedCapacityChanged:
		o.admission.HandleCapacityChange(now)
	default:
		panic(fmt.Sprintf("router: no case for event %T", e))
	}
}

// tick passes the expired timer to the resource groups, the journal, the peers and the admission controller.
func (o *owner) tick(now admission.Time) {
	if o.resourceGroups != nil {
		o.resourceGroups.Tick(now)
	}
	if o.journal != nil {
		o.journal.tick(now, o.admission)
	}
	if o.peers != nil {
		o.peers.Tick(now)
	}
	o.admission.Tick(now)
}
