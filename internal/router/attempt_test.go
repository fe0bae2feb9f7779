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

// onDial has the gateway dial engines by calling hook, which gets the original dial function. It must be called before any engine
// is listed.
func (s *fixture) onDial(hook func(address string, dial func(string) (net.Conn, error)) (net.Conn, error)) {
	s.onOwner(func(admission.Time) {
		dial := s.owner.dial
		s.owner.dial = func(address string) (net.Conn, error) { return hook(address, dial) }
	})
	s.sync()
}

// listEngine passes an engine's state directly to the owner, without the engine list.
func (s *fixture) listEngine(e *fakeEngine, state admission.EndpointState) {
	e.fixture = s
	s.onOwner(func(now admission.Time) {
		s.owner.handleEndpoints(now, admission.PartialUpdate, singleEngineUpdate(e, state), []string{e.listener.Addr().String()})
	})
	s.sync()
}

// singleEngineUpdate returns an update of the engine list with a single engine.
func singleEngineUpdate(e *fakeEngine, state admission.EndpointState) []admission.Endpoint {
	return []admission.Endpoint{{Engine: admission.EngineID(e.name), State: state}}
}

// slowDial delays the first dial to an engine until resume is closed. dialled receives a value when that dial begins.
func (s *fixture) slowDial(e *fakeEngine) (dialled chan bool, resume chan bool) {
	dialled, resume = make(chan bool, 1), make(chan bool)
	var delayed atomic.Bool
	s.onDial(func(address string, dial func(string) (net.Conn, error)) (net.Conn, error) {
		if address == e.listener.Addr().String() && delayed.CompareAndSwap(false, true) {
			dialled <- true
			<-resume
		}
		return dial(address)
	})
	return dialled, resume
}

// An engine starts to drain, or is removed, while an attempt waits for a connection to it. The attempt must go to another engine,
// and no byte of it may be written to the first engine once the connection is established.
func TestDrainWhileConnecting(t *testing.T) {
	for state, name := range map[admission.EndpointState]string{admission.Draining: "drains", admission.Gone: "gone"} {
		t.Run(name, func(t *testing.T) {
			e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
			s := startFixture(t)
			defer s.close()
			dialled, resume := s.slowDial(e)
			s.listEngine(e, admission.Live)
			a := s.newClient()
			a.sendNonIdempotentQuery("aa") // must not run twice, so a second attempt shows that the gateway knows that nothing ran
			<-dialled
			s.listEngine(f, admission.Live)
			s.listEngine(e, state)
			f.reply(f.receive(), "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
			a.expectAnswer()
			close(resume)
			s.requireNextAttempt(f, "bb")
			if state == admission.Draining { // the connection is established by now, and can be used again
				s.listEngine(e, admission.Live)
				s.listEngine(f, admission.Draining)
				s.requireNextAttempt(e, "cc")
			}
		})
	}
}

// brokenConn is a connection that fails the write of an attempt before its first byte while breaks returns true, as if the
// peer had reset it.
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

// failFirstWrite makes the first write of an attempt fail, after calling before.
func (s *fixture) failFirstWrite(before func()) {
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

// A connection that broke before the first byte of an attempt was written proves that nothing ran, so even a request that must not
// run twice is sent again.
func TestBreakBeforeTheFirstByteIsRetried(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t)
	defer s.close()
	s.failFirstWrite(func() {})
	s.listEngine(e, admission.Live)
	a := s.newClient()
	a.sendNonIdempotentQuery("aa")
	e.reply(e.receive(), "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	if !strings.Contains(s.trace.String(), "client gets: rows") {
		t.Error(s.trace.String())
	}
}

// An engine starts to drain between the failed write of an attempt and its second write on another connection. The second write
// must not happen.
func TestDrainBeforeTheSecondWriteOfAnAttempt(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixture(t)
	defer s.close()
	s.failFirstWrite(func() {
		s.listEngine(f, admission.Live)
		s.listEngine(e, admission.Draining)
	})
	s.listEngine(e, admission.Live)
	a := s.newClient()
	a.sendNonIdempotentQuery("aa")
	select {
	case command := <-e.received:
		t.Fatalf("the draining engine received %q", command.parts)
	case command := <-f.received:
		f.reply(command.conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	}
	a.expectAnswer()
	if len(e.received) > 0 || !strings.Contains(s.trace.String(), "client gets: rows") {
		t.Errorf("%s\nthe draining engine received %d commands", s.trace.String(), len(e.received))
	}
}

// A deduplicated request must not reach an engine after the time for which engines remember its first attempt, however long the
// connection to the engine takes.
func TestDeduplicationWindowEndsWhileConnecting(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixtureWith(t, tenantSettings)
	defer s.close()
	dialled, resume := s.slowDial(f)
	s.listEngine(e, admission.Live)
	a := s.newClient()
	a.sendStatement("/* class=load,id=00000000000000aa,wait=20000,once=" + testIdempotencyToken + " */ INSERT INTO t_7.x SELECT * FROM staging.y")
	conn := e.receive()
	s.listEngine(f, admission.Live)
	s.listEngine(e, admission.Draining)
	conn.Close()
	<-dialled
	s.advanceClock(2 * admission.Second) // the deduplication window
	close(resume)
	a.expectAnswer()
	// The request is rejected, not failed: engines drop repeats within the window, so a new request by the client is harmless.
	if !strings.Contains(s.trace.String(), "client gets: error 1203") {
		t.Error(s.trace.String())
	}
	if len(f.received) > 0 {
		t.Errorf("the engine received %q", (<-f.received).parts)
	}
}

// endlessAnswer is a way in which an engine answers a request without ever stopping. code is the log code with which the gateway
// ends the connection.
type endlessAnswer struct {
	name, code string
	flood      func(conn net.Conn)
}

// writeForever returns a function that writes the answers that next returns until the connection ends.
func writeForever(next func(n int) []byte) func(conn net.Conn) {
	return func(conn net.Conn) {
		for n := 0; ; n++ {
			if _, err := conn.Write(next(n)); err != nil {
				return
			}
		}
	}
}

// endlessAnswers returns the endless answers to the request with the given id.
func endlessAnswers(id string) []endlessAnswer {
	return []endlessAnswer{
		{"notes", "bad_answer", writeForever(func(n int) []byte {
			return resp.AppendArray(nil, id, "news", fmt.Sprintf("res=so_far,v=0.%d", n%9+1), "")
		})},
		{"answers of nobody", "bad_answer", writeForever(func(n int) []byte {
			return resp.AppendArray(nil, fmt.Sprintf("f%015x", n), "data", "pages=1,cost=1,need=1", "a\tb\tc\n")
		})},
		{"pages of no result", "bad_answer", writeForever(func(int) []byte { return resp.AppendArray(nil, id, "page", "page=1", "a\tb\tc\n") })},
		{"the same page", "bad_answer", func(conn net.Conn) {
			_, _ = conn.Write(resp.AppendArray(nil, id, "data", "pages=2,cost=1,need=1", "a\tb\tc\n"))
			writeForever(func(int) []byte { return resp.AppendArray(nil, id, "data", "pages=2,cost=1,need=1", "a\tb\tc\n") })(conn)
		}},
		{"one array that grows", "cut_short", func(conn net.Conn) {
			_, _ = io.WriteString(conn, "*4\r\n$16\r\n"+id+"\r\n$4\r\ndata\r\n$7\r\npages=1\r\n$5000\r\n")
			for {
				if _, err := conn.Write([]byte("a")); err != nil {
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		}},
	}
}

// Endless answers, or a single answer that grows without end, end their connection, and the request is sent again.
func TestEndlessAnswers(t *testing.T) {
	const id = "00000000000000aa"
	for _, c := range endlessAnswers(id) {
		t.Run(c.name, func(t *testing.T) {
			e := newFakeEngine(t, "e1")
			s := startFixture(t, e)
			defer s.close()
			a := s.newClient()
			a.sendIdempotentQuery("aa")
			conn := e.receive()
			go c.flood(conn)
			s.awaitLog("code=" + c.code)
			for { // the gateway may have requested pages of the first attempt's result
				command := <-e.received
				if command.parts[0] == "do" {
					e.reply(command.conn, id, "data", "pages=1,cost=120,need=64", "d\te\tf\n")
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
