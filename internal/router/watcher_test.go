package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/admission"
)

func Example_restBefore() {
	const within = 400 * time.Millisecond
	for _, took := range []time.Duration{0, 100 * time.Millisecond, within, time.Second} { // refused at once, ..., not up in time
		fmt.Print(reconnectDelay(took, within), " ")
	}
	// Output: 400ms 300ms 0s 0s
}

// awaitPoll waits for a poll of an engine list and returns its connection.
func awaitPoll(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	_ = asTCPListener(l).SetDeadline(time.Now().Add(eventuallyTimeout))
	for {
		k, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(k).ReadString('\n'); err == nil {
			return k
		}
		k.Close() // its dial was not up in time, where the site allows little
	}
}

// A new configuration that comes while the watcher rests after a refused connection is gone by at once: the events that it knows
// count as told.
func TestReloadWhileTheListIsDown(t *testing.T) {
	long := strings.Replace(settings, `"connectTimeoutUs":250000`, `"connectTimeoutUs":60000000`, 1) // which the rest is, too
	e := newFakeEngine(t, "e1")
	s := startFixtureWith(t, long)
	defer s.close()
	e.fixture = s
	down := s.listen()
	address := down.Addr().String()
	down.Close()
	next := *s.startConfig
	next.DiscoveryAddress, next.KnownEndpoints = address, nil
	s.reloads <- &next
	s.awaitLog("code=refused")
	l := s.listen()
	after := next
	after.DiscoveryAddress = l.Addr().String()
	s.reloads <- &after
	awaitPoll(t, l)
}

// A whole list after a silence that names an engine no more takes it away, as if its end had been told.
func TestWholeListWithoutAnEngine(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixture(t, e)
	defer s.close()
	f.fixture = s
	l := s.listen()
	next := *s.startConfig
	next.DiscoveryAddress = l.Addr().String()
	s.reloads <- &next
	k := awaitPoll(t, l)
	whole := fmt.Sprintf(`{"index":9,"updates":[%s]}`, watchEvent(9, true, []string{serverJSON(f, "Ready")}))
	fmt.Fprintf(k, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
	eventually(t, "the whole list is taken in", func() bool {
		names := make(chan string, 1)
		s.onOwner(func(admission.Time) {
			var all []string
			for name := range s.owner.engines {
				all = append(all, string(name))
			}
			names <- strings.Join(all, " ")
		})
		return <-names == "e2"
	})
	s.requireNextAttempt(f, "aa")
	if len(e.received) > 0 {
		t.Errorf("the engine that is listed no more heard %q", (<-e.received).parts)
	}
}

// A stop ends the watcher also while it rests or a poll is out.
func TestStopEndsTheFollower(t *testing.T) {
	s := startFixture(t)
	defer s.close()
	l := s.listen()
	next := *s.startConfig
	next.DiscoveryAddress = l.Addr().String()
	s.reloads <- &next
	k := awaitPoll(t, l)
	close(s.stop)
	<-s.ended
	k.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	if _, err := io.Copy(io.Discard, k); err != nil {
		t.Errorf("the poll was left open: %v", err)
	}
}

// The list breaks off, is spoilt, brings more than was asked for, or goes away for good: what it told before counts,
// and the rest is asked for again under the last number, on a new connection.
func TestSpoiltListIsAskedAgain(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t)
	e.fixture = s
	l := s.listen()
	next := *s.startConfig
	next.DiscoveryAddress = l.Addr().String()
	s.reloads <- &next
	ready := fmt.Sprintf(`{"index":2,"updates":[%s]}`, watchEvent(2, false, []string{serverJSON(e, "Ready")}))
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(ready), ready)
	for _, c := range []struct{ what, answer string }{
		{"breaks off", whole[:len(whole)-30]},
		{"is spoilt", strings.Replace(whole, `"id":`, `"\x00d":`, 1)},
		{"lacks an id", strings.Replace(whole, `"id"`, `"ID"`, 1)},
		{"has an odd state", strings.Replace(whole, `Ready`, `Reedy`, 1)},
		{"leaves an event out", "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + `{"index":2,"updates":[]}`},
		{"claims too much", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{"},
		{"has no end of its head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 9000)},
		{"comes twice", whole + whole},
	} {
		k, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		line, _ := bufio.NewReader(k).ReadString('\n')
		s.tracef("polled: %.26s, the answer %s", line, c.what)
		_, _ = io.WriteString(k, c.answer)
		if c.what == "breaks off" {
			k.Close()
		}
	}
	k, _ := l.Accept()
	line, _ := bufio.NewReader(k).ReadString('\n')
	s.tracef("polled: %.26s", line)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	e.reply(e.receive(), "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("list amiss")
}

func TestDrainingEngineGetsNothingNew(t *testing.T) { // nothing new goes there, and what is out is still delivered
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a, b := s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	k := e.receive()
	s.announceEngine(e, "Terminating")
	b.sendIdempotentQuery("bb")
	s.awaitRequests(2)
	s.advanceClock(900 * admission.Millisecond)
	b.expectAnswer()
	e.reply(k, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("drain")
}
