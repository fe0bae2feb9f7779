package faulttest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"magpiebank/internal/cluster/agent"
)

// settle waits until all that are there know each other; it tells how long that took.
func (p *run) waitForMembership(ctx context.Context, within time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < within && ctx.Err() == nil {
		if p.membershipDifference() == "" {
			return time.Since(began), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(began), false
}

// seated waits until all that are there hold their part.
func (p *run) waitForShares(ctx context.Context, within time.Duration) {
	if p.scenario.Mutation == "quorum" {
		time.Sleep(p.scenario.MaxWait * 3) // its replicas grant nothing before what others granted has ended
		return
	}
	for by := time.Now().Add(p.scenario.ShareTerm + p.scenario.ShareTerm/4 + within); time.Now().Before(by) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, g := range p.installation.Gateways {
			if s, err := agent.FetchStatus(g.Control); !p.notRunning[g.Label()] && (err != nil || len(s.Budgets) == 0 || s.Budgets[0].ShareSeconds < 0) {
				all = false
			}
		}
		if all {
			return
		}
	}
	p.failures = append(p.failures, "eventual: not all members hold their part of the budget a term after the start")
}

// apart is the first pair that don't know each other; empty: there is none.
func (p *run) membershipDifference() string {
	type one struct {
		label  string
		status *agent.Status
	}
	var all []one
	for _, g := range p.installation.Gateways {
		p.mu.Lock()
		down := p.notRunning[g.Label()]
		p.mu.Unlock()
		if down {
			continue
		}
		s, err := agent.FetchStatus(g.Control)
		if err != nil {
			return g.Label() + " doesn't answer: " + err.Error()
		}
		if !s.Displaced {
			all = append(all, one{g.Label(), s})
		}
	}
	for _, a := range all {
		for _, b := range all {
			if a.label == b.label {
				continue
			}
			if a.status.Name == b.status.Name {
				return fmt.Sprintf("%s and %s both take part as %s", a.label, b.label, a.status.Name)
			}
			i := slices.IndexFunc(a.status.Members, func(m agent.MemberStatus) bool { return m.Name == b.status.Name })
			if i < 0 {
				return fmt.Sprintf("%s has not heard of %s", a.label, b.label)
			}
			if m := a.status.Members[i]; m.State != "alive" || m.Start != b.status.Start {
				return fmt.Sprintf("%s takes %s, start %d, for %s under start %d", a.label, b.label, b.status.Start, m.State, m.Start)
			}
		}
	}
	if p.scenario.Rollout.Voters > 0 {
		return p.policyDifference()
	}
	return ""
}
