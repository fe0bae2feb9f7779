package router

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"magpiebank/internal/protocol/mysql"
)

// When the limit of sessions is reached, a new client evicts an idle one. Clients that have not had a command answered yet are
// evicted first.
func TestNewClientEvictsAnIdleClient(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	s.owner.clients.mu.Lock()
	s.owner.clients.limit = 2
	s.owner.clients.mu.Unlock()
	// A session may enter its idle list some time after its client has received the answer.
	awaitLimiter := func(condition func(limiter *connectionLimiter) bool) {
		for ok := false; !ok; time.Sleep(time.Millisecond) {
			s.owner.clients.mu.Lock()
			ok = condition(&s.owner.clients)
			s.owner.clients.mu.Unlock()
		}
	}
	newcomer := s.dial()
	awaitLimiter(func(limiter *connectionLimiter) bool { return limiter.sessions == 1 })
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	b := s.newClient()
	newcomer.readPacket()
	s.tracef("the stranger has the %s", newcomer.readPacket())
	b.sendIdempotentQuery("bb")
	secondConn := e.receive()
	s.tracef("a third client has error %d", int(s.dial().readPacket()[1])|4<<8)
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	awaitLimiter(func(limiter *connectionLimiter) bool { return limiter.idleEstablished.Len() == 1 })
	c := s.newClient()
	s.tracef("the first client has the %s", a.readPacket())
	e.reply(secondConn, "00000000000000bb", "data", "pages=1,cost=120,need=64", "d\te\tf\n")
	b.expectAnswer()
	c.send(0, []byte{mysql.Ping})
	c.expectAnswer()
	s.compareTrace("door")
}

// In a burst of new clients, or during a stall of this process, sessions can have input that is not read yet. Sessions without
// unread input must be evicted first.
func TestClientWithUnreadInputIsNotEvicted(t *testing.T) {
	s := &fixture{t: t}
	listener := s.listen()
	limiter := connectionLimiter{limit: 3}
	var sessions []*clientSession
	for n, input := range []string{"hello", "", "", "hello", "hello", "hello"} {
		c, err := dialTCP(listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s.closers = append(s.closers, c)
		accepted, _ := listener.Accept()
		_, _ = io.WriteString(c, input)
		if input != "" {
			for !hasInput(accepted) {
				time.Sleep(time.Millisecond)
			}
		}
		sessions = append(sessions, &clientSession{socket: accepted, connectionID: uint32(n)})
		evictedBefore := evictedOf(sessions)
		admitted := limiter.admit(sessions[n])
		newlyEvicted := slices.DeleteFunc(evictedOf(sessions), func(s *clientSession) bool { return slices.Contains(evictedBefore, s) })
		if len(newlyEvicted) == 0 {
			fmt.Fprintf(&s.trace, "client %d is let in: %v\n", n, admitted)
		}
		for _, evicted := range newlyEvicted {
			fmt.Fprintf(&s.trace, "client %d takes the place of client %d\n", n, evicted.connectionID)
		}
	}
	s.compareTrace("burst")
}

// evictedOf returns the evicted ones among the given sessions.
func evictedOf(all []*clientSession) (evicted []*clientSession) {
	for _, s := range all {
		if s.evicted {
			evicted = append(evicted, s)
		}
	}
	return evicted
}
