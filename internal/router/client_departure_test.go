package router

import (
	"bytes"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"magpiebank/internal/admission"
)

// eventuallyTimeout is how long a test waits for what must come about. It is generous, because machines are busy.
const eventuallyTimeout = 10 * time.Second

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for by := time.Now().Add(eventuallyTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("not so after %v: %s", eventuallyTimeout, what)
		}
	}
}

// inFlight counts the requests that the gateway has accepted and not answered.
func (s *fixture) inFlight() int {
	answer := make(chan int, 1)
	s.onOwner(func(admission.Time) { answer <- len(s.owner.requests) })
	return <-answer
}

// The ways in which a client leaves while its request is in hand.
var departures = map[string]func(c *testClient){
	"closes": func(c *testClient) { c.socket.Close() },
	"resets": func(c *testClient) {
		_ = asTCP(c.socket).SetLinger(0)
		c.socket.Close()
	},
	"closes behind a command": func(c *testClient) {
		_, _ = c.socket.Write([]byte{1, 0, 0, 0, 0x0e})
		c.socket.Close()
	},
	"closes behind half a command": func(c *testClient) {
		_, _ = c.socket.Write([]byte{9, 0})
		c.socket.Close()
	},
	"quits": func(c *testClient) {
		_, _ = c.socket.Write([]byte{1, 0, 0, 0, 0x01})
		c.socket.Close()
	},
}

// connectionOf returns the gateway's side of a client's connection.
func (s *fixture) connectionOf(c *testClient) net.Conn {
	tcp := make(chan net.Conn, 1)
	s.onOwner(func(admission.Time) { tcp <- s.owner.sessions[c.id].socket })
	return <-tcp
}

// endArrived tells whether the system has got the other side's end of a connection, also behind unread bytes.
func endArrived(tcp net.Conn) (arrived bool) {
	connection, ok := tcp.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err = unix.Poll(polled, 0)
		arrived = err == nil && polled[0].Revents != 0
	})
	return arrived
}

// requireNextAttempt sends a query with another client, and requires that an engine receives it first, so that nothing was
// sent for the one before.
func (s *fixture) requireNextAttempt(e *fakeEngine, id string) {
	s.t.Helper()
	b := s.newClient()
	b.sendIdempotentQuery(id)
	select {
	case h := <-e.received:
		if h.parts[0] != "do" || h.parts[1] != "00000000000000"+id {
			s.t.Errorf("%s heard %q", e.name, h.parts)
		}
	case <-time.After(eventuallyTimeout):
		s.t.Errorf("%s heard nothing of %s", e.name, id)
	}
}

func TestClientLeavesWhileItsRequestIsHeld(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			e := newFakeEngine(t, "e1")
			s := startFixture(t)
			defer s.close()
			a := s.newClient()
			a.sendIdempotentQuery("aa")
			s.awaitRequests(1)
			leave(a)
			eventually(t, "the request of a client that left is withdrawn", func() bool { return s.inFlight() == 0 })
			s.announceEngine(e, "Ready")
			s.requireNextAttempt(e, "bb")
		})
	}
}

// A query that lay unread until its client had left is not sent on: the process stood still, as the limiter's lock has the session do
// here. A connection to the engine is up, so an attempt would be written at once; without the look at the client which of the
// attempt and the end was first was chance, so it is tried often.
func TestClientLeftBeforeItsQueryIsRead(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	a := s.newClient()
	a.sendIdempotentQuery("bb")
	e.reply(e.receive(), "00000000000000bb", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	for range 40 {
		for _, leave := range departures {
			c := s.newClient()
			s.owner.clients.mu.Lock()
			c.sendIdempotentQuery("aa")
			leave(c)
			tcp := s.connectionOf(c)
			eventually(t, "the client's end is there", func() bool { return endArrived(tcp) })
			s.owner.clients.mu.Unlock()
		}
	}
	eventually(t, "all sessions but one end", func() bool { return s.retainedCount() == 2 }) // its place among the clients, and its number
	s.requireNextAttempt(e, "cc")
}

func TestClientLeavesBeforeARetry(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
			s := startFixture(t, e)
			defer s.close()
			a := s.newClient()
			a.sendIdempotentQuery("aa")
			k := e.receive()
			s.announceEngine(f, "Ready")
			s.announceEngine(e, "Terminating")
			leave(a)
			eventually(t, "the request of a client that left is withdrawn", func() bool { return s.inFlight() == 0 })
			if h := <-e.received; h.parts[0] != "undo" {
				t.Errorf("the engine heard %q", h.parts)
			}
			k.Close()
			s.requireNextAttempt(f, "bb")
		})
	}
}

// An attempt that waits for its connection is withdrawn before that is up.
func TestClientLeavesWhileAConnectionComesUp(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t)
	defer s.close()
	dialled, goOn := make(chan bool, 1), make(chan bool)
	s.onOwner(func(admission.Time) {
		dial := s.owner.dial
		s.owner.dial = func(address string) (net.Conn, error) {
			select {
			case dialled <- true:
				<-goOn
			default:
			}
			return dial(address)
		}
	})
	s.sync()
	started := func() {
		s.onOwner(func(now admission.Time) {
			s.owner.handleEndpoints(now, admission.PartialUpdate, []admission.Endpoint{{Engine: "e1", State: admission.Live}}, []string{e.listener.Addr().String()})
		})
		s.sync()
	}
	started()
	e.fixture = s
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	<-dialled
	if n := s.inFlight(); n != 1 {
		t.Fatalf("%d requests in hand while the connection comes up", n)
	}
	a.socket.Close()
	eventually(t, "the request of a client that left is withdrawn", func() bool { return s.inFlight() == 0 })
	close(goOn)
	s.requireNextAttempt(e, "bb")
}

// blockingClient holds the goroutine of a session that sends an attempt until done is closed.
type blockingClient struct {
	engineClient
	busy, done chan bool
}

func (b blockingClient) send(*attempt) {
	close(b.busy)
	<-b.done
}

// The connection comes up before the session has seen its client leave, as it stands still: nothing is written all the same.
func TestClientLeftWhenTheConnectionIsUp(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t)
	defer s.close()
	dialled, goOn := s.slowDial(e)
	s.listEngine(e, admission.Live)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	<-dialled
	busy, done := make(chan bool), make(chan bool)
	s.onOwner(func(admission.Time) {
		request := s.owner.requests["00000000000000aa"]
		request.responder.sendAttempt(&attempt{request: request, resent: true}, blockingClient{busy: busy, done: done})
	})
	<-busy
	a.socket.Close()
	eventually(t, "the end is there", func() bool {
		gone := make(chan bool, 1)
		s.onOwner(func(admission.Time) { gone <- s.owner.requests["00000000000000aa"].responder.hasClientLeft() })
		return <-gone
	})
	close(goOn)
	eventually(t, "the request is withdrawn", func() bool { return s.inFlight() == 0 })
	close(done)
	s.requireNextAttempt(e, "bb")
}

// Who sends on and on before the answer is ended with an error, and the attempt is called off.
func TestFloodBeforeTheAnswer(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	defer s.close()
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	e.receive()
	_, _ = a.socket.Write(bytes.Repeat([]byte{1, 0, 0, 0, 0x0e}, maxReadAhead))
	if p := a.readPacket(); p[0] != 0xff || !strings.Contains(string(p), "too much was sent") {
		t.Errorf("the client got %q", p)
	}
	if h := <-e.received; h.parts[0] != "undo" {
		t.Errorf("the engine heard %q", h.parts)
	}
	s.awaitLog("code=flooded")
	if n := s.inFlight(); n != 0 {
		t.Errorf("%d requests in hand", n)
	}
}

// The crossings of a call with the session's read, each at its line.
func TestMailboxInterruptsAtEveryLine(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	interrupted := func(m *sessionQueue) error {
		_, err := near.Read(make([]byte, 1))
		m.endInterruptibleRead()
		return err
	}
	called := 0
	call := requestAbandoned{}

	m := newSessionQueue(func(sessionEvent) { called++ })
	m.Put(call)
	if m.beginInterruptibleRead(near) {
		t.Error("a session may read though a call waits already")
	}
	m.run()

	if !m.beginInterruptibleRead(near) {
		t.Fatal("a session may not read though no call waits")
	}
	m.Put(call) // before the read
	if err := interrupted(m); !os.IsTimeout(err) {
		t.Errorf("a call before the read left it waiting: %v", err)
	}
	m.run()

	m.beginInterruptibleRead(near)
	read := make(chan error)
	go func() { read <- interrupted(m) }()
	m.Put(call) // while it reads, or just before
	if err := <-read; !os.IsTimeout(err) {
		t.Errorf("a call during the read left it waiting: %v", err)
	}
	m.run()

	m.beginInterruptibleRead(near)
	m.endInterruptibleRead()
	m.Put(call) // after the read: the next one is not disturbed
	go func() { _, _ = far.Write([]byte{1}) }()
	if _, err := near.Read(make([]byte, 1)); err != nil {
		t.Errorf("a call after the read disturbed the next: %v", err)
	}
	m.run()
	if called != 4 {
		t.Errorf("%d of 4 calls made", called)
	}
}
