package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// host implements admission.Host: it carries out the admission controller's decisions. Its methods run on the owner's goroutine.
type host struct{ owner *owner }

// SendAttempt starts an attempt of a request at an engine.
func (h host) SendAttempt(id admission.RequestID, engine admission.EngineID, timeout, sendBy admission.Time) {
	o := h.owner
	request, client := o.requests[id], o.engines[engine]
	attempt := &attempt{
		request: request, client: client, engineID: engine, requestID: id, number: request.attempts,
		class: request.className, statement: request.statement, idempotencyToken: request.idempotencyToken,
		timeout: timeout, sendBy: sendBy, memoryMB: request.memoryMB, priority: request.priority,
		loadReport: admission.NoReport,
	}
	request.attempts++
	request.current = attempt
	attempt.stopTimer = o.clock.After(timeout, func() {
		o.postAttemptEnd(attempt, admission.TimedOut)
	})
	o.recordAttempt(attempt)
	if o.peers != nil {
		o.peers.RecordAttempt(o.now, id, engine)
		o.recordPlacement(request, Placement{Present: true, Engine: engine})
	}
	if client == nil { // the engine was removed from the list within the same event
		o.postAttemptEnd(attempt, admission.Unreachable)
		return
	}
	o.startAttempt(attempt, engine)
}

// CancelAttempt ends an attempt if it is still the request's current one.
func (h host) CancelAttempt(id admission.RequestID, number int) {
	if request := h.owner.requests[id]; request != nil && request.current != nil && request.current.number == number {
		h.owner.postAttemptEnd(request.current, admission.Cancelled)
	}
}

// RejectRequest rejects a request; its client may retry after the given time.
func (h host) RejectRequest(id admission.RequestID, retryAfter admission.Time) {
	request := h.owner.requests[id]
	h.owner.answerRequest(h.owner.now, request, requestjournal.Rejected, nil, requestRejected{retryAfter})
}

// FailRequest fails a request that may have run and must not run again.
func (h host) FailRequest(id admission.RequestID) {
	request := h.owner.requests[id]
	h.owner.answerRequest(h.owner.now, request, requestjournal.Failed, nil, requestFailed{})
}

// SetAttemptOptions sets the memory granted to a request's next attempts, and the priority of its current and next attempts.
func (h host) SetAttemptOptions(id admission.RequestID, memoryMB float64, priority int) {
	request := h.owner.requests[id]
	request.memoryMB, request.priority = memoryMB, priority
	if attempt := request.current; attempt != nil && !attempt.handedOver {
		attempt.priority = priority
	} else if attempt != nil {
		request.responder.setPriority(attempt, priority)
	}
}

// ProbeEngine starts a health check.
func (h host) ProbeEngine(name admission.EngineID) {
	client := h.owner.engines[name]
	if client == nil {
		h.owner.post(healthCheckFinished{engine: name, outcome: admission.Unreachable, report: admission.NoReport})
		return
	}
	client.requestHealthCheck()
}

// HasSlowStartCapacity tries to reserve a fraction of an engine's slow-start quota, which the gateways share. It reports whether
// this gateway has it, and false for shared if the gateways don't share such quotas.
func (h host) HasSlowStartCapacity(name admission.EngineID, fraction float64) (available, shared bool) {
	if h.owner.peers == nil {
		return false, false
	}
	return h.owner.peers.TryReserveSlowStart(h.owner.now, name, fraction)
}

// SubscribeEndpoints does nothing, because the watcher polls the engine list from the start.
func (h host) SubscribeEndpoints() {}

// ReportObservation passes the controller's observation of an engine to the peers, if there are any.
func (h host) ReportObservation(name admission.EngineID, observation admission.Observation, report admission.Report, allowedBytes float64) {
	if h.owner.peers != nil {
		h.owner.peers.RecordObservation(h.owner.now, name, observation, report, allowedBytes)
	}
}

// ScheduleTick has the controller's Tick method called at the given time.
func (h host) ScheduleTick(at admission.Time) {
	h.owner.clock.After(at-h.owner.clock.Now(), func() {
		h.owner.post(tickDue{})
	})
}

// LogEvent logs a decision of the controller.
func (h host) LogEvent(text string) { h.owner.log.Info(text) }
