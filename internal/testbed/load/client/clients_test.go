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

var updateTraces = flag.Bool("keep", false, "keep the traces as they come out now")

// script drives clients by a script: what they do is printed, and timers come as time passes.
type script struct {
	t          *testing.T
	out        strings.Builder
	clients    *Clients
	now        time.Duration
	timers     []scriptTimer
	ids        map[Session]uint64
	nextNumber uint64
}

type scriptTimer struct {
	at       time.Duration
	request  int32
	sequence uint32
}

func newScript(t *testing.T, behavior Behavior) *script {
	t.Helper()
	s := &script{t: t, ids: map[Session]uint64{}}
	class := arrival.Class{Name: "look", LatencyObjective: time.Second, MaxWait: 3 * time.Second, MarkRetry: true}
	idempotent := class
	idempotent.Idempotent = true
	s.clients = NewClients(s, behavior, []arrival.Class{class, idempotent}, 1, 0)
	return s
}

func (s *script) logf(format string, args ...any) {
	fmt.Fprintf(&s.out, "%8.1f ms  %s\n", float64(s.now)/1e6, fmt.Sprintf(format, args...))
}

func (s *script) Dial(c Session) { s.logf("dial %d", c) }
func (s *script) Send(c Session, a *Attempt) {
	s.ids[c] = a.ID
	s.logf("send task %d on %d, wait %d ms, retry %v, slow %v", a.Request.Number, c, a.WaitMS, a.Retry, a.Slow)
}
func (s *script) Close(c Session)             { s.logf("close %d", c) }
func (s *script) KillQuery(connection uint32) { s.logf("kill %d", connection) }
func (s *script) SetTimer(at time.Duration, request int32, sequence uint32) {
	s.timers = append(s.timers, scriptTimer{at, request, sequence})
}
func (s *script) Finished(r *Report) {
	s.logf("task %d %s after %.1f ms, own %.1f, queued %.1f, tries %d, odd %v", r.Request.Number, r.Outcome,
		float64(r.FinishedAt-r.Request.At)/1e6, float64(r.GeneratorDelay)/1e6, float64(r.QueueDelay)/1e6, r.Attempts, r.Misbehaving)
}

// advance lets time pass and fires the timers that come due.
func (s *script) advance(d time.Duration) {
	until := s.now + d
	for {
		first := -1
		for i, t := range s.timers {
			if t.at <= until && (first < 0 || t.at < s.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			s.now = until
			return
		}
		t := s.timers[first]
		s.timers = append(s.timers[:first], s.timers[first+1:]...)
		s.now = max(s.now, t.at)
		s.clients.HandleTimer(s.now, t.request, t.sequence)
	}
}

func (s *script) arrive(class int) {
	s.clients.HandleArrival(s.now, arrival.Request{Number: s.nextNumber, At: s.now, Class: class, Draw: 1 << 62})
	s.nextNumber++
}

func (s *script) connect(c Session) { s.clients.HandleConnected(s.now, c, 100+uint32(c)) }
func (s *script) answer(c Session, outcome Outcome, retryAfter time.Duration) {
	s.clients.HandleAnswer(s.now, c, s.ids[c], outcome, retryAfter)
}

// closeFirst closes session 0 from the other side.
func (s *script) closeFirst(refused bool) { s.clients.HandleClosed(s.now, 0, refused) }

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
		s.t.Errorf("got:\n%s\nkept:\n%s\n%v", s.out.String(), want, err)
	}
	if s.clients.Unfinished() != 0 {
		s.t.Errorf("%d tasks have no outcome", s.clients.Unfinished())
	}
}

const ms = time.Millisecond

// Rejections with and without a Retry-After time that is honored, until the attempts are used up.
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
	s.arrive(0) // an error of unknown effect ends a request that is not idempotent, and only that
	s.answer(0, Failed, 0)
	s.arrive(1)
	s.answer(0, Failed, 0)
	s.advance(150 * ms)
	s.answer(0, Served, 0)
	s.arrive(0) // a backoff that would end past the attempt timeout
	s.answer(0, Rejected, 5*time.Second)
	s.checkTrace("retries")
}

// The retry budget: a burst of one, and a fifth of the first attempts.
func TestRetryBudget(t *testing.T) {
	s := newScript(t, Behavior{PooledShare: 1, MaxAttempts: 5, Backoff: 10 * ms, RetryRatio: 0.2, RetryBurst: 1, RetryWindow: time.Second})
	for range 4 {
		s.arrive(0)
		s.connect(0)
		s.answer(0, Rejected, 0)
		s.advance(20 * ms)
	}
	s.advance(1200 * ms) // the window is over
	s.clients.Stop(s.now)
	s.checkTrace("budget")
}

// The attempt timeout ends: KILL QUERY, the close half a second later, and an answer in between is ignored.
func TestAttemptTimeout(t *testing.T) {
	s := newScript(t, Behavior{PooledShare: 1, MaxAttempts: 1})
	s.arrive(0)
	s.advance(40 * ms)
	s.connect(0)
	s.advance(3000 * ms)
	s.answer(0, Served, 0)
	s.advance(600 * ms)
	s.arrive(0) // no connection comes up
	s.advance(4000 * ms)
	s.arrive(0) // the connection ends while the client is leaving
	s.connect(0)
	s.advance(3100 * ms)
	s.closeFirst(false)
	s.advance(time.Second)
	s.checkTrace("patience")
}

// Ends of connections: refused, crossed by a close and sent again once, lost.
func TestConnectionsLost(t *testing.T) {
	s := newScript(t, Behavior{PooledShare: 1, MaxAttempts: 2, Backoff: 100 * ms})
	s.arrive(0)
	s.closeFirst(true)
	s.advance(200 * ms)
	s.connect(0)
	s.answer(0, Served, 0)
	s.arrive(0) // on a session that was idle; a close crosses the request
	s.advance(20 * ms)
	s.closeFirst(false)
	s.connect(0)
	s.advance(20 * ms)
	s.closeFirst(false) // this one is new, so it is lost
	s.arrive(0)
	s.connect(0)
	s.answer(0, Served, 0)
	s.arrive(0)
	s.advance(60 * ms)
	s.closeFirst(false) // too late to have crossed
	s.arrive(1)         // lost, and may be repeated
	s.connect(0)
	s.closeFirst(false)
	s.advance(150 * ms)
	s.connect(0)
	s.answer(0, MalformedAnswer, 0)
	s.checkTrace("ends")
}

// Two connections at most: requests that find none wait in order, a held-open session is evicted, the attempt timeout
// ends the wait.
func TestConnectionLimit(t *testing.T) {
	s := newScript(t, Behavior{Connections: 2, HeldOpenShare: 1, MaxAttempts: 1})
	for range 5 {
		s.arrive(0)
		s.advance(ms)
	}
	s.connect(0)
	s.connect(1)
	s.advance(10 * ms)
	s.answer(0, Served, 0) // held open, but the next in the queue needs its connection
	s.connect(0)
	s.advance(5000 * ms)
	s.checkTrace("limit")
}

// Pooled sessions are used last in first out, and closed when idle for too long.
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
	s.closeFirst(false) // closed by the other side while idle
	s.clients.CloseIdle(s.now)
	s.advance(1100 * ms)
	s.clients.CloseIdle(s.now)
	s.checkTrace("pool")
}

// Clients that leave, that are slow, that never send.
func TestMisbehavingClients(t *testing.T) {
	for _, m := range []Behavior{{SlowShare: 1}, {LeavingShare: 1}, {SilentShare: 1}} {
		m.MaxAttempts = 3
		s := newScript(t, m)
		s.arrive(0)
		s.connect(0)
		s.advance(2500 * ms)
		if m.SlowShare > 0 {
			s.answer(0, Served, 0)
		}
		s.advance(2000 * ms)
		s.checkTrace(fmt.Sprintf("odd-%g-%g-%g", m.SlowShare, m.LeavingShare, m.SilentShare))
	}
}

func TestIDsAreUnique(t *testing.T) { // no two attempts of any requests share one
	seen := map[uint64]bool{}
	for request := range uint64(2000) {
		for attempt := 1; attempt <= maxAttempts; attempt++ {
			id := ID(5, request, attempt)
			if seen[id] {
				t.Fatalf("request %d attempt %d has the id of another", request, attempt)
			}
			seen[id] = true
		}
	}
}

type silentTransport struct{}

func (silentTransport) Dial(Session)                          {}
func (silentTransport) Send(Session, *Attempt)                {}
func (silentTransport) Close(Session)                         {}
func (silentTransport) KillQuery(uint32)                      {}
func (silentTransport) SetTimer(time.Duration, int32, uint32) {}
func (silentTransport) Finished(*Report)                      {}

func BenchmarkClient(b *testing.B) { // a request on a session that is there, from arrival to answer
	c := NewClients(silentTransport{}, Behavior{PooledShare: 1, MaxAttempts: 1}, []arrival.Class{{Name: "look", MaxWait: time.Second}}, 1, 0)
	b.ReportAllocs()
	now := time.Duration(0)
	for n := uint64(0); b.Loop(); n++ {
		now += 20 * time.Microsecond
		c.HandleArrival(now, arrival.Request{Number: n, At: now, Draw: 1 << 62})
		if n == 0 {
			c.HandleConnected(now, 0, 1)
		}
		c.HandleAnswer(now, 0, ID(1, n, 1), Served, 0)
	}
}
