package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// retainedCount returns how many sessions, requests, statement bytes and lingering connections the router holds. It must be 0 once
// all clients have disconnected.
func (s *fixture) retainedCount() (n int) {
	done := make(chan struct{})
	s.onOwner(func(admission.Time) {
		n = len(s.owner.sessions) + len(s.owner.requests) + int(s.owner.usage.statementBytes.Load())
		close(done)
	})
	<-done
	s.owner.clients.mu.Lock()
	defer s.owner.clients.mu.Unlock()
	return n + s.owner.clients.sessions + s.owner.clients.lingering
}

// A client that resets its connection after any byte of its login and query doesn't affect other clients, and the router retains
// nothing for it.
func TestClientResetsAtEveryByte(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	whole := append(loginPacket(), queryPacket("aa")...)
	for cut := range whole {
		c, err := dialTCP(s.address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(whole[:cut])
		_ = asTCP(c).SetLinger(0)
		c.Close()
	}
	eventually(t, "nothing is retained for disconnected clients", func() bool { return s.retainedCount() == 0 })
	eventually(t, "each client has one log line", func() bool { return strings.Count(s.log.String(), "side=client") == len(whole) })
	s.requireNextAttempt(e, "bb")
}

// An engine that resets its connection after any byte of its answer fails one attempt, and the next attempt of the request succeeds.
func TestEngineResetsAtEveryByte(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	a := s.newClient()
	for cut := 0; ; cut++ {
		id := fmt.Sprintf("00000000000000%02x", cut)
		whole := resp.AppendArray(nil, id, "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
		if cut == len(whole) {
			break
		}
		s.trace.Reset()
		a.sendIdempotentQuery(id[14:])
		command := <-e.received
		_, _ = command.conn.Write(whole[:cut])
		_ = asTCP(command.conn).SetLinger(0)
		command.conn.Close()
		command = <-e.received
		if command.parts[0] != "do" || command.parts[1] != id {
			t.Fatalf("after %d bytes the engine received %q", cut, command.parts)
		}
		_, _ = command.conn.Write(whole)
		a.expectAnswer()
		if !strings.Contains(s.trace.String(), `client gets: rows "\x01a\x01b\x01c"`) {
			t.Errorf("after %d bytes: %s", cut, s.trace.String())
		}
	}
	a.socket.Close()
	eventually(t, "nothing is retained after the last request", func() bool { return s.retainedCount() == 0 })
}

// After an incomplete answer of the engine list, cut off at any byte, the router polls again from the same index and ignores the
// incomplete answer. A complete answer is applied.
func TestEngineListBreaksAtEveryByte(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixtureWith(t, strings.Replace(settings, `"connectTimeoutUs":250000`, `"connectTimeoutUs":10000`, 1))
	defer s.close()
	e.fixture = s
	l := s.listen()
	next := *s.startConfig
	next.DiscoveryAddress = l.Addr().String()
	s.reloads <- &next
	ready := fmt.Sprintf(`{"index":2,"updates":[%s]}`, watchEvent(2, false, []string{serverJSON(e, "Ready")}))
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(ready), ready)
	for cut := range whole {
		conn := awaitPoll(t, l)
		_, _ = conn.Write([]byte(whole[:cut]))
		_ = asTCP(conn).SetLinger(0)
		conn.Close()
	}
	known := make(chan int, 1)
	s.onOwner(func(admission.Time) { known <- len(s.owner.engines) })
	if n := <-known; n != 0 {
		t.Errorf("%d engines known from incomplete answers", n)
	}
	_, _ = awaitPoll(t, l).Write([]byte(whole))
	s.requireNextAttempt(e, "aa")
}

// A stop before any engine is listed still lets the router answer its outstanding requests.
func TestStopBeforeAnyEngineIsListed(t *testing.T) {
	s := startFixture(t)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	s.awaitRequests(1)
	close(s.stop)
	s.awaitLog("stopping")
	eventually(t, "the router rejects requests", s.owner.clients.isShuttingDown)
	s.advanceClock(2 * admission.Second)
	a.expectAnswer()
	select {
	case <-s.ended:
	case <-time.After(eventuallyTimeout):
		t.Error("the router did not stop")
	}
	if !strings.Contains(s.trace.String(), "client gets: error 1203") {
		t.Error(s.trace.String())
	}
	s.close()
}
