package router

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// retainedCount counts what the router holds for clients and requests: nothing once they are over.
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

// A client that resets its connection after any byte of its login and query harms nobody, and nothing is kept of it.
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
	eventually(t, "nothing is kept of clients that are gone", func() bool { return s.retainedCount() == 0 })
	eventually(t, "each left one line", func() bool { return strings.Count(s.log.String(), "side=client") == len(whole) })
	s.requireNextAttempt(e, "bb")
}

// An engine that resets its connection after any byte of its answer costs one attempt: the request is answered by the next.
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
		h := <-e.received
		_, _ = h.conn.Write(whole[:cut])
		_ = asTCP(h.conn).SetLinger(0)
		h.conn.Close()
		h = <-e.received
		if h.parts[0] != "do" || h.parts[1] != id {
			t.Fatalf("after %d bytes the engine heard %q", cut, h.parts)
		}
		_, _ = h.conn.Write(whole)
		a.expectAnswer()
		if !strings.Contains(s.trace.String(), `client gets: rows "\x01a\x01b\x01c"`) {
			t.Errorf("after %d bytes: %s", cut, s.trace.String())
		}
	}
	a.socket.Close()
	eventually(t, "nothing is kept of what is over", func() bool { return s.retainedCount() == 0 })
}

// A list whose answer breaks off after any byte is asked again under the number that is held, and what it tells whole counts.
func TestListBreaksOffAtEveryByte(t *testing.T) {
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
		k := awaitPoll(t, l)
		_, _ = k.Write([]byte(whole[:cut]))
		_ = asTCP(k).SetLinger(0)
		k.Close()
	}
	known := make(chan int, 1)
	s.onOwner(func(admission.Time) { known <- len(s.owner.engines) })
	if n := <-known; n != 0 {
		t.Errorf("%d engines known from answers that broke off", n)
	}
	_, _ = awaitPoll(t, l).Write([]byte(whole))
	s.requireNextAttempt(e, "aa")
}

// An order to stop before any engine was told of changes nothing: what is in hand is answered.
func TestStopBeforeTheFirstList(t *testing.T) {
	s := startFixture(t)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	s.awaitRequests(1)
	close(s.stop)
	s.awaitLog("stopping")
	eventually(t, "the router refuses requests", s.owner.clients.isShuttingDown)
	s.advanceClock(2 * admission.Second)
	a.expectAnswer()
	select {
	case <-s.ended:
	case <-time.After(eventuallyTimeout):
		t.Error("it did not end")
	}
	if !strings.Contains(s.trace.String(), "client gets: error 1203") {
		t.Error(s.trace.String())
	}
	s.close()
}
