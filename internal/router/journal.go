package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// Journal records requests durably, so that a restarted gateway knows which requests may have run and how they were answered.
type Journal struct {
	Requests *requestjournal.Journal
	// Err returns the reason why the journal can no longer record anything, or nil while it can.
	Err func() error

	// Snapshot is the previous process's knowledge about engines and classes; nil if there is none.
	Snapshot *admission.Snapshot
	// SaveSnapshot stores an encoded snapshot of this process.
	SaveSnapshot func(encoded []byte)

	snapshotAt admission.Time // time of the last snapshot
}

// snapshotInterval is the time between two snapshots of the admission controller's state. The engines' concurrency limits in a
// snapshot of that age are still valid, because engines report only a few times a second. Retry budgets and slow starts don't
// depend on the snapshot's age.
const snapshotInterval = admission.Second

// tick passes the expired timer to the request journal, and saves a snapshot if one is due.
func (j *Journal) tick(now admission.Time, controller *admission.Controller) {
	j.Requests.Tick(now)
	if now-j.snapshotAt >= snapshotInterval {
		j.snapshotAt = now
		j.SaveSnapshot(controller.TakeSnapshot(now).Encode())
	}
}

// answerFromJournal answers a request that the journal has an answer for, and reports whether it did. A request that was in
// flight when the previous process ended continues with the journal's record of its attempts.
func (o *owner) answerFromJournal(request *request) bool {
	status, entry := o.journal.Requests.Lookup(request.id)
	switch {
	case status == requestjournal.Resumable:
		request.estimate.Prior = admission.PriorAttempt{
			MayHaveRun: entry.MayHaveRun, SentAt: entry.UncertainSince, Zone: entry.Zone, Group: entry.Group}
		return false
	case status != requestjournal.Answered:
		return false
	case entry.Outcome == requestjournal.Served && entry.Complete():
		request.responder.answer(requestServed{&attempt{request: request, result: attemptResult{pages: entry.Pages}}})
	case entry.Outcome == requestjournal.Served:
		request.responder.answer(requestDenied{"it was delivered before, and its rows are not kept"})
	case entry.Outcome == requestjournal.Failed, entry.Outcome == requestjournal.Abandoned && entry.MayHaveRun && o.mustNotRepeat(request):
		request.responder.answer(requestFailed{})
	default:
		request.responder.answer(requestRejected{o.deployment.RetryAfter})
	}
	return true
}

// mustNotRepeat reports whether a request has effects that a second run would repeat, that is, whether its class is not
// idempotent.
func (o *owner) mustNotRepeat(request *request) bool {
	return o.deployment.Classes[request.class].RepeatEffect != admission.Idempotent
}

// recordRequest records an accepted request and reports whether it may proceed. If the journal has failed, a request that must
// not run twice is rejected, because after a crash there would be no record that it was sent.
func (o *owner) recordRequest(now admission.Time, request *request) bool {
	if o.mustNotRepeat(request) && o.journal.Err() != nil {
		request.responder.answer(requestRejected{o.deployment.RetryAfter})
		return false
	}
	o.journal.Requests.Accept(now, request.id, request.class, request.deadline)
	return true
}
