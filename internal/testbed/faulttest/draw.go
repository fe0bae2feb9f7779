package faulttest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"magpiebank/internal/testbed/faultproxy"
	"magpiebank/internal/testbed/installation"
)

// drawer generates one scenario from random numbers. If the order of its draws changes, the same seed gives another scenario.
type drawer struct {
	random   *rand.Rand
	scenario *Scenario
}

// Draw generates a scenario from a seed. It has several faults that may overlap. All faults end before the scenario does.
func Draw(seed uint64, gateways, engines int) *Scenario {
	random := rand.New(rand.NewPCG(seed, 11))
	d := &drawer{random: random, scenario: &Scenario{
		Name:           fmt.Sprint("drawn-", seed),
		Gateways:       gateways,
		Engines:        engines,
		Zones:          []string{"norte", "sur"},
		Seed:           seed,
		Length:         12 * time.Second,
		ConvergeWithin: 25 * time.Second,
		RequestRate:    4,
		LoadShare:      0.2,
		ShareTerm:      24 * time.Second,
		MaxWait:        defaultMaxWait,
		HealthReports:  true,
		Counters:       true,
		Durable:        random.IntN(2) == 0,
	}}
	if random.IntN(2) == 0 {
		d.drawQuota()
	}
	for range 3 + random.IntN(4) {
		d.addStep(d.drawFault())
	}
	if random.IntN(3) == 0 {
		d.drawRollout()
	}
	slices.SortStableFunc(d.scenario.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return d.scenario
}

func (d *drawer) addStep(step Step) { d.scenario.Steps = append(d.scenario.Steps, step) }

// someGateways draws the names of one to most different gateways.
func (d *drawer) someGateways(most int) (names []string) {
	for _, n := range d.random.Perm(d.scenario.Gateways)[:1+d.random.IntN(most)] {
		names = append(names, fmt.Sprint("g", n))
	}
	return names
}

// instant draws a time between 500 ms and 500 ms + spanMillis.
func (d *drawer) instant(spanMillis int) time.Duration {
	return time.Duration(500+d.random.IntN(spanMillis)) * time.Millisecond
}

// threads draws a total of threads, between 1 and twice the number of gateways.
func (d *drawer) threads() int { return 1 + d.random.IntN(2*d.scenario.Gateways) }

// drawQuota adds a quota, clocks that drift, surges and changes of the limit. It lowers the clients' deadline, because a share of the
// quota is held for at least six times the deadline.
func (d *drawer) drawQuota() {
	s := d.scenario
	s.Limits = installation.ClusterLimits{Threads: d.threads(), Version: 1}
	s.LoadShare, s.MaxWait, s.ShareTerm = 0.6, 2*time.Second, 12*time.Second
	s.Clocks = map[string]string{}
	for n := range s.Gateways {
		s.Clocks[fmt.Sprint("g", n)] = fmt.Sprintf("%g 0s 0s", 0.96+0.01*float64(d.random.IntN(9)))
	}
	for range d.random.IntN(3) {
		at := d.instant(8000)
		until := at + time.Duration(1+d.random.IntN(4))*time.Second
		d.addStep(Step{At: at, Until: until, Action: "surge", Gateways: d.someGateways(2), ExtraRate: float64(20 + d.random.IntN(60)), Folder: "same"})
	}
	if d.random.IntN(3) == 0 {
		at := d.instant(8000)
		limits := installation.ClusterLimits{Threads: d.threads(), Version: 1}
		d.addStep(Step{At: at, Action: "limit", Gateways: []string{"g*"}, Limits: limits, Folder: "same"})
	}
}

// drawnEngineStates lists the faulty states of engines that Draw uses.
var drawnEngineStates = []string{"silent", "errs", "loses", "slow", "refuses", "restarts", "paused"}

func (d *drawer) drawFault() Step {
	random, gateways := d.random, d.scenario.Gateways
	step := Step{At: d.instant(6500), Folder: "same"}
	step.Until = step.At + time.Duration(300+random.IntN(4000))*time.Millisecond
	switch random.IntN(8) {
	case 0, 1:
		step.Action, step.To, step.Rule.Cut = "link", []string{"g*"}, true
		step.From = d.someGateways(gateways / 2)
		step.BothWays = random.IntN(2) == 0
		if random.IntN(3) == 0 {
			step.To = []string{"*"}
		}
	case 2:
		step.Action, step.From, step.To, step.BothWays = "link", []string{"g*"}, []string{"g*"}, true
		step.Rule = d.drawRule()
	case 3:
		step.Action, step.Gateways = "kill", d.someGateways(gateways/2)
		step.Folder = []string{"same", "none"}[random.IntN(2)]
	case 4:
		step.Action, step.Gateways = "stop", d.someGateways(2)
	case 5:
		step.Action, step.Gateways = "leave", d.someGateways(2)
	case 6:
		step.Action, step.Engines = "engine", []string{fmt.Sprintf("e-%03d", 1+random.IntN(d.scenario.Engines))}
		step.EngineState = drawnEngineStates[random.IntN(len(drawnEngineStates))]
	case 7:
		step.Action, step.EngineState = "list", []string{"held", "broken"}[random.IntN(2)]
	}
	return step
}

// drawRule draws the faults of a bad link.
func (d *drawer) drawRule() faultproxy.Rule {
	return faultproxy.Rule{
		Loss:      0.6 * d.random.Float64(),
		Duplicate: 0.3 * d.random.Float64(),
		Reorder:   0.3 * d.random.Float64(),
		Corrupt:   0.1 * d.random.Float64(),
		Delay:     time.Duration(d.random.IntN(80)) * time.Millisecond,
		Jitter:    time.Duration(1+d.random.IntN(100)) * time.Millisecond,
	}
}

// drawRollout turns the policy rollout on, makes changes of the limit proposals, and adds further proposals during the faults.
func (d *drawer) drawRollout() {
	s := d.scenario
	s.Rollout = installation.Rollout{Voters: 5, Lease: 2 * time.Second, DecideWithin: 2 * time.Second}
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Action == "limit" {
			step.Action, step.ProposalKind = "propose", "change"
			step.Policy = installation.Policy{ClusterLimits: step.Limits}
			step.Limits = installation.ClusterLimits{}
		}
		step.Folder = "same" // rollouts don't guarantee anything if a majority of the voters loses its state
	}
	for range 2 + d.random.IntN(3) {
		step := Step{At: d.instant(9000), Action: "propose", ProposalKind: "change", Gateways: d.someGateways(1), Folder: "same"}
		step.Policy.Threads = d.threads()
		if d.random.IntN(3) == 0 {
			step.Policy.BothFor = 3 * time.Second
		}
		d.addStep(step)
	}
}

// Shrink removes steps from a failing scenario, one by one, as long as the smaller scenario still fails. It calls fails, which runs a
// scenario and reports whether it failed, at most tries times.
func Shrink(s *Scenario, tries int, fails func(*Scenario) bool) *Scenario {
	for found := true; found; {
		found = false
		for i := range s.Steps {
			if tries == 0 {
				return s
			}
			tries--
			smaller := *s
			smaller.Steps = slices.Delete(slices.Clone(s.Steps), i, i+1)
			if fails(&smaller) {
				s, found = &smaller, true
				break
			}
		}
	}
	return s
}
