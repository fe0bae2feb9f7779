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

// patience is how long a test waits for what has to come about: generous, as machines are busy.
const patience = 10 * time.Second

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for by := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(by) {
			t.Fatalf("not so after %v: %s", patience, what)
		}
	}
}

// inHand counts the requests that the router has taken and not answered.
func (s *stage) inHand() int {
	answer := make(chan int, 1)
	s.o.tell(func(admission.Time) { answer <- len(s.o.requests) })
	return <-answer
}

// The ways in which a client leaves while its request is in hand.
var departures = map[string]func(c *client){
	"closes": func(c *client) { c.c.Close() },
	"resets": func(c *client) {
		c.c.(*net.TCPConn).SetLinger(0)
		c.c.Close()
	},
	"closes behind a command": func(c *client) {
		c.c.Write([]byte{1, 0, 0, 0, 0x0e})
		c.c.Close()
	},
	"closes behind half a command": func(c *client) {
		c.c.Write([]byte{9, 0})
		c.c.Close()
	},
	"quits": func(c *client) {
		c.c.Write([]byte{1, 0, 0, 0, 0x01})
		c.c.Close()
	},
}

// connectionOf is the router's side of a client's connection.
func (s *stage) connectionOf(c *client) net.Conn {
	tcp := make(chan net.Conn, 1)
	s.o.tell(func(admission.Time) { tcp <- s.o.sessions[c.id].tcp })
	return <-tcp
}

// endArrived tells whether the system has got the other side's end of a connection, also behind unread bytes.
func endArrived(tcp net.Conn) (arrived bool) {
	raw, err := tcp.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		_, err = unix.Poll(polled, 0)
		arrived = err == nil && polled[0].Revents != 0
	})
	return arrived
}

// onlyHears asks with another client and shows that an engine hears that request first: nothing went out for the one before.
func (s *stage) onlyHears(e *standEngine, id string) {
	s.t.Helper()
	b := s.client()
	b.look(id)
	select {
	case h := <-e.heard:
		if h.parts[0] != "do" || h.parts[1] != "00000000000000"+id {
			s.t.Errorf("%s heard %q", e.name, h.parts)
		}
	case <-time.After(patience):
		s.t.Errorf("%s heard nothing of %s", e.name, id)
	}
}

func TestClientLeavesWhileItsRequestIsHeld(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			e := newEngineStand(t, "e1")
			s := play(t)
			defer s.close()
			a := s.client()
			a.look("aa")
			s.wait(1)
			leave(a)
			eventually(t, "the request of a client that left is withdrawn", func() bool { return s.inHand() == 0 })
			s.told(e, "Ready")
			s.onlyHears(e, "bb")
		})
	}
}

// A query that lay unread until its client had left is not sent on: the process stood still, as the limiter's lock has the session do
// here. A connection to the engine is up, so an attempt would be written at once; without the look at the client which of the
// attempt and the end was first was chance, so it is tried often.
func TestClientLeftBeforeItsQueryIsRead(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t, e)
	defer s.close()
	a := s.client()
	a.look("bb")
	e.says(e.hears(), "00000000000000bb", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.gets()
	for range 40 {
		for _, leave := range departures {
			c := s.client()
			s.o.clients.mu.Lock()
			c.look("aa")
			leave(c)
			tcp := s.connectionOf(c)
			eventually(t, "the client's end is there", func() bool { return endArrived(tcp) })
			s.o.clients.mu.Unlock()
		}
	}
	eventually(t, "all sessions but one end", func() bool { return s.kept() == 2 }) // its place among the clients, and its number
	s.onlyHears(e, "cc")
}

func TestClientLeavesBeforeARetry(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			e, f := newEngineStand(t, "e1"), newEngineStand(t, "e2")
			s := play(t, e)
			defer s.close()
			a := s.client()
			a.look("aa")
			k := e.hears()
			s.told(f, "Ready")
			s.told(e, "Terminating")
			leave(a)
			eventually(t, "the request of a client that left is withdrawn", func() bool { return s.inHand() == 0 })
			if h := <-e.heard; h.parts[0] != "undo" {
				t.Errorf("the engine heard %q", h.parts)
			}
			k.Close()
			s.onlyHears(f, "bb")
		})
	}
}

// An attempt that waits for its connection is withdrawn before that is up.
func TestClientLeavesWhileAConnectionComesUp(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t)
	defer s.close()
	dialled, goOn := make(chan bool, 1), make(chan bool)
	s.o.tell(func(admission.Time) {
		dial := s.o.dial
		s.o.dial = func(address string) (net.Conn, error) {
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
		s.o.tell(func(now admission.Time) {
			s.o.listed(now, admission.PartialUpdate, []admission.Endpoint{{Engine: "e1", State: admission.Live}}, []string{e.l.Addr().String()})
		})
		s.sync()
	}
	started()
	e.s = s
	a := s.client()
	a.look("aa")
	<-dialled
	if n := s.inHand(); n != 1 {
		t.Fatalf("%d requests in hand while the connection comes up", n)
	}
	a.c.Close()
	eventually(t, "the request of a client that left is withdrawn", func() bool { return s.inHand() == 0 })
	close(goOn)
	s.onlyHears(e, "bb")
}

// The connection comes up before the session has seen its client leave, as it stands still: nothing is written all the same.
func TestClientLeftWhenTheConnectionIsUp(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t)
	defer s.close()
	dialled, goOn := s.slowDial(e)
	s.lists(e, admission.Live)
	a := s.client()
	a.look("aa")
	<-dialled
	busy, done := make(chan bool), make(chan bool)
	s.o.tell(func(admission.Time) {
		s.o.requests["00000000000000aa"].by.do(func() {
			close(busy)
			<-done
		})
	})
	<-busy
	a.c.Close()
	eventually(t, "the end is there", func() bool {
		gone := make(chan bool, 1)
		s.o.tell(func(admission.Time) { gone <- s.o.requests["00000000000000aa"].by.gone() })
		return <-gone
	})
	close(goOn)
	eventually(t, "the request is withdrawn", func() bool { return s.inHand() == 0 })
	close(done)
	s.onlyHears(e, "bb")
}

// Who sends on and on before the answer is ended with an error, and the attempt is called off.
func TestFloodBeforeTheAnswer(t *testing.T) {
	e := newEngineStand(t, "e1")
	s := play(t, e)
	defer s.close()
	a := s.client()
	a.look("aa")
	e.hears()
	a.c.Write(bytes.Repeat([]byte{1, 0, 0, 0, 0x0e}, mostAhead))
	if p := a.packet(); p[0] != 0xff || !strings.Contains(string(p), "too much was sent") {
		t.Errorf("the client got %q", p)
	}
	if h := <-e.heard; h.parts[0] != "undo" {
		t.Errorf("the engine heard %q", h.parts)
	}
	s.logged("code=flooded")
	if n := s.inHand(); n != 0 {
		t.Errorf("%d requests in hand", n)
	}
}

// The crossings of a call with the session's read, each at its line.
func TestMailboxInterruptsAtEveryLine(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	interrupted := func(m *mailbox) error {
		_, err := near.Read(make([]byte, 1))
		m.resume()
		return err
	}
	called := 0
	call := func() { called++ }

	m := newMailbox()
	m.Put(call)
	if m.interrupt(near) {
		t.Error("a session may read though a call waits already")
	}
	m.run()

	if !m.interrupt(near) {
		t.Fatal("a session may not read though no call waits")
	}
	m.Put(call) // before the read
	if err := interrupted(m); !os.IsTimeout(err) {
		t.Errorf("a call before the read left it waiting: %v", err)
	}
	m.run()

	m.interrupt(near)
	read := make(chan error)
	go func() { read <- interrupted(m) }()
	m.Put(call) // while it reads, or just before
	if err := <-read; !os.IsTimeout(err) {
		t.Errorf("a call during the read left it waiting: %v", err)
	}
	m.run()

	m.interrupt(near)
	m.resume()
	m.Put(call) // after the read: the next one is not disturbed
	go far.Write([]byte{1})
	if _, err := near.Read(make([]byte, 1)); err != nil {
		t.Errorf("a call after the read disturbed the next: %v", err)
	}
	m.run()
	if called != 4 {
		t.Errorf("%d of 4 calls made", called)
	}
}
