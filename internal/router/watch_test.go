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
		fmt.Print(restBefore(took, within), " ")
	}
	// Output: 400ms 300ms 0s 0s
}

// polled waits for a poll of an engine list and returns its connection.
func polled(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
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
	e := newEngineStand(t, "e1")
	s := playSettings(t, long)
	defer s.close()
	e.s = s
	down := s.listen()
	address := down.Addr().String()
	down.Close()
	next := *s.start
	next.EngineList, next.Known = address, nil
	s.renewed <- &next
	s.logged("code=refused")
	l := s.listen()
	after := next
	after.EngineList = l.Addr().String()
	s.renewed <- &after
	polled(t, l)
}

// A whole list after a silence that names an engine no more takes it away, as if its end had been told.
func TestWholeListWithoutAnEngine(t *testing.T) {
	e, f := newEngineStand(t, "e1"), newEngineStand(t, "e2")
	s := play(t, e)
	defer s.close()
	f.s = s
	l := s.listen()
	next := *s.start
	next.EngineList = l.Addr().String()
	s.renewed <- &next
	k := polled(t, l)
	whole := fmt.Sprintf(`{"index":9,"updates":[%s]}`, event(9, true, []string{entry(f, "Ready")}))
	fmt.Fprintf(k, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
	eventually(t, "the whole list is taken in", func() bool {
		names := make(chan string, 1)
		s.o.tell(func(admission.Time) {
			var all []string
			for name := range s.o.engines {
				all = append(all, string(name))
			}
			names <- strings.Join(all, " ")
		})
		return <-names == "e2"
	})
	s.onlyHears(f, "aa")
	if len(e.heard) > 0 {
		t.Errorf("the engine that is listed no more heard %q", (<-e.heard).parts)
	}
}

// A stop ends the watcher also while it rests or a poll is out.
func TestStopEndsTheFollower(t *testing.T) {
	s := play(t)
	defer s.close()
	l := s.listen()
	next := *s.start
	next.EngineList = l.Addr().String()
	s.renewed <- &next
	k := polled(t, l)
	close(s.stop)
	<-s.ended
	k.SetReadDeadline(time.Now().Add(patience))
	if _, err := io.Copy(io.Discard, k); err != nil {
		t.Errorf("the poll was left open: %v", err)
	}
}
