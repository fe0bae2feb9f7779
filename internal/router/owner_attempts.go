package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// recordAttempt charges an attempt that is about to start to the class of its request.
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

// startAttempt starts an attempt. It hands the attempt over at once, unless the journal must first record that it may run.
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

// sendRecordedAttempt hands over an attempt that the journal has recorded. An attempt that could not be recorded is never sent.
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

// handOver passes an attempt to the responder, whose goroutine sends it.
func (o *owner) handOver(attempt *attempt) {
	attempt.handedOver = true
	attempt.request.responder.sendAttempt(attempt, attempt.client)
}

// resendAttempt sends an attempt again whose connection broke before the attempt was written. The first such break says nothing
// about the engine's health, because the connection may have been closed while it was idle. At a second break the engine counts
// as unreachable.
func (o *owner) resendAttempt(now admission.Time, attempt *attempt) {
	if attempt.ended || attempt.resent {
		o.handleAttemptEnd(now, attempt, admission.Unreachable)
		return
	}
	attempt.resent = true
	attempt.state.Store(attemptUnwritten)
	attempt.request.responder.sendAttempt(attempt, attempt.client)
}

// postAttemptEnd reports the outcome of an attempt to the owner. It may be called from any goroutine.
func (o *owner) postAttemptEnd(attempt *attempt, outcome admission.Outcome) {
	o.post(attemptFinished{attempt: attempt, outcome: outcome})
}

// handleAttemptEnd handles the end of an attempt. Several ends may be reported for one attempt; the first decides its outcome,
// and a later one completes a cancellation.
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

// cancelAttempt cancels at the engine an attempt that timed out or that the gateway no longer needs. The end of an attempt that
// was never written is reported at once; otherwise it is reported when the engine confirms the cancellation or cancelTimeout has
// passed.
func (o *owner) cancelAttempt(now admission.Time, attempt *attempt, outcome admission.Outcome) {
	request := attempt.request
	unwritten := admission.Unreachable
	if request.clientLeft {
		unwritten = admission.Unsent // the outcome says nothing about the engine
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

// cancelTimeout returns how long to wait for an engine to confirm a cancellation. The wait is needed because a retry on another
// connection could overtake the cancellation, and the request would run twice at the same time. The timeout is the connect
// timeout, but doesn't extend beyond the request's deadline, after which nothing is sent.
func (o *owner) cancelTimeout(now admission.Time, request *request) admission.Time {
	return max(0, min(admission.Time(o.network.ConnectTimeout/timeUnit), request.deadline-now))
}

// finishCancelledAttempt reports the end of an attempt that was cancelled or timed out, unless it is already reported.
func (o *owner) finishCancelledAttempt(now admission.Time, attempt *attempt) {
	outcome := attempt.cancelOutcome
	if outcome == admission.Served {
		return
	}
	attempt.cancelOutcome = admission.Served
	attempt.stopTimer()
	o.reportAttemptEnd(now, attempt, admission.AttemptResult{Outcome: outcome})
}

// reportAttemptEnd reports the end of an attempt to the resource groups, the peers, the journal and, last, the admission
// controller. It fills in the result's request and load report.
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

// isLimited reports whether the resource groups account for a request, because it belongs to a class of the policy in force or
// of a policy in rehearsal.
func (r *request) isLimited() bool { return isLimited(&r.estimate) }

func isLimited(estimate *admission.Estimate) bool {
	return estimate.PolicyClass > 0 || estimate.ShadowClass > 0
}
