package faulttest

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/sqlclient"
)

// excuseMargin is how long before and after a gateway's death a request that it had may end in any way.
const excuseMargin = time.Second

// check holds what clients, engines and histories recorded against what must hold.
func (p *run) check(r *Result, plan *installation.Plan) {
	s := p.scenario
	r.Requests = p.requests
	r.addTimedViolations(p.failures...)
	p.checkRequests(r)
	r.Runs = p.installation.Log.RunningChanges()
	r.SlowStarts = slowStartRecords(s, plan.SlowStart, plan.Behavior.Cores, p.installation.Log.AcceptedRequests(), p.startedAt)
	for _, record := range r.SlowStarts {
		if record.Most > 1 {
			// A fake that was late reads what came over a while in one moment.
			r.addTimedViolations(fmt.Sprintf("rule 4: %s, which started at %v, was sent %.2f times what tips it over", record.Engine, record.At, record.Most))
		}
	}
	loweredAfter := s.ShareTerm + s.ShareTerm/2
	if s.Rollout.Voters > 0 { // all go by the new total at once: what runs by the old one ends with its request
		loweredAfter = s.MaxWait + s.MaxWait/4
	}
	totals := readQuotaTotals(r.Events, p.installation.QuotaReplicas(), loweredAfter)
	r.addTimedViolations(CheckCounts(r.Events)...)
	broken, late := Check(r.Events)
	r.addViolations(broken...)
	r.addTimedViolations(late...)
	r.addViolations(CheckQuotas(r.Events, totals)...)
	r.addViolations(CheckEngines(s, r.Runs, r.Began, r.StartMonotonic, totals)...)
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

// checkRequests holds the clients' side against the engines': one answer each, no load begun twice, no answer that is not true.
func (p *run) checkRequests(r *Result) {
	asked, earned := 0.0, 0.0
	for i := range r.Requests {
		request := &r.Requests[i]
		r.Ends[request.End]++
		if request.End != sqlclient.NotConnected {
			asked += request.worth()
			earned += request.Worth()
		}
		p.checkRequest(r, request)
	}
	if asked > 0 {
		r.Served = earned / asked
	}
}

func (p *run) checkRequest(r *Result, request *Request) {
	execution, arrived := p.installation.Log.Find(request.id)
	if request.Load && execution.Starts > 1 {
		r.addViolations(fmt.Sprintf("rule 2: load %s of %s began %d times", request.id, request.Gateway, execution.Starts))
	}
	switch request.End {
	case sqlclient.Served:
		if !arrived || execution.Completions == 0 {
			r.addViolations(fmt.Sprintf("rule 1: %s of %s was delivered, and never ran", request.id, request.Gateway))
		}
	case sqlclient.Rejected:
		if request.Load && execution.Starts > 0 {
			r.addViolations(fmt.Sprintf("rule 1: load %s of %s was nacked, and ran", request.id, request.Gateway))
		}
	case sqlclient.Failed, sqlclient.NotConnected:
	default:
		p.checkUnexpectedEnd(r, request)
	}
}

// checkUnexpectedEnd takes down an end that no client should see, unless a fault at the gateway explains it.
func (p *run) checkUnexpectedEnd(r *Result, request *Request) {
	if p.isExcused(request) {
		return
	}
	violation := fmt.Sprintf("rule 1: %s of %s, sent at %v, ended as %q", request.id, request.Gateway, request.At.Round(time.Millisecond), request.End)
	if request.End == sqlclient.TimedOut || request.End == sqlclient.ConnectionLost { // as for a slow client, whose connection is closed
		r.addTimedViolations(violation)
	} else {
		r.addViolations(violation)
	}
}

// isExcused tells whether the gateway died, or was stopped, while it had a request.
func (p *run) isExcused(request *Request) bool {
	return p.wasKilledDuring(request) || p.crashedDuring(request) || p.wasStoppedDuring(request)
}

func (p *run) wasKilledDuring(request *Request) bool {
	return slices.ContainsFunc(p.killed[request.Gateway], func(at time.Duration) bool {
		return at >= request.At-excuseMargin && at <= request.At+request.Took+excuseMargin
	})
}

// crashedDuring tells whether the scenario's crash point may have ended the request's gateway. Which of the voters it ended is not
// known, so it excuses the requests of all, until one is revived.
func (p *run) crashedDuring(request *Request) bool {
	if p.scenario.CrashPoint == "" {
		return false
	}
	died, err := os.Stat(filepath.Join(p.folder, "died"))
	if err != nil {
		return false
	}
	revivedAt := p.scenario.Length
	for _, step := range p.scenario.Steps {
		if step.Action == "revive" {
			revivedAt = step.At
		}
	}
	diedAt := died.ModTime().Sub(p.startedAt)
	return diedAt-excuseMargin <= request.At+request.Took && request.At <= revivedAt+excuseMargin && slices.Contains(p.installation.Voters(), request.Gateway)
}

func (p *run) wasStoppedDuring(request *Request) bool {
	for _, step := range p.scenario.Steps {
		if step.Action != "stop" {
			continue
		}
		until := step.Until
		if until == 0 {
			until = p.scenario.Length
		}
		if step.At <= request.At+request.Took && until >= request.At && matchesAny(step.Gateways, request.Gateway) {
			return true
		}
	}
	return false
}
