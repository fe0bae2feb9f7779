package faulttest

import (
	"fmt"
	"os"
	"path"
	"path/filepath"
	"slices"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/sqlclient"
)

// judge holds what clients, engines and histories tell against what must hold.
func (p *run) check(r *Result, plan *installation.Plan) {
	s := p.scenario
	r.Requests = p.requests
	r.addTimedViolations(p.failures...)
	p.checkRequests(r)
	r.Runs = p.installation.Log.Runs()
	r.SlowStarts = slowStartRecords(s, plan.SlowStart, plan.Behavior.Cores, p.installation.Log.Sent(), p.startedAt)
	for _, c := range r.SlowStarts {
		if c.Most > 1 {
			// A fake that was late reads what came over a while in one moment.
			r.addTimedViolations(fmt.Sprintf("rule 4: %s, which started at %v, was sent %.2f times what tips it over", c.Engine, c.At, c.Most))
		}
	}
	lowered := s.ShareTerm + s.ShareTerm/2
	if s.Rollout.Voters > 0 { // all go by the new total at once: what runs by the old one ends with its request
		lowered = s.MaxWait + s.MaxWait/4
	}
	limits := readTotals(r.Events, p.installation.QuotaReplicas(), lowered)
	r.addTimedViolations(CheckCounts(r.Events)...)
	broken, late := Check(r.Events)
	r.addViolations(broken...)
	r.addTimedViolations(late...)
	r.addViolations(CheckQuotas(r.Events, limits)...)
	r.addViolations(CheckEngines(s, r.Runs, r.Began, r.StartMonotonic, limits)...)
	for _, e := range r.Events {
		if e.Kind == history.MemberChanged && e.Code == "displaced" {
			r.Displaced++
		}
	}
	if s.Rollout.Voters > 0 {
		p.checkPolicies(r)
	}
	r.addTimedViolations(r.missedExpectations()...)
}

// judgeTasks holds the clients' side against the engines': one answer each, no load begun twice, no answer that is not true.
func (p *run) checkRequests(r *Result) {
	asked, earned := 0.0, 0.0
	for i := range r.Requests {
		t := &r.Requests[i]
		r.Ends[t.End]++
		if t.End != sqlclient.NotConnected {
			asked += t.worth()
			earned += t.Worth()
		}
		truth, came := p.installation.Log.Find(t.id)
		if t.Load && truth.Starts > 1 {
			r.addViolations(fmt.Sprintf("rule 2: load %s of %s began %d times", t.id, t.Gateway, truth.Starts))
		}
		switch t.End {
		case sqlclient.Served:
			if !came || truth.Completions == 0 {
				r.addViolations(fmt.Sprintf("rule 1: %s of %s was delivered, and never ran", t.id, t.Gateway))
			}
		case sqlclient.Rejected:
			if t.Load && truth.Starts > 0 {
				r.addViolations(fmt.Sprintf("rule 1: load %s of %s was nacked, and ran", t.id, t.Gateway))
			}
		case sqlclient.Failed, sqlclient.NotConnected:
		default:
			if p.isExcused(t) {
				continue
			}
			what := fmt.Sprintf("rule 1: %s of %s, sent at %v, ended as %q", t.id, t.Gateway, t.At.Round(time.Millisecond), t.End)
			if t.End == sqlclient.TimedOut || t.End == sqlclient.ConnectionLost { // as for a client that is slow, whose connection is closed
				r.addTimedViolations(what)
			} else {
				r.addViolations(what)
			}
		}
	}
	if asked > 0 {
		r.Served = earned / asked
	}
}

// excused tells whether the gateway died, or stood still, while a request was in its hands.
func (p *run) isExcused(t *Request) bool {
	for _, at := range p.killed[t.Gateway] {
		if at >= t.At-time.Second && at <= t.At+t.Took+time.Second {
			return true
		}
	}
	if died, err := os.Stat(filepath.Join(p.folder, "died")); err == nil && p.scenario.CrashPoint != "" { // whoever that was, until it was brought back
		revived := p.scenario.Length
		for _, s := range p.scenario.Steps {
			if s.Action == "revive" {
				revived = s.At
			}
		}
		if at := died.ModTime().Sub(p.startedAt); at-time.Second <= t.At+t.Took && t.At <= revived+time.Second && slices.Contains(p.installation.Voters(), t.Gateway) {
			return true
		}
	}
	for _, s := range p.scenario.Steps {
		until := s.Until
		if until == 0 {
			until = p.scenario.Length
		}
		if s.Action == "stop" && s.At <= t.At+t.Took && until >= t.At {
			for _, g := range s.Gateways {
				if ok, _ := path.Match(g, t.Gateway); ok {
					return true
				}
			}
		}
	}
	return false
}
