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

var keep = flag.Bool("keep", false, "keep the traces as they come out now")

// stage plays a crowd by a script: what the crowd does is printed, and timers come as time passes.
type stage struct {
	t      *testing.T
	out    strings.Builder
	c      *Clients
	now    time.Duration
	timers []stageTimer
	ids    map[Session]uint64
	n      uint64
}

type stageTimer struct {
	at   time.Duration
	q    int32
	turn uint32
}

func play(t *testing.T, m Behavior) *stage {
	s := &stage{t: t, ids: map[Session]uint64{}}
	lane := arrival.Class{Name: "look", LatencyObjective: time.Second, MaxWait: 3 * time.Second, MarkRetry: true}
	again := lane
	again.Idempotent = true
	s.c = NewClients(s, m, []arrival.Class{lane, again}, 1, 0)
	return s
}

func (s *stage) say(format string, args ...any) {
	fmt.Fprintf(&s.out, "%8.1f ms  %s\n", float64(s.now)/1e6, fmt.Sprintf(format, args...))
}

func (s *stage) Dial(c Session) { s.say("dial %d", c) }
func (s *stage) Send(c Session, a *Attempt) {
	s.ids[c] = a.ID
	s.say("send task %d on %d, wait %d ms, retry %v, slow %v", a.Request.Number, c, a.WaitMS, a.Retry, a.Slow)
}
func (s *stage) Close(c Session)             { s.say("close %d", c) }
func (s *stage) KillQuery(connection uint32) { s.say("kill %d", connection) }
func (s *stage) SetTimer(at time.Duration, q int32, turn uint32) {
	s.timers = append(s.timers, stageTimer{at, q, turn})
}
func (s *stage) Finished(r *Report) {
	s.say("task %d %s after %.1f ms, own %.1f, queued %.1f, tries %d, odd %v", r.Request.Number, r.Outcome,
		float64(r.FinishedAt-r.Request.At)/1e6, float64(r.GeneratorDelay)/1e6, float64(r.QueueDelay)/1e6, r.Attempts, r.Misbehaving)
}

// pass lets time pass with the timers that come.
func (s *stage) pass(d time.Duration) {
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
		s.c.HandleTimer(s.now, t.q, t.turn)
	}
}

func (s *stage) arrive(lane int) {
	s.c.HandleArrival(s.now, arrival.Request{Number: s.n, At: s.now, Class: lane, Draw: 1 << 62})
	s.n++
}

func (s *stage) up(c Session) { s.c.HandleConnected(s.now, c, 100+uint32(c)) }
func (s *stage) answer(c Session, how Outcome, comeBack time.Duration) {
	s.c.HandleAnswer(s.now, c, s.ids[c], how, comeBack)
}
func (s *stage) ended(c Session, refused bool) { s.c.HandleClosed(s.now, c, refused) }

func (s *stage) end(name string) {
	s.t.Helper()
	path := "testdata/" + name + ".txt"
	if *keep {
		os.MkdirAll("testdata", 0o755)
		os.WriteFile(path, []byte(s.out.String()), 0o644)
	}
	if want, err := os.ReadFile(path); err != nil || s.out.String() != string(want) {
		s.t.Errorf("got:\n%s\nkept:\n%s\n%v", s.out.String(), want, err)
	}
	if s.c.Unfinished() != 0 {
		s.t.Errorf("%d tasks have no outcome", s.c.Unfinished())
	}
}

const ms = time.Millisecond

// Nacks with and without a retry-after time that is kept to, until the attempts are used up.
func TestRetries(t *testing.T) {
	s := play(t, Behavior{PooledShare: 1, MaxAttempts: 3, Backoff: 100 * ms, HonorRetryAfter: 1})
	s.arrive(0)
	s.up(0)
	s.pass(10 * ms)
	s.answer(0, Rejected, 700*ms)
	s.pass(700 * ms)
	s.answer(0, Rejected, 0)
	s.pass(250 * ms)
	s.answer(0, Rejected, 0)
	s.arrive(0) // an error that promises nothing ends what must not be repeated, not what may be
	s.answer(0, Failed, 0)
	s.arrive(1)
	s.answer(0, Failed, 0)
	s.pass(150 * ms)
	s.answer(0, Served, 0)
	s.arrive(0) // a rest that would end past the attempt timeout
	s.answer(0, Rejected, 5*time.Second)
	s.end("retries")
}

// The budget of further attempts: one free, and a fifth of the first ones.
func TestBudget(t *testing.T) {
	s := play(t, Behavior{PooledShare: 1, MaxAttempts: 5, Backoff: 10 * ms, RetryRatio: 0.2, RetryBurst: 1, RetryWindow: time.Second})
	for range 4 {
		s.arrive(0)
		s.up(0)
		s.answer(0, Rejected, 0)
		s.pass(20 * ms)
	}
	s.pass(1200 * ms) // the window is over
	s.c.Stop(s.now)
	s.end("budget")
}

// Patience is over: KILL QUERY, the close half a second later, and an answer in between is nobody's.
func TestPatience(t *testing.T) {
	s := play(t, Behavior{PooledShare: 1, MaxAttempts: 1})
	s.arrive(0)
	s.pass(40 * ms)
	s.up(0)
	s.pass(3000 * ms)
	s.answer(0, Served, 0)
	s.pass(600 * ms)
	s.arrive(0) // no connection comes up
	s.pass(4000 * ms)
	s.arrive(0) // the connection ends while the client is leaving
	s.up(0)
	s.pass(3100 * ms)
	s.ended(0, false)
	s.pass(time.Second)
	s.end("patience")
}

// Ends of connections: refused, crossed by a close and sent again once, lost.
func TestEnds(t *testing.T) {
	s := play(t, Behavior{PooledShare: 1, MaxAttempts: 2, Backoff: 100 * ms})
	s.arrive(0)
	s.ended(0, true)
	s.pass(200 * ms)
	s.up(0)
	s.answer(0, Served, 0)
	s.arrive(0) // on a session that was idle; a close crosses the request
	s.pass(20 * ms)
	s.ended(0, false)
	s.up(0)
	s.pass(20 * ms)
	s.ended(0, false) // this one is new, so it is lost
	s.arrive(0)
	s.up(0)
	s.answer(0, Served, 0)
	s.arrive(0)
	s.pass(60 * ms)
	s.ended(0, false) // too late to have crossed
	s.arrive(1)       // lost, and may be repeated
	s.up(0)
	s.ended(0, false)
	s.pass(150 * ms)
	s.up(0)
	s.answer(0, MalformedAnswer, 0)
	s.end("ends")
}

// Two connections at the most: who finds none waits in order, an idle session for good makes room, attempt timeout ends the
// wait.
func TestLimit(t *testing.T) {
	s := play(t, Behavior{Connections: 2, HeldOpenShare: 1, MaxAttempts: 1})
	for range 5 {
		s.arrive(0)
		s.pass(ms)
	}
	s.up(0)
	s.up(1)
	s.pass(10 * ms)
	s.answer(0, Served, 0) // stays open, but the next in line needs its place
	s.up(0)
	s.pass(5000 * ms)
	s.end("limit")
}

// Pooled sessions are used last in first out, and closed when idle for too long.
func TestPool(t *testing.T) {
	s := play(t, Behavior{PooledShare: 1, MaxAttempts: 1, IdleTimeout: 2 * time.Second})
	s.arrive(0)
	s.arrive(0)
	s.up(0)
	s.up(1)
	s.answer(0, Served, 0)
	s.pass(ms)
	s.answer(1, Served, 0)
	s.arrive(0)
	s.answer(1, Served, 0)
	s.pass(time.Second)
	s.ended(0, false) // closed by the other side while idle
	s.c.CloseIdle(s.now)
	s.pass(1100 * ms)
	s.c.CloseIdle(s.now)
	s.end("pool")
}

// Clients that leave, that are slow, that never speak.
func TestOdd(t *testing.T) {
	for _, m := range []Behavior{{SlowShare: 1}, {LeavingShare: 1}, {SilentShare: 1}} {
		m.MaxAttempts = 3
		s := play(t, m)
		s.arrive(0)
		s.up(0)
		s.pass(2500 * ms)
		if m.SlowShare > 0 {
			s.answer(0, Served, 0)
		}
		s.pass(2000 * ms)
		s.end(fmt.Sprintf("odd-%g-%g-%g", m.SlowShare, m.LeavingShare, m.SilentShare))
	}
}

func TestIDs(t *testing.T) { // no two attempts of any requests share one
	seen := map[uint64]bool{}
	for task := range uint64(2000) {
		for try := 1; try <= maxTries; try++ {
			id := ID(5, task, try)
			if seen[id] {
				t.Fatalf("task %d try %d has the id of another", task, try)
			}
			seen[id] = true
		}
	}
}

type mute0 struct{}

func (mute0) Dial(Session)                          {}
func (mute0) Send(Session, *Attempt)                {}
func (mute0) Close(Session)                         {}
func (mute0) KillQuery(uint32)                      {}
func (mute0) SetTimer(time.Duration, int32, uint32) {}
func (mute0) Finished(*Report)                      {}

func BenchmarkClient(b *testing.B) { // a request on a session that is there, from arrival to answer
	c := NewClients(mute0{}, Behavior{PooledShare: 1, MaxAttempts: 1}, []arrival.Class{{Name: "look", MaxWait: time.Second}}, 1, 0)
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
