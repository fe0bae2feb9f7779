package router

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
)

var keep = flag.Bool("keep", false, "keep the traces as they come out now")

// manualClock stands still until a test advances it.
type manualClock struct {
	mu     sync.Mutex
	now    admission.Time
	timers map[*manualTimer]bool
}

type manualTimer struct {
	at admission.Time
	f  func()
}

func (c *manualClock) Now() admission.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) After(d admission.Time, f func()) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{c.now + max(0, d), f}
	c.timers[t] = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.timers, t)
	}
}

// next removes the earliest timer up to a time and moves the clock to it.
func (c *manualClock) next(until admission.Time) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first *manualTimer
	for t := range c.timers {
		if t.at <= until && (first == nil || t.at < first.at) {
			first = t
		}
	}
	if first == nil {
		c.now = until
		return nil
	}
	delete(c.timers, first)
	c.now = max(c.now, first.at)
	return first.f
}

// fixture is a gateway on loopback between clients, engines and an engine list that a test plays. It traces what they send
// and receive.
type fixture struct {
	t          *testing.T
	clock      *manualClock
	owner      *owner
	stop       chan struct{}
	ended      chan struct{}
	trace      strings.Builder
	log        lockedBuffer
	address    string
	listEvents chan string // events to come
	polls      chan string // polls that came
	listIndex  int
	closers    []io.Closer

	startConfig *config.Config
	reloads     chan *config.Config
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const settings = `{"fleetSize":1,"zones":["hall"],"skus":["std"],
 "classes":[{"name":"look","sloUs":1000000,"worth":1,"effect":"read_like"},
  {"name":"load","sloUs":4000000,"lateWorth":0.5,"worth":10,"effect":"non_idempotent"}],
 "familyInfo":{"dop":[1,2],"kindCores":[8],"saysCost":true,"grants":true,"whenShort":"swap"},
 "limits":{"cancel":true,"maxAttempts":4,"multiplex":2,"keepaliveUs":30000000,"connectTimeoutUs":250000,
  "retryAfter":true,"maxRetryAfterUs":2000000},"rules":{}}`

// startFixture starts a gateway that knows the given engines.
func startFixture(t *testing.T, engines ...*fakeEngine) *fixture {
	t.Helper()
	return startFixtureWith(t, settings, engines...)
}

func startFixtureWith(t *testing.T, settings string, engines ...*fakeEngine) *fixture {
	t.Helper()
	s := &fixture{t: t, clock: &manualClock{now: 17e12, timers: map[*manualTimer]bool{}}, stop: make(chan struct{}),
		ended: make(chan struct{}), listEvents: make(chan string, 8), polls: make(chan string, 8), listIndex: 1,
		reloads: make(chan *config.Config)}
	var servers []string
	for _, e := range engines {
		e.fixture = s
		servers = append(servers, serverJSON(e, "Ready"))
	}
	path := filepath.Join(t.TempDir(), "configuration.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"memory_mb":192},
	 "coordinator":%q,"known":{"index":1,"updates":[%s]},"settings":%s}`, s.engineList(), watchEvent(1, true, servers), settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	start, err := config.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	s.startConfig = start
	listener := s.listen()
	s.address = listener.Addr().String()
	s.owner = newOwner(start, s.clock, slog.New(slog.NewTextHandler(&s.log, nil)))
	s.owner.handle = func(now admission.Time, e event) {
		if call, ok := e.(ownerCall); ok {
			call(now)
			return
		}
		s.owner.handleEvent(now, e)
	}
	go func() {
		s.owner.serve(start, listener, s.stop, s.reloads)
		close(s.ended)
	}()
	return s
}

// ownerCall is an event of the tests alone: a call on the owner's goroutine.
type ownerCall func(now admission.Time)

func (ownerCall) isEvent() {}

// onOwner queues a call on the owner's goroutine.
func (s *fixture) onOwner(call func(now admission.Time)) { s.owner.post(ownerCall(call)) }

func (s *fixture) listen() net.Listener {
	l, err := listenTCP("127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.closers = append(s.closers, l)
	return l
}

func serverJSON(e *fakeEngine, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"hall","kind":"std","cell":0,"state":%q,"started_ms":0}`,
		e.name, e.listener.Addr(), state)
}

func watchEvent(index int, full bool, servers []string) string {
	return fmt.Sprintf(`{"index":%d,"endpoints":{"full":%v,"servers":[%s]}}`, index, full, strings.Join(servers, ","))
}

// engineList serves an engine list with the events that a test announces, and returns its address.
func (s *fixture) engineList() string {
	l := s.listen()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.answerPolls(c)
		}
	}()
	go func() { // polls that nobody waits for
		for range s.polls {
		}
	}()
	return l.Addr().String()
}

// answerPolls answers the polls on one connection, with no event if none is announced in time.
func (s *fixture) answerPolls(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if !strings.HasPrefix(line, "GET ") {
			continue
		}
		s.polls <- line
		body := `{"index":1,"updates":[]}`
		select {
		case body = <-s.listEvents:
		case <-time.After(200 * time.Millisecond):
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// announceEngine announces an engine's state by the engine list, and waits until the gateway has taken it in.
func (s *fixture) announceEngine(e *fakeEngine, state string) {
	e.fixture = s
	s.listIndex++
	s.tracef("the list tells: %s is %s", e.name, state)
	s.listEvents <- fmt.Sprintf(`{"index":%d,"updates":[%s]}`, s.listIndex, watchEvent(s.listIndex, false, []string{serverJSON(e, state)}))
	for line := range s.polls {
		if strings.Contains(line, fmt.Sprintf("follow=%d&", s.listIndex)) {
			break
		}
	}
	s.sync()
}

func (s *fixture) tracef(format string, args ...any) {
	what := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", "\\n")
	fmt.Fprintf(&s.trace, "%8.1f ms  %s\n", float64(s.clock.Now()-17e12)/10, what)
}

// sync waits until the owner has handled the events that are queued.
func (s *fixture) sync() {
	done := make(chan struct{})
	s.onOwner(func(admission.Time) { close(done) })
	<-done
}

// advanceClock advances the clock, and has each timer that is due called.
func (s *fixture) advanceClock(d admission.Time) {
	until := s.clock.Now() + d
	for {
		s.sync()
		f := s.clock.next(until)
		if f == nil {
			break
		}
		f()
	}
	s.sync()
}

func (s *fixture) close() {
	if s.owner != nil {
		s.stopGateway()
	}
	for _, c := range s.closers {
		_ = c.Close()
	}
}

// nobody listens as long as the tests run, and never answers.
var nobody = sync.OnceValues(func() (net.Listener, error) { return listenTCP("127.0.0.1:0") })

// stopGateway has the gateway leave its engine list and stop with no request in flight. Otherwise it would dial addresses that
// the next test's servers get.
func (s *fixture) stopGateway() {
	l, err := nobody()
	if err != nil {
		s.t.Fatal(err)
	}
	next := *s.startConfig
	next.DiscoveryAddress, next.KnownEndpoints = l.Addr().String(), nil
	select {
	case s.reloads <- &next:
	case <-s.ended:
		return
	}
	s.onOwner(func(now admission.Time) {
		for _, request := range s.owner.requests {
			s.owner.handleClientLeft(now, request)
		}
	})
	select {
	case <-s.stop: // by the test
	default:
		close(s.stop)
	}
}

// compareTrace compares the trace with the golden file of a name.
func (s *fixture) compareTrace(name string) {
	s.t.Helper()
	s.close()
	path := "testdata/" + name + ".txt"
	if *keep {
		_ = os.MkdirAll("testdata", 0o755)
		_ = os.WriteFile(path, []byte(s.trace.String()), 0o644)
	}
	if want, err := os.ReadFile(path); err != nil || s.trace.String() != string(want) {
		s.t.Errorf("got:\n%s\nkept:\n%s\n%v\nlog:\n%s", s.trace.String(), want, err, s.log.String())
	}
}

// awaitRequests waits until the gateway has n requests in flight.
func (s *fixture) awaitRequests(n int) {
	for got := -1; got != n; {
		answer := make(chan int)
		s.onOwner(func(admission.Time) { answer <- len(s.owner.requests) })
		got = <-answer
	}
}

// awaitLog waits until the log holds a text.
func (s *fixture) awaitLog(text string) {
	for !strings.Contains(s.log.String(), text) {
		time.Sleep(time.Millisecond)
	}
}
