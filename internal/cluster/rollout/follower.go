package rollout

import (
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// Who holds no lease asks again after a tenth of a second, and after twice as long each time, up to half a second: five hundred
	// that were started together cost the leader a thousand messages a second, and whom a change left out is back soon.
	requestRetryMin = second / 10
	requestRetryMax = second / 2
	// A lease is asked for anew after this part of it: two asks may get lost before it ends.
	renewalDivisor     = 4
	maxTrackedRequests = 16
)

// own is this gateway's part as one of those that go by policies.
type follower struct {
	current       Version // what it went by last
	currentDigest Digest
	currentSize   int
	leaseUntil    Time // end of its lease
	leaseDuration Time // length of the last one

	decided       Version // the latest that was borne out as decided
	decidedDigest Digest
	informed      bool
	proposal      *ProposalNotice // the proposal there is, as far as heard
	readyFor      uint64
	unsupported   uint64
	reason        string

	yieldingFor  uint64 // what is held is given up for this proposal; the word goes out once nothing decided by it is on its way
	releasedFor  uint64 // and it went out
	overlapUntil Time
	overlapWith  *ProposalNotice // what it may go by besides, if it hears nothing

	seq                 uint32
	answeredSeq         uint32 // the latest ask that was answered
	minValidSeq         uint32 // answers to asks before this one count no more
	requests            [maxTrackedRequests]sentRequest
	nextRequestAt       Time
	attempts            int
	leader              string
	voters              []string
	wantedVoters        []string // who is to vote, where that is others
	nextVoter           int
	progress            string
	reportedUnsupported Digest // a decided policy that it can't follow, as was said
	published           InForce
	hasPublished        bool // the gateway knows it
	eraNoticeAt         Time // when voters of an earlier era were last told
}

type sentRequest struct {
	seq    uint32
	sentAt Time
}

// floor is what a folder says of it.
type floorRecord struct {
	Version Version  `cbor:"1,keyasint"`
	Digest  Digest   `cbor:"2,keyasint"`
	Size    int      `cbor:"3,keyasint"`
	Voters  []string `cbor:"4,keyasint,omitempty"`
}

func (o *follower) restore(c *Core, kept *StoredState) {
	o.voters, o.nextRequestAt = slices.Clone(c.config.Voters), c.now
	o.nextVoter = c.random.IntN(max(1, len(o.voters)))
	if kept == nil || kept.floor == nil {
		return
	}
	f := kept.floor
	o.current, o.currentDigest, o.currentSize = f.Version, f.Digest, f.Size
	o.decided, o.decidedDigest = f.Version, f.Digest
	if len(f.Voters) > 0 {
		o.voters = f.Voters
	}
	if body := c.host.LoadPolicy(f.Digest); DigestOf(body) == f.Digest {
		c.policies.add(c, f.Digest, body, true)
		o.informed = true
	}
	if c.config.Mutation == TrustStoredState {
		o.leaseUntil = c.now + 1000*second
	}
}

// stand has the gateway know what it may go by, where that has changed.
func (c *Core) publishInForce() {
	o := &c.follower
	s := InForce{Era: o.current.Era, Number: o.current.Number, Digest: o.currentDigest, LeaseUntil: o.leaseUntil, Informed: o.informed}
	if o.informed {
		s.KnownDigests = append(s.KnownDigests, o.currentDigest)
	}
	if o.decided != o.current {
		s.KnownDigests = append(s.KnownDigests, o.decidedDigest)
	}
	if o.proposal != nil {
		s.KnownDigests = append(s.KnownDigests, o.proposal.Digest)
		if o.proposal.Rehearse && o.readyFor == o.proposal.ID {
			s.RehearsalDigest, s.RehearsalID = o.proposal.Digest, o.proposal.ID
		}
	}
	if o.overlapWith != nil {
		s.OverlapDigest, s.OverlapUntil = o.overlapWith.Digest, o.overlapUntil
	}
	if c.config.Mutation == SwitchOnReady && o.proposal != nil && o.readyFor == o.proposal.ID {
		s.Number, s.Digest, s.LeaseUntil = o.current.Number+1, o.proposal.Digest, 1<<50
	}
	was := &o.published
	same := was.Era == s.Era && was.Number == s.Number && was.Digest == s.Digest && was.LeaseUntil == s.LeaseUntil && was.OverlapDigest == s.OverlapDigest && was.OverlapUntil == s.OverlapUntil &&
		was.Informed == s.Informed && was.RehearsalDigest == s.RehearsalDigest && slices.Equal(was.KnownDigests, s.KnownDigests)
	if !same || !o.hasPublished {
		o.published, o.hasPublished = s, true
		c.host.SetInForce(&s)
	}
}

func (o *follower) tick(c *Core) {
	o.expire(c)
	if o.yieldingFor != 0 && c.host.Drained() {
		o.releasedFor, o.yieldingFor, o.nextRequestAt = o.yieldingFor, 0, c.now
	}
	if c.now >= o.nextRequestAt {
		o.requestLease(c)
	}
}

// lapse ends what was only for a time.
func (o *follower) expire(c *Core) {
	if o.leaseUntil != 0 && c.now >= o.leaseUntil {
		o.leaseUntil = 0
		c.host.LogEvent(LeaseLost, "number", o.current.Number)
		c.publishInForce()
	}
	if o.overlapWith != nil && c.now >= o.overlapUntil {
		o.overlapWith, o.overlapUntil = nil, 0
		c.publishInForce()
	}
}

// ask asks for a lease, or for more time on it: the leader, or whoever of the voters may know it.
func (o *follower) requestLease(c *Core) {
	if o.yieldingFor != 0 {
		return // nothing is said before what is held is given up
	}
	to := o.leader
	if holds := c.now < o.leaseUntil; holds {
		o.nextRequestAt, o.attempts = c.now+max(1, o.leaseDuration/renewalDivisor), 0
		if c.now > o.leaseUntil-o.leaseDuration/2 {
			to = "" // it didn't answer: another may lead
			o.nextRequestAt = c.now + requestRetryMin
		}
	} else {
		o.nextRequestAt = c.now + min(requestRetryMax, requestRetryMin<<min(o.attempts, 3))
		if o.attempts++; o.attempts%3 == 0 {
			to = ""
		}
	}
	if to == "" && len(o.voters) > 0 {
		o.leader = ""
		to = o.voters[o.nextVoter%len(o.voters)]
		o.nextVoter++
	}
	o.seq++
	o.requests[o.seq%maxTrackedRequests] = sentRequest{o.seq, c.now}
	m := &LeaseRequest{Seq: o.seq, Floor: o.current, Holds: c.now < o.leaseUntil, Has: o.usableDigest(c), ReleasedFor: o.releasedFor, MinValidSeq: o.minValidSeq, AnsweredSeq: o.answeredSeq, Counts: c.host.RequestCounts()}
	if o.proposal != nil {
		m.ReadyFor, m.Unsupported, m.Reason = o.readyFor, o.unsupported, o.reason
	}
	if o.overlapWith != nil {
		m.OverlapWith = o.overlapWith.ID
	}
	c.send(to, Message{LeaseRequest: m})
}

// has is the policy that it could go by next.
func (o *follower) usableDigest(c *Core) Digest {
	if c.policies.isUsable(o.decidedDigest) {
		return o.decidedDigest
	}
	return o.currentDigest
}

// answered takes in a voter's answer, or what a leader says unasked.
func (o *follower) handleReply(c *Core, m *Message) {
	a := m.LeaseReply
	if a.Leader != m.from { // it only knows whom to ask
		if a.Leader != "" && a.Leader != o.leader && a.Leader != m.from {
			o.leader, o.nextRequestAt = a.Leader, c.now
		}
		return
	}
	if a.Decided.Era < o.decided.Era { // of voters that others have taken the place of: they are told
		if c.now-o.eraNoticeAt >= requestRetryMax {
			o.eraNoticeAt = c.now
			o.seq++
			c.send(m.from, Message{LeaseRequest: &LeaseRequest{Seq: o.seq, Floor: Version{o.decided.Era, o.current.Number}, Has: o.usableDigest(c), AnsweredSeq: o.answeredSeq}})
		}
		return
	}
	if len(a.Voters) > 0 {
		o.voters, o.wantedVoters = a.Voters, a.WantedVoters
	}
	o.leader, o.progress = m.from, a.Progress
	k := o.requests[a.Seq%maxTrackedRequests]
	counts := a.Seq != 0 && a.ForIncarnation == c.incarnation && k.seq == a.Seq && a.Seq >= o.minValidSeq
	if counts && a.Confirmed && o.decided.Before(a.Decided) {
		o.decided, o.decidedDigest, o.currentSize = a.Decided, a.Digest, a.Size
		o.nextRequestAt = c.now
		c.policies.fetch(c, a.Digest, a.Size, append([]string{m.from}, o.voters...))
	}
	if counts && a.Confirmed {
		o.informed, o.answeredSeq = true, max(o.answeredSeq, a.Seq)
	}
	if !a.Decided.Before(o.decided) || counts && a.Confirmed {
		o.observeProposal(c, a.Proposal, m.from)
	}
	switch {
	case a.YieldFor != 0 && o.proposal != nil && o.proposal.ID == a.YieldFor && o.readyFor == a.YieldFor && a.Decided == o.current:
		o.yieldLease(c, a.YieldFor)
	case counts && a.Lease > 0 && !a.Decided.Before(o.current) && a.Digest == o.usableDigest(c):
		o.acceptLease(c, a, k)
	}
	if o.overlapWith != nil && counts && a.Confirmed && (a.Proposal == nil || a.Proposal.ID != o.overlapWith.ID || a.Decided != o.current) {
		o.overlapWith, o.overlapUntil = nil, 0 // it hears, and goes by what is decided
	}
	c.publishInForce()
}

// granted takes a lease, from when it was asked for.
func (o *follower) acceptLease(c *Core, a *LeaseReply, k sentRequest) {
	until := k.sentAt + a.Lease
	if c.config.Mutation == LeaseFromAnswer {
		until = c.now + a.Lease
	}
	if c.now >= until {
		return
	}
	if a.Decided != o.current || o.currentDigest != a.Digest {
		o.current, o.currentDigest, o.leaseUntil, o.overlapWith, o.overlapUntil = a.Decided, a.Digest, 0, nil, 0
		if o.saveFloor(c); c.voter == nil {
			c.policies.deleteExcept(c, o.neededPolicies())
		}
	}
	if o.leaseUntil == 0 {
		c.host.LogEvent(LeaseHeld, "number", a.Decided.Number, "era", a.Decided.Era, "digest", a.Digest.String())
	}
	if a.Overlap > 0 && a.Proposal != nil && a.Proposal.ID == o.readyFor && a.Seq == o.seq { // counted by the latest ask alone: the leader knows by it what is held
		o.overlapWith, o.overlapUntil = o.proposal, max(o.overlapUntil, k.sentAt+a.Overlap)
	}
	o.leaseUntil, o.leaseDuration, o.releasedFor, o.attempts = max(o.leaseUntil, until), a.Lease, 0, 0
	o.nextRequestAt = max(c.now, k.sentAt+a.Lease/renewalDivisor)
}

// needs are the texts that this gateway itself has a use for.
func (o *follower) neededPolicies() []Digest {
	out := []Digest{o.currentDigest, o.decidedDigest}
	if o.proposal != nil {
		out = append(out, o.proposal.Digest)
	}
	return out
}

// keep has the folder know what was gone by: it is told to whoever asks for leases with less later.
func (o *follower) saveFloor(c *Core) {
	f := floorRecord{o.current, o.currentDigest, o.currentSize, o.voters}
	c.saveRecords([]consensus.Record{{Key: floorKey, Value: encode(f)}}, func(error) {})
}

// yield gives up what is held, for a proposal that all are ready for.
func (o *follower) yieldLease(c *Core, id uint64) {
	if o.yieldingFor == id {
		return
	}
	if c.config.Mutation != KeepLeaseOnYield { // what both allow goes on being so, whichever is in force
		o.leaseUntil = 0
	}
	o.minValidSeq = o.seq + 1 // what is still under way counts no more
	o.yieldingFor, o.attempts = id, 0
	c.publishInForce()
	if c.host.Drained() {
		o.yieldingFor, o.releasedFor = 0, id
		o.requestLease(c)
	}
}

// hear takes in which proposal there is.
func (o *follower) observeProposal(c *Core, p *ProposalNotice, from string) {
	if p == nil {
		if o.proposal != nil {
			o.proposal, o.readyFor, o.unsupported, o.reason, o.releasedFor = nil, 0, 0, "", 0
		}
		return
	}
	if o.proposal != nil && o.proposal.ID == p.ID {
		o.proposal = p
		return
	}
	o.proposal, o.readyFor, o.unsupported, o.reason, o.releasedFor = p, 0, 0, "", 0
	c.host.LogEvent(ProposalHeard, "proposal", proposalName(p.ID), "digest", p.Digest.String())
	c.policies.fetch(c, p.Digest, p.Size, append(slices.Clone(p.Sources), from))
	o.policyChecked(c, c.policies.find(p.Digest))
}

// shelved takes in that a text is there and was looked at.
func (o *follower) policyChecked(c *Core, t *policyText) {
	if t == nil || t.state < textUsable {
		return
	}
	if o.proposal != nil && o.proposal.Digest == t.digest && o.readyFor != o.proposal.ID && o.unsupported != o.proposal.ID {
		if t.state == textUsable {
			o.readyFor, o.nextRequestAt = o.proposal.ID, c.now
			c.host.LogEvent(ProposalPrepared, "proposal", proposalName(o.proposal.ID), "digest", t.digest.String())
		} else {
			o.unsupported, o.reason, o.nextRequestAt = o.proposal.ID, t.reason, c.now
			c.host.LogEvent(ProposalUnsupported, "proposal", proposalName(o.proposal.ID), "why", t.reason)
		}
		c.publishInForce()
	}
	if o.decidedDigest == t.digest && o.decided != o.current {
		if o.nextRequestAt = c.now; t.state == textUnusable && o.reportedUnsupported != t.digest {
			o.reportedUnsupported = t.digest
			c.host.LogEvent(CannotFollow, "number", o.decided.Number, "digest", t.digest.String(), "why", t.reason)
		}
		c.publishInForce()
	}
}

// leave gives everything up at once.
func (o *follower) release(c *Core) {
	o.leaseUntil, o.overlapWith = 0, nil
	c.publishInForce()
	if o.leader != "" {
		o.seq++
		c.send(o.leader, Message{LeaseRequest: &LeaseRequest{Seq: o.seq, Floor: o.current, Has: o.currentDigest, Leaving: true}})
	}
}
