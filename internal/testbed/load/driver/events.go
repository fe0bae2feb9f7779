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
	eventUnexpectedAnswer // data arrived although no answer was expected
)

// event is a message from the goroutine of a connection to its loop.
type event struct {
	kind       eventKind
	at         time.Duration // from the start of the run
	conn       *conn
	id         uint64 // of the attempt
	outcome    client.Outcome
	retryAfter time.Duration
	refused    bool // of eventClosed: the connection can't have carried a query
}

// refusalCooldown is how long a target that refused a connection gets no new ones while other targets are available.
// The health check of a load balancer usually takes this long to detect a failure.
const refusalCooldown = time.Second

// enqueue adds an event to the inbox of the loop. It wakes the loop only if the loop waits for an event.
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

// drainInbox handles all events in the inbox.
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
	if l.connections[source.sessionID] != source { // the loop has closed the connection in the meantime
		return
	}
	switch received.kind {
	case eventUnexpectedAnswer: // handled above
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
