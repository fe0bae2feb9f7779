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

// queryPacket returns the bytes of a query packet whose request id ends in the two given digits.
func queryPacket(id string) []byte {
	sql := "\x03/* class=look,id=00000000000000" + id + ",wait=5000 */ SELECT a FROM t_7.x"
	return append([]byte{byte(len(sql)), 0, 0, 0}, sql...)
}

// loginPacket returns the bytes of a login packet.
func loginPacket() []byte {
	login := append(append([]byte{0, 0x82, 0, 0}, make([]byte, 28)...), "app\x00\x00"...)
	return append([]byte{byte(len(login)), 0, 0, 1}, login...)
}

// awaitEnd reads until the connection ends and returns the error: io.EOF if the gateway closed it, another error if it was
// reset or did not end in time.
func (c *testClient) awaitEnd() error {
	c.socket.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	for {
		if _, err := c.reader.ReadByte(); err != nil {
			return err
		}
	}
}

// Connections in the listener's backlog, which the kernel has accepted but the gateway has not when it stops accepting, must be
// served and not reset.
func TestStopServesConnectionsInTheBacklog(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	listener := s.listen()
	const backlog = 3
	var clients []*testClient
	for n := range backlog { // the gateway doesn't accept connections yet
		c, err := dialTCP(listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = c.Write(append(loginPacket(), queryPacket(fmt.Sprintf("a%d", n))...))
		clients = append(clients, &testClient{fixture: s, socket: c, reader: bufio.NewReader(c)})
	}
	acceptor := &acceptor{owner: s.owner, listener: listener, done: make(chan struct{})}
	_ = asTCPListener(listener).SetDeadline(expiredDeadline) // the acceptor is stopped before its first accept
	go acceptor.run()
	acceptor.stop()
	for range clients {
		command := <-e.received
		_, _ = command.conn.Write(resp.AppendArray(nil, command.parts[1], "data", "pages=1,cost=120,need=64", "a\tb\tc\n"))
	}
	for _, c := range clients {
		c.socket.SetReadDeadline(time.Now().Add(eventuallyTimeout))
		c.readPacket() // the greeting
		c.readPacket() // the OK packet after the login
		c.expectAnswer()
	}
	if got := strings.Count(s.trace.String(), "client gets: rows"); got != backlog {
		t.Errorf("%d of %d clients served:\n%s", got, backlog, s.trace.String())
	}
	s.owner.clients.beginShutdown()
	for i, c := range clients {
		if err := c.awaitEnd(); !errors.Is(err, io.EOF) {
			t.Errorf("client %d: %v", i, err)
		}
	}
}

// A request that is read after the gateway began to end its sessions is rejected and not sent to an engine. An outstanding
// request is answered.
func TestStopRejectsLaterRequests(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	s.owner.clients.beginShutdown()
	a.sendIdempotentQuery("bb") // sent while the other request is outstanding
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	a.expectAnswer()
	if err := a.awaitEnd(); !errors.Is(err, io.EOF) {
		t.Errorf("the session ended with %v", err)
	}
	if len(e.received) > 0 {
		t.Errorf("the engine received %q", (<-e.received).parts)
	}
	s.awaitLog("code=stopped")
	s.compareTrace("stop refuses")
}

// A client may send a request while its session ends. The session must read the request, because closing a connection with
// unread input resets it, and the client would lose what the gateway sent before.
func TestSessionEndDoesNotResetTheConnection(t *testing.T) {
	for what, end := range map[string]func(s *fixture){
		"stop": func(s *fixture) { s.owner.clients.beginShutdown() },
		"displaced": func(s *fixture) {
			s.owner.clients.mu.Lock()
			defer s.owner.clients.mu.Unlock()
			for idle := range sessionsOf(&s.owner.clients.idleEstablished) {
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
			eventually(t, "the session is idle", func() bool {
				s.owner.clients.mu.Lock()
				defer s.owner.clients.mu.Unlock()
				return s.owner.clients.idleEstablished.Len() == 1
			})
			end(s)
			if err := a.awaitEnd(); !errors.Is(err, io.EOF) {
				t.Fatalf("the session ended with %v", err)
			}
			for _, id := range []string{"aa", "ab"} { // on a reset connection the first write succeeds and the second one fails
				if _, err := a.socket.Write(queryPacket(id)); err != nil {
					t.Errorf("the connection was reset: %v", err)
				}
			}
			_ = asTCP(a.socket).CloseWrite()
			s.awaitLog("side=client")
			if err := a.awaitEnd(); !errors.Is(err, io.EOF) {
				t.Errorf("the connection ended with %v", err)
			}
			if len(e.received) > 0 {
				t.Errorf("the engine received %q", (<-e.received).parts)
			}
		})
	}
}

// A client that is rejected because there are too many connections receives the error, although its login and a query are
// unread.
func TestRejectionDoesNotResetTheConnection(t *testing.T) {
	s := startFixture(t)
	defer s.close()
	s.owner.clients.mu.Lock()
	s.owner.clients.limit = 1
	s.owner.clients.sessions = 1 // counts as a session that is busy with a query
	s.owner.clients.mu.Unlock()
	listener := s.listen()
	c, err := dialTCP(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = c.Write(append(loginPacket(), queryPacket("aa")...))
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the login has arrived", func() bool { return hasInput(accepted) })
	(&acceptor{owner: s.owner}).startSession(accepted)
	client := &testClient{fixture: s, socket: c, reader: bufio.NewReader(c)}
	if p := client.readPacket(); p[0] != 0xff || int(p[1])|int(p[2])<<8 != 1040 {
		t.Errorf("the client got %q", p)
	}
	if err := client.awaitEnd(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v", err)
	}
	s.owner.clients.mu.Lock()
	s.owner.clients.sessions = 0
	s.owner.clients.mu.Unlock()
}

// A new configuration is applied during a shutdown, because the discovery service at the new address may announce that engines
// are terminating.
func TestReloadDuringShutdown(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	close(s.stop)
	s.awaitLog("stopping")
	select {
	case s.reloads <- s.startConfig:
	case <-time.After(eventuallyTimeout):
		t.Fatal("a new configuration is not applied during a shutdown")
	}
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	<-s.ended
	if !strings.Contains(s.log.String(), "code=renewed") {
		t.Errorf("log:\n%s", s.log.String())
	}
}

// While a shutdown waits for an outstanding request, the listen address must be free, so that a successor can listen on it.
func TestAddressIsFreeDuringShutdown(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	close(s.stop)
	eventually(t, "the gateway rejects new requests", s.owner.clients.isShuttingDown)
	successor, err := listenTCP(s.address)
	if err != nil {
		t.Fatalf("a successor can't listen: %v", err)
	}
	successor.Close()
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	<-s.ended
	var openConnections int
	s.owner.clients.mu.Lock()
	openConnections = s.owner.clients.sessions + s.owner.clients.lingering
	s.owner.clients.mu.Unlock()
	if openConnections != 0 {
		t.Errorf("%d client connections left after the shutdown", openConnections)
	}
}

// After the gateway is told to stop, it still accepts new requests for drainTime. It answers every accepted request before it
// ends.
func TestStopAnswersOutstandingRequests(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a, b := s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	close(s.stop)
	b.sendIdempotentQuery("bb")
	e.reply(e.receive(), "00000000000000bb", "data", "pages=1,cost=120,need=64", "d\te\tf\n")
	b.expectAnswer()
	select {
	case <-s.ended:
		t.Error("the gateway ended with an outstanding request")
	case <-time.After(drainTime + 100*time.Millisecond):
	}
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
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
