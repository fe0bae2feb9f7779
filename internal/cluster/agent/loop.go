package agent

import (
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
)

// tickInterval is the pace of the agent's goroutine. Health reports wait some 100 ms for others, failures this long.
const tickInterval = 20 * time.Millisecond

// run is the agent's goroutine. Closing stop ends it.
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

// leave tells the other gateways that this one goes, and gives up what it holds.
func (a *Agent) leave(now admission.Time) {
	a.members.Leave(now)
	if a.quota != nil {
		a.quota.leave()
	}
	if a.policies != nil {
		a.policies.stop(a.clock.Now())
	}
}

// tick steps the cores and passes on what they found. A displaced gateway steps its membership alone.
func (a *Agent) tick(now admission.Time) {
	if now >= a.members.NextTick() {
		a.members.Tick(now)
	}
	if start := a.members.Self().Incarnation; start != a.start {
		a.start = start
		a.history.Write(history.Event{Kind: history.StartChanged, Detail: start})
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

// The bounds of wakeMonitor.
const (
	stallThreshold    = admission.Second / 2   // far more than the tick interval
	stallRecovery     = admission.Second / 5   // within which a full socket buffer is read
	lateWakeThreshold = 100 * time.Millisecond // five tick intervals
)

// wakeMonitor notices that the agent's goroutine was woken late, as it is when the whole process stood still.
type wakeMonitor struct {
	lastAt        admission.Time // at which the goroutine ran last
	lastHistoryAt int64          // the same by the clock of histories, where one is written
	deafUntil     admission.Time // before which health reports are ignored
}

// recordWake records that the goroutine runs. After a stall, datagrams that lay in the socket's buffer are read with
// the time at which the process woke. Health reports are ignored for a moment then, because nobody knows their age.
func (w *wakeMonitor) recordWake(now admission.Time, writer *history.Writer) {
	if w.lastAt > 0 && now-w.lastAt >= stallThreshold {
		w.deafUntil = now + stallRecovery
	}
	w.lastAt = max(w.lastAt, now)
	w.recordLateWake(writer)
}

// recordLateWake writes into the history that the goroutine was woken late. It tells readers of histories what the
// machine was too busy for.
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
