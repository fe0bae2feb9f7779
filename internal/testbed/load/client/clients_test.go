package client

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/testbed/load/arrival"
)

var updateTraces = flag.Bool("keep", false, "write the current traces to testdata")

// script drives Clients in a test. It records what they do as a trace and fires their timers in simulated time.
type script struct {
	t          *testing.T
	out        strings.Builder
	clients    *Clients
	now        time.Duration
	timers     []scriptTimer
	ids        map[SessionID]uint64
	nextNumber uint64
}

type scriptTimer struct {
	at       time.Duration
	request  int32
	sequence uint32
}

func newScript(t *testing.T, behavior Behavior) *script {
	t.Helper()
	s := &script{t: t, ids: map[SessionID]uint64{}}
	class := arrival.Class{Name: "look", LatencyObjective: time.Second, MaxWait: 3 * time.Second, MarkRetry: true}
	idempotent := class
	idempotent.Idempotent = true
	s.clients = NewClients(s, behavior, []arrival.Class{class, idempotent}, 1, 0)
	return s
}

func (s *script) logf(format string, args ...any) {
	fmt.Fprintf(&s.out, "%8.1f ms  %s\n", float64(s.now)/1e6, fmt.Sprintf(format, args...))
}

func (s *script) Dial(sessionID SessionID) { s.logf("dial %d", sessionID) }
func (s *script) Send(sessionID SessionID, attempt *Attempt) {
	s.ids[sessionID] = attempt.ID
	s.logf("send task %d on %d, wait %d ms, retry %v, slow %v", attempt.Request.Number, sessionID, attempt.WaitMS, attempt.Retry, attempt.Slow)
}
func (s *script) Close(sessionID SessionID)     { s.logf("close %d", sessionID) }
func (s *script) KillQuery(connectionID uint32) { s.logf("kill %d", connectionID) }
func (s *script) SetTimer(at time.Duration, request int32, sequence uint32) {
	s.timers = append(s.timers, scriptTimer{at, request, sequence})
}
func (s *script) Finished(report *Report) {
	s.logf("task %d %s after %.1f ms, own %.1f, queued %.1f, tries %d, odd %v", report.Request.Number, report.Outcome,
		float64(report.FinishedAt-report.Request.At)/1e6, float64(report.GeneratorDelay)/1e6, float64(report.QueueDelay)/1e6,
		report.Attempts, report.Misbehaving)
}

// advance moves the simulated time forward and fires the timers that are due.
func (s *script) advance(duration time.Duration) {
	until := s.now + duration
	for {
		first := -1
		for i, timer := range s.timers {
			if timer.at <= until && (first < 0 || timer.at < s.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			s.now = until
			return
		}
		timer := s.timers[first]
		s.timers = append(s.timers[:first], s.timers[first+1:]...)
		s.now = max(s.now, timer.at)
		s.clients.HandleTimer(s.now, timer.request, timer.sequence)
	}
}

func (s *script) arrive(class int) {
	s.clients.HandleArrival(s.now, arrival.Request{Number: s.nextNumber, At: s.now, Class: class, RandomBits: 1 << 62})
	s.nextNumber++
}

func (s *script) connect(sessionID SessionID) {
	s.clients.HandleConnected(s.now, sessionID, 100+uint32(sessionID))
}
func (s *script) answer(sessionID SessionID, outcome Outcome, retryAfter time.Duration) {
	s.clients.HandleAnswer(s.now, sessionID, s.ids[sessionID], outcome, retryAfter)
}

// closeSession0 closes session 0 from the server's side.
func (s *script) closeSession0(refused bool) { s.clients.HandleClosed(s.now, 0, refused) }

func (s *script) checkTrace(name string) {
	s.t.Helper()
	path := "testdata/" + name + ".txt"
	if *updateTraces {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			s.t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(s.out.String()), 0o644); err != nil {
			s.t.Fatal(err)
		}
	}
	if want, err := os.ReadFile(path); err != nil || s.out.String() != string(want) {
		s.t.Errorf("got:\n%s\nexpected:\n%s\n%v", s.out.String(), want, err)
	}
	if s.clients.Unfinished() != 0 {
		s.t.Errorf("%d requests have no outcome", s.clients.Unfinished())
	}
}

const ms = time.Millisecond

// Rejected requests are retried until the attempts are used up. A Retry-After time is honored.
func TestRetries(t *testing.T) {
	s := newScript(t, Behavior{PooledShare: 1, MaxAttempts: 3, Backoff: 100 * ms, HonorRetryAfterProbability: 1})
	s.arrive(0)
	s.connect(0)
	s.advance(10 * ms)
	s.answer(0, Rejected, 700*ms)
	s.advance(700 * ms)
	s.answer(0, Rejected, 0)
	s.advance(250 * ms)
	s.answer(0, Rejected, 0)
	s.arrive(0) // an error of unknown effect ends a request, unless the request is idempotent
	s.answer(0, Failed, 0)
	s.arrive(1)
	s.answer(0, Failed, 0)
	s.advance(150 * ms)
	s.answer(0, Served, 0)
	s.arrive(0) // the backoff would end after the deadline
	s.answer(0, Rejected, 5*time.Second)
	s.checkTrace("retries")
}

// The retry budget permits a burst of one retry plus a fifth of the first attempts.
func TestRetryBudget(t *testing.T) {
	s := newScript(t, Behavior{PooledShare: 1, MaxAttempts: 5, Backoff: 10 * ms, RetryRatio: 0.2, RetryBurst: 1, RetryWindow: time.Second})
	for range 4 {
		s.arrive(0)
		s.connect(0)
		s.answer(0, Rejected, 0)
		s.advance(20 * ms)
	}
	s.advance(1200 * ms) // the window has passed
	s.clients.Stop(s.now)
	s.checkTrace("budget")
}

// When the deadline passes, the client sends KILL QUERY and closes the connection half a second later. It ignores an
// answer that arrives in between.
func TestDeadline(t *testing.T) {
	s := newScript(t, Behavior{PooledShare: 1, MaxAttempts: 1})
	s.arrive(0)
	s.advance(40 * ms)
	s.connect(0)
	s.advance(3000 * ms)
	s.answer(0, Served, 0)
	s.advance(600 * ms)
	s.arrive(0) // the connection is never established
	s.advance(4000 * ms)
	s.arrive(0) // the server closes the connection after KILL QUERY
	s.connect(0)
	s.advance(3100 * ms)
	s.closeSession0(false)
	s.advance(time.Second)
	s.checkTrace("patience")
}

// Connections end in three ways: they are refused, they are closed while a request is on its way, which is then sent
// again once, and they are lost.
func TestConnectionsLost(t *testing.T) {
	s := newScript(t, Behavior{PooledShare: 1, MaxAttempts: 2, Backoff: 100 * ms})
	s.arrive(0)
	s.closeSession0(true)
	s.advance(200 * ms)
	s.connect(0)
	s.answer(0, Served, 0)
	s.arrive(0) // on a session that was idle; the server closes it while the request is on its way
	s.advance(20 * ms)
	s.closeSession0(false)
	s.connect(0)
	s.advance(20 * ms)
	s.closeSession0(false) // the session is new, so the request is lost
	s.arrive(0)
	s.connect(0)
	s.answer(0, Served, 0)
	s.arrive(0)
	s.advance(60 * ms)
	s.closeSession0(false) // after closeRaceWindow
	s.arrive(1)            // lost, but idempotent, so it is retried
	s.connect(0)
	s.closeSession0(false)
	s.advance(150 * ms)
	s.connect(0)
	s.answer(0, MalformedAnswer, 0)
	s.checkTrace("ends")
}

// With a limit of two connections, other requests wait in order. A held-open session is closed to make its connection
// free, and the deadline ends the wait.
func TestConnectionLimit(t *testing.T) {
	s := newScript(t, Behavior{Connections: 2, HeldOpenShare: 1, MaxAttempts: 1})
	for range 5 {
		s.arrive(0)
		s.advance(ms)
	}
	s.connect(0)
	s.connect(1)
	s.advance(10 * ms)
	s.answer(0, Served, 0) // the session is held open, but is closed for the next request in the queue
	s.connect(0)
	s.advance(5000 * ms)
	s.checkTrace("limit")
}

// The pooled session that was used last is used first. Sessions that are idle for too long are closed.
func TestSessionPool(t *testing.T) {
	s := newScript(t, Behavior{PooledShare: 1, MaxAttempts: 1, IdleTimeout: 2 * time.Second})
	s.arrive(0)
	s.arrive(0)
	s.connect(0)
	s.connect(1)
	s.answer(0, Served, 0)
	s.advance(ms)
	s.answer(1, Served, 0)
	s.arrive(0)
	s.answer(1, Served, 0)
	s.advance(time.Second)
	s.closeSession0(false) // the server closes the idle session
	s.clients.CloseIdle(s.now)
	s.advance(1100 * ms)
	s.clients.CloseIdle(s.now)
	s.checkTrace("pool")
}

// Clients read slowly, close the connection before the answer, or never send a query.
func TestMisbehavingClients(t *testing.T) {
	for _, behavior := range []Behavior{{SlowShare: 1}, {LeavingShare: 1}, {SilentShare: 1}} {
		behavior.MaxAttempts = 3
		s := newScript(t, behavior)
		s.arrive(0)
		s.connect(0)
		s.advance(2500 * ms)
		if behavior.SlowShare > 0 {
			s.answer(0, Served, 0)
		}
		s.advance(2000 * ms)
		s.checkTrace(fmt.Sprintf("odd-%g-%g-%g", behavior.SlowShare, behavior.LeavingShare, behavior.SilentShare))
	}
}

// No two attempts have the same id, whether at the same request or at different ones.
func TestIDsAreUnique(t *testing.T) {
	seen := map[uint64]bool{}
	for request := range uint64(2000) {
		for attempt := 1; attempt <= maxAttempts; attempt++ {
			id := ID(5, request, attempt)
			if seen[id] {
				t.Fatalf("request %d attempt %d has the id of another attempt", request, attempt)
			}
			seen[id] = true
		}
	}
}

type noopTransport struct{}

func (noopTransport) Dial(SessionID)                        {}
func (noopTransport) Send(SessionID, *Attempt)              {}
func (noopTransport) Close(SessionID)                       {}
func (noopTransport) KillQuery(uint32)                      {}
func (noopTransport) SetTimer(time.Duration, int32, uint32) {}
func (noopTransport) Finished(*Report)                      {}

// BenchmarkClient measures a request on an open session, from arrival to answer.
func BenchmarkClient(b *testing.B) {
	clients := NewClients(noopTransport{}, Behavior{PooledShare: 1, MaxAttempts: 1}, []arrival.Class{{Name: "look", MaxWait: time.Second}}, 1, 0)
	b.ReportAllocs()
	now := time.Duration(0)
	for n := uint64(0); b.Loop(); n++ {
		now += 20 * time.Microsecond
		clients.HandleArrival(now, arrival.Request{Number: n, At: now, RandomBits: 1 << 62})
		if n == 0 {
			clients.HandleConnected(now, 0, 1)
		}
		clients.HandleAnswer(now, 0, ID(1, n, 1), Served, 0)
	}
}
