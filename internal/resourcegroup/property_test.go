package resourcegroup

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"magpiebank/internal/admission"
)

// modelPlans are the plans from which the property test draws.
var modelPlans = []*Plan{
	{Pools: northPool, Classes: []Class{{Name: "a", MaxThreads: 4, Pool: "n", MaxWaiting: 3}, {Name: "b", WorkMillisPerSecond: 200}}},
	{Pools: northPool, Classes: []Class{{Name: "a", MaxThreads: 2}, {Name: "c", MaxThreads: 8, Pool: "n"}}},
	{Classes: []Class{{Name: "c", MaxWaiting: 1}}},
	{},
}

// limiterModel tracks the requests that a limiter has admitted and that have not ended.
type limiterModel struct {
	limiter  *Limiter
	requests []*modelRequest
	now      admission.Time
}

type modelRequest struct {
	number   int
	threads  float64
	inFlight bool
}

// pick draws a waiting request, or one in flight if inFlight is set. It skips the step if there is none.
func (m *limiterModel) pick(t *rapid.T, inFlight bool) *modelRequest {
	t.Helper()
	var candidates []*modelRequest
	for _, request := range m.requests {
		if request.inFlight == inFlight {
			candidates = append(candidates, request)
		}
	}
	if len(candidates) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(candidates).Draw(t, "task")
}

func (m *limiterModel) remove(request *modelRequest) {
	i := slices.Index(m.requests, request)
	m.requests = slices.Delete(m.requests, i, i+1)
}

func (m *limiterModel) arrive(t *rapid.T) {
	number, verdict, _ := m.limiter.Admit(rapid.IntRange(0, 3).Draw(t, "class"))
	if verdict == Admitted && number > 0 {
		threads := float64(rapid.IntRange(1, 3).Draw(t, "threads"))
		m.requests = append(m.requests, &modelRequest{number: number, threads: threads})
	}
}

func (m *limiterModel) send(t *rapid.T) {
	request := m.pick(t, false)
	c := &m.limiter.classes[request.number]
	if !m.limiter.AllowsAttempt(m.now, request.number, request.threads) {
		if c.MaxThreads == 0 && c.WorkMillisPerSecond == 0 {
			t.Fatal("no attempt is allowed, though the class has no limit")
		}
		return
	}
	if c.MaxThreads > 0 && c.inFlight > 0 && c.runningThreads+request.threads > min(c.threadLimit, c.MaxThreads) {
		t.Fatalf("%.0f threads and %.0f more under a limit of %.1f", c.runningThreads, request.threads, c.threadLimit)
	}
	m.limiter.BeginAttempt(request.number, request.threads, float64(rapid.IntRange(0, 500).Draw(t, "work")))
	request.inFlight = true
}

func (m *limiterModel) endAttempt(t *rapid.T) {
	request := m.pick(t, true)
	waits := rapid.Bool().Draw(t, "waits")
	m.limiter.EndAttempt(request.number, request.threads, 100, float64(rapid.IntRange(0, 500).Draw(t, "cost")), waits)
	request.inFlight = false
	if !waits {
		m.remove(request)
	}
}

func (m *limiterModel) clientLeaves(t *rapid.T) {
	request := m.pick(t, false)
	m.limiter.EndWaiting(request.number)
	m.remove(request)
}

func (m *limiterModel) advanceTime(t *rapid.T) {
	m.now += admission.Time(rapid.IntRange(0, 30000).Draw(t, "by"))
	m.limiter.Tick(m.now)
}

func (m *limiterModel) replacePlan(t *rapid.T) {
	if err := m.limiter.ReplacePlan(m.now, rapid.SampledFrom(modelPlans).Draw(t, "plan")); err != nil {
		t.Fatal(err)
	}
}

func (m *limiterModel) updateEndpoint(t *rapid.T) {
	endpoint := newEndpoint(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "engine")), rapid.IntRange(0, 1).Draw(t, "zone"))
	endpoint.State = admission.EndpointState(rapid.IntRange(0, 2).Draw(t, "state"))
	m.limiter.UpdateEndpoints(m.now, admission.PartialUpdate, []admission.Endpoint{endpoint})
}

// check compares the limiter's counts with the model's requests.
func (m *limiterModel) check(t *rapid.T) {
	classes := m.limiter.classes
	inFlight, waiting := make([]int, len(classes)), make([]int, len(classes))
	for _, request := range m.requests {
		if request.inFlight {
			inFlight[request.number]++
		} else {
			waiting[request.number]++
		}
	}
	for number := range classes {
		c := &classes[number]
		if c.inFlight != inFlight[number] || c.waiting != waiting[number] || c.runningThreads < 0 ||
			c.inFlight == 0 && c.runningThreads != 0 || c.threadLimit > c.MaxThreads {
			t.Fatalf("class number %d: %+v, want %d in flight, %d waiting", number, c, inFlight[number], waiting[number])
		}
	}
	if len(classes) > 1+6 || len(m.limiter.pools) > 3 {
		t.Fatalf("%d class numbers and %d pools; freed numbers must be reused", len(classes), len(m.limiter.pools))
	}
}

// In any order of events, each attempt respects the limits, the counts match the model's requests, and freed numbers are reused.
func TestLimitsHoldInAnyOrderOfEvents(t *testing.T) {
	if err := flag.Set("rapid.seed", "7"); err != nil { // makes the test reproducible
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		limiter, err := New(0, modelPlans[0], nil, []string{"norte", "sur"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		m := &limiterModel{limiter: limiter}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive,
			"send":   m.send,
			"back":   m.endAttempt,
			"leave":  m.clientLeaves,
			"pass":   m.advanceTime,
			"renew":  m.replacePlan,
			"list":   m.updateEndpoint,
			"":       m.check,
		})
	})
}
