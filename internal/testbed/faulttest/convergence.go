package faulttest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"magpiebank/internal/cluster/agent"
)

const (
	membershipPollInterval = 100 * time.Millisecond
	sharePollInterval      = 100 * time.Millisecond
)

// waitForMembership waits until all running gateways know each other. It returns how long it waited, and whether they do.
func (p *run) waitForMembership(ctx context.Context, within time.Duration) (time.Duration, bool) {
	began := time.Now()
	for time.Since(began) < within && ctx.Err() == nil {
		if p.membershipDifference() == "" {
			return time.Since(began), true
		}
		time.Sleep(membershipPollInterval)
	}
	return time.Since(began), false
}

// waitForShares waits until all running gateways hold their share of the quotas. It records a missed deadline if they don't in time.
func (p *run) waitForShares(ctx context.Context, within time.Duration) {
	if p.scenario.Mutation == "quorum" {
		time.Sleep(p.scenario.MaxWait * 3) // with this mutation, replicas grant nothing before everything that others granted has ended
		return
	}
	deadline := time.Now().Add(p.scenario.ShareTerm + p.scenario.ShareTerm/4 + within)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if p.allHoldShares() {
			return
		}
		time.Sleep(sharePollInterval)
	}
	p.missedDeadlines = append(p.missedDeadlines, "eventual: not all members hold their share of the budget in time after the start")
}

// allHoldShares reports whether all gateways that should be running hold their share of the quotas.
func (p *run) allHoldShares() bool {
	for _, gateway := range p.installation.Gateways {
		if p.isDown(gateway) {
			continue
		}
		status, err := agent.FetchStatus(gateway.Control)
		if err != nil || len(status.Budgets) == 0 || status.Budgets[0].ShareSeconds < 0 {
			return false
		}
	}
	return true
}

// memberView is the status of a gateway, with what it knows about the other members.
type memberView struct {
	label  string
	status *agent.Status
}

// membershipDifference describes the first problem among the running gateways: one does not answer, two do not know each other, or, with
// a rollout, not all apply the same policy. It is empty if there is none.
func (p *run) membershipDifference() string {
	views, problem := p.memberViews()
	if problem != "" {
		return problem
	}
	for _, view := range views {
		for _, other := range views {
			if view.label == other.label {
				continue
			}
			if difference := view.differenceOn(other); difference != "" {
				return difference
			}
		}
	}
	if p.scenario.Rollout.Voters > 0 {
		return p.policyDifference()
	}
	return ""
}

// memberViews returns the views of all gateways that should be running, except displaced ones. If a gateway does not answer, it returns a
// description of the problem instead.
func (p *run) memberViews() (views []memberView, problem string) {
	for _, gateway := range p.installation.Gateways {
		if p.isDown(gateway) {
			continue
		}
		status, err := agent.FetchStatus(gateway.Control)
		if err != nil {
			return nil, gateway.Label() + " does not answer: " + err.Error()
		}
		if !status.Displaced {
			views = append(views, memberView{gateway.Label(), status})
		}
	}
	return views, ""
}

// differenceOn describes what the gateway does not know about another gateway. It is empty if the gateway knows the other one.
func (v memberView) differenceOn(other memberView) string {
	if v.status.Name == other.status.Name {
		return fmt.Sprintf("%s and %s both participate with the name %s", v.label, other.label, v.status.Name)
	}
	i := slices.IndexFunc(v.status.Members, func(m agent.MemberStatus) bool { return m.Name == other.status.Name })
	if i < 0 {
		return fmt.Sprintf("%s does not know %s", v.label, other.label)
	}
	if member := v.status.Members[i]; member.State != "alive" || member.Start != other.status.Start {
		return fmt.Sprintf("%s must know %s with start %d as alive, but lists it as %s with start %d", v.label, other.label, other.status.Start, member.State, member.Start)
	}
	return ""
}
