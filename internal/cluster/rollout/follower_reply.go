package rollout

import "slices"

// handleReply processes a voter's reply, or a leader's message that answers no request.
func (f *follower) handleReply(c *Core, m *Message) {
	reply := m.LeaseReply
	if reply.Leader != m.from { // the sender doesn't lead and names the leader, if it knows one
		if reply.Leader != "" && reply.Leader != f.leader {
			f.leader, f.nextRequestAt = reply.Leader, c.now
		}
		return
	}
	if reply.Decided.Era < f.decided.Era {
		f.notifyOldEra(c, m.from)
		return
	}
	if len(reply.Voters) > 0 {
		f.voters, f.wantedVoters = reply.Voters, reply.WantedVoters
	}
	f.leader, f.progress = m.from, reply.Progress
	request := f.requests[reply.Seq%maxTrackedRequests]
	valid := reply.Seq != 0 && reply.ForIncarnation == c.incarnation && request.seq == reply.Seq && reply.Seq >= f.minValidSeq
	confirmed := valid && reply.Confirmed
	if confirmed {
		f.observeDecided(c, reply, m.from)
	}
	if confirmed || !reply.Decided.Before(f.decided) {
		f.observeProposal(c, reply.Proposal, m.from)
	}
	switch {
	case f.mustYield(reply):
		f.yieldLease(c, reply.YieldFor)
	case valid && reply.Lease > 0 && !reply.Decided.Before(f.current) && reply.Digest == f.usableDigest(c):
		f.acceptLease(c, reply, request)
	}
	if confirmed && f.overlapWith != nil && f.endsOverlap(reply) {
		f.endOverlap()
	}
	c.publishInForce()
}

// notifyOldEra notifies a voter of an earlier era that its log was superseded by a forced one. It sends at most two such messages a
// second.
func (f *follower) notifyOldEra(c *Core, voter string) {
	if c.now-f.lastEraNoticeAt < requestRetryMax {
		return
	}
	f.lastEraNoticeAt = c.now
	f.seq++
	version := Version{f.decided.Era, f.current.Number}
	c.send(voter, Message{LeaseRequest: &LeaseRequest{Seq: f.seq, LastVersion: version, UsableDigest: f.usableDigest(c), AnsweredSeq: f.answeredSeq}})
}

// observeDecided records the decided version from a confirmed leader's reply. If the version is new, it fetches the policy's text.
func (f *follower) observeDecided(c *Core, reply *LeaseReply, leader string) {
	if f.decided.Before(reply.Decided) {
		f.decided, f.decidedDigest, f.currentSize = reply.Decided, reply.Digest, reply.Size
		f.nextRequestAt = c.now
		c.policies.fetch(c, reply.Digest, reply.Size, append([]string{leader}, f.voters...))
	}
	f.knowsDecidedPolicy, f.answeredSeq = true, max(f.answeredSeq, reply.Seq)
}

// mustYield reports whether the leader requests this gateway to give up its lease for the open proposal, and the gateway is ready for
// that proposal.
func (f *follower) mustYield(reply *LeaseReply) bool {
	id := reply.YieldFor
	return id != 0 && f.proposal != nil && f.proposal.ID == id && f.readyFor == id && reply.Decided == f.current
}

// endsOverlap reports whether a reply shows that the overlap's proposal has ended, or that another policy is in force.
func (f *follower) endsOverlap(reply *LeaseReply) bool {
	return reply.Proposal == nil || reply.Proposal.ID != f.overlapWith.ID || reply.Decided != f.current
}

// acceptLease records a lease, which starts when its request was sent.
func (f *follower) acceptLease(c *Core, reply *LeaseReply, request sentRequest) {
	until := request.sentAt + reply.Lease
	if c.config.Mutation == LeaseFromAnswer {
		until = c.now + reply.Lease
	}
	if c.now >= until {
		return
	}
	if reply.Decided != f.current || f.currentDigest != reply.Digest {
		f.current, f.currentDigest, f.leaseUntil = reply.Decided, reply.Digest, 0
		f.endOverlap()
		f.saveLastPolicy(c)
		if c.voter == nil {
			c.policies.deleteExcept(c, f.neededPolicies())
		}
	}
	if f.leaseUntil == 0 {
		c.host.LogEvent(LeaseAcquired, "number", reply.Decided.Number, "era", reply.Decided.Era, "digest", reply.Digest.String())
	}
	// Only the reply to the latest request may start an overlap, because the leader concludes from the latest request which overlap this
	// gateway has.
	if reply.Overlap > 0 && reply.Proposal != nil && reply.Proposal.ID == f.readyFor && reply.Seq == f.seq {
		f.overlapWith, f.overlapUntil = f.proposal, max(f.overlapUntil, request.sentAt+reply.Overlap)
	}
	f.leaseUntil, f.leaseDuration, f.releasedFor, f.attempts = max(f.leaseUntil, until), reply.Lease, 0, 0
	f.nextRequestAt = max(c.now, request.sentAt+reply.Lease/renewalDivisor)
}

// yieldLease gives up the lease for a proposal that all members are ready for. An overlap continues, because it admits only requests that
// both policies allow, and so is valid whichever of them is in force.
func (f *follower) yieldLease(c *Core, proposal uint64) {
	if f.yieldingFor == proposal {
		return
	}
	if c.config.Mutation != KeepLeaseOnYield {
		f.leaseUntil = 0
	}
	f.minValidSeq = f.seq + 1 // ignore leases in replies that haven't arrived yet
	f.yieldingFor, f.attempts = proposal, 0
	c.publishInForce()
	if c.host.Drained() {
		f.yieldingFor, f.releasedFor = 0, proposal
		f.requestLease(c)
	}
}

// observeProposal records which proposal is open. If it is a new one, it fetches the policy's text.
func (f *follower) observeProposal(c *Core, notice *ProposalNotice, from string) {
	if notice != nil && f.proposal != nil && f.proposal.ID == notice.ID {
		f.proposal = notice
		return
	}
	if notice == nil && f.proposal == nil {
		return
	}
	f.proposal, f.readyFor, f.unsupported, f.reason, f.releasedFor = notice, 0, 0, "", 0
	if notice == nil {
		return
	}
	c.host.LogEvent(ProposalReceived, "proposal", proposalName(notice.ID), "digest", notice.Digest.String())
	c.policies.fetch(c, notice.Digest, notice.Size, append(slices.Clone(notice.Sources), from))
	f.policyChecked(c, c.policies.find(notice.Digest))
}

// policyChecked handles the result of checking a policy's text.
func (f *follower) policyChecked(c *Core, text *policyText) {
	if text == nil || text.state < textUsable {
		return
	}
	if f.proposal != nil && f.proposal.Digest == text.digest && f.readyFor != f.proposal.ID && f.unsupported != f.proposal.ID {
		f.proposalChecked(c, text)
		c.publishInForce()
	}
	if f.decidedDigest != text.digest || f.decided == f.current {
		return
	}
	f.nextRequestAt = c.now
	if text.state == textUnusable && f.reportedUnsupported != text.digest {
		f.reportedUnsupported = text.digest
		c.host.LogEvent(CannotFollow, "number", f.decided.Number, "digest", text.digest.String(), "why", text.reason)
	}
	c.publishInForce()
}

// proposalChecked records whether this gateway can follow the open proposal, and makes a request due that reports it to the leader.
func (f *follower) proposalChecked(c *Core, text *policyText) {
	id := f.proposal.ID
	f.nextRequestAt = c.now
	if text.state == textUsable {
		f.readyFor = id
		c.host.LogEvent(ProposalPrepared, "proposal", proposalName(id), "digest", text.digest.String())
		return
	}
	f.unsupported, f.reason = id, text.reason
	c.host.LogEvent(ProposalUnsupported, "proposal", proposalName(id), "why", text.reason)
}
