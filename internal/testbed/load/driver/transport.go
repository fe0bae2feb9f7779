package driver

import (
	"slices"
	"time"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/timerwheel"
)

// maxInlineWrite is how many bytes fit into a socket's buffer when nothing else is in it. Longer packets are written by
// a goroutine, because the write may block.
const maxInlineWrite = 1 << 14

var _ client.Transport = (*loop)(nil)

// SetTimer implements client.Transport.
func (w *loop) SetTimer(at time.Duration, request int32, sequence uint32) {
	var number int32
	if free := len(w.freeTimers); free > 0 {
		number, w.freeTimers = w.freeTimers[free-1], w.freeTimers[:free-1]
	} else {
		w.timers = append(w.timers, timer{})
		number = int32(len(w.timers) - 1)
	}
	w.timers[number] = timer{at, request, sequence}
	w.wheel.Add(timerwheel.Tick((at+tickSize-1)/tickSize), uint64(number))
}

// Dial implements client.Transport.
func (w *loop) Dial(session client.Session) {
	for len(w.connections) <= int(session) {
		w.connections = append(w.connections, nil)
	}
	dialed := &conn{loop: w, session: session, target: w.pickTarget()}
	w.connections[session] = dialed
	w.driver.OpenSessions.Add(1)
	go dialed.run()
}

// pickTarget takes the targets in turn and leaves out those that refused a moment ago, unless all did.
func (w *loop) pickTarget() int {
	now := w.now()
	for range w.avoidTargets {
		w.lastTarget = (w.lastTarget + 1) % len(w.avoidTargets)
		if w.avoidTargets[w.lastTarget] <= now {
			return w.lastTarget
		}
	}
	w.lastTarget = (w.lastTarget + 1) % len(w.avoidTargets)
	return w.lastTarget
}

// Send implements client.Transport.
func (w *loop) Send(session client.Session, attempt *client.Attempt) {
	target := w.connections[session]
	class := &w.driver.load.Classes[attempt.Request.Class]
	w.buffer = appendQuery(w.buffer[:0], class, attempt)
	target.slow.Store(attempt.Slow)
	target.expected.Store(attempt.ID)
	if len(w.buffer) > maxInlineWrite {
		go target.write(slices.Clone(w.buffer)) // ends at the latest when the connection is closed
		return
	}
	target.write(w.buffer)
	w.clients.HandleSent(w.now(), session, attempt.ID)
}

// appendQuery appends an attempt's packet.
func appendQuery(dst []byte, class *arrival.Class, attempt *client.Attempt) []byte {
	fields := mysql.QueryFields{Class: class.WireName(), ID: attempt.ID, WaitMS: attempt.WaitMS, Retry: attempt.Retry}
	return mysql.AppendQuery(dst, fields, func(dst []byte) []byte {
		return class.Statement(dst, attempt.Request)
	})
}

// Close implements client.Transport.
func (w *loop) Close(session client.Session) {
	closed := w.connections[session]
	w.connections[session] = nil
	w.driver.OpenSessions.Add(-1)
	closed.leave()
}

// KillQuery implements client.Transport.
func (w *loop) KillQuery(connection uint32) {
	target := w.lastTarget
	for _, open := range w.connections {
		if open != nil && open.connected && open.connection == connection {
			target = open.target
			break
		}
	}
	go killQuery(w.driver.load.Targets[target], connection) // ends with its session's deadline
}

// Finished implements client.Transport.
func (w *loop) Finished(report *client.Report) {
	w.driver.Finished.Add(1)
	w.metrics.RecordFinished(report)
	if w.driver.load.OnFinished != nil {
		w.driver.load.OnFinished(report)
	}
}
