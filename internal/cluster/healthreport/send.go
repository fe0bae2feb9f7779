package healthreport

import "magpiebank/internal/admission"

const (
	// batchDelay is how long a load report waits for other load reports that share the head of its message, and how long news waits
	// before it is repeated.
	batchDelay = 100 * admission.Millisecond
	// batchSize is the number of waiting engines from which on a message is sent without further delay.
	batchSize = 6
	// reportSpacing is the minimum time by which a load report must be newer than any received one to be sent. It is half of the shortest
	// interval between an engine's reports, so that the reports of every second gateway are not sent.
	reportSpacing = 100 * admission.Millisecond
	// failureRepeat is the interval at which an ongoing failure is sent again, so that gateways that started in the meantime learn of it
	// and its age stays known.
	failureRepeat = admission.Second
	// budgetMessages limits the byte budget to that number of messages to every peer, so that savings from an idle hour do not allow a
	// burst of messages.
	budgetMessages = 4
)

// Observe records an observation made by this gateway, and adds byteBudget bytes to the budget for messages.
func (b *Table) Observe(now Time, name admission.EngineID, observed admission.Observation, report admission.Report, byteBudget float64) {
	b.byteBudget = min(b.byteBudget+byteBudget, float64(budgetMessages*MaxMessageBytes*b.peerCount))
	i, ok := b.byName[name]
	if !ok {
		return
	}
	e := &b.engines[i]
	switch {
	case observed == admission.Answered:
		e.own.answeredAt = now
	case observed.IsFailure():
		e.own.failedAt, e.own.failure = now, observed
	}
	if report != admission.NoReport && report != e.own.report {
		e.own.report, e.own.reportedAt = report, now
	}
	if e.publishedFinding.Witnesses > 0 && observed != admission.Reported {
		e.contradictsPeers = e.publishedFinding.Witnesses > 1 && observed == admission.Answered
		b.markChanged(i) // an answer overrides earlier failures observed by peers, here and at the receivers; a failure confirms them
	}
	if e.waitingSince == never && (e.hasNews() || e.hasNewReport(now)) {
		e.waitingSince = now
	}
}

// hasNews reports whether there is news to send: the first failure after an answer, an ongoing failure that must be repeated, or an answer
// after a failure that this gateway or peers reported. Other answers are not sent, because they are too many.
func (e *engine) hasNews() bool {
	if e.contradictsPeers {
		return true
	}
	failing := e.own.failedAt > e.own.answeredAt
	outcomeChanged := failing && e.sent.failedAt <= e.own.answeredAt || e.own.answeredAt > e.own.failedAt && e.sent.failedAt > e.sent.answeredAt
	return outcomeChanged && e.own != e.sent || failing && e.own.failedAt-e.sent.failedAt >= failureRepeat
}

// hasNewReport reports whether the own load report was not sent yet, is recent, and is newer than any received one by reportSpacing.
func (e *engine) hasNewReport(now Time) bool {
	if e.own.reportedAt == e.sent.reportedAt || now-e.own.reportedAt >= ReportLifetime {
		return false
	}
	return e.own.reportedAt > e.publishedFinding.ReportAt+reportSpacing
}

// isWaiting reports whether there is something to send about an engine, and no other engine has its hash.
func (b *Table) isWaiting(now Time, index int) bool {
	e := &b.engines[index]
	return e.waitingSince != never && e.waitingSince <= now && e.listed && b.byHash[e.hash] == index
}

// NextMessage returns the next message to send now, or nil. News is sent at once, and load reports are sent in batches. No message exceeds
// the budget.
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

// writeNews writes entries for the engines with news, and schedules their repetition after batchDelay.
func (b *Table) writeNews(now Time, w *writer) {
	for i := range b.engines {
		e := &b.engines[i]
		if b.isWaiting(now, i) && e.hasNews() && b.writeEntry(now, w, e) {
			e.repeatNews, e.waitingSince = true, now+batchDelay
		}
	}
}

// writeReports writes entries for the engines with a new load report and for those whose news is repeated.
func (b *Table) writeReports(now Time, w *writer) {
	for i := range b.engines {
		e := &b.engines[i]
		if !b.isWaiting(now, i) || e.hasNews() {
			continue
		}
		if e.repeatNews || e.hasNewReport(now) {
			b.writeEntry(now, w, e)
		} else {
			e.waitingSince = never
		}
	}
}

// writeEntry writes an entry for an engine. It returns false if the entry does not fit into the message or the budget.
func (b *Table) writeEntry(now Time, w *writer, e *engine) bool {
	if float64(b.peerCount*(len(w.b)+entryBytes)) > b.byteBudget || !w.add(now, e.hash, e.StartedAt, b.observationsToSend(e)) {
		return false
	}
	e.sent, e.waitingSince, e.contradictsPeers, e.repeatNews = e.own, never, false, false
	return true
}

// observationsToSend returns this gateway's own observations of an engine, and none that it received from peers.
func (b *Table) observationsToSend(e *engine) observations {
	own := e.own
	if relayPeerReports {
		for k := range b.peers {
			own = merge(own, b.peers[k].observations[b.byName[e.Engine]])
		}
	}
	return own
}
