package healthreport

import "magpiebank/internal/admission"

// VisitChangedFindings calls visit for each engine whose finding has changed. The finding is the table's and must not be kept. Scores that
// fall come first, so that at no time more engines are ejected by peers' reports than may be.
func (b *Table) VisitChangedFindings(now Time, visit func(*Finding)) {
	if len(b.changed) == 0 {
		return
	}
	for _, i := range b.changed {
		b.engines[i].found = b.findingOf(now, i)
	}
	b.changed = b.changed[:0]
	for _, falling := range []bool{true, false} {
		for i := range b.engines {
			e := &b.engines[i]
			found := e.found
			if found.FailureScore > 0 && (now >= found.ScoreUntil || !b.mayEject(now, i)) {
				found.FailureScore, found.ScoreUntil = 0, 0
			}
			if e.listed && found != e.published && (found.FailureScore < e.published.FailureScore) == falling {
				e.published = found
				visit(&e.published)
			}
		}
	}
}

// findingOf weighs what is known of an engine. A failure counts while no gateway, this one included, has had an answer from there
// since, and it counts once for each gateway that observed any.
func (b *Table) findingOf(now Time, index int) Finding {
	e := &b.engines[index]
	out := Finding{Engine: e.Engine, EngineStartedAt: e.StartedAt, Report: admission.NoReport, ReportAt: never}
	answeredAt, failedAt := e.own.answeredAt, never
	for k := range b.peers {
		o := &b.peers[k].observations[index]
		answeredAt, failedAt = max(answeredAt, o.answeredAt), max(failedAt, o.failedAt)
		if o.reportedAt > out.ReportAt && now-o.reportedAt < ReportLifetime {
			out.Report, out.ReportAt = o.report, min(now, o.reportedAt)
		}
	}
	counts := func(o *observations) bool {
		return o.failedAt > answeredAt && now-o.failedAt < ConfirmedFailureLifetime
	}
	for k := range b.peers {
		observed := b.peers[k].observations
		if counts(&observed[index]) && now-failedAt < b.outcomeLifetime {
			out.FailureScore += 1 / float64(b.countFailing(now, func(i int) *observations { return &observed[i] }))
			out.Witnesses++
			out.ScoreUntil = failedAt + b.outcomeLifetime
		}
	}
	if out.Witnesses > 0 && counts(&e.own) { // beside others' observations the own count as much
		out.FailureScore += 1 / float64(b.countFailing(now, func(i int) *observations { return &b.engines[i].own }))
		out.Witnesses++
	}
	return out
}

// countFailing returns how many engines a gateway finds failing. Its one vote is split over them, because a gateway that
// finds many failing is likelier itself at fault, or its network.
func (b *Table) countFailing(now Time, observed func(index int) *observations) (n int) {
	for i := range b.engines {
		if b.engines[i].listed && observed(i).isFailing(now) {
			n++
		}
	}
	return max(1, n)
}

// mayEject reports whether an engine is among the few with the highest scores: peers' reports eject a part of the engines at most.
func (b *Table) mayEject(now Time, index int) bool {
	listed, before, own := 0, 0, b.engines[index].found.FailureScore
	for i := range b.engines {
		e := &b.engines[i]
		if !e.listed {
			continue
		}
		listed++
		score := e.found.FailureScore
		if i != index && now < e.found.ScoreUntil && (score > own || score == own && i < index) {
			before++
		}
	}
	return before < max(1, int(b.maxEjectedShare*float64(listed)))
}
