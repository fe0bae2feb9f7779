package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

const (
	coldEngine EngineID = "cold"
	warmEngine EngineID = "warm"
)

// slowStartFaults describes how the gateways of a simulation differ, and which faults it injects.
type slowStartFaults struct {
	maxConnectTime    Time    // longest time that opening a connection takes
	maxClockSkew      Time    // maximum deviation of a gateway's clock, in either direction
	maxDiscoveryDelay Time    // time within which all gateways learn that the cold engine has started
	heavyShare        float64 // share of requests with twenty times the usual work
	resetShare        float64 // share of attempts at the cold engine whose connection is reset
	removeWarmEngine  bool    // the warm engine disappears when the cold engine starts
}

// slowStartSimulation simulates gateways that share nothing and send requests to an engine that has just started, in virtual time.
// Each gateway has more requests than fit on any engine. The simulation records what all gateways together send to the cold engine.
type slowStartSimulation struct {
	slowStartFaults
	deployment *Deployment
	random     *rand.Rand
	meanWork   []float64 // true mean work of each class, in units of Time
	now        Time
	events     eventHeap
	arrivals   []coldArrival
}

// coldArrival is an attempt that reaches the cold engine. Its work is the mean work of its class: a gateway can't know that one
// request is far heavier, and the slow-start rule is about mean work.
type coldArrival struct {
	at   Time
	work float64
}

// scheduledEvent is a function to run at a time; of two events at the same time, the one with the lower order runs first.
type scheduledEvent struct {
	at    Time
	order int
	run   func()
}

// eventHeap is a heap.Interface of events, ordered by time.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any) {
	event, ok := x.(scheduledEvent)
	if !ok {
		panic(fmt.Sprintf("%T is no event", x))
	}
	*h = append(*h, event)
}
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *slowStartSimulation) after(delay Time, run func()) {
	heap.Push(&s.events, scheduledEvent{s.now + delay, s.events.Len() + int(s.now), run})
}

// randomTime returns a random time of at least 0 and less than limit.
func (s *slowStartSimulation) randomTime(limit Time) Time {
	if limit == 0 {
		return 0
	}
	return Time(s.random.Int63n(int64(limit)))
}

// simulatedGateway is a gateway in the simulation: its Controller, and the Host of that controller.
type simulatedGateway struct {
	noopHost
	simulation *slowStartSimulation
	controller *Controller
	clockSkew  Time
	requests   int
}

func (g *simulatedGateway) clock() Time { return g.simulation.now + g.clockSkew }

// SendAttempt simulates an attempt: it reaches the engine once its connection is open, and ends once its work is done.
func (g *simulatedGateway) SendAttempt(id RequestID, engine EngineID, _, _ Time) {
	s := g.simulation
	class := int(id[0] - '0')
	threads := float64(s.deployment.Classes[class].Threads)
	work := s.meanWork[class] * math.Exp(s.random.NormFloat64()-0.5) // lognormal
	if s.random.Float64() < s.heavyShare {
		work *= 20
	}
	connectTime := s.randomTime(s.maxConnectTime)
	if engine == coldEngine {
		s.arrivals = append(s.arrivals, coldArrival{s.now + connectTime, s.meanWork[class]})
		if s.random.Float64() < s.resetShare {
			s.after(connectTime+Millisecond, func() {
				g.controller.HandleAttemptEnd(g.clock(), AttemptResult{Request: id, Outcome: Reset, Report: NoReport})
			})
			return
		}
	}
	s.after(connectTime+Time(work/threads), func() {
		g.controller.HandleAttemptEnd(g.clock(), AttemptResult{Request: id, Outcome: Served, Answered: true,
			Work: Time(work), Memory: 1, Report: NoReport})
	})
}

// sendRequests sends the controller requests endlessly, at random intervals.
func (g *simulatedGateway) sendRequests() {
	s := g.simulation
	class := []int{0, 0, 0, 0, 1}[s.random.Intn(5)]
	g.requests++
	id := RequestID(fmt.Sprintf("%d-%d", class, g.requests))
	g.controller.HandleRequest(g.clock(), Request{ID: id, Deadline: g.clock() + 20*Second, Class: class,
		TableGroup: s.random.Intn(20)})
	s.after(Second/8+s.randomTime(Second/4), g.sendRequests)
}

func (g *simulatedGateway) tick() {
	g.controller.Tick(g.clock())
	g.simulation.after(tickInterval, g.tick)
}

// run starts all gateways and ends when the engine is warm.
func (s *slowStartSimulation) run(gateways int) {
	s.now = 1000 * Second
	start := s.now + 3*Second // by then, the gateways have learned about their classes
	for index := range gateways {
		s.addGateway(gateways, index, start)
	}
	end := start + s.deployment.WarmUpTime - s.maxConnectTime
	for {
		event, ok := heap.Pop(&s.events).(scheduledEvent)
		if !ok || event.at > end {
			return
		}
		s.now = event.at
		event.run()
	}
}

// addGateway starts a gateway, which learns of the cold engine some time after the engine's start.
func (s *slowStartSimulation) addGateway(gateways, index int, start Time) {
	deployment := *s.deployment
	deployment.Gateways = gateways
	deployment.GatewayIndex = index
	g := &simulatedGateway{simulation: s, clockSkew: s.randomTime(2*s.maxClockSkew+1) - s.maxClockSkew}
	g.controller = New(g.clock(), int64(index), &deployment, g)
	g.controller.UpdateEndpoints(g.clock(), FullUpdate, []Endpoint{{Engine: warmEngine, State: Live}})
	s.after(s.randomTime(Second/4), g.sendRequests)
	s.after(s.randomTime(tickInterval), g.tick)
	s.after(start-s.now+s.randomTime(s.maxDiscoveryDelay), func() {
		changes := []Endpoint{{Engine: coldEngine, State: Live, StartedAt: start}}
		if s.removeWarmEngine {
			changes = append(changes, Endpoint{Engine: warmEngine, State: Gone})
		}
		g.controller.UpdateEndpoints(g.clock(), PartialUpdate, changes)
	})
}

// budget returns the work that the cold engine may be sent within the time after which it fails under overload.
func (s *slowStartSimulation) budget() float64 {
	d := s.deployment
	return d.WarmUpOverloadFactor * d.WarmUpCapacityShare * d.CoresByKind[0] * float64(d.WarmUpOverloadTime)
}

// usedShare returns the work sent as a share of the budget for the whole warm-up time.
func (s *slowStartSimulation) usedShare() (share float64) {
	for _, arrival := range s.arrivals {
		share += arrival.work / s.budget() * float64(s.deployment.WarmUpOverloadTime) / float64(s.deployment.WarmUpTime)
	}
	return share
}

// worstWindow returns the most work that arrived in any window of the length after which the engine fails under overload, and the
// work that is allowed there: the budget, two standard deviations and two requests of mean work for chance.
func (s *slowStartSimulation) worstWindow() (worst, allowed float64) {
	slices.SortFunc(s.arrivals, func(a, b coldArrival) int { return int(a.at - b.at) })
	inWindow, total, first := 0.0, 0.0, 0
	for _, arrival := range s.arrivals {
		total += arrival.work
		inWindow += arrival.work
		for s.arrivals[first].at <= arrival.at-s.deployment.WarmUpOverloadTime {
			inWindow -= s.arrivals[first].work
			first++
		}
		worst = max(worst, inWindow)
	}
	mean := total / float64(len(s.arrivals))
	budget := s.budget() / mean
	return worst, (budget + 2*math.Sqrt(budget) + 2) * mean
}

// slowStartDeployment has engines that fail if they are sent three times their capacity within 1.5 s.
func slowStartDeployment() Deployment {
	return Deployment{CoresByKind: []float64{8}, WarmUpCapacityShare: 0.34, WarmUpTime: 14 * Second,
		WarmUpOverloadFactor: 3, WarmUpOverloadTime: 1500 * Millisecond, ReportsCost: true, MaxAttempts: 4, Classes: []Class{
			{Threads: 1, LatencyObjective: Second, ObjectivePerWork: 1.5, Weight: 1},
			{Threads: 4, LatencyObjective: 3 * Second, ObjectivePerWork: 2.5, Weight: 10, LateWeightShare: 0.4},
		}}
}

// TestSlowStartKeepsTheSumOfAllGatewaysWithinTheBudget simulates gateways that share nothing and differ in number, clocks,
// connection times and the delay until they learn of the cold engine's start.
func TestSlowStartKeepsTheSumOfAllGatewaysWithinTheBudget(t *testing.T) {
	base := slowStartDeployment()
	tight := base
	tight.WarmUpOverloadFactor, tight.WarmUpOverloadTime = 2, Second
	long := base
	long.WarmUpOverloadFactor, long.WarmUpOverloadTime = 2, 2500*Millisecond
	tests := []struct {
		name       string
		deployment Deployment
		gateways   int
		seeds      int
		faults     slowStartFaults
	}{
		{"three", base, 3, 20, slowStartFaults{maxConnectTime: 250 * Millisecond}},
		{"thirty", base, 30, 20, slowStartFaults{maxConnectTime: 250 * Millisecond}},
		{"thirty, told over 5 s", base, 30, 20,
			slowStartFaults{maxConnectTime: 250 * Millisecond, maxDiscoveryDelay: 5 * Second}},
		{"thirty, clocks apart", base, 30, 20,
			slowStartFaults{maxConnectTime: 250 * Millisecond, maxClockSkew: 100 * Millisecond}},
		{"thirty, a hundredth heavy", base, 30, 20, slowStartFaults{maxConnectTime: 250 * Millisecond, heavyShare: 0.01}},
		{"thirty, a third reset", base, 30, 20, slowStartFaults{maxConnectTime: 250 * Millisecond, resetShare: 0.33}},
		{"twenty, tight", tight, 20, 20,
			slowStartFaults{maxConnectTime: 150 * Millisecond, maxClockSkew: 50 * Millisecond}},
		{"thirty, a long window", long, 30, 20, slowStartFaults{maxConnectTime: 400 * Millisecond, resetShare: 0.1}},
		{"three hundred", base, 300, 2,
			slowStartFaults{maxConnectTime: 250 * Millisecond, maxClockSkew: 50 * Millisecond}},
		{"six, no other engine", base, 6, 20, slowStartFaults{maxConnectTime: 250 * Millisecond, removeWarmEngine: true}},
		{"thirty, no other engine", base, 30, 20,
			slowStartFaults{maxConnectTime: 250 * Millisecond, maxClockSkew: 100 * Millisecond, removeWarmEngine: true}},
		{"thirty, no other engine, told over 5 s", base, 30, 20,
			slowStartFaults{maxConnectTime: 250 * Millisecond, maxDiscoveryDelay: 5 * Second, removeWarmEngine: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checkSlowStart(t, &test.deployment, test.gateways, test.seeds, test.faults)
		})
	}
}

// checkSlowStart runs a simulation for each seed. No window may receive more work than allowed, and all gateways together must use
// a minimum share of the budget.
func checkSlowStart(t *testing.T, deployment *Deployment, gateways, seeds int, faults slowStartFaults) {
	t.Helper()
	sent, usedShare, highest := 0, 0.0, 0.0
	for seed := range seeds {
		s := slowStartSimulation{slowStartFaults: faults, deployment: deployment, random: rand.New(rand.NewSource(int64(seed))),
			meanWork: []float64{float64(200 * Millisecond), float64(3500 * Millisecond)}}
		s.run(gateways)
		sent += len(s.arrivals)
		if len(s.arrivals) == 0 {
			continue
		}
		usedShare += s.usedShare() / float64(seeds)
		worst, allowed := s.worstWindow()
		highest = max(highest, worst/allowed)
		if worst > allowed {
			t.Errorf("seed %d: %.0f ms of work within the window, %.0f allowed", seed, worst/float64(Millisecond),
				allowed/float64(Millisecond))
		}
	}
	if sent < seeds {
		t.Errorf("%d requests were sent to the cold engine in %d runs; the simulation doesn't exercise slow start", sent, seeds)
	}
	const minUsedShare = 0.1 // each gateway has more requests than fit, so budget that no gateway may use is wasted
	if usedShare < minUsedShare {
		t.Errorf("only %.3f of the budget was used", usedShare)
	}
	t.Logf("%d sent, %.3f of the budget, at most %.2f of what is allowed in a window", sent, usedShare, highest)
}
