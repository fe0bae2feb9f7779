package agent

import (
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
)

// tickInterval is the time between two ticks of the agent's goroutine if no event wakes it earlier. Load reports wait some
// 100 ms to be sent together; reports of failures wait at most one interval.
const tickInterval = 20 * time.Millisecond

// run is the main loop of the agent's goroutine. It ends when stop is closed.
func (a *Agent) run() {
	defer close(a.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		a.wake.recordWake(a.clock.Now(), a.history)
		select {
		case <-a.queue.Wake:
			a.queue.Drain(a.handle)
		case <-ticker.C:
			a.queue.Drain(a.handle)
		case <-a.stop:
			a.queue.Drain(a.handle)
			a.leave(a.clock.Now())
			return
		}
		a.tick(a.clock.Now())
	}
}

// leave notifies the other gateways that this one leaves, and releases its policy lease and, if no unit of it is
// in use or lent, its share of the budgets.
func (a *Agent) leave(now admission.Time) {
	a.members.Leave(now)
	if a.quota != nil {
		a.quota.leave()
	}
	if a.policies != nil {
		a.policies.stop(a.clock.Now())
	}
}

// tick steps the cores and passes on their findings. A displaced gateway, whose name a later process has, steps only its
// membership and its health reports, which it doesn't broadcast.
func (a *Agent) tick(now admission.Time) {
	if now >= a.members.NextTick() {
		a.members.Tick(now)
	}
	if incarnation := a.members.Self().Incarnation; incarnation != a.incarnation {
		a.incarnation = incarnation
		a.history.Write(history.Event{Kind: history.StartChanged, Detail: incarnation})
	}
	if !a.members.IsInactive() {
		a.counters.tick(now)
		if a.quota != nil {
			a.quota.tick(now)
		}
		if a.policies != nil {
			a.policies.tick(now)
		}
	}
	a.health.tick(now)
	a.transport.logDropped()
}

// The thresholds of wakeMonitor.
const (
	stallThreshold    = admission.Second / 2   // a gap this long, far more than tickInterval, counts as a stall
	stallRecovery     = admission.Second / 5   // time in which a full socket buffer is read after a stall
	lateWakeThreshold = 100 * time.Millisecond // five tick intervals; the history records gaps from this length on
)

// wakeMonitor detects that the agent's goroutine ran late, for example because the whole process was stopped for a while.
type wakeMonitor struct {
	lastAt             admission.Time // time at which the goroutine last ran
	lastHistoryAt      int64          // the same time on the clock of histories, if a history is written
	ignoreReportsUntil admission.Time // health reports are ignored before this time
}

// recordWake records that the goroutine runs. Datagrams that were in the socket's buffer during a stall get the time at which
// the process resumed as their time of arrival. Health reports are therefore ignored for a moment after a stall, because their
// age is unknown.
func (w *wakeMonitor) recordWake(now admission.Time, writer *history.Writer) {
	if w.lastAt > 0 && now-w.lastAt >= stallThreshold {
		w.ignoreReportsUntil = now + stallRecovery
	}
	w.lastAt = max(w.lastAt, now)
	w.recordLateWake(writer)
}

// recordLateWake writes to the history that the goroutine ran late. Readers of the history can tell from it that the machine
// was too busy.
func (w *wakeMonitor) recordLateWake(writer *history.Writer) {
	if writer == nil {
		return
	}
	now := history.Now()
	gapNanos := now - w.lastHistoryAt
	if w.lastHistoryAt > 0 && gapNanos >= int64(lateWakeThreshold) {
		writer.Write(history.Event{Kind: history.LateWake, AgeNanos: gapNanos})
	}
	w.lastHistoryAt = now
}
