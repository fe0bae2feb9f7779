package router

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/protocol/resp"
)

// queryPacket is a request as it lies on the wire.
func queryPacket(id string) []byte {
	sql := "\x03/* class=look,id=00000000000000" + id + ",wait=5000 */ SELECT a FROM t_7.x"
	return append([]byte{byte(len(sql)), 0, 0, 0}, sql...)
}

// loginPacket is a login as it lies on the wire.
func loginPacket() []byte {
	login := append(append([]byte{0, 0x82, 0, 0}, make([]byte, 28)...), "app\x00\x00"...)
	return append([]byte{byte(len(login)), 0, 0, 1}, login...)
}

// ends reads until the connection ends and tells how; it was reset if that is no io.EOF.
func (c *testClient) ends() error {
	c.socket.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	for {
		if _, err := c.reader.ReadByte(); err != nil {
			return err
		}
	}
}

// Whom the system had accepted when the router stops accepting is served to the end, and not reset.
func TestStopServesWhomTheSystemAccepted(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	listener := s.listen()
	const waiting = 3
	var clients []*testClient
	for n := range waiting { // nobody accepts yet
		c, err := dialTCP(listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = c.Write(append(loginPacket(), queryPacket(fmt.Sprintf("a%d", n))...))
		clients = append(clients, &testClient{fixture: s, socket: c, reader: bufio.NewReader(c)})
	}
	acceptor := &acceptor{owner: s.owner, listener: listener, done: make(chan struct{})}
	_ = asTCPListener(listener).SetDeadline(expiredDeadline) // the stop comes before the first accept
	go acceptor.run()
	acceptor.stop()
	for range clients {
		h := <-e.received
		_, _ = h.conn.Write(resp.AppendArray(nil, h.parts[1], "data", "pages=1,cost=120,need=64", "a\tb\tc\n"))
	}
	for _, c := range clients {
		c.socket.SetReadDeadline(time.Now().Add(eventuallyTimeout))
		c.readPacket() // the greeting
		c.readPacket() // the login is fine
		c.expectAnswer()
	}
	if got := strings.Count(s.trace.String(), "client gets: rows"); got != waiting {
		t.Errorf("%d of %d served:\n%s", got, waiting, s.trace.String())
	}
	s.owner.clients.beginShutdown()
	for i, c := range clients {
		if err := c.ends(); !errors.Is(err, io.EOF) {
			t.Errorf("client %d: %v", i, err)
		}
	}
}

// A request that is read once the router stops is refused and never sent on; one in hand is answered.
func TestStopRefusesWhatIsReadLater(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	s.owner.clients.beginShutdown()
	a.sendIdempotentQuery("bb") // on its way while the other is in hand
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	a.expectAnswer()
	if err := a.ends(); !errors.Is(err, io.EOF) {
		t.Errorf("the session ended with %v", err)
	}
	if len(e.received) > 0 {
		t.Errorf("the engine heard %q", (<-e.received).parts)
	}
	s.awaitLog("code=stopped")
	s.compareTrace("stop refuses")
}

// A request that crosses the end of its session is read, so that the connection is not reset under what went before.
func TestEndOfSessionIsNoReset(t *testing.T) {
	for what, end := range map[string]func(s *fixture){
		"stop": func(s *fixture) { s.owner.clients.beginShutdown() },
		"displaced": func(s *fixture) {
			s.owner.clients.mu.Lock()
			defer s.owner.clients.mu.Unlock()
			for idle := range sessionsOf(&s.owner.clients.idleKnown) {
				s.owner.clients.evict(idle)
				return
			}
			s.t.Error("no session is idle")
		},
	} {
		t.Run(what, func(t *testing.T) {
			e := newFakeEngine(t, "e1")
			s := startFixture(t, e)
			defer s.close()
			a := s.newClient()
			a.send(0, []byte{0x0e})
			a.readPacket()
			eventually(t, "the session rests", func() bool {
				s.owner.clients.mu.Lock()
				defer s.owner.clients.mu.Unlock()
				return s.owner.clients.idleKnown.Len() == 1
			})
			end(s)
			if err := a.ends(); !errors.Is(err, io.EOF) {
				t.Fatalf("the session ended with %v", err)
			}
			for _, id := range []string{"aa", "ab"} { // a reset answers the first and fails the second
				if _, err := a.socket.Write(queryPacket(id)); err != nil {
					t.Errorf("the connection was reset: %v", err)
				}
			}
			_ = asTCP(a.socket).CloseWrite()
			s.awaitLog("side=client")
			if err := a.ends(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ended with %v", err)
			}
			if len(e.received) > 0 {
				t.Errorf("the engine heard %q", (<-e.received).parts)
			}
		})
	}
}

// Who is turned away hears why, though its login and a query lie unread.
func TestTurnedAwayIsNoReset(t *testing.T) {
	s := startFixture(t)
	defer s.close()
	s.owner.clients.mu.Lock()
	s.owner.clients.limit = 1
	s.owner.clients.sessions = 1 // one in the middle of a query
	s.owner.clients.mu.Unlock()
	listener := s.listen()
	c, err := dialTCP(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write(append(loginPacket(), queryPacket("aa")...))
	tcp, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the login is there", func() bool { return hasInput(tcp) })
	(&acceptor{owner: s.owner}).startSession(tcp)
	k := &testClient{fixture: s, socket: c, reader: bufio.NewReader(c)}
	if p := k.readPacket(); p[0] != 0xff || int(p[1])|int(p[2])<<8 != 1040 {
		t.Errorf("the client got %q", p)
	}
	if err := k.ends(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
	s.owner.clients.mu.Lock()
	s.owner.clients.sessions = 0
	s.owner.clients.mu.Unlock()
}

// A new configuration counts during a stop: drains are told at the address that it names.
func TestReloadDuringAStop(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	close(s.stop)
	s.awaitLog("stopping")
	select {
	case s.reloads <- s.startConfig:
	case <-time.After(eventuallyTimeout):
		t.Fatal("a new configuration is not taken during a stop")
	}
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	<-s.ended
	if !strings.Contains(s.log.String(), "code=renewed") {
		t.Errorf("log:\n%s", s.log.String())
	}
}

// While a stop waits for a request in hand its address is free, for a successor that listens there.
func TestAddressIsFreeDuringAStop(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	close(s.stop)
	eventually(t, "the router refuses requests", s.owner.clients.isShuttingDown)
	successor, err := listenTCP(s.address)
	if err != nil {
		t.Fatalf("a successor can't listen: %v", err)
	}
	successor.Close()
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	<-s.ended
	var n int
	s.owner.clients.mu.Lock()
	n = s.owner.clients.sessions + s.owner.clients.lingering
	s.owner.clients.mu.Unlock()
	if n != 0 {
		t.Errorf("%d connections left", n)
	}
}

func TestStopAnswersWhatIsInHand(t *testing.T) { // new requests are still taken for a while, and all are answered before the end
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a, b := s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	close(s.stop)
	b.sendIdempotentQuery("bb")
	e.reply(e.receive(), "00000000000000bb", "data", "pages=1,cost=120,need=64", "d\te\tf\n")
	b.expectAnswer()
	select {
	case <-s.ended:
		t.Error("it ended with a request open")
	case <-time.After(drainTime + 100*time.Millisecond):
	}
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	<-s.ended
	for _, side := range []string{"client", "engine", `"engine list"`} {
		s.tracef("the router ended, %d lines of side %s", strings.Count(s.log.String(), "side="+side+" "), side)
	}
	if strings.Count(s.log.String(), "code=stopped") < 4 {
		t.Errorf("log:\n%s", s.log.String())
	}
	s.compareTrace("stop")
}
