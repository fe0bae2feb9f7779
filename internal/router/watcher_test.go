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

// The elapsed times are those of connections that were refused at once, ended early, and were not up in time.
func Example_reconnectDelay() {
	const connectTimeout = 400 * time.Millisecond
	for _, elapsed := range []time.Duration{0, 100 * time.Millisecond, connectTimeout, time.Second} {
		fmt.Print(reconnectDelay(elapsed, connectTimeout), " ")
	}
	// Output: 400ms 300ms 0s 0s
}

// awaitPoll waits until the watcher has polled an engine list, and returns the connection.
func awaitPoll(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	_ = asTCPListener(listener).SetDeadline(time.Now().Add(eventuallyTimeout))
	for {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
			return conn
		}
		conn.Close() // the watcher gave up the dial before it polled, which a short connect timeout can cause
	}
}

// A new configuration that arrives while the watcher waits after a refused connection is used at once. The gateway is expected
// to know the events that the configuration contains.
func TestReloadWhileTheListIsDown(t *testing.T) {
	// The wait after a refused connection is as long as the connect timeout, which must not pass during the test.
	longTimeoutSettings := strings.Replace(settings, `"connectTimeoutUs":250000`, `"connectTimeoutUs":60000000`, 1)
	e := newFakeEngine(t, "e1")
	s := startFixtureWith(t, longTimeoutSettings)
	defer s.close()
	e.fixture = s
	closedListener := s.listen()
	address := closedListener.Addr().String()
	closedListener.Close()
	next := *s.startConfig
	next.DiscoveryAddress, next.KnownEndpoints = address, nil
	s.reloads <- &next
	s.awaitLog("code=refused")
	listener := s.listen()
	afterNext := next
	afterNext.DiscoveryAddress = listener.Addr().String()
	s.reloads <- &afterNext
	awaitPoll(t, listener)
}

// An update with the whole list that no longer contains an engine removes the engine, as if the list had announced its end.
func TestWholeListRemovesUnlistedEngine(t *testing.T) {
	e, f := newFakeEngine(t, "e1"), newFakeEngine(t, "e2")
	s := startFixture(t, e)
	defer s.close()
	f.fixture = s
	listener := s.listen()
	next := *s.startConfig
	next.DiscoveryAddress = listener.Addr().String()
	s.reloads <- &next
	conn := awaitPoll(t, listener)
	wholeList := fmt.Sprintf(`{"index":9,"updates":[%s]}`, watchEvent(9, true, []string{serverJSON(f, "Ready")}))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeList), wholeList)
	eventually(t, "the whole list is applied", func() bool {
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
		t.Errorf("the engine that is no longer listed received %q", (<-e.received).parts)
	}
}

// A shutdown ends the watcher and closes its connection while a poll is unanswered.
func TestStopEndsTheWatcher(t *testing.T) {
	s := startFixture(t)
	defer s.close()
	listener := s.listen()
	next := *s.startConfig
	next.DiscoveryAddress = listener.Addr().String()
	s.reloads <- &next
	conn := awaitPoll(t, listener)
	close(s.stop)
	<-s.ended
	conn.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("the poll was left open: %v", err)
	}
}

// The answer to a poll is cut off, malformed, too long, followed by surplus bytes, or lacks an event. The gateway keeps the
// events that it has read, and polls again for the events after the last one, on a new connection.
func TestInvalidListIsPolledAgain(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t)
	e.fixture = s
	listener := s.listen()
	next := *s.startConfig
	next.DiscoveryAddress = listener.Addr().String()
	s.reloads <- &next
	ready := fmt.Sprintf(`{"index":2,"updates":[%s]}`, watchEvent(2, false, []string{serverJSON(e, "Ready")}))
	validAnswer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(ready), ready)
	for _, c := range []struct{ what, answer string }{
		{"breaks off", validAnswer[:len(validAnswer)-30]},
		{"is spoilt", strings.Replace(validAnswer, `"id":`, `"\x00d":`, 1)},
		{"lacks an id", strings.Replace(validAnswer, `"id"`, `"ID"`, 1)},
		{"has an odd state", strings.Replace(validAnswer, `Ready`, `Reedy`, 1)},
		{"leaves an event out", "HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + `{"index":2,"updates":[]}`},
		{"claims too much", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{"},
		{"has no end of its head", "HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 9000)},
		{"comes twice", validAnswer + validAnswer},
	} {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		line, _ := bufio.NewReader(conn).ReadString('\n')
		s.tracef("polled: %.26s, the answer %s", line, c.what)
		_, _ = io.WriteString(conn, c.answer)
		if c.what == "breaks off" {
			conn.Close()
		}
	}
	conn, _ := listener.Accept()
	line, _ := bufio.NewReader(conn).ReadString('\n')
	s.tracef("polled: %.26s", line)
	a := s.newClient()
	a.sendIdempotentQuery("aa")
	e.reply(e.receive(), "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("list amiss")
}

// A terminating engine gets no new requests. The result of a request that it already runs is still delivered.
func TestDrainingEngineGetsNothingNew(t *testing.T) {
	e := newFakeEngine(t, "e1")
	s := startFixture(t, e)
	a, b := s.newClient(), s.newClient()
	a.sendIdempotentQuery("aa")
	conn := e.receive()
	s.announceEngine(e, "Terminating")
	b.sendIdempotentQuery("bb")
	s.awaitRequests(2)
	s.advanceClock(900 * admission.Millisecond)
	b.expectAnswer()
	e.reply(conn, "00000000000000aa", "data", "pages=1,cost=120,need=64", "a\tb\tc\n")
	a.expectAnswer()
	s.compareTrace("drain")
}
