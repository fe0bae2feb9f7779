package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// judge has the change go on, as far as it can.
func (v *voter) advanceProposal(c *Core) {
	l, p := v.leadership, v.table.Proposal
	if l == nil || p == nil || l.behind {
		return
	}
	t := c.policies.find(p.Digest)
	if t == nil || t.state == textMissing {
		from := []string{p.By}
		for i := range l.holders {
			if l.holders[i].request.ReadyFor == p.ID {
				from = append(from, l.holders[i].name)
			}
		}
		c.policies.fetch(c, p.Digest, p.Size, from)
	}
	for i := range l.holders {
		if g := &l.holders[i]; g.request.Unsupported == p.ID && c.now-g.lastHeardAt < v.table.LeaseDuration && l.phase < deciding {
			v.appendDrop(c, OutcomeDropped, fmt.Sprintf("%s: %s", g.name, g.request.Reason))
			return
		}
	}
	if c.now-l.proposalOpenedAt >= v.proposalTimeout(c, t) && l.phase < deciding {
		v.appendDrop(c, OutcomeDropped, "it could not take hold in time: "+v.describeProgress(c))
		return
	}
	switch l.phase {
	case preparing:
		if v.allPrepared(c) && t != nil && t.state == textUsable {
			switch length := max(p.RehearsalLength, t.terms.RehearsalLength); {
			case length > 0 && !l.rehearsed:
				l.rehearsalCounts = v.countsFor(p.ID)
				v.enterPhase(c, rehearsing)
				v.broadcast(c)
			default:
				c.host.LogEvent(SwitchStarted, "proposal", proposalName(p.ID), "number", v.table.Number+1)
				v.enterPhase(c, switching)
				for i := range l.holders {
					if g := &l.holders[i]; g.leaseClearAt > c.now {
						v.sendYield(c, g)
					}
				}
				v.advanceProposal(c)
			}
		}
	case rehearsing:
		if c.now-l.phaseSince >= max(p.RehearsalLength, t.terms.RehearsalLength) {
			l.rehearsed = true
			report, worse := v.rehearsalReport(c, p, t)
			v.enterPhase(c, preparing)
			if worse || p.Kind == KindRehearsal {
				how := OutcomeDropped
				if p.Kind == KindRehearsal {
					how = OutcomeRehearsed
				}
				v.appendDrop(c, how, report)
				return
			}
			v.broadcast(c)
			v.advanceProposal(c)
		}
	case switching:
		held := 0
		for i := range l.holders {
			if l.holders[i].leaseClearAt > c.now {
				held++
			}
		}
		switch {
		case held == 0:
			v.enterPhase(c, deciding)
			v.appendDecision(c, t)
		case c.now-l.phaseSince >= YieldTimeout:
			for i := range l.holders {
				if g := &l.holders[i]; g.leaseClearAt > c.now {
					g.excluded, g.excludedSeq = true, g.seq
					c.host.LogEvent(MemberExcluded, "member", g.name, "proposal", proposalName(p.ID))
				}
			}
			c.host.LogEvent(SwitchAbandoned, "proposal", proposalName(p.ID), "number", v.table.Number)
			v.enterPhase(c, preparing)
			v.confirmLeadership(c)
		}
	case deciding:
		v.appendDecision(c, t)
	}
}

func (v *voter) enterPhase(c *Core, to phase) {
	v.leadership.phase, v.leadership.phaseSince = to, c.now
}

func (v *voter) appendDecision(c *Core, t *policyText) {
	p := v.table.Proposal
	v.appendEntry(c, "decide", &logEntry{Decide: &decision{p.ID, c.host.UnixSeconds(), t != nil && t.terms.Probation > 0}})
}

func (v *voter) appendDrop(c *Core, how Outcome, why string) {
	v.appendEntry(c, "drop", &logEntry{Drop: &ProposalEnd{ID: v.table.Proposal.ID, Outcome: how, Reason: why}})
}

// taken tells whether all that are heard have taken the proposal, and none of the others can hold a lease, or go by another pair of
// policies, any more.
func (v *voter) allPrepared(c *Core) bool {
	l, p := v.leadership, v.table.Proposal
	if c.now < l.leasesClearAt || c.now < v.overlapClearAt(c) {
		return false
	}
	all := true
	voters := 0
	for i := range l.holders {
		g := &l.holders[i]
		if g.overlapClearAt > c.now && g.overlapWith != p.ID && c.config.Mutation != IgnoreOverlap {
			all = false
		}
		if g.request.ReadyFor == p.ID && !g.excluded {
			if p.Overlap > 0 && p.Kind != KindRehearsal && g.overlapWith != p.ID && c.now-g.lastHeardAt < v.table.LeaseDuration {
				all = false // it is to have that first
			}
			if k := v.table.voterNamed(g.name); k != nil && c.now-g.lastHeardAt < v.table.LeaseDuration {
				voters++
			}
			continue
		}
		if g.leaseClearAt > c.now {
			all = false
		}
		if !g.excluded && c.now-g.lastHeardAt < v.table.LeaseDuration {
			all = false
			if c.now-l.proposalOpenedAt >= c.config.PrepareTimeout {
				g.excluded, g.excludedSeq = true, g.seq
				c.host.LogEvent(MemberExcluded, "member", g.name, "proposal", proposalName(p.ID))
			}
		}
	}
	return all && 2*voters > len(v.table.Voters)
}

// clearBoth is when all that leaders before this one let go by two policies have ended that.
func (v *voter) overlapClearAt(c *Core) Time {
	if v.table.Overlap == 0 || c.config.Mutation == IgnoreOverlap || c.config.Mutation == SkipLeaseWait {
		return v.leadership.startedAt
	}
	return v.leadership.startedAt + c.config.leaseMargin(v.table.Overlap)
}

// state says how far a change is.
func (v *voter) describeProgress(c *Core) string {
	l, p := v.leadership, v.table.Proposal
	switch {
	case l.behind:
		return "behind: somebody has gone by more than the voters know; policy force is the way out"
	case p == nil && v.table.Probation != nil:
		return fmt.Sprintf("number %d is on probation", v.table.Number)
	case p == nil:
		return ""
	}
	ready, silent := 0, []string{}
	var longest Time
	for i := range l.holders {
		g := &l.holders[i]
		if g.request.ReadyFor == p.ID && !g.excluded {
			ready++
		} else if len(silent) < 3 {
			silent = append(silent, g.name)
		}
		if g.request.ReadyFor != p.ID || g.excluded {
			longest = max(longest, g.leaseClearAt-c.now)
		}
	}
	s := fmt.Sprintf("%s: %d of %d ready", [...]string{"being taken", "rehearsed", "switching", "being decided"}[l.phase], ready, len(l.holders))
	if len(silent) > 0 {
		s += fmt.Sprintf("; not %s", strings.Join(silent, ", "))
	}
	if wait := max(longest, l.leasesClearAt-c.now, v.overlapClearAt(c)-c.now); wait > 0 && l.phase == preparing {
		s += fmt.Sprintf("; leases end in %.1f s", float64(wait)/float64(second))
	}
	return truncate(s, 200)
}

// applied takes in what the log has decided.
func (v *voter) entryApplied(c *Core, b []byte) {
	var e logEntry
	if unmarshal(b, &e) != nil {
		return // of another build; all of this one pass it over alike
	}
	was, ends := v.table.Number, len(v.table.Ends)
	var last ProposalEnd
	if ends > 0 {
		last = v.table.Ends[ends-1]
	}
	open := v.table.Proposal
	v.table.apply(&e)
	if n := len(v.table.Ends); n > 0 && v.table.Ends[n-1] != last {
		end := v.table.Ends[n-1]
		code := map[Outcome]EventCode{OutcomeDecided: ProposalDecided, OutcomeDropped: ProposalDropped, OutcomeRehearsed: ProposalDropped, OutcomeRejected: ProposalRejected}[end.Outcome]
		c.host.LogEvent(code, "proposal", proposalName(end.ID), "number", v.table.Number, "digest", v.table.Digest.String(), "how", end.Outcome.String(), "why", end.Reason)
	}
	if v.table.Proposal != open && v.table.Proposal != nil {
		p := v.table.Proposal
		c.host.LogEvent(ProposalOpened, "proposal", proposalName(p.ID), "kind", p.Kind.String(), "digest", p.Digest.String(), "by", p.By)
	}
	v.deleteUnusedPolicies(c)
	l := v.leadership
	if l == nil {
		return
	}
	if open != nil && v.table.Proposal == nil { // who made it waits
		c.send(open.By, Message{ProposalReply: v.table.proposalReply(open.ID)})
	}
	l.pendingEntry = ""
	if v.table.Proposal != open {
		if l.phase == deciding && v.table.Number != was { // by this leader, not one before it: so nobody knows of anything later
			l.proved = true
		}
		l.proposalOpenedAt, l.rehearsed = c.now, false
		v.enterPhase(c, preparing)
		if v.table.Number != was { // all that gave up what they held wait for this
			for i := range l.holders {
				l.holders[i].excluded = l.holders[i].excluded && l.holders[i].leaseClearAt > c.now
			}
			v.confirmLeadership(c)
		} else {
			v.broadcast(c)
			v.confirmLeadership(c)
		}
		v.advanceProposal(c)
	}
}

// proposed takes in a member's proposal.
func (v *voter) handleProposal(c *Core, m *Message) {
	p, l := *m.ProposalRequest, v.leadership
	answer := func(t *ProposalReply) { c.send(m.from, Message{ProposalReply: t}) }
	if l == nil {
		if n := v.leaderName(); n != "" && n != c.name {
			answer(&ProposalReply{ID: p.ID, Leader: n})
		}
		return
	}
	if t := v.table.proposalReply(p.ID); t != nil {
		if t.Outcome == OutcomePending {
			t.Reason = v.describeProgress(c)
		}
		answer(t)
		return
	}
	if p.Kind == KindRollback && p.RollbackTo == 0 {
		p.Digest, p.Size = Digest{}, 0
	} else if p.Kind == KindRollback {
		a := v.table.pastPolicy(p.RollbackTo)
		if a == nil {
			answer(&ProposalReply{ID: p.ID, Outcome: OutcomeRejected, Reason: fmt.Sprintf("number %d is not among the last %d", p.RollbackTo, maxPastPolicies)})
			return
		}
		p.Digest, p.Size = a.Digest, a.Size
	}
	if (p.Digest != Digest{}) && (p.Size <= 0 || p.Size > MaxPolicyBytes) {
		answer(&ProposalReply{ID: p.ID, Outcome: OutcomeRejected, Reason: fmt.Sprintf("expected a policy of 1 to %d bytes, found %d", MaxPolicyBytes, p.Size)})
		return
	}
	answer(&ProposalReply{ID: p.ID})
	if i := slices.IndexFunc(l.waiting, func(w waitingProposal) bool { return w.ID == p.ID }); i >= 0 {
		l.waiting[i].lastHeardAt = c.now
	} else if len(l.waiting) < maxWaitingProposals {
		l.waiting = append(l.waiting, waitingProposal{m.from, p, c.now})
	}
	c.policies.fetch(c, p.Digest, p.Size, []string{m.from})
	if t := c.policies.find(p.Digest); t != nil && t.state == textMissing {
		if body := c.host.LoadPolicy(p.Digest); len(body) > 0 && DigestOf(body) == p.Digest {
			c.policies.add(c, p.Digest, body, true)
		}
	}
	v.openWaitingProposals(c)
}

// admit has the log open the first proposal whose text is there.
func (v *voter) openWaitingProposals(c *Core) {
	l := v.leadership
	l.waiting = slices.DeleteFunc(l.waiting, func(w waitingProposal) bool {
		t := c.policies.find(w.Digest)
		switch {
		case v.table.knows(w.ID) || c.now-w.lastHeardAt >= 10*second:
			return true
		case t != nil && t.state == textUnusable:
			c.send(w.from, Message{ProposalReply: &ProposalReply{ID: w.ID, Outcome: OutcomeRejected, Reason: c.name + ": " + t.reason}})
			return c.now-w.lastHeardAt >= second
		case t != nil && t.state == textUsable && l.pendingEntry == "":
			p := &LoggedProposal{ID: w.ID, Digest: w.Digest, Size: w.Size, Kind: w.Kind, By: w.from, BaseNumber: w.BaseNumber, RollbackTo: w.RollbackTo, RehearsalLength: w.RehearsalLength, Overlap: t.terms.Overlap}
			v.appendEntry(c, "open", &logEntry{Proposal: p})
		}
		return false
	})
}

// shelved takes in that a text was looked at.
func (v *voter) policyChecked(c *Core) {
	if v.leadership != nil {
		v.openWaitingProposals(c)
		v.advanceProposal(c)
	}
}

// needs tells whether the voters need a text at hand.
func (v *voter) needsPolicy(d Digest) bool {
	if p := v.table.Proposal; p != nil && p.Digest == d {
		return true
	}
	return v.leadership != nil && slices.ContainsFunc(v.leadership.waiting, func(w waitingProposal) bool { return w.Digest == d })
}
