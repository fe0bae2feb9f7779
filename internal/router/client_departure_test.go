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

// eventuallyTimeout is how long a test waits for a condition that must become true. It is long because test machines can be
// busy.
const eventuallyTimeout = 10 * time.Second

// eventually waits until a condition holds, and fails the test if it doesn't hold in time. what describes the condition.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met after %v: %s", eventuallyTimeout, what)
		}
	}
}

// inFlight returns the number of requests that the gateway has accepted and not answered.
func (s *fixture) inFlight() int {
	answer := make(chan int, 1)
	s.onOwner(func(admission.Time) { answer <- len(s.owner.requests) })
	return <-answer
}

// departures are the ways in which a client can disconnect while its request is outstanding.
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
	socket := make(chan net.Conn, 1)
	s.onOwner(func(admission.Time) { socket <- s.owner.sessions[c.id].socket })
	return <-socket
}

// endArrived reports whether the kernel has received the end of a connection from the peer, even if unread bytes precede it.
func endArrived(socket net.Conn) (arrived bool) {
	tcpConn, ok := socket.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcpConn.SyscallConn()
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

// requireNextAttempt sends a query with a new client, and requires that its attempt is the next command that the engine
// receives. This proves that no attempt of an earlier query was sent to the engine.
func (s *fixture) requireNextAttempt(e *fakeEngine, id string) {
	s.t.Helper()
	client := s.newClient()
	client.sendIdempotentQuery(id)
	select {
	case command := <-e.received:
		if command.parts[0] != "do" || command.parts[1] != "00000000000000"+id {
			s.t.Errorf("%s received %q", e.name, command.parts)
		}
	case <-time.After(eventuallyTimeout):
		s.t.Errorf("%s received no attempt of request %s", e.name, id)
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
			eventually(t, "the request of a disconnected client is abandoned", func() bool { return s.inFlight() == 0 })
			s.announceEngine(e, "Ready")
			s.requireNextAttempt(e, "bb")
		})
	}
}

// A query that is read only after its client disconnected must not be sent to an engine. This happens when the process is
// stalled; here, holding the limiter's lock stalls the session. A connection to the engine is up, so the attempt would be
// written at once. If the session didn't check the client's socket first, it would be a race whether it handles the attempt
// or the disconnect first. Therefore the test repeats every case many times.
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
			socket := s.connectionOf(c)
			eventually(t, "the client's end of stream has arrived", func() bool { return endArrived(socket) })
			s.owner.clients.mu.Unlock()
		}
	}
	// The remaining session counts twice, in the limiter and in owner.sessions.
	eventually(t, "all sessions but one end", func() bool { return s.retainedCount() == 2 })
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
			conn := e.receive()
			s.announceEngine(f, "Ready")
			s.announceEngine(e, "Terminating")
			leave(a)
			eventually(t, "the request of a disconnected client is abandoned", func() bool { return s.inFlight() == 0 })
			if command := <-e.received; command.parts[0] != "undo" {
				t.Errorf("the engine received %q", command.parts)
			}
			conn.Close()
			s.requireNextAttempt(f, "bb")
		})
	}
}

// An attempt that waits for a connection to its engine is withdrawn if the client disconnects before the connection is up.
func TestClientLeavesWhileAConnectionComesUp(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t)
	defer s.close()
	dialled, finishDial := make(chan bool, 1), make(chan bool)
	s.onOwner(func(admission.Time) {
		dial := s.owner.dial
		s.owner.dial = func(address string) (net.Conn, error) {
			select {
			case dialled <- true:
				<-finishDial
			default:
			}
			return dial(address)
		}
	})
	s.sync()
	listFakeEngine := func() {
		s.onOwner(func(now admission.Time) {
			s.owner.handleEndpoints(now, admission.PartialUpdate, []admission.Endpoint{{Engine: "e1", State: admission.Live}}, []string{e.listener.Addr().String()})
		})
		s.sync()
	}
	listFakeEngine()
	e.fixture = s
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	<-dialled
	if n := s.inFlight(); n != 1 {
		t.Fatalf("%d outstanding requests while the engine is being dialled, want 1", n)
	}
	a.socket.Close()
	eventually(t, "the request of a disconnected client is abandoned", func() bool { return s.inFlight() == 0 })
	close(finishDial)
	s.requireNextAttempt(e, "bb")
}

// blockingClient is an engine client whose send closes sending, and then blocks the session's goroutine until finishSend is
// closed.
type blockingClient struct {
	engineClient
	sending, finishSend chan bool
}

func (b blockingClient) send(*attempt) {
	close(b.sending)
	<-b.finishSend
}

// The connection to the engine comes up after the client disconnected, but before the session, which is blocked, has noticed
// the disconnect. The attempt must not be written.
func TestClientLeftWhenTheConnectionIsUp(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t)
	defer s.close()
	dialled, finishDial := s.slowDial(e)
	s.listEngine(e, admission.Live)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	<-dialled
	sending, finishSend := make(chan bool), make(chan bool)
	s.onOwner(func(admission.Time) {
		request := s.owner.requests["00000000000000aa"]
		request.responder.sendAttempt(&attempt{request: request, resent: true}, blockingClient{sending: sending, finishSend: finishSend})
	})
	<-sending
	a.socket.Close()
	eventually(t, "the client's end of stream has arrived", func() bool {
		hasLeft := make(chan bool, 1)
		s.onOwner(func(admission.Time) { hasLeft <- s.owner.requests["00000000000000aa"].responder.hasClientLeft() })
		return <-hasLeft
	})
	close(finishDial)
	eventually(t, "the request is abandoned", func() bool { return s.inFlight() == 0 })
	close(finishSend)
	s.requireNextAttempt(e, "bb")
}

// A client that sends too much before its answer gets an error and its session ends. The attempt is cancelled.
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
	if command := <-e.received; command.parts[0] != "undo" {
		t.Errorf("the engine received %q", command.parts)
	}
	s.awaitLog("code=flooded")
	if n := s.inFlight(); n != 0 {
		t.Errorf("%d outstanding requests, want 0", n)
	}
}

// An event may be queued before, during or after the session's read. The test covers each of these cases.
func TestSessionQueueInterruptsReads(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	readAndEnd := func(queue *sessionQueue) error {
		_, err := near.Read(make([]byte, 1))
		queue.endInterruptibleRead()
		return err
	}
	handled := 0
	abandoned := requestAbandoned{}

	queue := newSessionQueue(func(sessionEvent) { handled++ })
	queue.Put(abandoned)
	if queue.beginInterruptibleRead(near) {
		t.Error("the session may read although an event is queued")
	}
	queue.run()

	if !queue.beginInterruptibleRead(near) {
		t.Fatal("the session may not read although no event is queued")
	}
	queue.Put(abandoned) // before the read
	if err := readAndEnd(queue); !os.IsTimeout(err) {
		t.Errorf("an event queued before the read did not interrupt it: %v", err)
	}
	queue.run()

	queue.beginInterruptibleRead(near)
	readResult := make(chan error)
	go func() { readResult <- readAndEnd(queue) }()
	queue.Put(abandoned) // during the read, or just before it
	if err := <-readResult; !os.IsTimeout(err) {
		t.Errorf("an event queued during the read did not interrupt it: %v", err)
	}
	queue.run()

	queue.beginInterruptibleRead(near)
	queue.endInterruptibleRead()
	queue.Put(abandoned) // after the read; the next read must not be interrupted
	go func() { _, _ = far.Write([]byte{1}) }()
	if _, err := near.Read(make([]byte, 1)); err != nil {
		t.Errorf("an event queued after the read interrupted the next read: %v", err)
	}
	queue.run()
	if handled != 4 {
		t.Errorf("%d of 4 events were handled", handled)
	}
}
