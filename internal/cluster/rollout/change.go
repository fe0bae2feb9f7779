package rollout

import (
	"fmt"
	"strings"
)

const (
	maxNamedMembers  = 3
	maxProgressBytes = 200
	// waitingProposalLifetime is how long the leader keeps a proposal that waits for its text after the member last repeated it.
	waitingProposalLifetime = 10 * second
	// extraProposalTime and extraProposalLeases, a number of lease lengths, extend the time for which a proposal may stay open, so that the
	// leader can wait until old leases expire and can retry the switch.
	extraProposalTime   = 10 * second
	extraProposalLeases = 3
)

// advanceProposal moves the open proposal through its phases as far as is possible now.
func (v *voter) advanceProposal(c *Core) {
	leader, p := v.leadership, v.table.Proposal
	if leader == nil || p == nil || leader.votersBehind {
		return
	}
	text := c.policies.find(p.Digest)
	if text == nil || text.state == textMissing {
		v.fetchProposal(c, p)
	}
	if leader.change.phase < deciding {
		if reason := v.dropReason(c, text); reason != "" {
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
		if c.now-leader.change.phaseSince >= max(p.RehearsalLength, text.parameters.RehearsalLength) {
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

// dropReason returns why the open proposal must be dropped: a member that the leader receives requests from can't follow it, or it has
// been open for too long. It returns an empty string if the proposal can go on.
func (v *voter) dropReason(c *Core, text *policyText) string {
	leader, p := v.leadership, v.table.Proposal
	for i := range leader.holders {
		if h := &leader.holders[i]; h.request.Unsupported == p.ID && v.hasRecentRequest(c, h) {
			return fmt.Sprintf("%s: %s", h.name, h.request.Reason)
		}
	}
	if c.now-leader.change.openedAt >= v.proposalTimeout(c, text) {
		return "it could not take hold in time: " + v.describeProgress(c)
	}
	return ""
}

// hasRecentRequest reports whether a member has sent a request within the length of a lease.
func (v *voter) hasRecentRequest(c *Core, h *leaseHolder) bool {
	return c.now-h.lastRequestAt < v.table.LeaseDuration
}

// proposalTimeout returns how long the proposal may stay open: the time to prepare it, the time for old leases and overlaps to expire, its
// rehearsal, and time for several attempts to switch.
func (v *voter) proposalTimeout(c *Core, text *policyText) Time {
	longest := c.config.leaseMargin(max(v.table.LeaseDuration, v.table.Overlap))
	timeout := c.config.PrepareTimeout + extraProposalLeases*longest + extraProposalTime + v.table.Proposal.RehearsalLength
	if text != nil {
		timeout += text.parameters.RehearsalLength
	}
	return timeout
}

// endPreparing starts the rehearsal if one is required and hasn't run yet, otherwise the switch.
func (v *voter) endPreparing(c *Core, p *LoggedProposal, text *policyText) {
	leader := v.leadership
	if !leader.change.rehearsed && max(p.RehearsalLength, text.parameters.RehearsalLength) > 0 {
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

// endRehearsal drops the proposal if it was only a rehearsal, or if the rehearsal exceeded the bounds. Any other proposal goes on.
func (v *voter) endRehearsal(c *Core, p *LoggedProposal, text *policyText) {
	v.leadership.change.rehearsed = true
	report, exceeded := v.rehearsalReport(p, text)
	v.enterPhase(c, preparing)
	switch {
	case p.Kind == KindRehearsal:
		v.appendDrop(c, OutcomeRehearsed, report)
	case exceeded:
		v.appendDrop(c, OutcomeDropped, report)
	default:
		v.broadcast(c)
		v.advanceProposal(c)
	}
}

// advanceSwitch has the proposal decided once no lease is running. If some members don't give up their leases within YieldTimeout, it
// excludes them and grants leases on the policy in force again.
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

// exclude denies a member leases until the member has received a reply to a request that it sends after this call. A decision also ends the
// exclusion if the member's lease has ended.
func (h *leaseHolder) exclude(c *Core, p *LoggedProposal) {
	h.excluded, h.excludedSeq = true, h.seq
	c.host.LogEvent(MemberExcluded, "member", h.name, "proposal", proposalName(p.ID))
}

func (v *voter) enterPhase(c *Core, next phase) {
	v.leadership.change.phase, v.leadership.change.phaseSince = next, c.now
}

func (v *voter) appendDecision(c *Core, text *policyText) {
	probation := text != nil && text.parameters.Probation > 0
	v.appendEntry(c, &logEntry{Decide: &decision{v.table.Proposal.ID, c.host.UnixSeconds(), probation}})
}

func (v *voter) appendDrop(c *Core, outcome Outcome, reason string) {
	v.appendEntry(c, &logEntry{Drop: &ProposalEnd{ID: v.table.Proposal.ID, Outcome: outcome, Reason: reason}})
}

// allPrepared reports whether the switch may start. All members that send requests must be ready for the proposal, among them a majority
// of the voters, and no other member may still hold a lease, or an overlap with an earlier proposal. Members that are not ready within
// PrepareTimeout are excluded.
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
		if h.isReady(p) && v.hasRecentRequest(c, h) && v.table.voterNamed(h.name) != nil {
			voters++
		}
	}
	return all && 2*voters > len(v.table.Voters)
}

// isReady reports whether a member can follow the proposal and is not excluded.
func (h *leaseHolder) isReady(p *LoggedProposal) bool {
	return h.request.ReadyFor == p.ID && !h.excluded
}

// isPrepared reports whether the proposal need not wait for a member. Either the member is ready and has the overlap that it needs, or it
// is unreachable or excluded and can't hold a lease any more. In both cases it must not have the overlap of another proposal. isPrepared
// excludes a member that was not ready within PrepareTimeout.
func (v *voter) isPrepared(c *Core, h *leaseHolder, p *LoggedProposal) bool {
	hasOtherOverlap := h.overlapClearAt > c.now && h.overlapWith != p.ID && c.config.Mutation != IgnoreOverlap
	heard := v.hasRecentRequest(c, h)
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

// overlapsClearAt returns the time by which all overlaps that earlier leaders granted have ended.
func (v *voter) overlapsClearAt(c *Core) Time {
	if v.table.Overlap == 0 || c.config.Mutation == IgnoreOverlap || c.config.Mutation == SkipLeaseWait {
		return v.leadership.startedAt
	}
	return v.leadership.startedAt + c.config.leaseMargin(v.table.Overlap)
}

// String returns the phase as shown to operators.
func (p phase) String() string {
	return [...]string{preparing: "being taken", rehearsing: "rehearsed", switching: "switching", deciding: "being decided"}[p]
}

// describeProgress describes the progress of the open proposal for operators. It is empty if there is nothing to report.
func (v *voter) describeProgress(c *Core) string {
	leader, p := v.leadership, v.table.Proposal
	switch {
	case leader.votersBehind:
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
