package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// Keeping is a record of requests that survives this process.
type Journal struct {
	Requests *requestjournal.Journal
	Failed   func() error // why nothing can be recorded any more; nil: it can

	Snapshot     *admission.Snapshot // what the process before knew; nil: nothing
	SaveSnapshot func([]byte)        // keeps what this one knows

	snapshotAt admission.Time
}

// rememberEvery is how often what the decisions know is kept: engines report some times a second, so that a second tells
// where bounds and classes stand; the ration and cold engines don't rest on how old it is.
const snapshotInterval = admission.Second

// due is the record's part of the timer.
func (j *Journal) tick(now admission.Time, module *admission.Controller) {
	j.Requests.Tick(now)
	if now-j.snapshotAt >= snapshotInterval {
		j.snapshotAt = now
		j.SaveSnapshot(module.TakeSnapshot(now).Encode())
	}
}

// known answers a request that was answered before; it tells whether it did. One that was in hand when the process before died
// goes on with what is known of it.
func (o *owner) answerFromJournal(request *request) bool {
	standing, e := o.journal.Requests.Lookup(request.id)
	switch {
	case standing == requestjournal.Resumable:
		request.estimate.Prior = admission.PriorAttempt{MayHaveRun: e.MayHaveRun, SentAt: e.UncertainSince, Zone: e.Zone, Group: e.Group}
		return false
	case standing != requestjournal.Answered:
		return false
	case e.Outcome == requestjournal.Served && e.Complete():
		request.responder.served(&attempt{request: request, pages: e.Pages})
	case e.Outcome == requestjournal.Served:
		request.responder.denied("it was delivered before, and its rows are not kept")
	case e.Outcome == requestjournal.Failed, e.Outcome == requestjournal.Abandoned && e.MayHaveRun && o.mustNotRepeat(request):
		request.responder.failed()
	default:
		request.responder.rejected(o.deployment.RetryAfter)
	}
	return true
}

// strict tells whether a second run of a request would do harm.
func (o *owner) mustNotRepeat(request *request) bool {
	return o.deployment.Classes[request.class].Effect != admission.Idempotent
}

// take records that a request is taken. Where nothing can be recorded any more, one that may not run twice is nacked: after a
// crash nobody would know of it.
func (o *owner) recordRequest(now admission.Time, request *request) bool {
	if o.mustNotRepeat(request) && o.journal.Failed() != nil {
		request.responder.rejected(o.deployment.RetryAfter)
		return false
	}
	o.journal.Requests.Accept(now, request.id, request.class, request.deadline)
	return true
}

// going records that an attempt is about to go out, and has it brought to its engine: at once, or once the record survives.
func (o *owner) startAttempt(attempt *attempt, name admission.EngineID) {
	if o.journal != nil {
		place := o.listings[name]
		if o.journal.Requests.BeginAttempt(o.now, attempt.request.id, place.Zone, place.Group, func(err error) {
			o.post(func(now admission.Time) { o.sendRecordedAttempt(now, attempt, err) })
		}) {
			return
		}
	}
	attempt.handedOver = true
	attempt.request.responder.carry(attempt, attempt.client)
}

// mayGo brings an attempt whose record survives to its engine; one whose record may not is never sent.
func (o *owner) sendRecordedAttempt(now admission.Time, attempt *attempt, err error) {
	switch {
	case attempt.ended:
	case err != nil:
		o.log.Warn("state", "code", "not_sent", "task", string(attempt.request.id), "error", err)
		o.handleAttemptEnd(now, attempt, admission.Unsent)
	default:
		attempt.handedOver = true
		attempt.request.responder.carry(attempt, attempt.client)
	}
}

// answer gives a request its final answer, once that is recorded where a second one could be given after a crash. An answer
// that can't be recorded is given all the same: it is true now.
func (o *owner) answerRequest(now admission.Time, request *request, outcome requestjournal.Outcome, rows [][]byte, give func()) {
	o.removeRequest(request)
	if o.journal != nil && o.journal.Requests.RecordAnswer(now, request.id, outcome, rows, func(error) { o.post(func(admission.Time) { give() }) }) {
		return
	}
	give()
}

// placed notes where engines stand, for the record.
func (o *owner) recordListings(form admission.UpdateKind, list []admission.Endpoint) {
	if form != admission.PartialUpdate && form != admission.FailedPoll {
		clear(o.listings)
	}
	for _, l := range list {
		if l.State == admission.Gone {
			delete(o.listings, l.Engine)
		} else {
			o.listings[l.Engine] = l
		}
	}
}
