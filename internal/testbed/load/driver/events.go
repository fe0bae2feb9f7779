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

// enqueue queues an event; it wakes the loop only where that sleeps.
func (l *loop) enqueue(sent event) {
	l.mu.Lock()
	l.inbox = append(l.inbox, sent)
	l.mu.Unlock()
	if l.waitsForEvent.Load() {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

func (l *loop) drainInbox() {
	l.mu.Lock()
	events := l.inbox
	l.inbox = l.spareInbox[:0]
	l.mu.Unlock()
	for i := range events {
		l.handle(&events[i])
		events[i] = event{}
	}
	l.spareInbox = events
}

func (l *loop) handle(received *event) {
	source := received.conn
	if received.kind == eventUnexpectedAnswer {
		l.metrics.RecordViolation(stats.ViolationUnexpectedAnswer, received.id)
		return
	}
	if l.connections[source.sessionID] != source { // closed by this side meanwhile
		return
	}
	switch received.kind {
	case eventUnexpectedAnswer: // recorded above
	case eventConnected:
		source.connected = true
		l.clients.HandleConnected(received.at, source.sessionID, source.connectionID)
	case eventAnswered:
		l.clients.HandleAnswer(received.at, source.sessionID, received.id, received.outcome, received.retryAfter)
	case eventClosed:
		if received.refused {
			l.avoidTargetUntil[source.target] = received.at + refusalCooldown
		}
		l.connections[source.sessionID] = nil
		l.driver.OpenSessions.Add(-1)
		l.clients.HandleClosed(received.at, source.sessionID, received.refused)
	}
}
