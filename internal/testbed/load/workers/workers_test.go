package workers

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
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

func TestNoRequestIsSentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cluster := &simulation{t: t, messageDelay: simStep * time.Duration(rapid.IntRange(0, 8).Draw(t, "slow"))}
		var searchTimes []time.Duration
		for range simWorkers {
			searchTimes = append(searchTimes, time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag"))*time.Millisecond)
		}
		var faults []fault
		first := rapid.IntRange(0, 3000).Draw(t, "first") // the faults lie within 1.5 s from this time, so that they coincide
		for range rapid.IntRange(0, 6).Draw(t, "troubles") {
			faults = append(faults, fault{time.Duration(first+rapid.IntRange(0, 1500).Draw(t, "at")) * time.Millisecond,
				faultKind(rapid.IntRange(0, 3).Draw(t, "what")), rapid.IntRange(0, simWorkers-1).Draw(t, "who"),
				time.Duration(rapid.SampledFrom([]int{10, 100, 300, 500, 700, 1000, 1500, 3000}).Draw(t, "long")) * time.Millisecond})
		}
		cluster.run(rapid.Bool().Draw(t, "drop"), searchTimes, faults)
	})
}

// A worker that joins late was declared lost by a coordinator that then crashed. It joins the next coordinator before the
// workers that know of its loss do, and must not get a lease before then.
func TestLateWorkerGetsNoLeaseBeforeItsLossIsKnown(t *testing.T) {
	const ms = time.Millisecond
	cluster := &simulation{t: t}
	cluster.run(false, []time.Duration{421 * ms, 0, 0, 0},
		[]fault{{0, workerCrashes, 1, 0}, {0, workerStalls, 2, 1500 * ms}, {0, workerCrashes, 3, 0}, {1061 * ms, coordinatorCrashes, 0, 10 * ms}})
}

// Combinations of faults that random draws seldom produce.
func TestCoincidingFaults(t *testing.T) {
	const ms = time.Millisecond
	for _, faults := range [][]fault{
		// A worker is declared lost while it stalls. The coordinator crashes, and the worker continues without a coordinator.
		{{1000 * ms, workerStalls, 1, 1500 * ms}, {2000 * ms, coordinatorCrashes, 0, 3000 * ms}},
		// A worker takes long to find the next coordinator, which crashes too: the worker's lease must not be extended.
		{{500 * ms, coordinatorCrashes, 0, 700 * ms}, {1300 * ms, coordinatorCrashes, 0, 10 * ms}, {2500 * ms, coordinatorCrashes, 0, 700 * ms},
			{3300 * ms, coordinatorCrashes, 0, 100 * ms}},
		{{500 * ms, coordinatorCrashes, 0, 2000 * ms}, {3000 * ms, workerCrashes, 2, 0}, {3100 * ms, coordinatorCrashes, 0, 100 * ms}},
	} {
		for _, messageDelay := range []time.Duration{0, 50 * ms} {
			for _, searchTime := range []time.Duration{0, 900 * ms, 2500 * ms} {
				cluster := &simulation{t: t, messageDelay: messageDelay}
				cluster.run(false, []time.Duration{0, searchTime, 0, 0}, faults)
			}
		}
	}
}

// Fixes the seed of the random draws, so that each run is the same. -rapid.seed=0 draws other runs.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// The test binary also serves as the worker process. These environment variables make it run a worker.
const (
	addressVariable = "WORKERS_TEST_JOIN"
	indexVariable   = "WORKERS_TEST_INDEX"
)

func TestMain(m *testing.M) {
	if address := os.Getenv(addressVariable); address != "" {
		index, err := strconv.Atoi(os.Getenv(indexVariable))
		if err != nil {
			panic(err)
		}
		if err := RunWorker(address, index); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// processRun is a load that worker processes send to a fake frontend.
type processRun struct {
	t        *testing.T
	folder   string
	frontend *fake.Frontend
	log      *fake.ExecutionLog
	load     driver.Load
	mu       sync.Mutex
	workers  []*exec.Cmd
}

func newProcessRun(t *testing.T) *processRun {
	t.Helper()
	log := fake.NewExecutionLog()
	frontend, err := fake.StartFrontend("127.0.0.1:0", nil, log)
	if err != nil {
		t.Fatal(err)
	}
	s := &processRun{t: t, folder: t.TempDir(), frontend: frontend, log: log}
	s.load = driver.Load{Targets: []string{frontend.Address}, Shape: &arrival.Shape{Kind: arrival.Poisson, Rate: 500},
		Classes:  []arrival.Class{{Name: "look", Share: 1, Statements: []string{"SELECT 1"}, LatencyObjective: time.Second, MaxWait: 2 * time.Second}},
		Behavior: client.Behavior{PooledShare: 1, MaxAttempts: 1}, Seed: 3, Length: 4 * time.Second, Loops: 1, CheckRows: true}
	t.Cleanup(func() {
		for _, cmd := range s.workers {
			if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
				t.Error(err)
			}
			_ = cmd.Wait() // ignored: the exit of a killed process is an error
		}
		frontend.Close()
	})
	return s
}

func (s *processRun) spawn(worker int, address string) error {
	cmd := exec.CommandContext(s.t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), addressVariable+"="+address, indexVariable+"="+strconv.Itoa(worker))
	cmd.Stderr = os.Stderr
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, cmd)
	return cmd.Start()
}

// signalWorker sends a signal to a worker's process.
func (s *processRun) signalWorker(index int, signal os.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.workers[index].Process.Signal(signal); err != nil {
		s.t.Error(err)
	}
}

// checkCounts checks that every request is counted exactly once, as one with an outcome, as not sent or as unknown, and that
// the frontend received no request twice.
func (s *processRun) checkCounts(metrics *stats.Metrics, notSent, unknown int64) {
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
	if metrics.Total()+notSent+unknown != all || s.log.Requests() != ids || metrics.Violations[stats.ViolationTwoOutcomes] > 0 {
		s.t.Errorf("%d requests: %d with outcomes, %d not offered, %d unknown; the frontend got %d requests of %d ids; %v", all, metrics.Total(), notSent, unknown,
			s.log.Requests(), ids, metrics.Violations)
	}
	s.t.Logf("%d requests: %d with outcomes, %d not offered, %d unknown", all, metrics.Total(), notSent, unknown)
}

// One worker is killed and another is suspended. Both must be declared lost, so that the third sends their requests, and no
// request may be sent twice.
func TestLostWorkersAreReplaced(t *testing.T) {
	s := newProcessRun(t)
	coordinator, err := NewCoordinator(s.folder, 3, false, s.load, time.Now().Add(1500*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	coordinator.Spawn = s.spawn
	go func() {
		time.Sleep(time.Until(coordinator.run.Start) + time.Second)
		s.signalWorker(1, os.Kill)
		time.Sleep(700 * time.Millisecond)
		s.signalWorker(2, syscall.SIGSTOP)
	}()
	metrics, notSent, unknown, err := coordinator.Serve()
	if err != nil {
		t.Fatal(err)
	}
	s.checkCounts(metrics, notSent, unknown)
	if len(coordinator.registry.Losses()) != 2 || metrics.Total() == 0 {
		t.Errorf("expected two lost workers and some outcomes, found %+v", coordinator.registry.Losses())
	}
}

// The coordinator is killed, and the workers go on without it. The next coordinator must collect the reports of the whole
// run.
func TestCoordinatorIsReplaced(t *testing.T) {
	s := newProcessRun(t)
	coordinator, err := NewCoordinator(s.folder, 2, false, s.load, time.Now().Add(1500*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	coordinator.Spawn = s.spawn
	go func() {
		time.Sleep(time.Until(coordinator.run.Start) + 1500*time.Millisecond)
		coordinator.Kill()
	}()
	if _, _, _, err := coordinator.Serve(); !errors.Is(err, errKilled) {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond)
	next, err := ResumeCoordinator(s.folder)
	if err != nil {
		t.Fatal(err)
	}
	metrics, notSent, unknown, err := next.Serve()
	if err != nil {
		t.Fatal(err)
	}
	s.checkCounts(metrics, notSent, unknown)
	// On a busy machine a lease may run out, so these requests are tolerated unless they outnumber those with outcomes.
	if metrics.Total() < notSent+unknown {
		t.Errorf("%d not offered and %d unknown, though no worker was lost", notSent, unknown)
	}
	if _, err := ResumeCoordinator(filepath.Join(s.folder, "none")); err == nil {
		t.Error("a run that does not exist was resumed")
	}
}

func TestReportsAreUnpackedAsPacked(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for range 100 {
		request := &arrival.Request{Number: random.Uint64(), At: time.Duration(random.Int63()), Class: random.Intn(200)}
		expected := client.Report{Request: request, Outcome: client.Outcome(random.Intn(9)),
			FinishedAt: time.Duration(random.Int63()), GeneratorDelay: time.Duration(random.Int63()), QueueDelay: time.Duration(random.Int63()),
			SentAt: time.Duration(random.Int63()), Attempts: random.Intn(60), Misbehaving: random.Intn(2) == 0}
		var found client.Report
		var foundRequest arrival.Request
		packed := packReport(nil, &expected)
		unpackReport(packed, &found, &foundRequest)
		if len(packed) != reportSize || !reflect.DeepEqual(found, expected) {
			t.Fatalf("expected %+v of %+v, found %+v of %+v", expected, request, found, foundRequest)
		}
	}
}
