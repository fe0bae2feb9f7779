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

// waitForMembership waits until all that are there know each other, and returns how long that took.
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

// waitForShares waits until all that are there hold their share of the quotas.
func (p *run) waitForShares(ctx context.Context, within time.Duration) {
	if p.scenario.Mutation == "quorum" {
		time.Sleep(p.scenario.MaxWait * 3) // its replicas grant nothing before what others granted has ended
		return
	}
	deadline := time.Now().Add(p.scenario.ShareTerm + p.scenario.ShareTerm/4 + within)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if p.allHoldShares() {
			return
		}
		time.Sleep(sharePollInterval)
	}
	p.missedDeadlines = append(p.missedDeadlines, "eventual: not all members hold their part of the budget a term after the start")
}

// allHoldShares tells whether all gateways that are to be there hold their share of the quotas.
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

// memberView is what one gateway knows of the members.
type memberView struct {
	label  string
	status *agent.Status
}

// membershipDifference names the first pair that don't know each other; it is empty if there is none.
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

// memberViews are the views of all gateways that are to be there, or the first one that doesn't answer.
func (p *run) memberViews() (views []memberView, problem string) {
	for _, gateway := range p.installation.Gateways {
		if p.isDown(gateway) {
			continue
		}
		status, err := agent.FetchStatus(gateway.Control)
		if err != nil {
			return nil, gateway.Label() + " doesn't answer: " + err.Error()
		}
		if !status.Displaced {
			views = append(views, memberView{gateway.Label(), status})
		}
	}
	return views, ""
}

// differenceOn tells what one gateway doesn't know of another; it is empty if it knows it.
func (v memberView) differenceOn(other memberView) string {
	if v.status.Name == other.status.Name {
		return fmt.Sprintf("%s and %s both take part as %s", v.label, other.label, v.status.Name)
	}
	i := slices.IndexFunc(v.status.Members, func(m agent.MemberStatus) bool { return m.Name == other.status.Name })
	if i < 0 {
		return fmt.Sprintf("%s has not heard of %s", v.label, other.label)
	}
	if member := v.status.Members[i]; member.State != "alive" || member.Start != other.status.Start {
		return fmt.Sprintf("%s takes %s, start %d, for %s under start %d", v.label, other.label, other.status.Start, member.State, member.Start)
	}
	return ""
}
