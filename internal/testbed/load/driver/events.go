package driver

import (
	"time"

	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/stats"
)

type eventKind uint8

const (
	eventConnected eventKind = iota
	eventAnswered
	eventClosed
	eventUnexpectedAnswer // something came though no answer was awaited
)

// event is what a connection's goroutine sends its loop.
type event struct {
	kind       eventKind
	at         time.Duration
	conn       *conn
	id         uint64
	outcome    client.Outcome
	retryAfter time.Duration
	refused    bool
}

// refusalCooldown is for how long a target that refused a connection gets none while others are there: as long as a load
// balancer's health check takes to notice, as a rule.
const refusalCooldown = time.Second

// notify queues an event; it wakes the loop only where that sleeps.
func (w *loop) notify(sent event) {
	w.mu.Lock()
	w.inbox = append(w.inbox, sent)
	w.mu.Unlock()
	if w.asleep.Load() {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

func (w *loop) drainInbox() {
	w.mu.Lock()
	events := w.inbox
	w.inbox = w.spare[:0]
	w.mu.Unlock()
	for i := range events {
		w.handle(&events[i])
		events[i] = event{}
	}
	w.spare = events
}

func (w *loop) handle(received *event) {
	source := received.conn
	if received.kind == eventUnexpectedAnswer {
		w.metrics.RecordViolation(stats.ViolationUnexpectedAnswer, received.id)
		return
	}
	if w.connections[source.session] != source { // closed by this side meanwhile
		return
	}
	switch received.kind {
	case eventUnexpectedAnswer: // recorded above
	case eventConnected:
		source.connected = true
		w.clients.HandleConnected(received.at, source.session, source.connection)
	case eventAnswered:
		w.clients.HandleAnswer(received.at, source.session, received.id, received.outcome, received.retryAfter)
	case eventClosed:
		if received.refused {
			w.avoidTargets[source.target] = received.at + refusalCooldown
		}
		w.connections[source.session] = nil
		w.driver.OpenSessions.Add(-1)
		w.clients.HandleClosed(received.at, source.session, received.refused)
	}
}
