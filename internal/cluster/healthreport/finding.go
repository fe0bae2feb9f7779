package healthreport

import "magpiebank/internal/admission"

// VisitChangedFindings calls visit for each engine whose finding has changed. The finding belongs to the table, and visit must not retain
// it. Falling scores come first, so that peers' reports never eject more engines than allowed.
func (b *Table) VisitChangedFindings(now Time, visit func(*Finding)) {
	if len(b.changed) == 0 {
		return
	}
	for _, i := range b.changed {
		b.engines[i].currentFinding = b.findingOf(now, i)
	}
	b.changed = b.changed[:0]
	for _, falling := range []bool{true, false} {
		for i := range b.engines {
			e := &b.engines[i]
			found := e.currentFinding
			if found.FailureScore > 0 && (now >= found.ScoreUntil || !b.withinEjectionLimit(now, i)) {
				found.FailureScore, found.ScoreUntil = 0, 0
			}
			if e.listed && found != e.publishedFinding && (found.FailureScore < e.publishedFinding.FailureScore) == falling {
				e.publishedFinding = found
				visit(&e.publishedFinding)
			}
		}
	}
}

// findingOf returns the finding of an engine from all observations. A failure counts as long as no gateway, including this one, has had an
// answer from the engine since. However many failures a gateway observed, it adds at most one to the score.
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
	if out.Witnesses > 0 && counts(&e.own) { // own failures weigh as much as a peer's, but count only with a peer's
		out.FailureScore += 1 / float64(b.countFailing(now, func(i int) *observations { return &b.engines[i].own }))
		out.Witnesses++
	}
	return out
}

// countFailing returns how many engines fail according to a gateway's observations, but at least 1. The gateway's single vote is divided
// among them, because if many engines fail, the cause is more likely the gateway itself or its network.
func (b *Table) countFailing(now Time, observed func(index int) *observations) (n int) {
	for i := range b.engines {
		if b.engines[i].listed && observed(i).isFailing(now) {
			n++
		}
	}
	return max(1, n)
}

// withinEjectionLimit reports whether an engine's score is among the highest, so that peers' reports may eject the engine. They may eject
// at most maxEjectedShare of the listed engines, but at least one.
func (b *Table) withinEjectionLimit(now Time, index int) bool {
	listed, higherRanked, ownScore := 0, 0, b.engines[index].currentFinding.FailureScore
	for i := range b.engines {
		e := &b.engines[i]
		if !e.listed {
			continue
		}
		listed++
		score := e.currentFinding.FailureScore
		if i != index && now < e.currentFinding.ScoreUntil && (score > ownScore || score == ownScore && i < index) {
			higherRanked++
		}
	}
	return higherRanked < max(1, int(b.maxEjectedShare*float64(listed)))
}
