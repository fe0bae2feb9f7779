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

	rememberedAt admission.Time
}

// rememberEvery is how often what the decisions know is kept: engines report some times a second, so that a second tells
// where bounds and classes stand; the ration and cold engines don't rest on how old it is.
const rememberEvery = admission.Second

// due is the record's part of the timer.
func (k *Journal) due(now admission.Time, module *admission.Controller) {
	k.Requests.Tick(now)
	if now-k.rememberedAt >= rememberEvery {
		k.rememberedAt = now
		k.SaveSnapshot(module.TakeSnapshot(now).Encode())
	}
}

// known answers a request that was answered before; it tells whether it did. One that was in hand when the process before died
// goes on with what is known of it.
func (o *owner) known(t *request) bool {
	standing, e := o.keep.Requests.Lookup(t.id)
	switch {
	case standing == requestjournal.Resumable:
		t.foreseen.Prior = admission.PriorAttempt{MayHaveRun: e.MayHaveRun, SentAt: e.UncertainSince, Zone: e.Zone, Group: e.Group}
		return false
	case standing != requestjournal.Answered:
		return false
	case e.Outcome == requestjournal.Served && e.Complete():
		t.by.served(&attempt{of: t, pages: e.Pages})
	case e.Outcome == requestjournal.Served:
		t.by.denied("it was delivered before, and its rows are not kept")
	case e.Outcome == requestjournal.Failed, e.Outcome == requestjournal.Abandoned && e.MayHaveRun && o.strict(t):
		t.by.failed()
	default:
		t.by.rejected(o.site.RetryAfter)
	}
	return true
}

// strict tells whether a second run of a request would do harm.
func (o *owner) strict(t *request) bool {
	return o.site.Classes[t.class].Effect != admission.Idempotent
}

// take records that a request is taken. Where nothing can be recorded any more, one that may not run twice is nacked: after a
// crash nobody would know of it.
func (o *owner) take(now admission.Time, t *request) bool {
	if o.strict(t) && o.keep.Failed() != nil {
		t.by.rejected(o.site.RetryAfter)
		return false
	}
	o.keep.Requests.Accept(now, t.id, t.class, t.deadline)
	return true
}

// going records that an attempt is about to go out, and has it brought to its engine: at once, or once the record survives.
func (o *owner) going(h *attempt, name admission.EngineID) {
	if o.keep != nil {
		place := o.places[name]
		if o.keep.Requests.BeginAttempt(o.now, h.of.id, place.Zone, place.Group, func(err error) {
			o.tell(func(now admission.Time) { o.mayGo(now, h, err) })
		}) {
			return
		}
	}
	h.carried = true
	h.of.by.carry(h, h.to)
}

// mayGo brings an attempt whose record survives to its engine; one whose record may not is never sent.
func (o *owner) mayGo(now admission.Time, h *attempt, err error) {
	switch {
	case h.over:
	case err != nil:
		o.log.Warn("state", "code", "not_sent", "task", string(h.of.id), "error", err)
		o.ended(now, h, admission.Unsent)
	default:
		h.carried = true
		h.of.by.carry(h, h.to)
	}
}

// answer gives a request its final answer, once that is recorded where a second one could be given after a crash. An answer
// that can't be recorded is given all the same: it is true now.
func (o *owner) answer(now admission.Time, t *request, outcome requestjournal.Outcome, rows [][]byte, give func()) {
	o.answered(t)
	if o.keep != nil && o.keep.Requests.RecordAnswer(now, t.id, outcome, rows, func(error) { o.tell(func(admission.Time) { give() }) }) {
		return
	}
	give()
}

// placed notes where engines stand, for the record.
func (o *owner) placed(form admission.UpdateKind, list []admission.Endpoint) {
	if form != admission.PartialUpdate && form != admission.FailedPoll {
		clear(o.places)
	}
	for _, l := range list {
		if l.State == admission.Gone {
			delete(o.places, l.Engine)
		} else {
			o.places[l.Engine] = l
		}
	}
}
