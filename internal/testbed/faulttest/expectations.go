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

// excuseMargin extends the time of a request on both sides: if its gateway ended in the extended time, the request may end in any way.
const excuseMargin = time.Second

// check checks the records of clients, engines and histories against all rules, and adds the violations to the result.
func (p *run) check(r *Result, plan *installation.Plan) {
	s := p.scenario
	r.Requests = p.requests
	r.addTimedViolations(p.missedDeadlines...)
	p.checkRequests(r)
	r.RunningChanges = p.installation.Log.RunningChanges()
	r.SlowStarts = slowStartRecords(s, plan.SlowStart, plan.Behavior.Cores, p.installation.Log.AcceptedRequests(), p.startedAt)
	for _, record := range r.SlowStarts {
		if record.MaxOverload > 1 {
			// The violation depends on time, because a fake engine that is woken late reads the requests of a longer time at once.
			r.addTimedViolations(fmt.Sprintf("rule 4: %s, which started at %v, was sent %.2f times the work that overloads it", record.Engine, record.At, record.MaxOverload))
		}
	}
	loweredAfter := s.ShareTerm + s.ShareTerm/2
	if s.Rollout.Voters > 0 { // all gateways switch to the new total at once; requests that run under the old total end by their deadline
		loweredAfter = s.MaxWait + s.MaxWait/4
	}
	totals := readQuotaTotals(r.Events, p.installation.QuotaReplicas(), loweredAfter)
	r.addTimedViolations(CheckCounts(r.Events)...)
	violations, timed := Check(r.Events)
	r.addViolations(violations...)
	r.addTimedViolations(timed...)
	r.addViolations(CheckQuotas(r.Events, totals)...)
	r.addViolations(CheckEngines(s, r.RunningChanges, r.StartedAt, r.StartMonotonic, totals)...)
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

// checkRequests compares how requests ended at the clients with what the engines executed: every request has one answer, no load starts
// twice, and no answer is false.
func (p *run) checkRequests(r *Result) {
	requested, earned := 0.0, 0.0
	for i := range r.Requests {
		request := &r.Requests[i]
		r.Ends[request.End]++
		if request.End != sqlclient.NotConnected {
			requested += request.weight()
			earned += request.EarnedWeight()
		}
		p.checkRequest(r, request)
	}
	if requested > 0 {
		r.Served = earned / requested
	}
}

func (p *run) checkRequest(r *Result, request *Request) {
	execution, arrived := p.installation.Log.Find(request.id)
	if request.Load && execution.Starts > 1 {
		r.addViolations(fmt.Sprintf("rule 2: load %s of %s started %d times", request.id, request.Gateway, execution.Starts))
	}
	switch request.End {
	case sqlclient.Served:
		if !arrived || execution.Completions == 0 {
			r.addViolations(fmt.Sprintf("rule 1: request %s of %s was served, but never ran", request.id, request.Gateway))
		}
	case sqlclient.Rejected:
		if request.Load && execution.Starts > 0 {
			r.addViolations(fmt.Sprintf("rule 1: load %s of %s was rejected, but ran", request.id, request.Gateway))
		}
	case sqlclient.Failed, sqlclient.NotConnected:
	default:
		p.checkUnexpectedEnd(r, request)
	}
}

// checkUnexpectedEnd records a violation for an outcome that no client should see, unless a fault at the gateway explains it.
func (p *run) checkUnexpectedEnd(r *Result, request *Request) {
	if p.isExcused(request) {
		return
	}
	// A gateway closes the connection of a slow client, so the outcomes TimedOut and ConnectionLost depend on time.
	violation := fmt.Sprintf("rule 1: request %s of %s, sent at %v, ended as %q", request.id, request.Gateway, request.At.Round(time.Millisecond), request.End)
	if request.End == sqlclient.TimedOut || request.End == sqlclient.ConnectionLost {
		r.addTimedViolations(violation)
	} else {
		r.addViolations(violation)
	}
}

// isExcused reports whether the gateway ended, or was stopped, while it had the request.
func (p *run) isExcused(request *Request) bool {
	return p.wasKilledDuring(request) || p.crashedDuring(request) || p.wasStoppedDuring(request)
}

func (p *run) wasKilledDuring(request *Request) bool {
	return slices.ContainsFunc(p.killed[request.Gateway], func(at time.Duration) bool {
		return at >= request.At-excuseMargin && at <= request.At+request.Took+excuseMargin
	})
}

// crashedDuring reports whether the scenario's crash point may have ended the request's gateway. It is not known which of the voters the
// crash point ended. So the crash excuses the requests of all voters, until the step that revives gateways.
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
