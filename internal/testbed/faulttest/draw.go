package faulttest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"magpiebank/internal/testbed/faultproxy"
	"magpiebank/internal/testbed/installation"
)

// Draw makes a scenario from a seed: some faults at once and one after the other, all over some seconds before the end.
func Draw(seed uint64, gateways, engines int) *Scenario {
	r := rand.New(rand.NewPCG(seed, 11))
	s := &Scenario{Name: fmt.Sprint("drawn-", seed), Gateways: gateways, Engines: engines, Zones: []string{"norte", "sur"}, Seed: seed, Length: 12 * time.Second,
		ConvergeWithin: 25 * time.Second, RequestRate: 4, LoadShare: 0.2, ShareTerm: 24 * time.Second, MaxWait: defaultMaxWait, HealthReports: true, Counters: true, Durable: r.IntN(2) == 0}
	some := func(most int) (out []string) {
		for _, n := range r.Perm(gateways)[:1+r.IntN(most)] {
			out = append(out, fmt.Sprint("g", n))
		}
		return out
	}
	if r.IntN(2) == 0 { // with a budget, and clients that wait for less, as a part of it is held six times as long at least
		s.Limits, s.LoadShare, s.MaxWait, s.ShareTerm = installation.ClusterLimits{Threads: 1 + r.IntN(2*gateways), Version: 1}, 0.6, 2*time.Second, 12*time.Second
		s.Clocks = map[string]string{}
		for n := range gateways {
			s.Clocks[fmt.Sprint("g", n)] = fmt.Sprintf("%g 0s 0s", 0.96+0.01*float64(r.IntN(9)))
		}
		for range r.IntN(3) {
			at := time.Duration(500+r.IntN(8000)) * time.Millisecond
			s.Steps = append(s.Steps, Step{At: at, Until: at + time.Duration(1+r.IntN(4))*time.Second, Action: "surge", Gateways: some(2), ExtraRate: float64(20 + r.IntN(60)), Folder: "same"})
		}
		if r.IntN(3) == 0 {
			s.Steps = append(s.Steps, Step{At: time.Duration(500+r.IntN(8000)) * time.Millisecond, Action: "limit", Gateways: []string{"g*"}, Limits: installation.ClusterLimits{Threads: 1 + r.IntN(2*gateways), Version: 1}, Folder: "same"})
		}
	}
	for range 3 + r.IntN(4) {
		t := Step{At: time.Duration(500+r.IntN(6500)) * time.Millisecond, Folder: "same"}
		t.Until = t.At + time.Duration(300+r.IntN(4000))*time.Millisecond
		switch r.IntN(8) {
		case 0, 1:
			t.Action, t.From, t.To, t.BothWays, t.Rule.Cut = "link", some(gateways/2), []string{"g*"}, r.IntN(2) == 0, true
			if r.IntN(3) == 0 {
				t.To = []string{"*"}
			}
		case 2:
			t.Action, t.From, t.To, t.BothWays = "link", []string{"g*"}, []string{"g*"}, true
			t.Rule = faultproxy.Rule{Loss: 0.6 * r.Float64(), Duplicate: 0.3 * r.Float64(), Reorder: 0.3 * r.Float64(), Corrupt: 0.1 * r.Float64(), Delay: time.Duration(r.IntN(80)) * time.Millisecond,
				Jitter: time.Duration(1+r.IntN(100)) * time.Millisecond}
		case 3:
			t.Action, t.Gateways, t.Folder = "kill", some(gateways/2), []string{"same", "none"}[r.IntN(2)]
		case 4:
			t.Action, t.Gateways = "stop", some(2)
		case 5:
			t.Action, t.Gateways = "leave", some(2)
		case 6:
			t.Action, t.Engines, t.EngineState = "engine", []string{fmt.Sprintf("e-%03d", 1+r.IntN(engines))}, []string{"silent", "errs", "loses", "slow", "refuses", "restarts", "paused"}[r.IntN(7)]
		case 7:
			t.Action, t.EngineState = "list", []string{"held", "broken"}[r.IntN(2)]
		}
		s.Steps = append(s.Steps, t)
	}
	if r.IntN(3) == 0 { // with a policy rollout, and changes while all of that happens
		s.Rollout = installation.Rollout{Voters: 5, Lease: 2 * time.Second, Within: 2 * time.Second}
		for i := range s.Steps {
			if t := &s.Steps[i]; t.Action == "limit" {
				t.Action, t.ProposalKind, t.Policy = "propose", "change", installation.Policy{ClusterLimits: t.Limits}
				t.Limits = installation.ClusterLimits{}
			}
			s.Steps[i].Folder = "same" // a majority of voters that lose theirs is not what this is about
		}
		for range 2 + r.IntN(3) {
			t := Step{At: time.Duration(500+r.IntN(9000)) * time.Millisecond, Action: "propose", ProposalKind: "change", Gateways: some(1), Folder: "same"}
			t.Policy.Threads = 1 + r.IntN(2*gateways)
			if r.IntN(3) == 0 {
				t.Policy.Both = 3 * time.Second
			}
			s.Steps = append(s.Steps, t)
		}
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return int(a.At - b.At) })
	return s
}

// Shrink looks for the fewest steps that still fail; fails plays a scenario. At most attempts of them are played.
func Shrink(s *Scenario, tries int, fails func(*Scenario) bool) *Scenario {
	for again := true; again; {
		again = false
		for i := range s.Steps {
			if tries == 0 {
				return s
			}
			tries--
			less := *s
			less.Steps = slices.Delete(slices.Clone(s.Steps), i, i+1)
			if fails(&less) {
				s, again = &less, true
				break
			}
		}
	}
	return s
}
