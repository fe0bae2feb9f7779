package router

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/protocol/resp"
)

// onDial has connections to engines dialled by a hook. It must be called before any engine is listed.
func (s *fixture) onDial(hook func(address string, dial func(string) (net.Conn, error)) (net.Conn, error)) {
	s.onOwner(func(admission.Time) {
		dial := s.owner.dial
		s.owner.dial = func(address string) (net.Conn, error) { return hook(address, dial) }
	})
	s.sync()
}

// listEngine has the owner take in an engine's state at once.
func (s *fixture) listEngine(e *fakeEngine, state admission.EndpointState) {
	e.fixture = s
	s.onOwner(func(now admission.Time) {
		s.owner.handleEndpoints(now, admission.PartialUpdate, listing(e, state), []string{e.listener.Addr().String()})
	})
	s.sync()
}

func listing(e *fakeEngine, state admission.EndpointState) []admission.Endpoint {
	return []admission.Endpoint{{Engine: admission.EngineID(e.name), State: state}}
}

// slowDial holds the first dial to an engine back until goOn is closed.
func (s *fixture) slowDial(e *fakeEngine) (dialled chan bool, goOn chan bool) {
	dialled, goOn = make(chan bool, 1), make(chan bool)
	var held atomic.Bool
	s.onDial(func(address string, dial func(string) (net.Conn, error)) (net.Conn, error) {
		if address == e.listener.Addr().String() && held.CompareAndSwap(false, true) {
			dialled <- true
			<-goOn
		}
		return dial(address)
	})
	return dialled, goOn
}

// An engine is told to drain, or is gone, while an attempt waits for a connection to it: that goes elsewhere, and not a byte of it
// goes to the engine once the connection is up.
func TestDrainWhileAConnectionComesUp(t *testing.T) {
	for state, name := range map[admission.EndpointState]string{admission.Draining: "drains", admission.Gone: "gone"} {
		t.Run(name, func(t *testing.T) {
			e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
			s := startFixture(t)
			defer s.close()
			dialled, goOn := s.slowDial(e)
			s.listEngine(e, admission.Live)
			a := s.newClient()
			a.sendLoad("aa") // which may not run twice: so it was known that it had not
			<-dialled
			s.listEngine(f, admission.Live)
			s.listEngine(e, state)
			f.reply(f.receive(), "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
			a.expectAnswer()
			close(goOn)
			s.requireNextAttempt(f, "bb")
			if state == admission.Draining { // the connection is up by now, and can be used again
				s.listEngine(e, admission.Live)
				s.listEngine(f, admission.Draining)
				s.requireNextAttempt(e, "cc")
			}
		})
	}
}

// brokenConn is a connection that the other side may have reset: then the write of an attempt is refused whole.
type brokenConn struct {
	net.Conn
	breaks func() bool
}

func (c *brokenConn) Write(b []byte) (int, error) {
	if strings.Contains(string(b), "do\r\n") && c.breaks() {
		return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
	}
	return c.Conn.Write(b)
}

// breakFirst has the first write of an attempt be refused, right after before is called.
func (s *fixture) breakFirst(before func()) {
	var broken atomic.Bool
	breaks := func() bool {
		if broken.Swap(true) {
			return false
		}
		before()
		return true
	}
	s.onDial(func(address string, dial func(string) (net.Conn, error)) (net.Conn, error) {
		tcp, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &brokenConn{Conn: tcp, breaks: breaks}, nil
	})
}

// A connection that was broken before the first byte proves that nothing ran: also what must not run twice goes out again.
func TestBrokenBeforeTheFirstByte(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t)
	defer s.close()
	s.breakFirst(func() {})
	s.listEngine(e, admission.Live)
	a := s.newClient()
	a.sendLoad("aa")
	e.reply(e.receive(), "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	if !strings.Contains(s.trace.String(), "client gets: rows") {
		t.Error(s.trace.String())
	}
}

// The drain comes between the write that was refused and the second try on another connection: there is none.
func TestDrainBeforeTheSecondWrite(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixture(t)
	defer s.close()
	s.breakFirst(func() {
		s.listEngine(f, admission.Live)
		s.listEngine(e, admission.Draining)
	})
	s.listEngine(e, admission.Live)
	a := s.newClient()
	a.sendLoad("aa")
	select {
	case h := <-e.received:
		t.Fatalf("the draining engine heard %q", h.parts)
	case h := <-f.received:
		f.reply(h.conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	}
	a.expectAnswer()
	if len(e.received) > 0 || !strings.Contains(s.trace.String(), "client gets: rows") {
		t.Errorf("%s\nthe draining engine heard %d", s.trace.String(), len(e.received))
	}
}

// A deduplicated request must not reach an engine after the time for which engines remember it, however long the connection takes.
func TestWindowEndsWhileAConnectionComesUp(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixtureWith(t, tenantSettings)
	defer s.close()
	dialled, goOn := s.slowDial(f)
	s.listEngine(e, admission.Live)
	a := s.newClient()
	a.sendStatement("/* class=load,id=00000000000000aa,wait=20000,once=" + testIdempotencyToken + " */ INSERT INTO t_7.x SELECT * FROM staging.y")
	k := e.receive()
	s.listEngine(f, admission.Live)
	s.listEngine(e, admission.Draining)
	k.Close()
	<-dialled
	s.advanceClock(2 * admission.Second) // the window
	close(goOn)
	a.expectAnswer()
	if !strings.Contains(s.trace.String(), "client gets: error 1203") { // all engines dropped repeats, so a new request is harmless
		t.Error(s.trace.String())
	}
	if len(f.received) > 0 {
		t.Errorf("the engine heard %q", (<-f.received).parts)
	}
}

// endlessAnswer is a way in which an engine answers a request without an end.
type endlessAnswer struct {
	what, code string
	flood      func(k net.Conn)
}

// writeForever writes answers until the connection ends.
func writeForever(next func(n int) []byte) func(k net.Conn) {
	return func(k net.Conn) {
		for n := 0; ; n++ {
			if _, err := k.Write(next(n)); err != nil {
				return
			}
		}
	}
}

func endlessAnswers(id string) []endlessAnswer {
	return []endlessAnswer{
		{"notes", "bad_answer", writeForever(func(n int) []byte {
			return resp.AppendArray(nil, id, "news", fmt.Sprintf("res=so_far,v=0.%d", n%9+1), "")
		})},
		{"answers of nobody", "bad_answer", writeForever(func(n int) []byte {
			return resp.AppendArray(nil, fmt.Sprintf("f%015x", n), "data", "pages=1,cost=1,need=1", "a\tb\tc\n")
		})},
		{"pages of no result", "bad_answer", writeForever(func(int) []byte { return resp.AppendArray(nil, id, "page", "page=1", "a\tb\tc\n") })},
		{"the same page", "bad_answer", func(k net.Conn) {
			_, _ = k.Write(resp.AppendArray(nil, id, "data", "pages=2,cost=1,need=1", "a\tb\tc\n"))
			writeForever(func(int) []byte { return resp.AppendArray(nil, id, "data", "pages=2,cost=1,need=1", "a\tb\tc\n") })(k)
		}},
		{"one array that grows", "cut_short", func(k net.Conn) {
			_, _ = io.WriteString(k, "*4\r\n$16\r\n"+id+"\r\n$4\r\ndata\r\n$7\r\npages=1\r\n$5000\r\n")
			for {
				if _, err := k.Write([]byte("a")); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}},
	}
}

// Answers without an end, whole or in part, end their connection, and the request goes out again.
func TestEndlessAnswers(t *testing.T) {
	const id = "00000000000000aa"
	for _, c := range endlessAnswers(id) {
		t.Run(c.what, func(t *testing.T) {
			e := newFakeEngine(t, "e1")
			s := startFixture(t, e)
			defer s.close()
			a := s.newClient()
			a.sendIdempotentQuery("aa")
			k := e.receive()
			go c.flood(k)
			s.awaitLog("code=" + c.code)
			for { // pages of the first try may have been asked for
				h := <-e.received
				if h.parts[0] == "do" {
					e.reply(h.conn, id, "data", "pages=1,cost=120,need=64", "d\te\tf\n")
					break
				}
			}
			a.expectAnswer()
			if !strings.Contains(s.trace.String(), "client gets: rows") {
				t.Error(s.trace.String())
			}
		})
	}
}
