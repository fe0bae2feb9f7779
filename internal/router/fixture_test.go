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

var updateGolden = flag.Bool("keep", false, "overwrite the golden files with the current traces")

// manualClock is a clock that only moves when a test advances it.
type manualClock struct {
	mu     sync.Mutex
	now    admission.Time
	timers map[*manualTimer]bool
}

// manualTimer is a timer of a manualClock; f is called at the time at.
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

// next removes the earliest timer that is due by until, moves the clock to its time and returns its function. If no timer is due,
// next moves the clock to until and returns nil.
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

// fixture is a gateway on the loopback interface. The test plays the clients, the engines and the engine list, and the fixture
// traces what they send and receive.
type fixture struct {
	t             *testing.T
	clock         *manualClock
	owner         *owner
	stop          chan struct{}
	ended         chan struct{}
	trace         strings.Builder
	log           lockedBuffer
	address       string
	listEvents    chan string // answers that the engine list will give to the next polls
	receivedPolls chan string // request lines of the polls received
	listIndex     int
	closers       []io.Closer

	startConfig *config.Config
	reloads     chan *config.Config
}

// lockedBuffer is a buffer that several goroutines may write and read.
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

// startFixture starts a gateway with the default settings that knows the given engines.
func startFixture(t *testing.T, engines ...*fakeEngine) *fixture {
	t.Helper()
	return startFixtureWith(t, settings, engines...)
}

// startFixtureWith starts a gateway with the given settings that knows the given engines.
func startFixtureWith(t *testing.T, settings string, engines ...*fakeEngine) *fixture {
	t.Helper()
	s := &fixture{t: t, clock: &manualClock{now: 17e12, timers: map[*manualTimer]bool{}}, stop: make(chan struct{}),
		ended: make(chan struct{}), listEvents: make(chan string, 8), receivedPolls: make(chan string, 8), listIndex: 1,
		reloads: make(chan *config.Config)}
	var servers []string
	for _, e := range engines {
		e.fixture = s
		servers = append(servers, serverJSON(e, "Ready"))
	}
	path := filepath.Join(t.TempDir(), "configuration.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","limits":{"memory_mb":192},
	 "coordinator":%q,"known":{"index":1,"updates":[%s]},"settings":%s}`, s.startEngineList(), watchEvent(1, true, servers), settings)
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

// ownerCall is an event used only in tests. It calls a function on the owner's goroutine.
type ownerCall func(now admission.Time)

func (ownerCall) isEvent() {}

// onOwner queues a call of a function on the owner's goroutine.
func (s *fixture) onOwner(call func(now admission.Time)) { s.owner.post(ownerCall(call)) }

// listen opens a listener that is closed with the fixture.
func (s *fixture) listen() net.Listener {
	l, err := listenTCP("127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.closers = append(s.closers, l)
	return l
}

// serverJSON returns an engine's entry in the engine list.
func serverJSON(e *fakeEngine, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"hall","kind":"std","cell":0,"state":%q,"started_ms":0}`,
		e.name, e.listener.Addr(), state)
}

// watchEvent returns an event of the engine list. If full is true, servers are the complete list.
func watchEvent(index int, full bool, servers []string) string {
	return fmt.Sprintf(`{"index":%d,"endpoints":{"full":%v,"servers":[%s]}}`, index, full, strings.Join(servers, ","))
}

// startEngineList starts an engine list that serves the events announced by the test, and returns its address.
func (s *fixture) startEngineList() string {
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
	go func() { // discards polls that no test waits for
		for range s.receivedPolls {
		}
	}()
	return l.Addr().String()
}

// answerPolls answers the polls on one connection. The answer holds no event if the test announces none within 200 ms.
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
		s.receivedPolls <- line
		body := `{"index":1,"updates":[]}`
		select {
		case body = <-s.listEvents:
		case <-time.After(200 * time.Millisecond):
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// announceEngine announces an engine's state through the engine list, and waits until the gateway has handled it.
func (s *fixture) announceEngine(e *fakeEngine, state string) {
	e.fixture = s
	s.listIndex++
	s.tracef("the list tells: %s is %s", e.name, state)
	s.listEvents <- fmt.Sprintf(`{"index":%d,"updates":[%s]}`, s.listIndex, watchEvent(s.listIndex, false, []string{serverJSON(e, state)}))
	for line := range s.receivedPolls {
		if strings.Contains(line, fmt.Sprintf("follow=%d&", s.listIndex)) {
			break
		}
	}
	s.sync()
}

// tracef adds a line with the time since the start to the trace.
func (s *fixture) tracef(format string, args ...any) {
	what := strings.ReplaceAll(fmt.Sprintf(format, args...), "\n", "\\n")
	fmt.Fprintf(&s.trace, "%8.1f ms  %s\n", float64(s.clock.Now()-17e12)/10, what)
}

// sync waits until the owner has handled all events that are queued now.
func (s *fixture) sync() {
	done := make(chan struct{})
	s.onOwner(func(admission.Time) { close(done) })
	<-done
}

// advanceClock advances the clock and runs each timer that becomes due.
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

// close stops the gateway and closes all connections and listeners of the fixture.
func (s *fixture) close() {
	if s.owner != nil {
		s.stopGateway()
	}
	for _, c := range s.closers {
		_ = c.Close()
	}
}

// silentListener returns a listener that never accepts or answers, and stays open as long as the test program runs.
var silentListener = sync.OnceValues(func() (net.Listener, error) { return listenTCP("127.0.0.1:0") })

// stopGateway ends all requests in flight, moves the gateway to an engine list that never answers and stops the gateway. Otherwise
// it would dial addresses that the servers of the next test may get.
func (s *fixture) stopGateway() {
	l, err := silentListener()
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
	case <-s.stop: // the test has stopped the gateway already
	default:
		close(s.stop)
	}
}

// compareTrace closes the fixture and compares the trace with the golden file of the given name.
func (s *fixture) compareTrace(name string) {
	s.t.Helper()
	s.close()
	path := "testdata/" + name + ".txt"
	if *updateGolden {
		_ = os.MkdirAll("testdata", 0o755)
		_ = os.WriteFile(path, []byte(s.trace.String()), 0o644)
	}
	if want, err := os.ReadFile(path); err != nil || s.trace.String() != string(want) {
		s.t.Errorf("got:\n%s\nwant:\n%s\n%v\nlog:\n%s", s.trace.String(), want, err, s.log.String())
	}
}

// awaitRequests waits until the gateway has exactly n accepted requests without a final answer.
func (s *fixture) awaitRequests(n int) {
	for got := -1; got != n; {
		answer := make(chan int)
		s.onOwner(func(admission.Time) { answer <- len(s.owner.requests) })
		got = <-answer
	}
}

// awaitLog waits until the log contains the given text.
func (s *fixture) awaitLog(text string) {
	for !strings.Contains(s.log.String(), text) {
		time.Sleep(time.Millisecond)
	}
}
