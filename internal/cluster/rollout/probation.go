package rollout

import "fmt"

// countsFor returns the request counts that members have reported for a rehearsal, given the proposal's ID, or for a policy's number.
func (v *voter) countsFor(subject uint64) (list []RequestCounts) {
	for i := range v.leadership.holders {
		if counts := v.leadership.holders[i].request.Counts; counts.Subject == subject {
			list = append(list, counts)
		}
	}
	return list
}

func sumCounts(list []RequestCounts) (total RequestCounts) {
	for _, counts := range list {
		total.Requests += counts.Requests
		total.Classified += counts.Classified
		total.Rejected += counts.Rejected
		total.Shed += counts.Shed
	}
	return total
}

func ratio(count, total uint64) float64 {
	if total == 0 {
		return 0
	}
	return float64(count) / float64(total)
}

// describeExceeded describes the first bound that the counts exceed. It names the bound as policies do, and returns an empty string if no
// bound is exceeded.
func (b Bounds) describeExceeded(counts RequestCounts) string {
	describe := func(decision string, share, bound float64) string {
		return fmt.Sprintf("%.3f of the tasks %s, at most %.3f may be", share, decision, bound)
	}
	rejected, shed := ratio(counts.Rejected, counts.Requests), ratio(counts.Shed, counts.Requests)
	switch {
	case rejected > b.Rejected:
		return describe("refused", rejected, b.Rejected)
	case shed > b.Shed:
		return describe("held", shed, b.Shed)
	}
	return ""
}

// rehearsalReport describes the result of a rehearsal, and reports whether it exceeded the proposal's bounds.
func (v *voter) rehearsalReport(p *LoggedProposal, text *policyText) (report string, exceeded bool) {
	list := v.countsFor(p.ID)
	total := sumCounts(list)
	report = fmt.Sprintf("rehearsed by %d members: of %d tasks %d classed, %d refused and %d held that are not now", len(list), total.Requests, total.Classified, total.Rejected, total.Shed)
	if text == nil || text.parameters.RehearsalBounds == (Bounds{}) || total.Requests < minRequestsForBounds {
		return report, false
	}
	exceededBound := text.parameters.RehearsalBounds.describeExceeded(total)
	if exceededBound == "" {
		return report, false
	}
	return report + "; guard: " + exceededBound, true
}

// watchProbation proposes a rollback once the policy on probation exceeds its bounds, and ends the probation after its time. The rollback
// is an ordinary proposal, except that it has no probation of its own.
func (v *voter) watchProbation(c *Core) {
	leader, probation := v.leadership, v.table.Probation
	if probation == nil {
		return
	}
	if leader.probation.number != probation.Number {
		leader.probation = probationWatch{probation.Number, c.now}
	}
	text := c.policies.find(v.table.Digest)
	if text == nil || text.state != textUsable || v.table.Proposal != nil {
		return
	}
	total := sumCounts(v.countsFor(probation.Number))
	exceeded := text.parameters.ProbationBounds.describeExceeded(total)
	previous := v.table.pastPolicy(probation.RollbackTo)
	canRollBack := previous != nil || probation.RollbackTo == 0
	if exceeded != "" && total.Requests >= minRequestsForBounds && canRollBack {
		v.rollBack(c, probation, previous, exceeded)
		return
	}
	if c.now-leader.probation.since >= text.parameters.Probation {
		v.appendEntry(c, &logEntry{ProbationPassed: probation.Number})
	}
}

func (v *voter) rollBack(c *Core, probation *Probation, previous *PastPolicy, reason string) {
	p := &LoggedProposal{
		ID: c.random.Uint64() | 1, Kind: KindRollback, By: c.name, BaseNumber: v.table.Number, RollbackTo: probation.RollbackTo, Automatic: true,
	}
	if previous != nil {
		p.Digest, p.Size = previous.Digest, previous.Size
	}
	if v.appendEntry(c, &logEntry{Proposal: p}) {
		c.host.LogEvent(PolicyRolledBack, "number", probation.Number, "to", probation.RollbackTo, "why", reason)
	}
}
