package router

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"magpiebank/internal/protocol/mysql"
)

// Beyond the descriptors for clients a newcomer takes the place of one without a query, strangers first.
func TestNewcomerDisplacesAnIdleClient(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	s.owner.clients.mu.Lock()
	s.owner.clients.limit = 2
	s.owner.clients.mu.Unlock()
	// The session is in its place some time after its client has heard.
	until := func(there func(d *connectionLimiter) bool) {
		for ok := false; !ok; time.Sleep(time.Millisecond) {
			s.owner.clients.mu.Lock()
			ok = there(&s.owner.clients)
			s.owner.clients.mu.Unlock()
		}
	}
	stranger := s.dial()
	until(func(d *connectionLimiter) bool { return d.sessions == 1 })
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	b := s.newClient()
	stranger.readPacket()
	s.tracef("the stranger has the %s", stranger.readPacket())
	b.sendIdempotentQuery("bb")
	m := e.receive()
	s.tracef("a third client has error %d", int(s.dial().readPacket()[1])|4<<8)
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	until(func(d *connectionLimiter) bool { return d.idleKnown.Len() == 1 })
	c := s.newClient()
	s.tracef("the first client has the %s", a.readPacket())
	e.reply(m, "00000000000000bb", "data", "pages=1,cost=120,need=64", "d\te\tf\n")
	b.expectAnswer()
	c.send(0, []byte{mysql.Ping})
	c.expectAnswer()
	s.compareTrace("door")
}

// In a burst, or while this process stands still, newcomers have spoken and are not read yet: the silent go first.
func TestClientThatHasSpokenKeepsItsPlace(t *testing.T) {
	s := &fixture{t: t}
	l := s.listen()
	d := connectionLimiter{limit: 3}
	var in []*clientSession
	for n, says := range []string{"hello", "", "", "hello", "hello", "hello"} {
		c, err := dialTCP(l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s.closers = append(s.closers, c)
		tcp, _ := l.Accept()
		_, _ = io.WriteString(c, says)
		if says != "" {
			for !hasInput(tcp) {
				time.Sleep(time.Millisecond)
			}
		}
		in = append(in, &clientSession{socket: tcp, connectionID: uint32(n)})
		before := displacedOf(in)
		result := d.admit(in[n])
		after := slices.DeleteFunc(displacedOf(in), func(s *clientSession) bool { return slices.Contains(before, s) })
		if len(after) == 0 {
			fmt.Fprintf(&s.trace, "client %d is let in: %v\n", n, result)
		}
		for _, displaced := range after {
			fmt.Fprintf(&s.trace, "client %d takes the place of client %d\n", n, displaced.connectionID)
		}
	}
	s.compareTrace("burst")
}

// displacedOf returns the sessions that were evicted.
func displacedOf(all []*clientSession) (displaced []*clientSession) {
	for _, s := range all {
		if s.evicted {
			displaced = append(displaced, s)
		}
	}
	return displaced
}
