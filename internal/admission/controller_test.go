package admission

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"testing"
)

var keepTraces = flag.Bool("keep", false, "keep the traces as they come out now")

// Each script's trace is kept in testdata/NAME.txt.
var scripts = joinScripts(queueScripts, sheddingScripts, concurrencyScripts, retryScripts, keyOrderScripts,
	placementScripts, endpointScripts, slowStartScripts, outlierScripts, peerScripts, loadReportScripts,
	healthCheckScripts, estimateScripts, attemptScripts)

// joinScripts puts the scripts of all modules together.
func joinScripts(modules ...map[string]func() *script) map[string]func() *script {
	all := map[string]func() *script{}
	for _, module := range modules {
		for name, run := range module {
			if all[name] != nil {
				panic("two scripts are named " + name)
			}
			all[name] = run
		}
	}
	return all
}

func TestEventsLeadToKeptTraces(t *testing.T) {
	for name, run := range scripts {
		t.Run(name, func(t *testing.T) {
			file, got := "testdata/"+name+".txt", run().out.String()
			if *keepTraces {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("trace differs\ngot:\n%s\nkept:\n%s", got, want)
			}
			if again := run().out.String(); again != got {
				t.Errorf("the same events gave another trace:\n%s", again)
			}
		})
	}
}

// Every kept trace is the same, but for what the controller tells its peers.
func TestControllerWithSilentPeersDecidesAsWithoutPeers(t *testing.T) {
	told := regexp.MustCompile(`(?m)^ *[0-9.]+ ms    -> tell peers of .*\n`)
	for name, run := range scripts {
		want, err := os.ReadFile("testdata/" + name + ".txt")
		if err != nil {
			t.Fatal(err)
		}
		peersEverywhere = true
		got := run().out.String()
		peersEverywhere = false
		if told.ReplaceAllString(got, "") != told.ReplaceAllString(string(want), "") {
			t.Errorf("%s: with peers that say nothing\n%s\nkept:\n%s", name, got, want)
		}
	}
}

// Engines with new ids come all day, and some go while a request is in flight there.
func TestStateStaysSmallOverALongDay(t *testing.T) {
	s := startScript(testDeployment())
	for n := range 5000 {
		name, id := EngineID(fmt.Sprint("e", n)), RequestID(fmt.Sprint("t", n))
		s.UpdateEndpoints(s.at, PartialUpdate, []Endpoint{{Engine: name}})
		s.HandleRequest(s.at, Request{ID: id, Deadline: s.at + 10*Second})
		s.HandleProbeResult(s.at, name, Served, Report{-1, 0.1, -1, -1})
		s.UpdateEndpoints(s.at, PartialUpdate, []Endpoint{{Engine: name, State: Gone}})
		s.HandleAttemptEnd(s.at, AttemptResult{Request: id, Outcome: Outcome(n % 9), Answered: n%9 == 0, Report: NoReport})
		s.advanceTo(s.at + 2*Second)
	}
	if len(s.engines.items) > 4 || len(s.engines.byName) > 4 || len(s.requests.items) > 4 || len(s.requests.byID) > 0 || s.queues.waiting > 0 {
		t.Errorf("%d engines, %d names, %d places, %d requests, %d held", len(s.engines.items), len(s.engines.byName), len(s.requests.items),
			len(s.requests.byID), s.queues.waiting)
	}
}

// ordinaryRound returns a controller, and a round of its ordinary path: two requests that are sent and served, a tick and
// the result of a probe.
func ordinaryRound() (c *Controller, round func()) {
	d := testDeployment()
	d.SupportsRanks = true
	c = New(0, 1, d, quiet{})
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
		t.Errorf("%v allocations a round", n)
	}
	if len(c.requests.byID) != 0 || len(c.keys.queues) != 0 {
		t.Errorf("%d requests and %d keys left", len(c.requests.byID), len(c.keys.queues))
	}
}

func BenchmarkOrdinaryPath(b *testing.B) {
	_, round := ordinaryRound()
	b.ReportAllocs()
	for b.Loop() {
		round()
	}
}

type quiet struct{}

func (quiet) SendAttempt(RequestID, EngineID, Time, Time)                {}
func (quiet) CancelAttempt(RequestID, int)                               {}
func (quiet) RejectRequest(RequestID, Time)                              {}
func (quiet) FailRequest(RequestID)                                      {}
func (quiet) SetAttemptOptions(RequestID, float64, int)                  {}
func (quiet) ProbeEngine(EngineID)                                       {}
func (quiet) SubscribeEndpoints()                                        {}
func (quiet) HasSlowStartCapacity(EngineID, float64) (room, shared bool) { return false, false }
func (quiet) ReportObservation(EngineID, Observation, Report, float64)   {}
func (quiet) ScheduleTick(Time)                                          {}
func (quiet) LogEvent(string)                                            {}

func ExampleController() {
	s := startScript(testDeployment(), "e1")
	s.sendRequest("t1", 0, 0, "")
	s.advanceTo(80 * Millisecond)
	s.endAttempt("t1", Served)
	fmt.Print(s.out.String())
	// Output:
	//      0 ms  t1 arrives in class 0
	//      0 ms    -> send t1 to e1, timeout 10000 ms
	//     80 ms  t1 ends: served
}
