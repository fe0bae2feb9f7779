package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// initialPriority is a request's priority at engines until the admission controller sets another one.
const initialPriority = 1

// handleRequest accepts a request, or gives it its final answer at once: if its id is in use, if the journal knows the
// answer, or if an operator's rule or a failed journal is against it.
func (o *owner) handleRequest(now admission.Time, request *request) {
	// The controller knows a killed request until its attempt ends.
	if o.requests[request.id] != nil || o.admission.HasRequest(request.id) {
		request.responder.answer(requestInvalid{"the id is in use"})
		return
	}
	if o.journal != nil && o.answerFromJournal(request) {
		return
	}
	if o.resourceGroups != nil && !o.classify(now, request) {
		return
	}
	if o.journal != nil && !o.recordRequest(now, request) {
		if request.isLimited() {
			o.resourceGroups.RecordQueueExit(request.estimate)
		}
		return
	}
	request.waiting = request.isLimited()
	o.requests[request.id] = request
	o.recordPlacement(request, Placement{Present: true})
	request.priority = initialPriority
	o.admission.HandleRequest(now, admission.Request{
		ID: request.id, Deadline: request.deadline, Class: request.class, Tenant: request.tenant,
		Key: request.orderingKey, TableGroup: request.tableGroup, Estimate: request.estimate,
	})
}

// classify puts a request into a class of the operator's and takes over its estimate. It reports whether the request
// may go on; otherwise it has its final answer.
func (o *owner) classify(now admission.Time, request *request) bool {
	estimate, crowded, refusal := o.resourceGroups.Classify(now, request.statementReader)
	if refusal != "" {
		request.responder.answer(requestDenied{refusal})
		return false
	}
	if crowded {
		request.responder.answer(requestRejected{o.deployment.RetryAfter})
		return false
	}
	estimate.Prior = request.estimate.Prior
	if estimate.Work == 0 { // nothing was learned of such statements, so the client's own estimate stands
		estimate.Work, estimate.Memory = request.estimate.Work, max(estimate.Memory, request.estimate.Memory)
	}
	request.estimate, request.policyClass = estimate, estimate.PolicyClass
	return true
}

// handleClientLeft ends a request for which nobody waits any more.
func (o *owner) handleClientLeft(now admission.Time, request *request) {
	if request.answered { // its answer is on its way
		return
	}
	request.clientLeft = true
	o.admission.HandleDisconnect(now, request.id)
	if request.current != nil { // the controller can't cancel it any more, as it has let the request go
		o.handleAttemptEnd(now, request.current, admission.Cancelled)
	}
	o.answerRequest(now, request, requestjournal.Abandoned, nil, requestAbandoned{})
}

// killQuery ends the request of the session with a connection id, because its client stopped waiting.
func (o *owner) killQuery(now admission.Time, connectionID uint32) {
	if session := o.sessions[connectionID]; session != nil && session.request != nil {
		o.handleClientLeft(now, session.request)
	}
}

// closeSession removes a session that has ended, and ends a request that it could not see through.
func (o *owner) closeSession(now admission.Time, session *clientSession) {
	if o.sessions[session.connectionID] != session { // another one has got the same id
		return
	}
	o.killQuery(now, session.connectionID)
	delete(o.sessions, session.connectionID)
}

// answerRequest gives a request its final answer, once the journal holds it if another answer could be given after a
// crash. An answer that can't be recorded is given all the same, because it is true now.
func (o *owner) answerRequest(now admission.Time, request *request, outcome requestjournal.Outcome, pages [][]byte, answer finalAnswer) {
	o.removeRequest(request)
	if o.journal != nil {
		recorded := func(error) { o.post(answerRecorded{request: request, answer: answer}) }
		if o.journal.Requests.RecordAnswer(now, request.id, outcome, pages, recorded) {
			return
		}
	}
	request.responder.answer(answer)
}

// removeRequest removes a request that is given its final answer.
func (o *owner) removeRequest(request *request) {
	request.answered = true
	delete(o.requests, request.id)
	o.recordPlacement(request, Placement{})
	if request.waiting {
		request.waiting = false
		o.resourceGroups.RecordQueueExit(request.estimate)
	}
}
