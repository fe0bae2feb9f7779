package router

import "magpiebank/internal/admission"

// Desk is what an operator's rules add to a gateway: it puts requests into classes, limits what runs of each, and foresees
// costs. Its calls are the owner's; what a Reader does is its session's. Package operator has the one there is.
type ResourceGroups interface {
	admission.PolicyGate
	HandleEndpoints(now admission.Time, form admission.UpdateKind, list []admission.Endpoint)
	Tick(now admission.Time)
	// Arrived rules on the request that a reader has read. A text in refuse is the client's final answer; crowded: it is
	// nacked, as too many of its class wait, or nobody knows now what holds for it.
	Classify(now admission.Time, r StatementReader) (f admission.Estimate, crowded bool, refuse string)
	// Sent takes in an attempt; Back its end, with the work it took (0: not told) and whether its request waits again. What
	// Sent returns is handed to Back; by, where it is not 0, names the rules that had it go out.
	RecordAttempt(f admission.Estimate, threads float64) (charged float64, by uint64)
	RecordAttemptEnd(f admission.Estimate, threads, charged float64, work admission.Time, waits bool)
	// Left takes in that a waiting request got its final answer.
	RecordDeparture(f admission.Estimate)
	// Pass tells, right before an attempt is written, whether the rules that had it go out are still gone by; Passed follows once it
	// is written. Both are called by the goroutine that writes.
	BeginWrite(by uint64, request admission.RequestID) bool
	EndWrite(by uint64, request admission.RequestID)
	ClassName(class int) string
	NewStatementReader() StatementReader
}

// Reader reads the statements of one session, one after the other.
type StatementReader interface {
	// Read reads a statement that is to be a request.
	ReadStatement(sql []byte, class, tables int)
	// Answered takes in what the statement read last has cost, and the MB it needed (0: not told).
	RecordCost(work admission.Time, memory float64)
}

// seen tells whether the desk keeps account of a request.
func (t *request) seen() bool { return t.policyClass > 0 || t.foreseen.ShadowClass > 0 }

// sent notes an attempt.
func (o *owner) sent(h *attempt) {
	if t := h.of; t.seen() {
		h.foreseen, h.threads = t.foreseen, float64(o.site.Classes[t.class].Threads)
		h.charged, h.by = o.desk.RecordAttempt(t.foreseen, h.threads)
		t.held = false
	}
}

// back tells the module that an attempt has ended, and before it what limits its class.
func (o *owner) back(now admission.Time, h *attempt, how admission.Outcome, over bool, work admission.Time, memory float64) {
	if f := &h.foreseen; f.PolicyClass > 0 || f.ShadowClass > 0 {
		waits := !over && o.requests[h.of.id] == h.of
		o.desk.RecordAttemptEnd(h.foreseen, h.threads, h.charged, work, waits)
		if waits {
			h.of.held = true
		}
	}
	if t := h.of; t.place.Present {
		o.moved(t, Placement{Present: true})
	}
	if o.keep != nil {
		o.keep.Requests.EndAttempt(now, h.of.id, how.NeverRan())
	}
	o.module.HandleAttemptEnd(now, admission.AttemptResult{Request: h.of.id, Outcome: how, Answered: over, Work: work, Memory: memory, Report: h.report})
}
