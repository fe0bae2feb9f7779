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
func (p *play) judge(r *Result, plan *installation.Plan) {
	s := p.s
	r.Requests = p.tasks
	r.miss(p.wrong...)
	p.judgeTasks(r)
	r.Runs = p.site.Log.Runs()
	r.SlowStarts = coldStarts(s, plan.SlowStart, plan.Behavior.Cores, p.site.Log.Sent(), p.began)
	for _, c := range r.SlowStarts {
		if c.Most > 1 {
			// A fake that was late reads what came over a while in one moment.
			r.miss(fmt.Sprintf("rule 4: %s, which started at %v, was sent %.2f times what tips it over", c.Engine, c.At, c.Most))
		}
	}
	lowered := s.Term + s.Term/2
	if s.Charter.Voters > 0 { // all go by the new total at once: what runs by the old one ends with its request
		lowered = s.Longest + s.Longest/4
	}
	limits := readTotals(r.Events, p.site.QuotaReplicas(), lowered)
	r.miss(CheckCounts(r.Events)...)
	broken, late := Check(r.Events)
	r.violate(broken...)
	r.miss(late...)
	r.violate(CheckQuotas(r.Events, limits)...)
	r.violate(CheckEngines(s, r.Runs, r.Began, r.Zero, limits)...)
	for _, e := range r.Events {
		if e.Kind == history.MemberChanged && e.Code == "displaced" {
			r.Displaced++
		}
	}
	if s.Charter.Voters > 0 {
		p.judgePolicies(r)
	}
	r.miss(r.missed()...)
}

// judgeTasks holds the clients' side against the engines': one answer each, no load begun twice, no answer that is not true.
func (p *play) judgeTasks(r *Result) {
	asked, earned := 0.0, 0.0
	for i := range r.Requests {
		t := &r.Requests[i]
		r.Ends[t.End]++
		if t.End != sqlclient.NotConnected {
			asked += t.worth()
			earned += t.Worth()
		}
		truth, came := p.site.Log.Find(t.id)
		if t.Load && truth.Starts > 1 {
			r.violate(fmt.Sprintf("rule 2: load %s of %s began %d times", t.id, t.Gateway, truth.Starts))
		}
		switch t.End {
		case sqlclient.Served:
			if !came || truth.Completions == 0 {
				r.violate(fmt.Sprintf("rule 1: %s of %s was delivered, and never ran", t.id, t.Gateway))
			}
		case sqlclient.Rejected:
			if t.Load && truth.Starts > 0 {
				r.violate(fmt.Sprintf("rule 1: load %s of %s was nacked, and ran", t.id, t.Gateway))
			}
		case sqlclient.Failed, sqlclient.NotConnected:
		default:
			if p.excused(t) {
				continue
			}
			what := fmt.Sprintf("rule 1: %s of %s, sent at %v, ended as %q", t.id, t.Gateway, t.At.Round(time.Millisecond), t.End)
			if t.End == sqlclient.TimedOut || t.End == sqlclient.ConnectionLost { // as for a client that is slow, whose connection is closed
				r.miss(what)
			} else {
				r.violate(what)
			}
		}
	}
	if asked > 0 {
		r.Served = earned / asked
	}
}

// excused tells whether the gateway died, or stood still, while a request was in its hands.
func (p *play) excused(t *Request) bool {
	for _, at := range p.killed[t.Gateway] {
		if at >= t.At-time.Second && at <= t.At+t.Took+time.Second {
			return true
		}
	}
	if died, err := os.Stat(filepath.Join(p.folder, "died")); err == nil && p.s.Dies != "" { // whoever that was, until it was brought back
		revived := p.s.Length
		for _, s := range p.s.Steps {
			if s.Do == "revive" {
				revived = s.At
			}
		}
		if at := died.ModTime().Sub(p.began); at-time.Second <= t.At+t.Took && t.At <= revived+time.Second && slices.Contains(p.site.Voters(), t.Gateway) {
			return true
		}
	}
	for _, s := range p.s.Steps {
		until := s.Until
		if until == 0 {
			until = p.s.Length
		}
		if s.Do == "stop" && s.At <= t.At+t.Took && until >= t.At {
			for _, g := range s.Gateways {
				if ok, _ := path.Match(g, t.Gateway); ok {
					return true
				}
			}
		}
	}
	return false
}
