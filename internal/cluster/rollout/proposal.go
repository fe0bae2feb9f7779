package rollout

import (
	"fmt"
	"slices"
)

// entryApplied applies a decided entry of the log. An entry that can't be decoded was written by another version of this program; every
// voter ignores it, so that their tables stay equal.
func (v *voter) entryApplied(c *Core, encoded []byte) {
	var e logEntry
	if unmarshal(encoded, &e) != nil {
		return
	}
	number, proposal, lastEnd := v.table.Number, v.table.Proposal, v.table.lastProposalEnd()
	v.table.apply(&e)
	if end := v.table.lastProposalEnd(); end != lastEnd {
		v.logProposalEnd(c, end)
	}
	changed := v.table.Proposal != proposal
	if p := v.table.Proposal; changed && p != nil {
		c.host.LogEvent(ProposalOpened, "proposal", proposalName(p.ID), "kind", p.Kind.String(), "digest", p.Digest.String(), "by", p.By)
	}
	v.deleteUnusedPolicies(c)
	if v.leadership == nil {
		return
	}
	if proposal != nil && v.table.Proposal == nil {
		c.send(proposal.By, Message{ProposalReply: v.table.proposalReply(proposal.ID)})
	}
	v.leadership.pending.appended = false
	if changed {
		v.proposalChanged(c, v.table.Number != number)
	}
}

// proposalChanged resets the leader's progress after a proposal was opened, decided or dropped.
func (v *voter) proposalChanged(c *Core, decided bool) {
	leader := v.leadership
	if decided && leader.change.phase == deciding { // this leader decided it, so no member can know of a later policy
		leader.latestVerified = true
	}
	leader.change.openedAt, leader.change.rehearsed = c.now, false
	v.enterPhase(c, preparing)
	if decided {
		for i := range leader.holders {
			h := &leader.holders[i]
			h.excluded = h.excluded && h.leaseClearAt > c.now
		}
	} else {
		v.broadcast(c)
	}
	v.confirmLeadership(c) // replies to the requests that waited for the decision
	v.advanceProposal(c)
}

func (v *voter) logProposalEnd(c *Core, end ProposalEnd) {
	code := ProposalDropped
	switch end.Outcome {
	case OutcomeDecided:
		code = ProposalDecided
	case OutcomeRejected:
		code = ProposalRejected
	}
	c.host.LogEvent(code, "proposal", proposalName(end.ID), "number", v.table.Number, "digest", v.table.Digest.String(), "how", end.Outcome.String(), "why", end.Reason)
}

// handleProposal processes a member's proposal. A leader lets it wait until its text is here. Another voter replies with the leader's name.
func (v *voter) handleProposal(c *Core, m *Message) {
	request, leader := *m.ProposalRequest, v.leadership
	reply := func(r *ProposalReply) { c.send(m.from, Message{ProposalReply: r}) }
	if leader == nil {
		if name := v.leaderName(); name != "" && name != c.name {
			reply(&ProposalReply{ID: request.ID, Leader: name})
		}
		return
	}
	if known := v.table.proposalReply(request.ID); known != nil {
		if known.Outcome == OutcomePending {
			known.Reason = v.describeProgress(c)
		}
		reply(known)
		return
	}
	if reason := v.resolveProposal(&request); reason != "" {
		reply(&ProposalReply{ID: request.ID, Outcome: OutcomeRejected, Reason: reason})
		return
	}
	reply(&ProposalReply{ID: request.ID})
	leader.addWaiting(m.from, request, c.now)
	c.policies.fetch(c, request.Digest, request.Size, []string{m.from})
	if text := c.policies.find(request.Digest); text != nil && text.state == textMissing {
		if body := c.host.LoadPolicy(request.Digest); len(body) > 0 && DigestOf(body) == request.Digest {
			c.policies.add(c, request.Digest, body, true)
		}
	}
	v.openWaitingProposals(c)
}

// resolveProposal sets the digest and size of a rollback's policy. It returns why the proposal is rejected, or an empty string.
func (v *voter) resolveProposal(request *ProposalRequest) (reason string) {
	if request.Kind == KindRollback {
		request.Digest, request.Size = Digest{}, 0
		if request.RollbackTo != 0 {
			past := v.table.pastPolicy(request.RollbackTo)
			if past == nil {
				return fmt.Sprintf("number %d is not among the last %d", request.RollbackTo, maxPastPolicies)
			}
			request.Digest, request.Size = past.Digest, past.Size
		}
	}
	if request.Digest != (Digest{}) && (request.Size <= 0 || request.Size > MaxPolicyBytes) {
		return fmt.Sprintf("expected a policy of 1 to %d bytes, found %d", MaxPolicyBytes, request.Size)
	}
	return ""
}

// addWaiting adds a proposal to those that wait for their texts, or extends its waiting time if it is there already.
func (l *leadership) addWaiting(from string, request ProposalRequest, now Time) {
	i := slices.IndexFunc(l.waiting, func(w waitingProposal) bool { return w.ID == request.ID })
	if i >= 0 {
		l.waiting[i].lastReceivedAt = now
		return
	}
	if len(l.waiting) < maxWaitingProposals {
		l.waiting = append(l.waiting, waitingProposal{from, request, now})
	}
}

// openWaitingProposals appends the first waiting proposal whose text is usable to the log, unless an entry is pending. It rejects those
// whose text is unusable.
func (v *voter) openWaitingProposals(c *Core) {
	leader := v.leadership
	leader.waiting = slices.DeleteFunc(leader.waiting, func(w waitingProposal) bool {
		if v.table.isKnown(w.ID) || c.now-w.lastReceivedAt >= waitingProposalLifetime {
			return true
		}
		text := c.policies.find(w.Digest)
		switch {
		case text == nil:
		case text.state == textUnusable:
			reason := c.name + ": " + text.reason
			c.send(w.from, Message{ProposalReply: &ProposalReply{ID: w.ID, Outcome: OutcomeRejected, Reason: reason}})
			return c.now-w.lastReceivedAt >= second
		case text.state == textUsable && !leader.pending.appended:
			v.appendEntry(c, &logEntry{Proposal: &LoggedProposal{
				ID: w.ID, Digest: w.Digest, Size: w.Size, Kind: w.Kind, By: w.from, BaseNumber: w.BaseNumber, RollbackTo: w.RollbackTo,
				RehearsalLength: w.RehearsalLength, Overlap: text.parameters.Overlap,
			}})
		}
		return false
	})
}

// policyChecked continues the work of a leader that may have waited for the check of a text.
func (v *voter) policyChecked(c *Core) {
	if v.leadership != nil {
		v.openWaitingProposals(c)
		v.advanceProposal(c)
	}
}

// needsPolicy reports whether the voter needs a policy's text in memory, for the open proposal or a waiting one.
func (v *voter) needsPolicy(digest Digest) bool {
	if p := v.table.Proposal; p != nil && p.Digest == digest {
		return true
	}
	return v.leadership != nil && slices.ContainsFunc(v.leadership.waiting, func(w waitingProposal) bool { return w.Digest == digest })
}
