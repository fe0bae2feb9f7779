package healthreport

import "magpiebank/internal/admission"

const (
	// Load reports wait so long for others, with which they share a message's head; news that is repeated waits as long.
	batchDelay = 100 * admission.Millisecond
	// So many load reports are sent without waiting on.
	batchSize = 6
	// A load report is sent if it is newer than any other by this: half of the shortest time between reports, so that every second
	// gateway's is not sent.
	reportSpacing = 100 * admission.Millisecond
	// A failure that goes on is sent again after this, so that gateways that started meanwhile learn of it and its age is known.
	failureRepeat = admission.Second
	// The budget holds so many messages at most, so that a quiet hour does not pay for a flood.
	budgetMessages = 4
)

// Observe takes in what this gateway observed itself, and the bytes that it may send more from now on.
func (b *Table) Observe(now Time, name admission.EngineID, saw admission.Observation, report admission.Report, byteBudget float64) {
	b.byteBudget = min(b.byteBudget+byteBudget, float64(budgetMessages*MaxMessageBytes*b.peerCount))
	i, ok := b.byName[name]
	if !ok {
		return
	}
	e := &b.engines[i]
	switch {
	case saw == admission.Answered:
		e.own.answeredAt = now
	case saw.IsFailure():
		e.own.failedAt, e.own.failure = now, saw
	}
	if report != admission.NoReport && report != e.own.report {
		e.own.report, e.own.reportedAt = report, now
	}
	if e.published.Witnesses > 0 && saw != admission.Reported {
		e.contradicts = e.published.Witnesses > 1 && saw == admission.Answered
		b.markChanged(i) // an answer outweighs what others observed before, here and at those it is sent to; a failure confirms it
	}
	if e.waitingSince == never && (e.hasNews() || e.hasNewReport(now)) {
		e.waitingSince = now
	}
}

// hasNews reports whether a failure followed an answer, or an answer a failure that was reported by this gateway
// or another. Answers as such are not sent, because they are many.
func (e *engine) hasNews() bool {
	if e.contradicts {
		return true
	}
	failing := e.own.failedAt > e.own.answeredAt
	turned := failing && e.sent.failedAt <= e.own.answeredAt || e.own.answeredAt > e.own.failedAt && e.sent.failedAt > e.sent.answeredAt
	return turned && e.own != e.sent || failing && e.own.failedAt-e.sent.failedAt >= failureRepeat
}

// hasNewReport reports whether the own load report is newer than any that was received.
func (e *engine) hasNewReport(now Time) bool {
	if e.own.reportedAt == e.sent.reportedAt || now-e.own.reportedAt >= ReportLifetime {
		return false
	}
	return e.own.reportedAt > e.published.ReportAt+reportSpacing
}

// isWaiting reports whether there is something to send of an engine, and its hash names it alone.
func (b *Table) isWaiting(now Time, index int) bool {
	e := &b.engines[index]
	return e.waitingSince != never && e.waitingSince <= now && e.listed && b.byHash[e.hash] == index
}

// NextMessage returns what is worth sending now, or nil: news of failures at once, load reports several together, and never more than the
// budget allows.
func (b *Table) NextMessage(now Time) []byte {
	if !b.shouldSend(now) {
		return nil
	}
	w := newWriter(now)
	b.writeNews(now, w)
	b.writeReports(now, w)
	if w.count == 0 {
		return nil
	}
	message := w.bytes()
	b.byteBudget -= float64(b.peerCount * len(message))
	return message
}

func (b *Table) shouldSend(now Time) bool {
	waiting, urgent, due := 0, false, false
	for i := range b.engines {
		if !b.isWaiting(now, i) {
			continue
		}
		e := &b.engines[i]
		waiting++
		urgent = urgent || e.hasNews()
		due = due || now-e.waitingSince >= batchDelay
	}
	if waiting == 0 || b.byteBudget < float64(b.peerCount*(headBytes+entryBytes)) {
		return false
	}
	return urgent || due || waiting >= batchSize
}

// writeNews writes the engines with news. They are sent once more after a while.
func (b *Table) writeNews(now Time, w *writer) {
	for i := range b.engines {
		e := &b.engines[i]
		if b.isWaiting(now, i) && e.hasNews() && b.writeEntry(now, w, e) {
			e.repeat, e.waitingSince = true, now+batchDelay
		}
	}
}

// writeReports writes the engines with a new load report, and those whose news is repeated.
func (b *Table) writeReports(now Time, w *writer) {
	for i := range b.engines {
		e := &b.engines[i]
		if !b.isWaiting(now, i) || e.hasNews() {
			continue
		}
		if e.repeat || e.hasNewReport(now) {
			b.writeEntry(now, w, e)
		} else {
			e.waitingSince = never
		}
	}
}

// writeEntry reports whether the message and the budget had room for an engine's entry.
func (b *Table) writeEntry(now Time, w *writer, e *engine) bool {
	if float64(b.peerCount*(len(w.b)+entryBytes)) > b.byteBudget || !w.add(now, e.hash, e.StartedAt, b.observationsToSend(e)) {
		return false
	}
	e.sent, e.waitingSince, e.contradicts, e.repeat = e.own, never, false, false
	return true
}

// observationsToSend returns what this gateway observed itself, and nothing that it received.
func (b *Table) observationsToSend(e *engine) observations {
	own := e.own
	if relayPeerReports {
		for k := range b.peers {
			own = merge(own, b.peers[k].observations[b.byName[e.Engine]])
		}
	}
	return own
}
