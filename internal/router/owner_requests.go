package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// initialPriority is a request's priority at the engines until the admission controller sets another one.
const initialPriority = 1

// handleRequest accepts a request, or gives it its final answer at once: if its id is in use, if the journal has the answer, if
// an operator's rule forbids or rejects it, or if the journal can't record it.
func (o *owner) handleRequest(now admission.Time, request *request) {
	// The controller keeps a killed request until its attempt ends.
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

// classify assigns a request to one of the operator's classes and sets its estimate. It reports whether the request may
// proceed; otherwise it has given the request its final answer.
func (o *owner) classify(now admission.Time, request *request) bool {
	estimate, overCapacity, rejectText := o.resourceGroups.Classify(now, request.statementReader)
	if rejectText != "" {
		request.responder.answer(requestDenied{rejectText})
		return false
	}
	if overCapacity {
		request.responder.answer(requestRejected{o.deployment.RetryAfter})
		return false
	}
	estimate.Prior = request.estimate.Prior
	if estimate.Work == 0 { // nothing is known about such statements yet, so the client's estimate is used
		estimate.Work, estimate.Memory = request.estimate.Work, max(estimate.Memory, request.estimate.Memory)
	}
	request.estimate, request.policyClass = estimate, estimate.PolicyClass
	return true
}

// handleClientLeft ends a request whose client has disconnected or no longer waits.
func (o *owner) handleClientLeft(now admission.Time, request *request) {
	if request.answered { // the final answer is already given
		return
	}
	request.clientLeft = true
	o.admission.HandleDisconnect(now, request.id)
	if request.current != nil { // the controller has removed the request, so it no longer cancels the attempt
		o.handleAttemptEnd(now, request.current, admission.Cancelled)
	}
	o.answerRequest(now, request, requestjournal.Abandoned, nil, requestAbandoned{})
}

// killQuery ends the outstanding request, if any, of the session with the given connection id. Its client no longer waits.
func (o *owner) killQuery(now admission.Time, connectionID uint32) {
	if session := o.sessions[connectionID]; session != nil && session.request != nil {
		o.handleClientLeft(now, session.request)
	}
}

// closeSession removes a session that has ended, and ends its outstanding request.
func (o *owner) closeSession(now admission.Time, session *clientSession) {
	if o.sessions[session.connectionID] != session { // another session now has the same id
		return
	}
	o.killQuery(now, session.connectionID)
	delete(o.sessions, session.connectionID)
}

// answerRequest gives a request its final answer. If a different answer could be given after a crash, the journal records the
// answer first. An answer that can't be recorded is given anyway, because it is correct now.
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

// removeRequest removes a request that gets its final answer.
func (o *owner) removeRequest(request *request) {
	request.answered = true
	delete(o.requests, request.id)
	o.recordPlacement(request, Placement{})
	if request.waiting {
		request.waiting = false
		o.resourceGroups.RecordQueueExit(request.estimate)
	}
}
