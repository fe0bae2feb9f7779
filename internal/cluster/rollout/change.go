package rollout

import (
	"fmt"
	"strings"
)

const (
	maxNamedMembers  = 3
	maxProgressBytes = 200
	// A proposal that waits for its text and isn't repeated is forgotten after this long.
	waitingProposalLifetime = 10 * second
	// Beside the times that a proposal must wait, it may stay open for this long, and for this many leases, for some attempts to switch.
	extraProposalTime   = 10 * second
	extraProposalLeases = 3
)

// advanceProposal takes the open proposal as far as it can go.
func (v *voter) advanceProposal(c *Core) {
	leader, p := v.leadership, v.table.Proposal
	if leader == nil || p == nil || leader.behind {
		return
	}
	text := c.policies.find(p.Digest)
	if text == nil || text.state == textMissing {
		v.fetchProposal(c, p)
	}
	if leader.change.phase < deciding {
		if reason := v.failure(c, text); reason != "" {
			v.appendDrop(c, OutcomeDropped, reason)
			return
		}
	}
	switch leader.change.phase {
	case preparing:
		if v.allPrepared(c) && text != nil && text.state == textUsable {
			v.endPreparing(c, p, text)
		}
	case rehearsing:
		if c.now-leader.change.phaseSince >= max(p.RehearsalLength, text.terms.RehearsalLength) {
			v.endRehearsal(c, p, text)
		}
	case switching:
		v.advanceSwitch(c, p, text)
	case deciding:
		v.appendDecision(c, text)
	}
}

func (v *voter) fetchProposal(c *Core, p *LoggedProposal) {
	sources := []string{p.By}
	for i := range v.leadership.holders {
		if h := &v.leadership.holders[i]; h.request.ReadyFor == p.ID {
			sources = append(sources, h.name)
		}
	}
	c.policies.fetch(c, p.Digest, p.Size, sources)
}

// failure is why the open proposal can't take hold: a member that is heard can't follow it, or its time is over. Empty: it may.
func (v *voter) failure(c *Core, text *policyText) string {
	leader, p := v.leadership, v.table.Proposal
	for i := range leader.holders {
		if h := &leader.holders[i]; h.request.Unsupported == p.ID && v.isHeard(c, h) {
			return fmt.Sprintf("%s: %s", h.name, h.request.Reason)
		}
	}
	if c.now-leader.change.openedAt >= v.proposalTimeout(c, text) {
		return "it could not take hold in time: " + v.describeProgress(c)
	}
	return ""
}

// isHeard tells whether a member has sent a request within a lease's time.
func (v *voter) isHeard(c *Core, h *leaseHolder) bool {
	return c.now-h.lastHeardAt < v.table.LeaseDuration
}

// proposalTimeout is how long a proposal may stay open: the time to prepare it, the longest lease that may have to end, its rehearsal, and
// some attempts to switch.
func (v *voter) proposalTimeout(c *Core, text *policyText) Time {
	longest := c.config.leaseMargin(max(v.table.LeaseDuration, v.table.Overlap))
	timeout := c.config.PrepareTimeout + extraProposalLeases*longest + extraProposalTime + v.table.Proposal.RehearsalLength
	if text != nil {
		timeout += text.terms.RehearsalLength
	}
	return timeout
}

// endPreparing begins the rehearsal, if there is to be one, or the switch.
func (v *voter) endPreparing(c *Core, p *LoggedProposal, text *policyText) {
	leader := v.leadership
	if !leader.change.rehearsed && max(p.RehearsalLength, text.terms.RehearsalLength) > 0 {
		v.enterPhase(c, rehearsing)
		v.broadcast(c)
		return
	}
	c.host.LogEvent(SwitchStarted, "proposal", proposalName(p.ID), "number", v.table.Number+1)
	v.enterPhase(c, switching)
	for i := range leader.holders {
		if h := &leader.holders[i]; h.leaseClearAt > c.now {
			v.sendYield(c, h)
		}
	}
	v.advanceProposal(c)
}

// endRehearsal ends a proposal that was only to be rehearsed, or whose rehearsal passed its bounds, and goes on with any other.
func (v *voter) endRehearsal(c *Core, p *LoggedProposal, text *policyText) {
	v.leadership.change.rehearsed = true
	report, worse := v.rehearsalReport(p, text)
	v.enterPhase(c, preparing)
	switch {
	case p.Kind == KindRehearsal:
		v.appendDrop(c, OutcomeRehearsed, report)
	case worse:
		v.appendDrop(c, OutcomeDropped, report)
	default:
		v.broadcast(c)
		v.advanceProposal(c)
	}
}

// advanceSwitch has the proposal decided once no lease runs. Members that don't give theirs up in time are excluded, and leases on the
// policy in force are granted again.
func (v *voter) advanceSwitch(c *Core, p *LoggedProposal, text *policyText) {
	leader := v.leadership
	var holding []*leaseHolder
	for i := range leader.holders {
		if h := &leader.holders[i]; h.leaseClearAt > c.now {
			holding = append(holding, h)
		}
	}
	if len(holding) == 0 {
		v.enterPhase(c, deciding)
		v.appendDecision(c, text)
		return
	}
	if c.now-leader.change.phaseSince < YieldTimeout {
		return
	}
	for _, h := range holding {
		h.exclude(c, p)
	}
	c.host.LogEvent(SwitchAbandoned, "proposal", proposalName(p.ID), "number", v.table.Number)
	v.enterPhase(c, preparing)
	v.confirmLeadership(c)
}

// exclude has a member get no lease until it is known to hear.
func (h *leaseHolder) exclude(c *Core, p *LoggedProposal) {
	h.excluded, h.excludedSeq = true, h.seq
	c.host.LogEvent(MemberExcluded, "member", h.name, "proposal", proposalName(p.ID))
}

func (v *voter) enterPhase(c *Core, next phase) {
	v.leadership.change.phase, v.leadership.change.phaseSince = next, c.now
}

func (v *voter) appendDecision(c *Core, text *policyText) {
	probation := text != nil && text.terms.Probation > 0
	v.appendEntry(c, &logEntry{Decide: &decision{v.table.Proposal.ID, c.host.UnixSeconds(), probation}})
}

func (v *voter) appendDrop(c *Core, outcome Outcome, reason string) {
	v.appendEntry(c, &logEntry{Drop: &ProposalEnd{ID: v.table.Proposal.ID, Outcome: outcome, Reason: reason}})
}

// allPrepared tells whether all members that are heard are ready for the proposal, a majority of the voters among them, and no other
// member can hold a lease, or an overlap with an earlier proposal, any more. It excludes members that are not ready in time.
func (v *voter) allPrepared(c *Core) bool {
	leader, p := v.leadership, v.table.Proposal
	if c.now < leader.leasesClearAt || c.now < v.overlapsClearAt(c) {
		return false
	}
	all := true
	voters := 0
	for i := range leader.holders {
		h := &leader.holders[i]
		if !v.isPrepared(c, h, p) {
			all = false
		}
		if h.isReady(p) && v.isHeard(c, h) && v.table.voterNamed(h.name) != nil {
			voters++
		}
	}
	return all && 2*voters > len(v.table.Voters)
}

// isReady tells whether a member can follow a proposal and is to take part in it.
func (h *leaseHolder) isReady(p *LoggedProposal) bool {
	return h.request.ReadyFor == p.ID && !h.excluded
}

// isPrepared tells whether the proposal need not wait for a member.
func (v *voter) isPrepared(c *Core, h *leaseHolder, p *LoggedProposal) bool {
	hasOtherOverlap := h.overlapClearAt > c.now && h.overlapWith != p.ID && c.config.Mutation != IgnoreOverlap
	heard := v.isHeard(c, h)
	if h.isReady(p) {
		needsOverlap := p.Overlap > 0 && p.Kind != KindRehearsal && h.overlapWith != p.ID && heard
		return !hasOtherOverlap && !needsOverlap
	}
	if h.excluded || !heard {
		return !hasOtherOverlap && h.leaseClearAt <= c.now
	}
	if c.now-v.leadership.change.openedAt >= c.config.PrepareTimeout {
		h.exclude(c, p)
	}
	return false
}

// overlapsClearAt is when all overlaps that earlier leaders granted have ended.
func (v *voter) overlapsClearAt(c *Core) Time {
	if v.table.Overlap == 0 || c.config.Mutation == IgnoreOverlap || c.config.Mutation == SkipLeaseWait {
		return v.leadership.startedAt
	}
	return v.leadership.startedAt + c.config.leaseMargin(v.table.Overlap)
}

// String is how operators read a phase.
func (p phase) String() string {
	return [...]string{preparing: "being taken", rehearsing: "rehearsed", switching: "switching", deciding: "being decided"}[p]
}

// describeProgress says for operators how far a change is.
func (v *voter) describeProgress(c *Core) string {
	leader, p := v.leadership, v.table.Proposal
	switch {
	case leader.behind:
		return "behind: somebody has gone by more than the voters know; policy force is the way out"
	case p == nil && v.table.Probation != nil:
		return fmt.Sprintf("number %d is on probation", v.table.Number)
	case p == nil:
		return ""
	}
	ready := 0
	var notReady []string
	longest := max(leader.leasesClearAt, v.overlapsClearAt(c)) - c.now
	for i := range leader.holders {
		h := &leader.holders[i]
		if h.isReady(p) {
			ready++
			continue
		}
		if len(notReady) < maxNamedMembers {
			notReady = append(notReady, h.name)
		}
		longest = max(longest, h.leaseClearAt-c.now)
	}
	text := fmt.Sprintf("%s: %d of %d ready", leader.change.phase, ready, len(leader.holders))
	if len(notReady) > 0 {
		text += fmt.Sprintf("; not %s", strings.Join(notReady, ", "))
	}
	if longest > 0 && leader.change.phase == preparing {
		text += fmt.Sprintf("; leases end in %.1f s", float64(longest)/float64(second))
	}
	return truncate(text, maxProgressBytes)
}
