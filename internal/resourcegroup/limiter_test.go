package resourcegroup

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"magpiebank/internal/admission"
)

var updateTraces = flag.Bool("keep", false, "overwrite the expected traces in testdata")

const ms, second = admission.Millisecond, admission.Second

// script runs a limiter together with the controller of package admission, and records a trace of calls and decisions.
type script struct {
	*admission.Controller
	limiter      *Limiter
	now          admission.Time
	trace        strings.Builder
	classNumbers map[admission.RequestID]int // the limiter's class numbers of admitted requests
	inFlight     map[admission.RequestID]bool
}

func (s *script) logf(format string, args ...any) {
	fmt.Fprintf(&s.trace, "%6d ms  %s\n", s.now/ms, fmt.Sprintf(format, args...))
}

func (s *script) SendAttempt(id admission.RequestID, engine admission.EngineID, _, _ admission.Time) {
	s.logf("  -> hand %s to %s", id, engine)
	if n := s.classNumbers[id]; n > 0 {
		s.limiter.BeginAttempt(n, 2, 100)
	}
	s.inFlight[id] = true
}
func (s *script) RejectRequest(id admission.RequestID, _ admission.Time) { s.finish(id, "nack") }
func (s *script) FailRequest(id admission.RequestID)                     { s.finish(id, "write off") }
func (s *script) finish(id admission.RequestID, outcome string) {
	s.logf("  -> %s %s", outcome, id)
	if n := s.classNumbers[id]; n > 0 && !s.inFlight[id] {
		s.limiter.EndWaiting(n)
	}
	delete(s.classNumbers, id)
}
func (s *script) CancelAttempt(admission.RequestID, int)              {}
func (s *script) SetAttemptOptions(admission.RequestID, float64, int) {}
func (s *script) ProbeEngine(admission.EngineID)                      {}
func (s *script) ReportObservation(admission.EngineID, admission.Observation, admission.Report, float64) {
}
func (s *script) SubscribeEndpoints() {}
func (s *script) HasSlowStartCapacity(admission.EngineID, float64) (hasCapacity, shared bool) {
	return false, false
}
func (s *script) ScheduleTick(admission.Time) {}
func (s *script) LogEvent(text string)        { s.logf("  -> log: %s", text) }

func newEndpoint(name string, zone int) admission.Endpoint {
	return admission.Endpoint{Engine: admission.EngineID(name), Zone: zone}
}

// newScript returns a script with a plan, and with the engines a1 and a2 in zone 0 and b1 in zone 1.
func newScript(p *Plan) *script {
	s := &script{classNumbers: map[admission.RequestID]int{}, inFlight: map[admission.RequestID]bool{}}
	limiter, err := New(0, p, []float64{4}, []string{"norte", "sur"}, []string{"std"})
	if err != nil {
		panic(err)
	}
	s.limiter = limiter
	s.Controller = admission.New(0, 7, &admission.Deployment{Gateways: 1, CoresByKind: []float64{4}, MaxAttempts: 4, Classes: []admission.Class{
		{Threads: 2, LatencyObjective: 2 * second, Weight: 1}, {Threads: 2, LatencyObjective: 2 * second, Weight: 3}}}, s)
	s.SetPolicy(s.limiter)
	s.updateEndpoints(admission.CachedUpdate, newEndpoint("a1", 0), newEndpoint("a2", 0), newEndpoint("b1", 1))
	return s
}

func (s *script) updateEndpoints(kind admission.UpdateKind, list ...admission.Endpoint) {
	s.limiter.UpdateEndpoints(s.now, kind, list)
	s.UpdateEndpoints(s.now, kind, list)
}

func (s *script) setState(name string, zone int, state admission.EndpointState) {
	endpoint := newEndpoint(name, zone)
	endpoint.State = state
	s.logf("%s is %s", name, [...]string{"live", "draining", "gone"}[state])
	s.updateEndpoints(admission.PartialUpdate, endpoint)
}

func (s *script) advanceTo(t admission.Time) {
	for s.now+20*ms <= t {
		s.now += 20 * ms
		s.limiter.Tick(s.now)
		s.Tick(s.now)
	}
	s.now = t
}

// arrive passes a request to the limiter and, if admitted, to the controller. planClass is the position of its class in the plan, from 1.
func (s *script) arrive(id admission.RequestID, planClass int) {
	s.logf("%s arrives, class %d of the plan", id, planClass)
	number, verdict, rejectText := s.limiter.Admit(planClass)
	switch verdict {
	case Denied:
		s.logf("  -> refuse: %s", rejectText)
		return
	case OverCapacity:
		s.logf("  -> nack, crowded")
		return
	}
	s.classNumbers[id] = number
	s.HandleRequest(s.now, admission.Request{ID: id, Deadline: s.now + 10*second, Estimate: admission.Estimate{PolicyClass: number}})
}

func (s *script) endAttempt(id admission.RequestID, outcome admission.Outcome, cost float64) {
	s.logf("%s ends: %s", id, map[admission.Outcome]string{admission.Served: "delivered", admission.Reset: "reset"}[outcome])
	if n := s.classNumbers[id]; n > 0 {
		s.limiter.EndAttempt(n, 2, 100, cost, outcome != admission.Served)
	}
	s.inFlight[id] = false
	s.HandleAttemptEnd(s.now, admission.AttemptResult{Request: id, Outcome: outcome, Answered: outcome == admission.Served, Report: admission.NoReport})
	if outcome == admission.Served {
		delete(s.classNumbers, id)
	}
}

func (s *script) logStates() {
	for _, c := range s.limiter.ClassStates() {
		s.logf("class %s: retired %t, limit %.1f, running %.0f, out %d, waiting %d", c.Name, c.Retired, c.ThreadLimit, c.RunningThreads, c.InFlight, c.Waiting)
	}
}

func (s *script) replacePlan(p *Plan) {
	if err := s.limiter.ReplacePlan(s.now, p); err != nil {
		s.logf("kept: %v", err)
		return
	}
	s.logf("renewed")
}

var northPool = []Pool{{Name: "n", Zones: []string{"norte"}}}

var scripts = map[string]func() *script{
	"limit": func() *script { // at most two requests run, the others wait in order; a third waiting request is rejected at once
		s := newScript(&Plan{Classes: []Class{{Name: "scan", MaxThreads: 4, MaxWaiting: 2}}})
		for _, id := range []admission.RequestID{"t1", "t2", "t3", "t4", "t5"} {
			s.arrive(id, 1)
		}
		s.arrive("other", 0)
		s.endAttempt("t1", admission.Served, 80)
		s.endAttempt("t2", admission.Reset, 0) // t2 waits again, ahead of t4, which arrived later
		s.logStates()
		return s
	},
	"lowered": func() *script { // with a limit lowered below the running threads, nothing starts until enough attempts have ended
		s := newScript(&Plan{Classes: []Class{{Name: "scan", MaxThreads: 8}}})
		for _, id := range []admission.RequestID{"t1", "t2", "t3", "t4", "t5"} {
			s.arrive(id, 1)
		}
		s.replacePlan(&Plan{Classes: []Class{{Name: "scan", MaxThreads: 4}}})
		s.logStates()
		for _, id := range []admission.RequestID{"t1", "t2", "t3"} {
			s.endAttempt(id, admission.Served, 80)
		}
		s.logStates()
		return s
	},
	"pool gone": func() *script { // requests of a pool without engines wait and use no other engine, and cause no rejection of other requests
		s := newScript(&Plan{Pools: northPool, Classes: []Class{{Name: "scan", Pool: "n"}}})
		s.arrive("t1", 1)
		s.setState("a1", 0, admission.Draining)
		s.setState("a2", 0, admission.Gone)
		s.endAttempt("t1", admission.Reset, 0)
		s.arrive("t2", 1)
		s.arrive("free", 0)
		s.advanceTo(1000 * ms)
		s.arrive("free2", 0)
		s.setState("a2", 0, admission.Live)
		s.advanceTo(1500 * ms)
		s.endAttempt("t1", admission.Served, 80)
		s.setState("a2", 0, admission.Gone)
		s.arrive("t3", 1)
		s.advanceTo(4 * second)
		s.logStates()
		return s
	},
	"limits by engines": func() *script { // limits fall at once when the pool loses engines, and rise in steps
		s := newScript(&Plan{Pools: northPool, Classes: []Class{{Name: "scan", Pool: "n", MaxThreads: 16}}})
		s.logStates()
		s.setState("a1", 0, admission.Gone)
		s.logStates()
		s.setState("b1", 1, admission.Gone)
		s.setState("a1", 0, admission.Live)
		for range 5 {
			s.advanceTo(s.now + second)
			s.logStates()
		}
		return s
	},
	"work a second": func() *script { // work beyond the estimate makes the credit negative; credit is limited to one second's work
		s := newScript(&Plan{Classes: []Class{{Name: "scan", WorkMillisPerSecond: 150}}})
		s.advanceTo(5 * second)
		for _, id := range []admission.RequestID{"t1", "t2", "t3"} {
			s.arrive(id, 1)
		}
		s.endAttempt("t1", admission.Served, 400)
		s.endAttempt("t2", admission.Served, 100)
		s.advanceTo(8500 * ms)
		return s
	},
	"renewed": func() *script { // a plan is replaced completely or not at all; earlier classes remain until their requests have ended
		s := newScript(&Plan{Pools: northPool, Classes: []Class{{Name: "scan", Pool: "n", MaxThreads: 2}, {Name: "never", RejectText: "a whole table"}}})
		s.arrive("t1", 1)
		s.arrive("t2", 1)
		s.arrive("t3", 2)
		s.replacePlan(&Plan{Pools: []Pool{{Name: "n", Zones: []string{"oeste"}}}})
		s.replacePlan(&Plan{Classes: []Class{{Name: "scan", Pool: "n"}}})
		s.replacePlan(&Plan{Classes: []Class{{Name: "a"}, {Name: "a"}}})
		s.logStates()
		s.replacePlan(&Plan{Classes: []Class{{Name: "new", MaxThreads: 6}}})
		s.arrive("t4", 1)
		s.logStates()
		s.endAttempt("t1", admission.Served, 80)
		s.endAttempt("t2", admission.Served, 80)
		s.advanceTo(20 * ms)
		s.logStates()
		s.logf("%d pools", len(s.limiter.pools)-1)
		return s
	},
	"distrusted pool": func() *script { // requests use the pool's engines even if all are ejected, though others work
		s := newScript(&Plan{Pools: northPool, Classes: []Class{{Name: "scan", Pool: "n"}}})
		for _, id := range []admission.RequestID{"t1", "t2", "t3", "t4"} {
			s.arrive(id, 1)
		}
		for _, id := range []admission.RequestID{"t1", "t2", "t3", "t4"} {
			s.endAttempt(id, admission.Reset, 0)
		}
		s.advanceTo(200 * ms)
		return s
	},
}

func TestScriptsMatchTraces(t *testing.T) {
	for name, run := range scripts {
		t.Run(name, func(t *testing.T) { compareTrace(t, name, run().trace.String()) })
	}
}

// compareTrace compares a script's trace with the expected one in testdata, or overwrites that one if the flag -keep is set.
func compareTrace(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".txt")
	if *updateTraces {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("expected\n%sgot\n%s", want, got)
	}
}
