package admission

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"testing"
)

var updateTraces = flag.Bool("keep", false, "overwrite the expected traces in testdata with the current ones")

// scripts are the scripts of all files. The expected trace of each is in testdata/NAME.txt.
var scripts = joinScripts(queueScripts, sheddingScripts, concurrencyScripts, retryScripts, keyOrderScripts,
	placementScripts, endpointScripts, slowStartScripts, outlierScripts, peerScripts, loadReportScripts,
	healthCheckScripts, estimateScripts, attemptScripts)

// joinScripts merges the scripts of all files.
func joinScripts(files ...map[string]func() *script) map[string]func() *script {
	all := map[string]func() *script{}
	for _, file := range files {
		for name, run := range file {
			if all[name] != nil {
				panic("two scripts are named " + name)
			}
			all[name] = run
		}
	}
	return all
}

func TestEventsLeadToExpectedTraces(t *testing.T) {
	for name, run := range scripts {
		t.Run(name, func(t *testing.T) {
			file, got := "testdata/"+name+".txt", run().trace.String()
			if *updateTraces {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("trace differs\ngot:\n%s\nwant:\n%s", got, want)
			}
			if again := run().trace.String(); again != got {
				t.Errorf("the same events led to a different trace:\n%s", again)
			}
		})
	}
}

// Every trace equals the expected one, apart from the observations that the controller reports to its peers.
func TestControllerWithSilentPeersDecidesAsWithoutPeers(t *testing.T) {
	peerReportLines := regexp.MustCompile(`(?m)^ *[0-9.]+ ms    -> tell peers of .*\n`)
	for name, run := range scripts {
		want, err := os.ReadFile("testdata/" + name + ".txt")
		if err != nil {
			t.Fatal(err)
		}
		forcePeerMessages = true
		got := run().trace.String()
		forcePeerMessages = false
		if peerReportLines.ReplaceAllString(got, "") != peerReportLines.ReplaceAllString(string(want), "") {
			t.Errorf("%s: trace differs with peers that send nothing\ngot:\n%s\nwant:\n%s", name, got, want)
		}
	}
}

// Engines with new IDs arrive continually, and each is removed while a request is in flight there. The tables must reuse their
// entries.
func TestTablesReuseEntriesOfRemovedEngines(t *testing.T) {
	s := startScript(testDeployment())
	for n := range 5000 {
		name, id := EngineID(fmt.Sprint("e", n)), RequestID(fmt.Sprint("t", n))
		s.UpdateEndpoints(s.clock, PartialUpdate, []Endpoint{{Engine: name}})
		s.HandleRequest(s.clock, Request{ID: id, Deadline: s.clock + 10*Second})
		s.HandleProbeResult(s.clock, name, Served, Report{-1, 0.1, -1, -1})
		s.UpdateEndpoints(s.clock, PartialUpdate, []Endpoint{{Engine: name, State: Gone}})
		s.HandleAttemptEnd(s.clock, AttemptResult{Request: id, Outcome: Outcome(n % 9), Answered: n%9 == 0, Report: NoReport})
		s.advanceTo(s.clock + 2*Second)
	}
	if len(s.engines.items) > 4 || len(s.engines.byName) > 4 || len(s.requests.items) > 4 || len(s.requests.byID) > 0 || s.queues.waiting > 0 {
		t.Errorf("%d engines, %d engine IDs, %d request entries, %d requests, %d queued", len(s.engines.items), len(s.engines.byName),
			len(s.requests.items), len(s.requests.byID), s.queues.waiting)
	}
}

// ordinaryRound returns a controller and a function that runs a round of its ordinary path: two requests that are sent and served,
// a tick, and the result of a probe.
func ordinaryRound() (c *Controller, round func()) {
	d := testDeployment()
	d.SupportsRanks = true
	c = New(0, 1, d, noopHost{})
	c.UpdateEndpoints(0, FullUpdate, []Endpoint{{Engine: "e1"}, {Engine: "e2"}})
	now := Time(0)
	return c, func() {
		now += 5 * Millisecond
		c.HandleRequest(now, Request{ID: "a", Deadline: now + Second, TableGroup: 3, Estimate: Estimate{Work: 50 * Millisecond}})
		c.HandleRequest(now, Request{ID: "b", Deadline: now + Second, Class: 3, Key: "key", TableGroup: 3})
		c.Tick(now)
		c.HandleProbeResult(now, "e1", Served, Report{-1, float64(now%100) / 100, -1, -1})
		c.HandleAttemptEnd(now, AttemptResult{Request: "a", Outcome: Served, Answered: true, Report: NoReport})
		c.HandleAttemptEnd(now, AttemptResult{Request: "b", Outcome: Served, Answered: true, Report: NoReport})
	}
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	c, round := ordinaryRound()
	round()
	if n := testing.AllocsPerRun(1000, round); n != 0 {
		t.Errorf("%v allocations per round, want 0", n)
	}
	if len(c.requests.byID) != 0 || len(c.keys.queues) != 0 {
		t.Errorf("%d requests and %d keys left, want none", len(c.requests.byID), len(c.keys.queues))
	}
}

func BenchmarkOrdinaryPath(b *testing.B) {
	_, round := ordinaryRound()
	b.ReportAllocs()
	for b.Loop() {
		round()
	}
}

// noopHost is a Host that does nothing.
type noopHost struct{}

func (noopHost) SendAttempt(RequestID, EngineID, Time, Time)               {}
func (noopHost) CancelAttempt(RequestID, int)                              {}
func (noopHost) RejectRequest(RequestID, Time)                             {}
func (noopHost) FailRequest(RequestID)                                     {}
func (noopHost) SetAttemptOptions(RequestID, float64, int)                 {}
func (noopHost) ProbeEngine(EngineID)                                      {}
func (noopHost) SubscribeEndpoints()                                       {}
func (noopHost) HasSlowStartCapacity(EngineID, float64) (has, shared bool) { return false, false }
func (noopHost) ReportObservation(EngineID, Observation, Report, float64)  {}
func (noopHost) ScheduleTick(Time)                                         {}
func (noopHost) LogEvent(string)                                           {}

func ExampleController() {
	s := startScript(testDeployment(), "e1")
	s.sendRequest("t1", 0, 0, "")
	s.advanceTo(80 * Millisecond)
	s.endAttempt("t1", Served)
	fmt.Print(s.trace.String())
	// Output:
	//      0 ms  t1 arrives in class 0
	//      0 ms    -> send t1 to e1, timeout 10000 ms
	//     80 ms  t1 ends: served
}
