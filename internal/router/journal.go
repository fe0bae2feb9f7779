package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// Journal records requests durably, so that a restarted gateway knows which may have run and what was answered.
type Journal struct {
	Requests *requestjournal.Journal
	// Err returns why nothing can be recorded any more, and nil as long as it can.
	Err func() error

	// Snapshot is what the previous process knew of engines and classes; nil if there is none.
	Snapshot *admission.Snapshot
	// SaveSnapshot stores an encoded snapshot of this process.
	SaveSnapshot func(encoded []byte)

	snapshotAt admission.Time // when the last snapshot was taken
}

// snapshotInterval is how often the admission controller's state is saved. Engines report a few times a second, so a
// snapshot of that age still holds their limits; retry budgets and slow starts don't depend on its age.
const snapshotInterval = admission.Second

// tick saves a snapshot when one is due, and passes the timer on to the request journal.
func (j *Journal) tick(now admission.Time, controller *admission.Controller) {
	j.Requests.Tick(now)
	if now-j.snapshotAt >= snapshotInterval {
		j.snapshotAt = now
		j.SaveSnapshot(controller.TakeSnapshot(now).Encode())
	}
}

// answerFromJournal answers a request that was answered before, and reports whether it did. A request that was in
// flight when the previous process died goes on with what the journal knows of its attempts.
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

// mustNotRepeat tells whether a second run of a request would do harm.
func (o *owner) mustNotRepeat(request *request) bool {
	return o.deployment.Classes[request.class].RepeatEffect != admission.Idempotent
}

// recordRequest records an accepted request and reports whether it may go on. If the journal has failed, a request that
// must not run twice is rejected, because after a crash nobody would know that it was sent.
func (o *owner) recordRequest(now admission.Time, request *request) bool {
	if o.mustNotRepeat(request) && o.journal.Err() != nil {
		request.responder.answer(requestRejected{o.deployment.RetryAfter})
		return false
	}
	o.journal.Requests.Accept(now, request.id, request.class, request.deadline)
	return true
}
