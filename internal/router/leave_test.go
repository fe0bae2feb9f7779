package router

import (
	"bytes"
	"net"
	"os"
	"strings"
	"testing"
	"time"

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
	s.o.tell(func(admission.Time) { answer <- len(s.o.tasks) })
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
			s.o.listed(now, admission.Changes, []admission.Listing{{Engine: "e1", State: admission.Live}}, []string{e.l.Addr().String()})
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
