package router

import (
	"fmt"

	"magpiebank/internal/admission"
)

// event is what other goroutines may tell the owner. Each is a small struct below, and handleEvent has a case for it.
type event interface{ isEvent() }

// queuedEvent is an event with the time at which it was posted.
type queuedEvent struct {
	at    admission.Time
	event event
}

// Events of client sessions.
type (
	// sessionOpened registers a session, so that a KILL can name its connection.
	sessionOpened struct{ session *clientSession }
	// sessionClosed ends the request in hand of a session that has ended, and removes the session.
	sessionClosed struct{ session *clientSession }
	// requestReceived hands in a request whose client waits for the given time.
	requestReceived struct {
		session *clientSession
		request *request
		wait    admission.Time
	}
	// clientLeft tells that nobody waits for a request any more.
	clientLeft struct{ request *request }
	// killRequested tells of a client's KILL of the query on a connection.
	killRequested struct{ connectionID uint32 }
)

// Events of attempts.
type (
	// attemptFinished tells how an attempt ended: an engine's last answer, a timeout, a cancellation or a broken connection.
	attemptFinished struct {
		attempt *attempt
		outcome admission.Outcome
	}
	// attemptNotWritten tells that a connection broke before the attempt was written to it.
	attemptNotWritten struct{ attempt *attempt }
	// cancelTimedOut tells that an engine had long enough to hear that an attempt is cancelled.
	cancelTimedOut struct{ attempt *attempt }
	// progressReceived brings an engine's notice on an attempt that runs.
	progressReceived struct {
		request admission.RequestID
		attempt int
		notice  admission.NoticeKind
		value   float64
	}
)

// Events of engines and discovery.
type (
	// endpointsUpdated brings endpoints of the engine list; addresses has one entry for each of them.
	endpointsUpdated struct {
		kind      admission.UpdateKind
		endpoints []admission.Endpoint
		addresses []string
	}
	// healthCheckFinished brings the result of a health check.
	healthCheckFinished struct {
		engine  admission.EngineID
		outcome admission.Outcome
		report  admission.Report
	}
)

// Events of the request journal, the timer and the peers.
type (
	// attemptRecorded tells that the journal holds the start of an attempt, or why it can't.
	attemptRecorded struct {
		attempt *attempt
		err     error
	}
	// answerRecorded tells that the journal holds a request's final answer, or can't; it is given in both cases.
	answerRecorded struct {
		request *request
		answer  finalAnswer
	}
	// tickDue is the timer that the admission controller asked for.
	tickDue struct{}
	// peerReportReceived brings what other gateways observed of an engine.
	peerReportReceived struct{ report *admission.PeerReport }
	// sharedCapacityChanged tells that requests which wait for a shared quota may have it now.
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

// post queues an event that happened now. It may be called from any goroutine and never waits.
func (o *owner) post(e event) { o.events.Put(queuedEvent{at: o.clock.Now(), event: e}) }

// dispatch advances the owner's time to an event's and handles it. Events that raced to the queue are handled in its
// order, so the time never goes back.
func (o *owner) dispatch(queued queuedEvent) {
	o.now = max(o.now, queued.at)
	o.handle(o.now, queued.event)
}

// handleEvent handles one event, on the owner's goroutine.
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

// tick passes the timer on to all that keep time by it.
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
