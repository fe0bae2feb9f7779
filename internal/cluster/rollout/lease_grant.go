package rollout

import (
	"cmp"
	"slices"
	"strings"
)

// handleLeaseRequest takes in a member's request. A leader replies once a majority has confirmed that it leads; another voter names the
// leader.
func (v *voter) handleLeaseRequest(c *Core, m *Message) {
	if v.checkSuperseded(c, m.LeaseRequest.Floor.Era, m.from) {
		return
	}
	l := v.leadership
	if l == nil {
		if leader := v.leaderName(); leader != "" && leader != c.name {
			c.send(m.from, Message{LeaseReply: &LeaseReply{Seq: m.LeaseRequest.Seq, Leader: leader}})
		}
		return
	}
	i, ok := l.addHolder(m.from, m.Incarnation)
	if !ok || m.LeaseRequest.Seq <= l.holders[i].seq {
		return
	}
	h := &l.holders[i]
	h.seq, h.request, h.lastHeardAt, h.awaitsReply, h.awaitedRead = m.LeaseRequest.Seq, *m.LeaseRequest, c.now, true, 0
	if h.request.Leaving {
		l.holders = slices.Delete(l.holders, i, i+1)
		v.advanceProposal(c)
		return
	}
	v.observeRequest(h)
	if l.change.phase == switching && h.leaseClearAt > c.now && v.table.Proposal != nil {
		v.sendYield(c, h)
	}
	v.advanceProposal(c)
	v.confirmLeadership(c)
}

// addHolder finds a member, or adds it; false: there are too many.
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

// observeRequest concludes from a member's request what it holds no more, and that it hears.
func (v *voter) observeRequest(h *leaseHolder) {
	if h.request.OverlapWith == 0 && h.seq > h.overlapSeq {
		h.overlapClearAt, h.overlapWith = 0, 0
	}
	if v.isReleased(&h.request) && h.request.MinValidSeq > h.grantedSeq {
		h.leaseClearAt = 0
	}
	if h.excluded && h.request.AnsweredSeq > h.excludedSeq {
		h.excluded = false
	}
}

// isReleased tells whether a member has given up its lease for the open proposal, or for the one that was decided last.
func (v *voter) isReleased(request *LeaseRequest) bool {
	id := request.ReleasedFor
	if id == 0 {
		return false
	}
	return id == v.table.LastProposal || v.table.Proposal != nil && id == v.table.Proposal.ID
}

// confirmLeadership asks a majority whether this voter leads, for all requests that came by now. While it switches to another policy,
// requests wait for the decision.
func (v *voter) confirmLeadership(c *Core) {
	l := v.leadership
	if l == nil || l.change.phase >= switching {
		return
	}
	if l.confirming.read != 0 && c.now-l.confirming.sentAt < requestRetryMax {
		return
	}
	if !slices.ContainsFunc(l.holders, func(h leaseHolder) bool { return h.awaitsReply }) {
		l.confirming.read = 0
		return
	}
	l.confirming.count++
	read := l.term<<readCountBits | l.confirming.count&(1<<readCountBits-1)
	l.confirming.read, l.confirming.sentAt = read, c.now
	for i := range l.holders {
		if l.holders[i].awaitsReply {
			l.holders[i].awaitedRead = read
		}
	}
	if c.config.Mutation == GrantWithoutQuorum {
		v.leadershipConfirmed(c, read)
		return
	}
	v.log.ConfirmLeadership(read)
}

// leadershipConfirmed replies to the requests that came before a read. All of them are looked at before the first reply, as one may show
// that the voters are behind.
func (v *voter) leadershipConfirmed(c *Core, read uint64) {
	l := v.leadership
	if l == nil || read != l.confirming.read {
		return
	}
	l.confirming.read = 0
	if l.change.phase >= switching {
		return
	}
	for _, handle := range []func(*Core, *leaseHolder){v.observeVersion, v.replyTo} {
		for i := range l.holders {
			if h := &l.holders[i]; h.awaitsReply && h.awaitedRead == read {
				handle(c, h)
			}
		}
	}
	v.advanceProposal(c)
	v.confirmLeadership(c)
}

// observeVersion compares what a member has gone by with what is decided here. A later version means that the voters have lost it; a lease
// on the same one, that nothing later was decided.
func (v *voter) observeVersion(c *Core, h *leaseHolder) {
	l, decided, floor := v.leadership, v.table.version(), h.request.Floor
	if decided.Before(floor) {
		if !l.behind {
			l.behind = true
			c.host.LogEvent(VotersBehind, "member", h.name, "goes_by", floor.Number, "era", floor.Era, "number", v.table.Number)
		}
		return
	}
	if h.request.Holds && floor == decided {
		l.proved = true
	}
}

// replyTo replies to a member's request, with a lease if it may have one.
func (v *voter) replyTo(c *Core, h *leaseHolder) {
	reply := v.statusReply(c, h)
	reply.Seq, reply.ForIncarnation, reply.Confirmed = h.seq, h.incarnation, true
	h.awaitsReply = false
	if v.mayHoldLease(c, h) {
		v.grantLease(c, h, reply)
	}
	c.send(h.name, Message{LeaseReply: reply})
}

// mayHoldLease tells whether a member that has the policy in force and hears may get a lease on it.
func (v *voter) mayHoldLease(c *Core, h *leaseHolder) bool {
	l := v.leadership
	has := h.request.Has == v.table.Digest || h.request.ReadyFor != 0 && h.request.ReadyFor == v.table.LastProposal
	hears := h.seq-h.request.AnsweredSeq <= MaxUnansweredRequests
	return has && hears && !h.excluded && !l.behind && (l.proved || c.now >= l.leasesClearAt)
}

// grantLease adds a lease to a reply and, for a member that is ready for a proposal with an overlap, that overlap.
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

// sendYield asks a member to give up its lease for the open proposal.
func (v *voter) sendYield(c *Core, h *leaseHolder) {
	reply := v.statusReply(c, h)
	reply.YieldFor = v.table.Proposal.ID
	c.send(h.name, Message{LeaseReply: reply})
}
