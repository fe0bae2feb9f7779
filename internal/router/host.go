package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// host is what the module's decisions act on.
type host struct{ owner *owner }

func (h host) SendAttempt(id admission.RequestID, name admission.EngineID, timeout, sendBy admission.Time) {
	request, e := h.owner.requests[id], h.owner.engines[name]
	attempt := &attempt{request: request, client: e, engineID: name, requestID: id, number: request.attempts, class: request.className, statement: request.statement, idempotencyToken: request.idempotencyToken, timeout: timeout, sendBy: sendBy,
		memoryMB: request.memoryMB, priority: request.priority, report: admission.NoReport}
	request.attempts++
	request.current = attempt
	attempt.stopTimer = h.owner.clock.After(timeout, func() {
		h.owner.postAttemptEnd(attempt, admission.TimedOut)
	})
	h.owner.recordAttempt(attempt)
	if h.owner.peers != nil {
		h.owner.peers.RecordAttempt(h.owner.now, id, name)
		h.owner.recordPlacement(request, Placement{Present: true, Engine: name})
	}
	if e == nil { // the list took it away within one event
		h.owner.postAttemptEnd(attempt, admission.Unreachable)
		return
	}
	h.owner.startAttempt(attempt, name)
}

func (h host) CancelAttempt(id admission.RequestID, n int) {
	if request := h.owner.requests[id]; request != nil && request.current != nil && request.current.number == n {
		h.owner.postAttemptEnd(request.current, admission.Cancelled)
	}
}

func (h host) RejectRequest(id admission.RequestID, retryAfter admission.Time) {
	request := h.owner.requests[id]
	h.owner.answerRequest(h.owner.now, request, requestjournal.Rejected, nil, requestRejected{retryAfter})
}

func (h host) FailRequest(id admission.RequestID) {
	request := h.owner.requests[id]
	h.owner.answerRequest(h.owner.now, request, requestjournal.Failed, nil, requestFailed{})
}

func (h host) SetAttemptTerms(id admission.RequestID, memory float64, rank int) {
	request := h.owner.requests[id]
	request.memoryMB, request.priority = memory, rank
	if attempt := request.current; attempt != nil && !attempt.handedOver {
		attempt.priority = rank
	} else if attempt != nil {
		request.responder.setPriority(attempt, rank)
	}
}

func (h host) ProbeEngine(name admission.EngineID) {
	e := h.owner.engines[name]
	if e == nil {
		h.owner.post(healthCheckFinished{engine: name, outcome: admission.Unreachable, report: admission.NoReport})
		return
	}
	e.requestHealthCheck()
}

// HasSlowStartCapacity asks the peers.
func (h host) HasSlowStartCapacity(name admission.EngineID, part float64) (room, shared bool) {
	if h.owner.peers == nil {
		return false, false
	}
	return h.owner.peers.TryReserveSlowStart(h.owner.now, name, part)
}

// SubscribeEndpoints has nothing to do: the engine list is followed from the start.
func (h host) SubscribeEndpoints() {}

// ReportObservation has nobody to tell where there are no peers.
func (h host) ReportObservation(name admission.EngineID, saw admission.Observation, report admission.Report, room float64) {
	if h.owner.peers != nil {
		h.owner.peers.RecordObservation(h.owner.now, name, saw, report, room)
	}
}

func (h host) ScheduleTick(at admission.Time) {
	h.owner.clock.After(at-h.owner.clock.Now(), func() {
		h.owner.post(tickDue{})
	})
}

func (h host) LogEvent(text string) { h.owner.log.Info(text) }
