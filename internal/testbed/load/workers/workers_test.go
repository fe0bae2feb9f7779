package workers

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/driver"
	"magpiebank/internal/testbed/load/stats"
)

// world plays a coordinator and its workers in steps of 10 ms: words take some steps, workers stall, die and come back,
// the coordinator may die and another take its place.
type world struct {
	t       interface{ Fatalf(string, ...any) }
	now     time.Duration
	m       *Registry
	workers []*simWorker
	queue   []word
	alive   bool
	sent    map[uint64]int // by which worker
	skipped map[uint64]bool
	slow    time.Duration
}

type simWorker struct {
	share   *Assignment
	dead    bool
	stalled time.Duration // until then
	next    uint64
	m       *Registry     // that it has joined
	lag     time.Duration // that it takes to look for another
	after   time.Duration // before which it doesn't
}

type word struct {
	at time.Duration
	do func()
}

const (
	simWorkers = 4
	simTasks   = 3000 // one each 2 ms
	simGap     = 2 * time.Millisecond
	simStep    = 10 * time.Millisecond
)

func (w *world) later(f func()) { w.queue = append(w.queue, word{w.now + w.slow, f}) }

// read has a worker read a word once it doesn't stand still; what it hasn't read is lost with the coordinator.
func (w *world) read(i int, f func(s *simWorker)) {
	var try func()
	try = func() {
		switch s := w.workers[i]; {
		case s.dead || s.m != w.m:
		case w.now < s.stalled:
			w.queue = append(w.queue, word{s.stalled, try})
		default:
			f(s)
		}
	}
	w.later(try)
}

func (w *world) Grant(i int, until time.Duration) {
	w.read(i, func(s *simWorker) { s.share = s.share.WithLease(until) })
}

func (w *world) Losses(i int, losses []Loss) {
	losses = append([]Loss(nil), losses...)
	w.read(i, func(s *simWorker) {
		var took map[int]time.Duration
		s.share, took = s.share.WithLosses(w.now, losses)
		m := w.m
		w.later(func() {
			for loss, from := range took {
				m.HandleTakeover(i, loss, from)
			}
		})
	})
}

func (w *world) LogEvent(string) {}

func (w *world) step() {
	w.now += simStep
	queue := w.queue
	w.queue = nil
	for _, one := range queue {
		if one.at <= w.now {
			one.do()
		} else {
			w.queue = append(w.queue, one)
		}
	}
	for i, s := range w.workers {
		if s.dead || w.now < s.stalled {
			continue
		}
		for ; s.next < simTasks && time.Duration(s.next)*simGap <= w.now; s.next++ {
			n, at := s.next, time.Duration(s.next)*simGap
			mine, skip := s.share.Owns(n, at)
			if mine {
				if other, twice := w.sent[n]; twice {
					w.t.Fatalf("at %v worker %d sends task %d, which %d has sent; losses %+v", w.now, i, n, other, s.share.Losses)
				}
				w.sent[n] = i
			}
			if skip {
				w.skipped[n] = true
			}
		}
		if s.m != nil && (s.m != w.m || !w.alive) { // its connection has ended
			s.m, s.after = nil, w.now+s.lag
		}
		if s.m == nil {
			if w.now < s.after {
				continue
			}
			if !w.alive { // refused
				s.share = s.share.WithoutCoordinator(w.now)
				continue
			}
			s.m = w.m
			known, until, m := s.share.Losses, s.share.LeaseUntil, w.m
			w.later(func() { m.HandleJoin(w.now, i, known, until) })
		}
		m := w.m
		horizon, done := w.now, s.next >= simTasks
		w.later(func() {
			if w.m == m {
				m.HandleHeartbeat(w.now, i, horizon, done)
			}
		})
	}
	if w.alive {
		w.m.Tick(w.now)
	}
}

type trouble struct {
	at   time.Duration
	what int // 0: a worker dies, 1 and 2: it stalls, 3: the coordinator dies and another comes
	who  int
	long time.Duration
}

// play checks that, whatever dies or stalls, no request is sent twice, and each that nobody sent is one that a worker said
// it skipped, or one that the coordinator counts as not offered or unknown.
func (w *world) play(drop bool, lags []time.Duration, troubles []trouble) {
	w.alive, w.sent, w.skipped = true, map[uint64]int{}, map[uint64]bool{}
	w.m = NewRegistry(0, simWorkers, drop, false, w)
	for i := range simWorkers {
		w.workers = append(w.workers, &simWorker{share: &Assignment{Worker: i, Workers: simWorkers}, lag: lags[i]})
	}
	back := time.Duration(-1)
	done := append([]trouble(nil), troubles...)
	for w.now < 12*time.Second {
		for i := range done {
			tr := &done[i]
			if tr.at > w.now || tr.at < 0 {
				continue
			}
			tr.at = -1
			switch s := w.workers[tr.who]; tr.what {
			case 0:
				if s.dead = true; s.m == w.m && w.alive {
					m := w.m
					w.later(func() { m.HandleDisconnect(w.now, tr.who) })
				}
			case 1, 2:
				s.stalled = w.now + tr.long
			case 3: // with all words under way
				if w.alive {
					w.alive, w.queue, back = false, nil, w.now+tr.long
				}
			}
		}
		if !w.alive && back >= 0 && w.now >= back {
			w.alive, back = true, -1
			w.m = NewRegistry(w.now, simWorkers, drop, true, w)
		}
		w.step()
	}
	for n := range uint64(simTasks) {
		at := time.Duration(n) * simGap
		if _, ok := w.sent[n]; ok || w.skipped[n] {
			continue
		}
		if len(troubles) == 0 {
			w.t.Fatalf("task %d at %v was not sent, though nothing went wrong", n, at)
		}
		if owner, _ := Owner(n, at, simWorkers, w.m.Losses()); owner >= 0 && w.m.MayHaveBeenSent(n, at) && !w.workers[owner].dead &&
			w.workers[owner].next >= simTasks {
			w.t.Fatalf("task %d at %v was neither sent nor skipped by its live owner %d; losses %+v", n, at, owner, w.m.Losses())
		}
	}
}

func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, slow: simStep * time.Duration(rapid.IntRange(0, 8).Draw(t, "slow"))}
		var lags []time.Duration
		for range simWorkers {
			lags = append(lags, time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag"))*time.Millisecond)
		}
		var troubles []trouble
		first := rapid.IntRange(0, 3000).Draw(t, "first") // the others come soon after, where they meet
		for range rapid.IntRange(0, 6).Draw(t, "troubles") {
			troubles = append(troubles, trouble{time.Duration(first+rapid.IntRange(0, 1500).Draw(t, "at")) * time.Millisecond,
				rapid.IntRange(0, 3).Draw(t, "what"), rapid.IntRange(0, simWorkers-1).Draw(t, "who"),
				time.Duration(rapid.SampledFrom([]int{10, 100, 300, 500, 700, 1000, 1500, 3000}).Draw(t, "long")) * time.Millisecond})
		}
		w.play(rapid.Bool().Draw(t, "drop"), lags, troubles)
	})
}

// A worker that never came was given up; the coordinator dies, and it comes to the next one before those who know of that.
func TestLateComer(t *testing.T) {
	const ms = time.Millisecond
	w := &world{t: t}
	w.play(false, []time.Duration{421 * ms, 0, 0, 0}, []trouble{{0, 0, 1, 0}, {0, 1, 2, 1500 * ms}, {0, 0, 3, 0}, {1061 * ms, 3, 0, 10 * ms}})
}

// Meetings that chance seldom brings about.
func TestMeetings(t *testing.T) {
	const ms = time.Millisecond
	for _, troubles := range [][]trouble{
		// A worker is given up while it stands still; the coordinator dies, and it takes that for leave to go on.
		{{1000 * ms, 1, 1, 1500 * ms}, {2000 * ms, 3, 0, 3000 * ms}},
		// A worker that takes long to find the next coordinator, which dies too: its leave doesn't grow.
		{{500 * ms, 3, 0, 700 * ms}, {1300 * ms, 3, 0, 10 * ms}, {2500 * ms, 3, 0, 700 * ms}, {3300 * ms, 3, 0, 100 * ms}},
		{{500 * ms, 3, 0, 2000 * ms}, {3000 * ms, 0, 2, 0}, {3100 * ms, 3, 0, 100 * ms}},
	} {
		for _, slow := range []time.Duration{0, 50 * ms} {
			for _, lag := range []time.Duration{0, 900 * ms, 2500 * ms} {
				w := &world{t: t, slow: slow}
				w.play(false, []time.Duration{0, lag, 0, 0}, troubles)
			}
		}
	}
}

// The same runs each time; -rapid.seed=0 draws others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

// The test's own program serves as a worker's process.
func TestMain(m *testing.M) {
	if address := os.Getenv("FLEET_TEST_JOIN"); address != "" {
		index, _ := strconv.Atoi(os.Getenv("FLEET_TEST_INDEX"))
		if err := RunWorker(address, index); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

type crewStage struct {
	t       *testing.T
	folder  string
	front   *fake.Frontend
	log     *fake.ExecutionLog
	load    driver.Load
	mu      sync.Mutex
	workers []*exec.Cmd
}

func newCrewStage(t *testing.T) *crewStage {
	log := fake.NewExecutionLog()
	front, err := fake.StartFrontend("127.0.0.1:0", nil, log)
	if err != nil {
		t.Fatal(err)
	}
	s := &crewStage{t: t, folder: t.TempDir(), front: front, log: log}
	s.load = driver.Load{Targets: []string{front.Address}, Shape: &arrival.Shape{Kind: arrival.Poisson, Rate: 500},
		Classes:  []arrival.Class{{Name: "look", Share: 1, Statements: []string{"SELECT 1"}, LatencyObjective: time.Second, MaxWait: 2 * time.Second}},
		Behavior: client.Behavior{PooledShare: 1, MaxAttempts: 1}, Seed: 3, Length: 4 * time.Second, Loops: 1, CheckRows: true}
	t.Cleanup(func() {
		for _, cmd := range s.workers {
			cmd.Process.Kill()
			cmd.Wait()
		}
		front.Close()
	})
	return s
}

func (s *crewStage) spawn(worker int, address string) error {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "FLEET_TEST_JOIN="+address, "FLEET_TEST_INDEX="+strconv.Itoa(worker))
	cmd.Stderr = os.Stderr
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, cmd)
	return cmd.Start()
}

func (s *crewStage) worker(i int) *os.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[i].Process
}

// settled checks that every request is counted once, as sent, not offered or unknown, and that the front saw none twice.
func (s *crewStage) settled(f *stats.Metrics, notSent, unknown int64) {
	s.t.Helper()
	schedule, err := arrival.NewSchedule(s.load.Shape, s.load.Classes, s.load.Seed, s.load.Length)
	if err != nil {
		s.t.Fatal(err)
	}
	all := int64(0)
	for _, ok := schedule.Next(); ok; _, ok = schedule.Next() {
		all++
	}
	ids := 0
	s.log.Each(func(fake.ExecutionRecord) { ids++ })
	if f.Total()+notSent+unknown != all || s.log.Requests() != ids || f.Violations[stats.ViolationTwoOutcomes] > 0 {
		s.t.Errorf("%d tasks: %d with outcomes, %d not offered, %d unknown; %d requests of %d ids came; %v", all, f.Total(), notSent, unknown,
			s.log.Requests(), ids, f.Violations)
	}
	s.t.Logf("%d tasks: %d with outcomes, %d not offered, %d unknown", all, f.Total(), notSent, unknown)
}

// A worker is killed, another stands still: their shares go to the others, and nothing is sent twice.
func TestWorkersLost(t *testing.T) {
	s := newCrewStage(t)
	c, err := NewCoordinator(s.folder, 3, false, s.load, time.Now().Add(1500*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	c.Spawn = s.spawn
	go func() {
		time.Sleep(time.Until(c.run.Start) + time.Second)
		s.worker(1).Kill()
		time.Sleep(700 * time.Millisecond)
		s.worker(2).Signal(syscall.SIGSTOP)
	}()
	f, notSent, unknown, err := c.Serve()
	if err != nil {
		t.Fatal(err)
	}
	s.settled(f, notSent, unknown)
	if len(c.muster.Losses()) != 2 || f.Total() == 0 {
		t.Errorf("lost: %+v", c.muster.Losses())
	}
}

// The coordinator dies and another finds what the workers have done; the workers go on meanwhile.
func TestCoordinatorLost(t *testing.T) {
	s := newCrewStage(t)
	c, err := NewCoordinator(s.folder, 2, false, s.load, time.Now().Add(1500*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	c.Spawn = s.spawn
	go func() {
		time.Sleep(time.Until(c.run.Start) + 1500*time.Millisecond)
		c.Kill()
	}()
	if _, _, _, err := c.Serve(); !errors.Is(err, errKilled) {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond)
	next, err := ResumeCoordinator(s.folder)
	if err != nil {
		t.Fatal(err)
	}
	f, notSent, unknown, err := next.Serve()
	if err != nil {
		t.Fatal(err)
	}
	s.settled(f, notSent, unknown)
	if f.Total() < notSent+unknown { // on a machine that is busy with other things a lease may run out
		t.Errorf("%d not offered and %d unknown, though no worker was lost", notSent, unknown)
	}
	if _, err := ResumeCoordinator(filepath.Join(s.folder, "none")); err == nil {
		t.Error("a run that isn't there was gone on with")
	}
}

func TestReports(t *testing.T) { // packed and back
	r := rand.New(rand.NewSource(1))
	for range 100 {
		want := client.Report{Request: &arrival.Request{Number: r.Uint64(), At: time.Duration(r.Int63()), Class: r.Intn(200)}, Outcome: client.Outcome(r.Intn(9)),
			FinishedAt: time.Duration(r.Int63()), GeneratorDelay: time.Duration(r.Int63()), QueueDelay: time.Duration(r.Int63()), SentAt: time.Duration(r.Int63()),
			Attempts: r.Intn(60), Misbehaving: r.Intn(2) == 0}
		var got client.Report
		var task arrival.Request
		b := packReport(nil, &want)
		unpackReport(b, &got, &task)
		x, _ := json.Marshal(want)
		y, _ := json.Marshal(got)
		if len(b) != reportSize || string(x) != string(y) {
			t.Fatalf("%s\n%s", x, y)
		}
	}
}
