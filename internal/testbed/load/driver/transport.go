package driver

import (
	"slices"
	"time"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/timerwheel"
)

// maxInlineWrite is the number of bytes that fit into an empty socket buffer. A separate goroutine writes longer
// packets, because the write may block.
const maxInlineWrite = 1 << 14

var _ client.Transport = (*loop)(nil)

// SetTimer implements client.Transport.
func (l *loop) SetTimer(at time.Duration, request int32, sequence uint32) {
	var number int32
	if free := len(l.freeTimers); free > 0 {
		number, l.freeTimers = l.freeTimers[free-1], l.freeTimers[:free-1]
	} else {
		l.timers = append(l.timers, timer{})
		number = int32(len(l.timers) - 1)
	}
	l.timers[number] = timer{at, request, sequence}
	l.wheel.Add(timerwheel.Tick((at+tickSize-1)/tickSize), uint64(number))
}

// Dial implements client.Transport.
func (l *loop) Dial(sessionID client.SessionID) {
	for len(l.connections) <= int(sessionID) {
		l.connections = append(l.connections, nil)
	}
	dialed := &conn{loop: l, sessionID: sessionID, target: l.pickTarget()}
	l.connections[sessionID] = dialed
	l.driver.OpenSessions.Add(1)
	go dialed.run()
}

// pickTarget returns the next target in turn. It skips targets that refused a connection recently, unless all did.
func (l *loop) pickTarget() int {
	now := l.now()
	for range l.avoidTargetUntil {
		l.lastTarget = (l.lastTarget + 1) % len(l.avoidTargetUntil)
		if l.avoidTargetUntil[l.lastTarget] <= now {
			return l.lastTarget
		}
	}
	l.lastTarget = (l.lastTarget + 1) % len(l.avoidTargetUntil)
	return l.lastTarget
}

// Send implements client.Transport.
func (l *loop) Send(sessionID client.SessionID, attempt *client.Attempt) {
	target := l.connections[sessionID]
	class := &l.driver.load.Classes[attempt.Request.Class]
	l.buffer = appendQuery(l.buffer[:0], class, attempt)
	target.slow.Store(attempt.Slow)
	target.expectedID.Store(attempt.ID)
	if len(l.buffer) > maxInlineWrite {
		go target.write(slices.Clone(l.buffer)) // ends when the connection is closed, at the latest
		return
	}
	target.write(l.buffer)
	l.clients.HandleSent(l.now(), sessionID, attempt.ID)
}

// appendQuery appends the query packet of an attempt.
func appendQuery(dst []byte, class *arrival.Class, attempt *client.Attempt) []byte {
	fields := mysql.QueryFields{Class: class.WireName(), ID: attempt.ID, WaitMS: attempt.WaitMS, Retry: attempt.Retry}
	return mysql.AppendQuery(dst, fields, func(dst []byte) []byte {
		return class.Statement(dst, attempt.Request)
	})
}

// Close implements client.Transport.
func (l *loop) Close(sessionID client.SessionID) {
	closed := l.connections[sessionID]
	l.connections[sessionID] = nil
	l.driver.OpenSessions.Add(-1)
	closed.disconnect()
}

// KillQuery implements client.Transport.
func (l *loop) KillQuery(connectionID uint32) {
	target := l.lastTarget
	for _, open := range l.connections {
		if open != nil && open.connected && open.connectionID == connectionID {
			target = open.target
			break
		}
	}
	go killQuery(l.driver.load.Targets[target], connectionID) // ends when the deadline of its connection passes, at the latest
}

// Finished implements client.Transport.
func (l *loop) Finished(report *client.Report) {
	l.driver.Finished.Add(1)
	l.metrics.RecordFinished(report)
	if l.driver.load.OnFinished != nil {
		l.driver.load.OnFinished(report)
	}
}
