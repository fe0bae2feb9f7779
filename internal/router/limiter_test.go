package router

import (
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"magpiebank/internal/protocol/mysql"
)

// Beyond the descriptors for clients a newcomer takes the place of one without a query, strangers first.
func TestNewcomerDisplacesAnIdleClient(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t, e)
	s.o.clients.mu.Lock()
	s.o.clients.room = 2
	s.o.clients.mu.Unlock()
	// The session is in its place some time after its client has heard.
	until := func(there func(d *connectionLimiter) bool) {
		for ok := false; !ok; time.Sleep(time.Millisecond) {
			s.o.clients.mu.Lock()
			ok = there(&s.o.clients)
			s.o.clients.mu.Unlock()
		}
	}
	stranger := s.dial()
	until(func(d *connectionLimiter) bool { return d.in == 1 })
	a := s.client()
	a.look("aa")
	k := e.hears()
	b := s.client()
	stranger.packet()
	s.say("the stranger has the %s", stranger.packet())
	b.look("bb")
	m := e.hears()
	s.say("a third client has error %d", int(s.dial().packet()[1])|4<<8)
	e.says(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.gets()
	until(func(d *connectionLimiter) bool { return d.known.Len() == 1 })
	c := s.client()
	s.say("the first client has the %s", a.packet())
	e.says(m, "00000000000000bb", "data", "pages=1,cost=120,need=64", "d\te\tf\n")
	b.gets()
	c.send(0, []byte{mysql.Ping})
	c.gets()
	s.end("door")
}

// In a burst, or while this process stands still, newcomers have spoken and are not read yet: the silent go first.
func TestClientThatHasSpokenKeepsItsPlace(t *testing.T) {
	s := &stage{t: t}
	l := s.listen()
	d := connectionLimiter{room: 3}
	var in []*session
	for n, says := range []string{"hello", "", "", "hello", "hello", "hello"} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		s.things = append(s.things, c)
		tcp, _ := l.Accept()
		if io.WriteString(c, says); says != "" {
			for !speaks(tcp) {
				time.Sleep(time.Millisecond)
			}
		}
		in = append(in, &session{tcp: tcp, connection: uint32(n)})
		before := displacedOf(in)
		result := d.enter(in[n])
		after := slices.DeleteFunc(displacedOf(in), func(s *session) bool { return slices.Contains(before, s) })
		if len(after) == 0 {
			fmt.Fprintf(&s.out, "client %d is let in: %v\n", n, result == entered)
		}
		for _, displaced := range after {
			fmt.Fprintf(&s.out, "client %d takes the place of client %d\n", n, displaced.connection)
		}
	}
	s.end("burst")
}

// displacedOf finds the sessions that lost their places.
func displacedOf(all []*session) (displaced []*session) {
	for _, s := range all {
		if s.displaced {
			displaced = append(displaced, s)
		}
	}
	return displaced
}
