package router

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// connectionLimiter keeps the clients' connections within their part of the descriptors. What is not in the middle of a query
// stands in a line; a newcomer who finds no room takes the place of the first there of which nothing waits to be read:
// of those that have asked for nothing yet the oldest, else the one longest without a query. A connection with a query
// is never closed for it.
type connectionLimiter struct {
	mu            sync.Mutex
	limit         int // 0: no limit
	sessions      int // sessions that run
	lingering     int // connections that end and are lingered for, beyond room
	closing       bool
	idleNewcomers list.List // sessions in line that have asked for nothing yet
	idleKnown     list.List // the others in line
}

const (
	// A client that has said nothing of use is owed a close within 3 s of connecting; the rest is for the close.
	firstQueryTimeout = 2500 * time.Millisecond
	// Clients close connections that were idle for 4 s; one that is there for longer is stuck or forgotten.
	idleClientTimeout = 5 * time.Second
	// What was sent before a stop is looked for this long: requests cease 0.1 s before lastRequests is over.
	finalReadWait = 100 * time.Millisecond
)

// verdict is what becomes of a client that connects.
type admitResult int

const (
	sessionAdmitted admitResult = iota
	sessionRefused              // all are in the middle of a query
)

// mostLeaving is how many connections that end may be lingered for at a time: a part of ownDescriptors. Beyond it they are
// closed at once, as a descriptor is wanted for the next.
const maxLingering = reservedDescriptors / 3

// enter lets a session in, where need be in the place of another.
func (l *connectionLimiter) admit(s *clientSession) admitResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit > 0 && l.sessions >= l.limit {
		displaced := firstWithoutInput(&l.idleNewcomers)
		if displaced == nil {
			displaced = firstWithoutInput(&l.idleKnown)
		}
		if displaced == nil {
			return sessionRefused
		}
		l.evict(displaced)
	}
	l.sessions++
	l.addIdle(s)
	return sessionAdmitted
}

// displace ends a session that waits for a packet. Its client is told by the end of what it reads; what it sends at that very moment
// is read by the session, as a close over it would be a reset.
func (l *connectionLimiter) evict(s *clientSession) {
	l.removeIdle(s)
	s.evicted = true
	l.sessions--
	l.lingering++
	if l.lingering > maxLingering {
		s.socket.Close()
		return
	}
	closeWrite(s.socket)
	s.socket.SetReadDeadline(expiredDeadline)
}

// linger tells whether there are descriptors to linger for one more connection; lingered follows when that has ended.
func (l *connectionLimiter) beginLinger() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering >= maxLingering {
		return false
	}
	l.lingering++
	return true
}

func (l *connectionLimiter) endLinger() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
}

// firstSilent is the first session in a line that has sent nothing which waits to be read: a burst of newcomers, or
// a stall of this process, must not cost one its place that has said what it wants.
func firstWithoutInput(line *list.List) *clientSession {
	for e := line.Front(); e != nil; e = e.Next() {
		if s := e.Value.(*clientSession); !hasInput(s.socket) {
			return s
		}
	}
	return nil
}

// speaks tells whether bytes of a connection wait to be read.
func hasInput(tcp net.Conn) bool {
	waiting, _ := peekSocket(tcp)
	return waiting
}

// look asks the system what the next read of a connection would bring, without waiting for it: bytes, or its end.
func peekSocket(tcp net.Conn) (waiting, ended bool) {
	socket, ok := tcp.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, false
	}
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = n > 0
		ended = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	return waiting, ended
}

// rest puts a session into the line while it waits for a packet, and sets the time until which it does.
func (l *connectionLimiter) markIdle(s *clientSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.idleElement == nil && !s.evicted && s.input.Buffered() == 0 {
		l.addIdle(s)
	}
	by := time.Now().Add(idleClientTimeout)
	if !s.answeredOnce {
		by = s.startedAt.Add(firstQueryTimeout)
		if soonest := time.Now().Add(finalReadWait); by.Before(soonest) { // this process was slow to read the login, not its client
			by = soonest
		}
	}
	if last := time.Now().Add(finalReadWait); l.closing && last.Before(by) {
		by = last
	}
	s.socket.SetReadDeadline(by)
}

// work takes a session that reads a packet out of the line, and tells whether it still has its place.
func (l *connectionLimiter) markBusy(s *clientSession) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(s)
	return !s.evicted
}

func (l *connectionLimiter) remove(s *clientSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeIdle(s)
	if s.evicted {
		l.lingering--
	} else {
		l.sessions--
	}
}

func (l *connectionLimiter) addIdle(s *clientSession) {
	if s.idleList = &l.idleNewcomers; s.answeredOnce {
		s.idleList = &l.idleKnown
	}
	s.idleElement = s.idleList.PushBack(s)
}

func (l *connectionLimiter) removeIdle(s *clientSession) {
	if s.idleElement != nil {
		s.idleList.Remove(s.idleElement)
		s.idleElement = nil
	}
}

// shut ends the sessions: those in line once they had a last look, the others with their answers.
func (l *connectionLimiter) beginShutdown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, line := range []*list.List{&l.idleNewcomers, &l.idleKnown} {
		for e := line.Front(); e != nil; e = e.Next() {
			e.Value.(*clientSession).socket.SetReadDeadline(time.Now().Add(finalReadWait))
		}
	}
}

func (l *connectionLimiter) isShuttingDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// empty tells whether no session runs any more, and none is lingered for.
func (l *connectionLimiter) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions == 0 && l.lingering == 0
}
