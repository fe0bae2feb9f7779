package router

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// kept counts what the router holds for clients and requests: nothing once they are over.
func (s *stage) kept() (n int) {
	done := make(chan struct{})
	s.o.tell(func(admission.Time) {
		n = len(s.o.sessions) + len(s.o.requests) + int(s.o.statements.Load())
		close(done)
	})
	<-done
	s.o.clients.mu.Lock()
	defer s.o.clients.mu.Unlock()
	return n + s.o.clients.in + s.o.clients.leaving
}

// A client that resets its connection after any byte of its login and query harms nobody, and nothing is kept of it.
func TestClientResetsAtEveryByte(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t, e)
	defer s.close()
	whole := append(loginPacket(), queryPacket("aa")...)
	for cut := range whole {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(whole[:cut])
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	eventually(t, "nothing is kept of clients that are gone", func() bool { return s.kept() == 0 })
	eventually(t, "each left one line", func() bool { return strings.Count(s.log.String(), "side=client") == len(whole) })
	s.onlyHears(e, "bb")
}

// An engine that resets its connection after any byte of its answer costs one attempt: the request is answered by the next.
func TestEngineResetsAtEveryByte(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t, e)
	defer s.close()
	a := s.client()
	for cut := 0; ; cut++ {
		id := fmt.Sprintf("00000000000000%02x", cut)
		whole := resp.AppendArray(nil, id, "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
		if cut == len(whole) {
			break
		}
		s.out.Reset()
		a.look(id[14:])
		h := <-e.heard
		h.c.Write(whole[:cut])
		h.c.(*net.TCPConn).SetLinger(0)
		h.c.Close()
		h = <-e.heard
		if h.parts[0] != "do" || h.parts[1] != id {
			t.Fatalf("after %d bytes the engine heard %q", cut, h.parts)
		}
		h.c.Write(whole)
		a.gets()
		if !strings.Contains(s.out.String(), `client gets: rows "\x01a\x01b\x01c"`) {
			t.Errorf("after %d bytes: %s", cut, s.out.String())
		}
	}
	a.c.Close()
	eventually(t, "nothing is kept of what is over", func() bool { return s.kept() == 0 })
}

// A list whose answer breaks off after any byte is asked again under the number that is held, and what it tells whole counts.
func TestListBreaksOffAtEveryByte(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := playSettings(t, strings.Replace(settings, `"connectTimeoutUs":250000`, `"connectTimeoutUs":10000`, 1))
	defer s.close()
	e.s = s
	l := s.listen()
	next := *s.start
	next.DiscoveryAddress = l.Addr().String()
	s.renewed <- &next
	ready := fmt.Sprintf(`{"index":2,"updates":[%s]}`, event(2, false, []string{entry(e, "Ready")}))
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(ready), ready)
	for cut := range whole {
		k := polled(t, l)
		k.Write([]byte(whole[:cut]))
		k.(*net.TCPConn).SetLinger(0)
		k.Close()
	}
	known := make(chan int, 1)
	s.o.tell(func(admission.Time) { known <- len(s.o.engines) })
	if n := <-known; n != 0 {
		t.Errorf("%d engines known from answers that broke off", n)
	}
	polled(t, l).Write([]byte(whole))
	s.onlyHears(e, "aa")
}

// An order to stop before any engine was told of changes nothing: what is in hand is answered.
func TestStopBeforeTheFirstList(t *testing.T) {
	s := play(t)
	a := s.client()
	a.look("aa")
	s.wait(1)
	close(s.stop)
	s.logged("stopping")
	eventually(t, "the router refuses requests", s.o.clients.shutting)
	s.pass(2 * admission.Second)
	a.gets()
	select {
	case <-s.ended:
	case <-time.After(patience):
		t.Error("it did not end")
	}
	if !strings.Contains(s.out.String(), "client gets: error 1203") {
		t.Error(s.out.String())
	}
	s.close()
}
