package rollout

import (
	"cmp"
	"slices"
	"strings"
)

// handleLeaseRequest processes a member's request. A leader replies once a majority has confirmed that it leads. Another voter replies with
// the leader's name.
func (v *voter) handleLeaseRequest(c *Core, m *Message) {
	if v.checkSuperseded(c, m.LeaseRequest.LastVersion.Era, m.from) {
		return
	}
	leader := v.leadership
	if leader == nil {
		if name := v.leaderName(); name != "" && name != c.name {
			c.send(m.from, Message{LeaseReply: &LeaseReply{Seq: m.LeaseRequest.Seq, Leader: name}})
		}
		return
	}
	i, ok := leader.addHolder(m.from, m.Incarnation)
	if !ok || m.LeaseRequest.Seq <= leader.holders[i].seq {
		return
	}
	h := &leader.holders[i]
	h.seq, h.request, h.lastRequestAt, h.awaitsReply, h.awaitedRead = m.LeaseRequest.Seq, *m.LeaseRequest, c.now, true, 0
	if h.request.Leaving {
		leader.holders = slices.Delete(leader.holders, i, i+1)
		v.advanceProposal(c)
		return
	}
	v.observeRequest(h)
	if leader.change.phase == switching && h.leaseClearAt > c.now && v.table.Proposal != nil {
		v.sendYield(c, h)
	}
	v.advanceProposal(c)
	v.confirmLeadership(c)
}

// addHolder returns the index of a member in l.holders and adds the member if it is new; ok is false if there are too many.
func (l *leadership) addHolder(name string, incarnation uint64) (index int, ok bool) {
	wanted := leaseHolder{name: name, incarnation: incarnation}
	i, found := slices.BinarySearchFunc(l.holders, wanted, func(a, b leaseHolder) int {
		return cmp.Or(strings.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
	if found {
		return i, true
	}
	if len(l.holders) >= maxLeaseHolders {
		return 0, false
	}
	l.holders = slices.Insert(l.holders, i, wanted)
	return i, true
}

// observeRequest updates a member's state from its latest request: the member may have lost its overlap, released its lease, or shown
// that it receives replies.
func (v *voter) observeRequest(h *leaseHolder) {
	if h.request.OverlapWith == 0 && h.seq > h.overlapSeq {
		h.overlapClearAt, h.overlapWith = 0, 0
	}
	if v.hasReleasedLease(&h.request) && h.request.MinValidSeq > h.grantedSeq {
		h.leaseClearAt = 0
	}
	if h.excluded && h.request.AnsweredSeq > h.excludedSeq {
		h.excluded = false
	}
}

// hasReleasedLease reports whether a member has given up its lease for the open proposal, or for the proposal that was decided last.
func (v *voter) hasReleasedLease(request *LeaseRequest) bool {
	id := request.ReleasedFor
	if id == 0 {
		return false
	}
	return id == v.table.LastProposal || v.table.Proposal != nil && id == v.table.Proposal.ID
}

// confirmLeadership starts a read by which a majority confirms that this voter leads, for all requests that wait for a reply. During a
// switch to another policy it does nothing, and the requests wait for the decision.
func (v *voter) confirmLeadership(c *Core) {
	leader := v.leadership
	if leader == nil || leader.change.phase >= switching {
		return
	}
	if leader.confirmation.read != 0 && c.now-leader.confirmation.sentAt < requestRetryMax {
		return
	}
	if !slices.ContainsFunc(leader.holders, func(h leaseHolder) bool { return h.awaitsReply }) {
		leader.confirmation.read = 0
		return
	}
	leader.confirmation.readCount++
	read := leader.term<<readCountBits | leader.confirmation.readCount&(1<<readCountBits-1)
	leader.confirmation.read, leader.confirmation.sentAt = read, c.now
	for i := range leader.holders {
		if leader.holders[i].awaitsReply {
			leader.holders[i].awaitedRead = read
		}
	}
	if c.config.Mutation == GrantWithoutQuorum {
		v.leadershipConfirmed(c, read)
		return
	}
	v.log.ConfirmLeadership(read)
}

// leadershipConfirmed replies to the requests that arrived before the read. It checks the versions in all of them before the first reply,
// because one of them may show that the voters have lost a decision.
func (v *voter) leadershipConfirmed(c *Core, read uint64) {
	leader := v.leadership
	if leader == nil || read != leader.confirmation.read {
		return
	}
	leader.confirmation.read = 0
	if leader.change.phase >= switching {
		return
	}
	for _, handle := range []func(*Core, *leaseHolder){v.observeVersion, v.replyTo} {
		for i := range leader.holders {
			if h := &leader.holders[i]; h.awaitsReply && h.awaitedRead == read {
				handle(c, h)
			}
		}
	}
	v.advanceProposal(c)
	v.confirmLeadership(c)
}

// observeVersion compares the version that a member has applied with the one decided here. A later version means that the voters have
// lost a decision. A lease on the same version means that no later one was decided.
func (v *voter) observeVersion(c *Core, h *leaseHolder) {
	leader, decided, reported := v.leadership, v.table.version(), h.request.LastVersion
	if decided.Before(reported) {
		if !leader.votersBehind {
			leader.votersBehind = true
			c.host.LogEvent(VotersBehind, "member", h.name, "goes_by", reported.Number, "era", reported.Era, "number", v.table.Number)
		}
		return
	}
	if h.request.HoldsLease && reported == decided {
		leader.latestVerified = true
	}
}

// replyTo replies to a member's request and grants a lease if the member may have one.
func (v *voter) replyTo(c *Core, h *leaseHolder) {
	reply := v.statusReply(c, h)
	reply.Seq, reply.ForIncarnation, reply.Confirmed = h.seq, h.incarnation, true
	h.awaitsReply = false
	if v.mayHoldLease(c, h) {
		v.grantLease(c, h, reply)
	}
	c.send(h.name, Message{LeaseReply: reply})
}

// mayHoldLease reports whether a member may get a lease: it has the policy in force, receives replies and is not excluded, and no later
// policy can be in force elsewhere.
func (v *voter) mayHoldLease(c *Core, h *leaseHolder) bool {
	leader := v.leadership
	hasPolicy := h.request.UsableDigest == v.table.Digest || h.request.ReadyFor != 0 && h.request.ReadyFor == v.table.LastProposal
	receivesReplies := h.seq-h.request.AnsweredSeq <= MaxUnansweredRequests
	return hasPolicy && receivesReplies && !h.excluded && !leader.votersBehind && (leader.latestVerified || c.now >= leader.leasesClearAt)
}

// grantLease adds a lease to a reply. If the member is ready for an open proposal with an overlap, it adds that overlap too.
func (v *voter) grantLease(c *Core, h *leaseHolder, reply *LeaseReply) {
	reply.Lease = v.table.LeaseDuration
	h.leaseClearAt, h.grantedSeq = max(h.leaseClearAt, c.now+c.config.leaseMargin(reply.Lease)), h.seq
	p := v.table.Proposal
	if p == nil || p.Overlap <= 0 || h.request.ReadyFor != p.ID || p.Kind == KindRehearsal {
		return
	}
	reply.Overlap = p.Overlap
	h.overlapClearAt, h.overlapWith, h.overlapSeq = max(h.overlapClearAt, c.now+c.config.leaseMargin(reply.Overlap)), p.ID, h.seq
}

// sendYield requests a member to give up its lease for the open proposal.
func (v *voter) sendYield(c *Core, h *leaseHolder) {
	reply := v.statusReply(c, h)
	reply.YieldFor = v.table.Proposal.ID
	c.send(h.name, Message{LeaseReply: reply})
}
