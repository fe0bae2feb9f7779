package rollout

import "fmt"

// counts are what the members told of a rehearsal, or of a number, in the order of the guests.
func (v *voter) countsFor(of uint64) (out []RequestCounts) {
	for i := range v.leadership.holders {
		if k := v.leadership.holders[i].request.Counts; k.Subject == of {
			out = append(out, k)
		}
	}
	return out
}

func sumCounts(list []RequestCounts) (all RequestCounts) {
	for _, k := range list {
		all.Requests += k.Requests
		all.Classified += k.Classified
		all.Rejected += k.Rejected
		all.Shed += k.Shed
	}
	return all
}

func ratio(part, of uint64) float64 {
	if of == 0 {
		return 0
	}
	return float64(part) / float64(of)
}

// over tells which bound is passed, in words.
func (b Bounds) exceededBy(k RequestCounts) string {
	for _, s := range []struct {
		what string
		is   float64
		most float64
	}{{"refused", ratio(k.Rejected, k.Requests), b.Rejected}, {"held", ratio(k.Shed, k.Requests), b.Shed}} {
		if s.is > s.most {
			return fmt.Sprintf("%.3f of the tasks %s, at most %.3f may be", s.is, s.what, s.most)
		}
	}
	return ""
}

// rehearsed tells what a rehearsal came to, and whether it is worse than the proposal allows.
func (v *voter) rehearsalReport(p *LoggedProposal, t *policyText) (report string, worse bool) {
	list := v.countsFor(p.ID)
	all := sumCounts(list)
	report = fmt.Sprintf("rehearsed by %d members: of %d tasks %d classed, %d refused and %d held that are not now", len(list), all.Requests, all.Classified, all.Rejected, all.Shed)
	if t == nil || t.terms.RehearsalBounds == (Bounds{}) {
		return report, false
	}
	if over := t.terms.RehearsalBounds.exceededBy(all); over != "" && all.Requests >= minJudgedRequests {
		return report + "; guard: " + over, true
	}
	return report, false
}

// watch has a policy on probation be taken back once it is worse than it says it may be: once, as a change of its own.
func (v *voter) watchProbation(c *Core) {
	l, trial := v.leadership, v.table.Probation
	if trial == nil {
		return
	}
	if l.probation.number != trial.Number {
		l.probation.number, l.probation.since = trial.Number, c.now
	}
	t := c.policies.find(v.table.Digest)
	if t == nil || t.state != textUsable || v.table.Proposal != nil {
		return
	}
	all := sumCounts(v.countsFor(trial.Number))
	over := t.terms.ProbationBounds.exceededBy(all)
	switch back := v.table.pastPolicy(trial.RollbackTo); {
	case over != "" && all.Requests >= minJudgedRequests && (back != nil || trial.RollbackTo == 0):
		p := &LoggedProposal{ID: c.random.Uint64() | 1, Kind: KindRollback, By: c.name, BaseNumber: v.table.Number, RollbackTo: trial.RollbackTo, Automatic: true}
		if back != nil {
			p.Digest, p.Size = back.Digest, back.Size
		}
		if v.appendEntry(c, &logEntry{Proposal: p}) {
			c.host.LogEvent(PolicyRolledBack, "number", trial.Number, "to", trial.RollbackTo, "why", over)
		}
	case c.now-l.probation.since >= t.terms.Probation:
		v.appendEntry(c, &logEntry{ProbationPassed: trial.Number})
	}
}
