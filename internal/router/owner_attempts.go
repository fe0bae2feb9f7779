package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// recordAttempt charges an attempt that is about to start to its request's class.
func (o *owner) recordAttempt(attempt *attempt) {
	request := attempt.request
	if !request.isLimited() {
		return
	}
	charge := &attempt.charge
	charge.estimate, charge.threads = request.estimate, float64(o.deployment.Classes[request.class].Threads)
	charge.charged, charge.policyRevision = o.resourceGroups.RecordAttempt(charge.estimate, charge.threads)
	request.waiting = false
}

// startAttempt has an attempt sent to its engine: at once, or once the journal holds that it may run.
func (o *owner) startAttempt(attempt *attempt, engine admission.EngineID) {
	if o.journal != nil {
		endpoint := o.listings[engine]
		recorded := func(err error) { o.post(attemptRecorded{attempt: attempt, err: err}) }
		if o.journal.Requests.BeginAttempt(o.now, attempt.request.id, endpoint.Zone, endpoint.Group, recorded) {
			return
		}
	}
	o.handOver(attempt)
}

// sendRecordedAttempt has an attempt sent that the journal holds. One that could not be recorded is never sent.
func (o *owner) sendRecordedAttempt(now admission.Time, attempt *attempt, err error) {
	if attempt.ended {
		return
	}
	if err != nil {
		o.log.Warn("state", "code", "not_sent", "task", string(attempt.request.id), "error", err)
		o.handleAttemptEnd(now, attempt, admission.Unsent)
		return
	}
	o.handOver(attempt)
}

// handOver has the responder's goroutine send an attempt.
func (o *owner) handOver(attempt *attempt) {
	attempt.handedOver = true
	attempt.request.responder.sendAttempt(attempt, attempt.client)
}

// resendAttempt sends an attempt again whose connection broke before it was written, because that tells nothing of the
// engine: the connection may have been closed while it was idle. A second time the engine counts as unreachable.
func (o *owner) resendAttempt(now admission.Time, attempt *attempt) {
	if attempt.ended || attempt.resent {
		o.handleAttemptEnd(now, attempt, admission.Unreachable)
		return
	}
	attempt.resent = true
	attempt.state.Store(attemptUnwritten)
	attempt.request.responder.sendAttempt(attempt, attempt.client)
}

// postAttemptEnd tells the owner how an attempt ended. It may be called from any goroutine.
func (o *owner) postAttemptEnd(attempt *attempt, outcome admission.Outcome) {
	o.post(attemptFinished{attempt: attempt, outcome: outcome})
}

// handleAttemptEnd handles the end of an attempt. Several ends of one attempt may race; the first one counts.
func (o *owner) handleAttemptEnd(now admission.Time, attempt *attempt, outcome admission.Outcome) {
	if attempt.ended {
		o.finishCancelledAttempt(now, attempt)
		return
	}
	attempt.ended = true
	attempt.stopTimer()
	request := attempt.request
	request.current = nil
	switch outcome {
	case admission.Served:
		if o.requests[request.id] == request {
			o.answerRequest(now, request, requestjournal.Served, attempt.result.pages, requestServed{attempt})
		}
		o.reportAttemptEnd(now, attempt, admission.AttemptResult{
			Outcome: outcome, Answered: true, Work: attempt.result.work, Memory: attempt.result.memoryMB})
	case admission.TimedOut, admission.Cancelled:
		o.cancelAttempt(now, attempt, outcome)
	default:
		o.reportAttemptEnd(now, attempt, admission.AttemptResult{Outcome: outcome})
	}
}

// cancelAttempt gives up an attempt that timed out or was cancelled. If it was never written it ends at once; otherwise
// it ends when the engine tells that it knows of the cancellation, or has had the time to.
func (o *owner) cancelAttempt(now admission.Time, attempt *attempt, outcome admission.Outcome) {
	request := attempt.request
	unwritten := admission.Unreachable
	if request.clientLeft {
		unwritten = admission.Unsent // it tells nothing of the engine
	}
	if !attempt.handedOver { // the journal has not recorded it yet, so nothing was written
		o.reportAttemptEnd(now, attempt, admission.AttemptResult{Outcome: unwritten})
		return
	}
	request.responder.cancelAttempt(attempt)
	if attempt.withdraw() {
		o.reportAttemptEnd(now, attempt, admission.AttemptResult{Outcome: unwritten})
		return
	}
	attempt.cancelOutcome = outcome
	attempt.stopTimer = o.clock.After(o.cancelTimeout(now, request), func() {
		o.post(cancelTimedOut{attempt})
	})
}

// cancelTimeout returns how long to wait for an engine to tell that it knows of a cancellation. A retry that overtook
// the cancellation on another connection would be a second copy. It is as long as a connection may take to come up, but
// never past the deadline, after which nothing is sent.
func (o *owner) cancelTimeout(now admission.Time, request *request) admission.Time {
	return max(0, min(admission.Time(o.network.ConnectTimeout/timeUnit), request.deadline-now))
}

// finishCancelledAttempt reports the end of an attempt that was cancelled or timed out, unless that was done before.
func (o *owner) finishCancelledAttempt(now admission.Time, attempt *attempt) {
	outcome := attempt.cancelOutcome
	if outcome == admission.Served {
		return
	}
	attempt.cancelOutcome = admission.Served
	attempt.stopTimer()
	o.reportAttemptEnd(now, attempt, admission.AttemptResult{Outcome: outcome})
}

// reportAttemptEnd tells the admission controller that an attempt has ended, and before it the resource groups, the
// peers and the journal. It fills in the result's request and load report.
func (o *owner) reportAttemptEnd(now admission.Time, attempt *attempt, result admission.AttemptResult) {
	request := attempt.request
	if isLimited(&attempt.charge.estimate) {
		waits := !result.Answered && o.requests[request.id] == request
		charge := &attempt.charge
		o.resourceGroups.RecordAttemptEnd(charge.estimate, charge.threads, charge.charged, result.Work, waits)
		if waits {
			request.waiting = true
		}
	}
	if request.placement.Present {
		o.recordPlacement(request, Placement{Present: true})
	}
	if o.journal != nil {
		o.journal.Requests.EndAttempt(now, request.id, result.Outcome.NeverRan())
	}
	result.Request, result.Report = request.id, attempt.loadReport
	o.admission.HandleAttemptEnd(now, result)
}

// isLimited tells whether the resource groups account for a request: in a class, or in one of a policy on trial.
func (r *request) isLimited() bool { return isLimited(&r.estimate) }

func isLimited(estimate *admission.Estimate) bool {
	return estimate.PolicyClass > 0 || estimate.ShadowClass > 0
}
