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
	mu      sync.Mutex
	room    int // 0: no limit
	in      int // sessions that run
	leaving int // connections that end and are lingered for, beyond room
	closing bool
	strange list.List // sessions in line that have asked for nothing yet
	known   list.List // the others in line
}

const (
	// A client that has said nothing of use is owed a close within 3 s of connecting; the rest is for the close.
	firstQuery = 2500 * time.Millisecond
	// Clients close connections that were idle for 4 s; one that is there for longer is stuck or forgotten.
	idleClient = 5 * time.Second
	// What was sent before a stop is looked for this long: requests cease 0.1 s before lastRequests is over.
	lastLook = 100 * time.Millisecond
)

// verdict is what becomes of a client that connects.
type verdict int

const (
	entered     verdict = iota
	refusedFull         // all are in the middle of a query
)

// mostLeaving is how many connections that end may be lingered for at a time: a part of ownDescriptors. Beyond it they are
// closed at once, as a descriptor is wanted for the next.
const mostLeaving = ownDescriptors / 3

// enter lets a session in, where need be in the place of another.
func (d *connectionLimiter) enter(s *session) verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.room > 0 && d.in >= d.room {
		displaced := firstSilent(&d.strange)
		if displaced == nil {
			displaced = firstSilent(&d.known)
		}
		if displaced == nil {
			return refusedFull
		}
		d.displace(displaced)
	}
	d.in++
	d.line(s)
	return entered
}

// displace ends a session that waits for a packet. Its client is told by the end of what it reads; what it sends at that very moment
// is read by the session, as a close over it would be a reset.
func (d *connectionLimiter) displace(s *session) {
	d.out(s)
	s.displaced = true
	d.in--
	d.leaving++
	if d.leaving > mostLeaving {
		s.tcp.Close()
		return
	}
	closeWrite(s.tcp)
	s.tcp.SetReadDeadline(longAgo)
}

// linger tells whether there are descriptors to linger for one more connection; lingered follows when that has ended.
func (d *connectionLimiter) linger() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving >= mostLeaving {
		return false
	}
	d.leaving++
	return true
}

func (d *connectionLimiter) lingered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving--
}

// firstSilent is the first session in a line that has sent nothing which waits to be read: a burst of newcomers, or
// a stall of this process, must not cost one its place that has said what it wants.
func firstSilent(line *list.List) *session {
	for e := line.Front(); e != nil; e = e.Next() {
		if s := e.Value.(*session); !speaks(s.tcp) {
			return s
		}
	}
	return nil
}

// speaks tells whether bytes of a connection wait to be read.
func speaks(tcp net.Conn) bool {
	waiting, _ := look(tcp)
	return waiting
}

// look asks the system what the next read of a connection would bring, without waiting for it: bytes, or its end.
func look(tcp net.Conn) (waiting, ended bool) {
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
func (d *connectionLimiter) rest(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.place == nil && !s.displaced && s.r.Buffered() == 0 {
		d.line(s)
	}
	by := time.Now().Add(idleClient)
	if !s.asked {
		by = s.began.Add(firstQuery)
		if soonest := time.Now().Add(lastLook); by.Before(soonest) { // this process was slow to read the login, not its client
			by = soonest
		}
	}
	if last := time.Now().Add(lastLook); d.closing && last.Before(by) {
		by = last
	}
	s.tcp.SetReadDeadline(by)
}

// work takes a session that reads a packet out of the line, and tells whether it still has its place.
func (d *connectionLimiter) work(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out(s)
	return !s.displaced
}

func (d *connectionLimiter) leave(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.out(s)
	if s.displaced {
		d.leaving--
	} else {
		d.in--
	}
}

func (d *connectionLimiter) line(s *session) {
	if s.line = &d.strange; s.asked {
		s.line = &d.known
	}
	s.place = s.line.PushBack(s)
}

func (d *connectionLimiter) out(s *session) {
	if s.place != nil {
		s.line.Remove(s.place)
		s.place = nil
	}
}

// shut ends the sessions: those in line once they had a last look, the others with their answers.
func (d *connectionLimiter) shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closing = true
	for _, line := range []*list.List{&d.strange, &d.known} {
		for e := line.Front(); e != nil; e = e.Next() {
			e.Value.(*session).tcp.SetReadDeadline(time.Now().Add(lastLook))
		}
	}
}

func (d *connectionLimiter) shutting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closing
}

// empty tells whether no session runs any more, and none is lingered for.
func (d *connectionLimiter) empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.in == 0 && d.leaving == 0
}
