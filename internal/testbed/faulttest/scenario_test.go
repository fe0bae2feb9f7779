package faulttest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
)

var buildFolder string // folder of the programs that buildTestbed builds; empty until then

func TestMain(m *testing.M) {
	status := m.Run()
	if err := os.RemoveAll(buildFolder); err != nil {
		fmt.Fprintln(os.Stderr, "the testbed's programs were not removed:", err)
	}
	os.Exit(status)
}

// buildTestbed builds the gateway with support for skewed clocks and mutations, and returns the path of its program.
var buildTestbed = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "magpiebank-lab")
	if err != nil {
		return "", err
	}
	buildFolder = folder
	out, err := exec.Command("go", "build", "-tags", "testbed", "-o", folder+"/", "magpiebank/cmd/magpiebank", "magpiebank/cmd/magpiebank-operator").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w\n%s", err, out)
	}
	return filepath.Join(folder, "magpiebank"), err
})

func runScenario(t *testing.T, s *Scenario) *Result {
	t.Helper()
	program, err := buildTestbed()
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), s, t.TempDir(), program)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	r.Text(&text)
	t.Log("\n" + text.String())
	return r
}

// runUndisturbed runs a scenario in parallel with others. If the run was disturbed and has only timed violations, it runs the scenario
// again, with fewer scenarios in parallel.
func runUndisturbed(t *testing.T, s *Scenario) *Result {
	t.Helper()
	for {
		capacity := limiter.acquire()
		r := runScenario(t, s)
		limiter.release(r.Disturbed(), capacity)
		if !r.MustRepeat() || capacity == 1 {
			return r
		}
		t.Log("disturbed: running again with fewer scenarios in parallel")
	}
}

// TestBuiltin runs each built-in scenario with real processes, and checks that no rule is violated and that the membership converges in
// time.
func TestBuiltin(t *testing.T) {
	for _, name := range Builtin() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := Read(name)
			if err != nil {
				t.Fatal(err)
			}
			if s.Gateways > 12 {
				t.Skip("a measurement: magpiebank-testbed fleet run " + name)
			}
			if r := runUndisturbed(t, s); !r.Good() {
				t.Errorf("the run has violations; scenario: %s", s.Text())
			}
		})
	}
}

// TestMutationsAreCaught checks that the checkers find a violation of the expected rule in runs with each mutation.
func TestMutationsAreCaught(t *testing.T) {
	for _, c := range []struct{ defect, on, rule string }{
		{"relays-hearsay", "noise", "evidence:"},
		{"ages-nothing", "late-words", "evidence:"},
		{"ignores-start", "most-killed", "start"},
		{"trusts-old", "third-alone", "count:"},
		{"counts-nothing-out", "budget-split", "budget:"},
		{"switches-on-word", "policy-cut", "policy:"},
		{"believes-folder", "policy-down", "policy:"},
		{"lease-without-drift", "policy-slow", "policy:"},
	} {
		t.Run(c.defect, func(t *testing.T) {
			t.Parallel()
			s, err := Read(c.on)
			if err != nil {
				t.Fatal(err)
			}
			s.Mutation, s.ConvergeWithin = c.defect, 8*time.Second
			r := runScenario(t, s)
			found := false
			for _, v := range r.Violations {
				found = found || strings.Contains(v, c.rule)
			}
			if !found {
				t.Errorf("%s was not caught; found: %q", c.defect, r.Violations)
			}
		})
	}
}

// TestExpectation checks that an expectation can fail: without shared health reports, the gateways don't stop using the faulty engine in
// time.
func TestExpectation(t *testing.T) {
	t.Parallel()
	s, err := Read("bad-engine")
	if err != nil {
		t.Fatal(err)
	}
	s.HealthReports = false
	if r := runScenario(t, s); !slices.ContainsFunc(r.Violations, func(v string) bool { return strings.Contains(v, "left alone") }) {
		t.Errorf("without shared health reports the expectation was not missed: %q", r.Violations)
	}
}

// TestText checks that generated scenarios are read back unchanged from their text, and that the same seed gives the same scenario.
func TestText(t *testing.T) {
	for seed := range uint64(200) {
		s := Draw(seed, 8, 6)
		again, err := Parse("drawn.jsonnet", s.Text())
		if err != nil || again.Text() != s.Text() || Draw(seed, 8, 6).Text() != s.Text() {
			t.Fatalf("seed %d: %v\n%s", seed, err, s.Text())
		}
	}
}

func ExampleParse() {
	for _, text := range []string{
		"{ name: 'a', steps: [{ at: '2s', until: '1s', do: 'kill' },\n { do: 'engine', be: 'errs' }, { from: ['g0'], to: ['g1'] }, { do: 'stopp' }] }",
		"{ name: 'b', steps: [{ at: 2 }], gateway: 3 }",
	} {
		_, err := Parse("faults.jsonnet", text)
		fmt.Println(err)
	}
	// Output:
	// faults.jsonnet:1: steps[0].until: expected a time after at, found "1s"
	// faults.jsonnet:2: steps[1].do: expected engines and be where engines are told to be something, be where the list is, found "engine"
	// faults.jsonnet:2: steps[2].do: expected from, to, and what such a link does, as in cut: true, found nothing
	// faults.jsonnet:2: steps[3].do: expected "stop" (the nearest of link, kill, stop, leave, start, twin, engine, list, limit, surge, propose, voters, force, keep, revive), found "stopp"
	// faults.jsonnet:1: steps[0].at: expected a time with its unit, as in "250ms" or "1m30s", found 2
	// faults.jsonnet:1: steps[0].do: expected from, to, and what such a link does, as in cut: true, found nothing
	// faults.jsonnet:1: gateway: expected "gateways" (the nearest known name), found "gateway"
}

func ExampleShrink() {
	s := Draw(4, 8, 6)
	least := Shrink(s, 100, func(s *Scenario) bool { // fails with a link and a kill
		link, kill := false, false
		for _, t := range s.Steps {
			link, kill = link || t.Action == "link", kill || t.Action == "kill"
		}
		return link && kill
	})
	fmt.Print(len(s.Steps), " steps, least:\n", least.Text())
	// Output:
	// 5 steps, least:
	// { name: "drawn-4", gateways: 8, engines: 6, zones: ["norte","sur"], seed: 4, length: "12s", settle: "25s", rate: 4, loads: 0.2, sharing: true, counts: true, state: true, steps: [
	//   { at: "2.634s", until: "5.011s", do: "link", from: ["g2","g7","g6"], to: ["g*"], cut: true, },
	//   { at: "4.632s", until: "5.778s", do: "kill", gateways: ["g6","g7","g2"], folder: "none", },
	//  ], }
}

// TestCheck checks which violations the checkers find in constructed histories.
func TestCheck(t *testing.T) {
	event := func(at float64, process string, e history.Event) history.Event {
		e.At, e.Process, e.Start, e.ObservedAt = int64(at*1e9)+1, process, 1, int64(at*1e9)+1
		if e.Engine == "" && e.Kind != history.ProcessStarted && e.Kind != history.MemberChanged {
			e.Engine = "e1"
		}
		return e
	}
	base := []history.Event{event(0, "g0", history.Event{Kind: history.ProcessStarted, Number: 250}), event(0, "g0", history.Event{Kind: history.EngineListed, State: "live"}),
		event(1, "g1", history.Event{Kind: history.OutcomeObserved})}
	granted := history.Event{Kind: history.RateGranted, Code: "loads", Number: 2, ValidNanos: int64(time.Second)}
	used := history.Event{Kind: history.BudgetUsed, Code: "loads", Number: 1, ValidNanos: int64(4 * time.Second)}
	reported := history.Event{Kind: history.PeerOutcomeReceived, Member: "g1", Detail: 1, AgeNanos: int64(time.Second / 2)}
	counted := history.Event{Kind: history.RequestsCounted, Number: 0, High: 2}
	reading := func(low, high int) history.Event {
		return history.Event{Kind: history.CountersRead, Code: "runs", AgeNanos: 1e9, Number: low, High: high}
	}
	for _, c := range []struct {
		name  string
		extra []history.Event
		want  string
	}{
		{"all well", []history.Event{event(1.5, "g0", reported), event(1.6, "g0", history.Event{Kind: history.EngineAssessed, FailureScore: 1, Number: 1, ValidNanos: 1e10})}, ""},
		{"evidence of nothing", []history.Event{event(9, "g0", reported)}, "evidence:"},
		{"another's evidence", []history.Event{event(1.5, "g0", history.Event{Kind: history.PeerOutcomeReceived, Member: "g2", Detail: 1})}, "evidence:"},
		{"one witness for two", []history.Event{event(1.5, "g0", reported), event(1.6, "g0", history.Event{Kind: history.EngineAssessed, FailureScore: 2, Number: 2, ValidNanos: 1e10})}, "witnesses:"},
		{"too many out", []history.Event{event(1.5, "g0", reported), event(1.6, "g0", history.Event{Kind: history.EngineAssessed, FailureScore: 1, Number: 1, ValidNanos: 1e10}),
			event(1.7, "g0", history.Event{Kind: history.EngineListed, Engine: "e2", State: "live"}), event(1.8, "g1", history.Event{Kind: history.OutcomeObserved, Engine: "e2"}),
			event(1.9, "g0", history.Event{Kind: history.PeerOutcomeReceived, Member: "g1", Detail: 1, Engine: "e2"}),
			event(2, "g0", history.Event{Kind: history.EngineAssessed, Engine: "e2", FailureScore: 1, Number: 1, ValidNanos: 1e10})}, "part:"},
		{"an earlier start", []history.Event{event(2, "g0", history.Event{Kind: history.MemberChanged, Code: "joined", Member: "g3", Detail: 5}),
			event(3, "g0", history.Event{Kind: history.MemberChanged, Code: "joined", Member: "g3", Detail: 4})}, "start:"},
		{"an engine that the list doesn't name", []history.Event{event(2, "g0", history.Event{Kind: history.AttemptSent, Engine: "e9"})}, "list:"},
		{"within the total", []history.Event{event(1, "g0", history.Event{Kind: history.TotalChanged, Code: "loads", Number: 2}), event(2, "g0", used), event(2, "g1", used),
			event(2.5, "g0", history.Event{Kind: history.BudgetReleased, Code: "loads", Number: 1}), event(2.6, "g1", used), event(7, "g2", used)}, ""},
		{"beyond a total that was lowered", []history.Event{event(1, "g0", history.Event{Kind: history.TotalChanged, Code: "loads", Number: 2, Detail: 1}), event(2, "g0", history.Event{Kind: history.TotalChanged, Code: "loads", Number: 1, Detail: 2}),
			event(4, "g0", used), event(4.5, "g1", used), event(5.5, "g2", used)}, "budget: 3 of loads"},
		{"a rate beyond the total", []history.Event{event(1, "g0", history.Event{Kind: history.TotalChanged, Code: "loads", Number: 2}), event(2, "g0", granted), event(2.5, "g1", granted)}, "budget:"},
		{"rates one after the other", []history.Event{event(1, "g0", history.Event{Kind: history.TotalChanged, Code: "loads", Number: 2}), event(2, "g0", granted), event(3.5, "g1", granted)}, ""},
		{"beyond the total", []history.Event{event(1, "g0", history.Event{Kind: history.TotalChanged, Code: "loads", Number: 2}), event(2, "g0", used), event(2, "g1", used),
			event(2.6, "g2", used)}, "budget:"},
		{"a count in its interval", []history.Event{event(2, "g0", counted), event(2.5, "g1", counted), event(4, "g1", reading(3, 5))}, ""},
		{"a count above its interval", []history.Event{event(2, "g0", counted), event(2.5, "g1", counted), event(4, "g1", reading(0, 3)), event(9, "g0", counted), event(9, "g1", counted)}, "count:"},
		{"a count below its interval", []history.Event{event(2, "g0", counted), event(3.5, "g1", counted), event(4, "g1", reading(3, -1))}, "count:"},
		{"an engine's earlier start", []history.Event{event(1.2, "g0", history.Event{Kind: history.EngineListed, State: "live", EngineStart: 7}), event(1.5, "g0", reported)}, "engine's start:"},
	} {
		all := append(append([]history.Event{}, base...), c.extra...)
		violations, timed := Check(all)
		got := strings.Join(slices.Concat(violations, timed, CheckCounts(all), CheckQuotas(all, readQuotaTotals(all, []string{"g0"}, 3*time.Second))), "; ")
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: found %q, expected %q", c.name, got, c.want)
		}
	}
}

// TestCheckPolicies checks which violations CheckPolicies finds in constructed histories.
func TestCheckPolicies(t *testing.T) {
	event := func(at float64, process string, e history.Event) history.Event {
		e.At, e.Process, e.Start = int64(at*1e9)+1, process, 1
		if e.ObservedAt == 0 {
			e.ObservedAt = e.At - 1e6
		}
		return e
	}
	applies := func(at float64, process string, number int, digest string) history.Event {
		return event(at, process, history.Event{Kind: history.PolicyChanged, Number: number, Success: true, Code: digest})
	}
	decided := func(at float64, process string, number int) history.Event {
		return event(at, process, history.Event{Kind: history.RequestDecided, Code: "sent", Number: number, Request: fmt.Sprint(at)})
	}
	base := []history.Event{applies(0, "g0", 1, "aa"), applies(0, "g1", 1, "aa"), decided(1, "g0", 1), decided(1.1, "g1", 1)}
	both := decided(3, "g1", 1)
	both.Ejects = true
	late := decided(3, "g1", 1) // checked before revision 2 was first used, recorded after
	late.ObservedAt = int64(1.9e9)
	for _, c := range []struct {
		name  string
		extra []history.Event
		want  string
	}{
		{"one after the other", []history.Event{applies(2, "g0", 2, "bb"), decided(2.1, "g0", 2), applies(2.2, "g1", 2, "bb"), decided(2.3, "g1", 2)}, ""},
		{"an older one later", []history.Event{applies(2, "g0", 2, "bb"), decided(2.1, "g0", 2), decided(2.3, "g1", 1)}, "by number 1, 199.0 ms after g0 decided by 2"},
		{"looked at in time", []history.Event{applies(2, "g0", 2, "bb"), decided(2.1, "g0", 2), late}, ""},
		{"what two allow", []history.Event{applies(2, "g0", 2, "bb"), decided(2.1, "g0", 2), both}, ""},
		{"what two allow, too late", []history.Event{applies(2, "g0", 2, "bb"), decided(2.1, "g0", 2), applies(2.5, "g0", 3, "cc"), decided(2.6, "g0", 3), both}, "after g0 decided by 3"},
		{"two policies of one number", []history.Event{applies(2, "g0", 2, "bb"), applies(2.1, "g1", 2, "cc")}, "number 2 is cc here, and bb elsewhere"},
		{"without a word", []history.Event{decided(2.1, "g0", 2)}, "without a word that it goes by it"},
		{"by none", []history.Event{applies(2, "g0", 2, "bb"), decided(2.1, "g0", 2), event(3, "g1", history.Event{Kind: history.RequestDecided, Code: "taken", Number: -1})}, ""},
	} {
		_, out := CheckPolicies(append(append([]history.Event{}, base...), c.extra...))
		if got := strings.Join(out, "; "); (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: found %q, expected %q", c.name, got, c.want)
		}
	}
}

// TestCheckEngines checks that the running loads are compared with the total, except in scenarios in which engines may be unreachable.
func TestCheckEngines(t *testing.T) {
	began := time.Now()
	run := func(seconds float64, class string, delta int) fake.RunningChange {
		return fake.RunningChange{At: began.Add(time.Duration(seconds * float64(time.Second))), Class: class, Delta: delta}
	}
	limits := readQuotaTotals([]history.Event{{Kind: history.TotalChanged, Code: "loads threads", Number: 2, Detail: 1, Process: "g0"}}, []string{"g0"}, time.Second)
	s := &Scenario{Limits: installation.ClusterLimits{Threads: 2}}
	runs := []fake.RunningChange{run(1, "load", 1), run(1.1, "look", 1), run(1.2, "load", 1), run(1.3, "load", -1), run(1.4, "load", 1)}
	if out := CheckEngines(s, runs, began, 0, limits); out != nil {
		t.Errorf("found %q", out)
	}
	runs = append(runs, run(1.5, "load", 1))
	if out := CheckEngines(s, runs, began, 0, limits); len(out) != 1 || !strings.Contains(out[0], "engines: 3 loads") {
		t.Errorf("found %q", out)
	}
	s.Steps = []Step{{Action: "link", From: []string{"g0"}, To: []string{"*"}}}
	if out := CheckEngines(s, runs, began, 0, limits); out != nil {
		t.Errorf("found %q", out)
	}
}
