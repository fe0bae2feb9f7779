package rollout

import (
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// A gateway without a lease asks again after a tenth of a second, and after twice as long each time, up to half a second: so five
	// hundred that start together cost the leader a thousand messages a second, and one that a change excluded is back soon.
	requestRetryMin = second / 10
	requestRetryMax = second / 2
	// So often the time between requests doubles.
	maxRetryDoublings = 3
	// Of a gateway without a lease, one request in so many goes to another voter than the leader it knows.
	requestsPerVoter = 3
	// A lease is renewed after this part of it, so that two requests may get lost before it ends.
	renewalDivisor = 4
	// So many of the latest requests are remembered, for their replies.
	maxTrackedRequests = 16
)

// follower is this process as a gateway that goes by policies.
type follower struct {
	// The policy that this gateway went by last, and its lease on it.
	current       Version
	currentDigest Digest
	currentSize   int
	leaseUntil    Time // 0: no lease
	leaseDuration Time

	// The latest policy that a majority confirmed as decided, which this gateway may not have a lease on yet.
	decided             Version
	decidedDigest       Digest
	informed            bool   // a majority has confirmed one since the start, or the folder has one
	reportedUnsupported Digest // a decided policy that was logged as one that this gateway can't follow

	// The open proposal, and whether this gateway can follow it.
	proposal    *ProposalNotice
	readyFor    uint64
	unsupported uint64
	reason      string

	// The proposal that the lease is given up for: first until nothing decided under it is on its way, then as reported to the leader.
	yieldingFor uint64
	releasedFor uint64

	// Without a lease, this gateway may go by what the policy in force and a proposal both allow.
	overlapUntil Time
	overlapWith  *ProposalNotice

	// Requests for leases. Replies to those before minValidSeq don't count.
	seq           uint32
	answeredSeq   uint32
	minValidSeq   uint32
	requests      [maxTrackedRequests]sentRequest
	nextRequestAt Time
	attempts      int // since the last lease

	// What is known of the voters.
	leader       string
	voters       []string
	wantedVoters []string // who is to vote, where these are others
	nextVoter    int
	progress     string // of the change, as the leader describes it
	eraNoticeAt  Time   // when voters of an earlier era were last told that theirs is over

	published    InForce // what the host was told last
	hasPublished bool
}

// sentRequest is a request for a lease, which counts from when it was sent.
type sentRequest struct {
	seq    uint32
	sentAt Time
}

// floorRecord is the latest policy that this gateway went by, as its folder has it.
type floorRecord struct {
	Version Version  `cbor:"1,keyasint"`
	Digest  Digest   `cbor:"2,keyasint"`
	Size    int      `cbor:"3,keyasint"`
	Voters  []string `cbor:"4,keyasint,omitempty"`
}

// restore starts with what the folder has. It is no lease: the gateway asks for one at once.
func (f *follower) restore(c *Core, stored *StoredState) {
	f.voters, f.nextRequestAt = slices.Clone(c.config.Voters), c.now
	f.nextVoter = c.random.IntN(max(1, len(f.voters)))
	if stored == nil || stored.floor == nil {
		return
	}
	floor := stored.floor
	f.current, f.currentDigest, f.currentSize = floor.Version, floor.Digest, floor.Size
	f.decided, f.decidedDigest = floor.Version, floor.Digest
	if len(floor.Voters) > 0 {
		f.voters = floor.Voters
	}
	body := c.host.LoadPolicy(floor.Digest)
	if DigestOf(body) == floor.Digest {
		c.policies.add(c, floor.Digest, body, true)
		f.informed = true
	}
	if c.config.Mutation == TrustStoredState {
		f.leaseUntil = c.now + 1000*second
	}
}

// publishInForce tells the host what it may go by, where that has changed.
func (c *Core) publishInForce() {
	f := &c.follower
	next := f.inForce(c.config.Mutation)
	if f.hasPublished && f.published.equals(&next) {
		return
	}
	f.published, f.hasPublished = next, true
	c.host.SetInForce(&next)
}

func (f *follower) inForce(mutation Mutation) InForce {
	next := InForce{Era: f.current.Era, Number: f.current.Number, Digest: f.currentDigest, LeaseUntil: f.leaseUntil, KnowsDecidedPolicy: f.informed}
	if f.informed {
		next.KnownDigests = append(next.KnownDigests, f.currentDigest)
	}
	if f.decided != f.current {
		next.KnownDigests = append(next.KnownDigests, f.decidedDigest)
	}
	if f.proposal != nil {
		next.KnownDigests = append(next.KnownDigests, f.proposal.Digest)
		ready := f.readyFor == f.proposal.ID
		if ready && f.proposal.Rehearse {
			next.RehearsalDigest, next.RehearsalID = f.proposal.Digest, f.proposal.ID
		}
		if ready && mutation == SwitchOnReady {
			next.Number, next.Digest, next.LeaseUntil = f.current.Number+1, f.proposal.Digest, 1<<50
		}
	}
	if f.overlapWith != nil {
		next.OverlapDigest, next.OverlapUntil = f.overlapWith.Digest, f.overlapUntil
	}
	return next
}

// equals tells whether the host needs to know of no difference. RehearsalID follows from RehearsalDigest.
func (f *InForce) equals(other *InForce) bool {
	return f.Era == other.Era && f.Number == other.Number && f.Digest == other.Digest && f.LeaseUntil == other.LeaseUntil &&
		f.OverlapDigest == other.OverlapDigest && f.OverlapUntil == other.OverlapUntil && f.KnowsDecidedPolicy == other.KnowsDecidedPolicy &&
		f.RehearsalDigest == other.RehearsalDigest && slices.Equal(f.KnownDigests, other.KnownDigests)
}

func (f *follower) tick(c *Core) {
	f.expire(c)
	if f.yieldingFor != 0 && c.host.Drained() {
		f.releasedFor, f.yieldingFor, f.nextRequestAt = f.yieldingFor, 0, c.now
	}
	if c.now >= f.nextRequestAt {
		f.requestLease(c)
	}
}

// expire ends a lease or an overlap whose time is over.
func (f *follower) expire(c *Core) {
	if f.leaseUntil != 0 && c.now >= f.leaseUntil {
		f.leaseUntil = 0
		c.host.LogEvent(LeaseLost, "number", f.current.Number)
		c.publishInForce()
	}
	if f.overlapWith != nil && c.now >= f.overlapUntil {
		f.endOverlap()
		c.publishInForce()
	}
}

func (f *follower) endOverlap() { f.overlapWith, f.overlapUntil = nil, 0 }

// requestLease asks the leader for a lease, or for more time on one. While a lease is given up nothing is sent.
func (f *follower) requestLease(c *Core) {
	if f.yieldingFor != 0 {
		return
	}
	to := f.leader
	if f.scheduleRequest(c) {
		to = ""
	}
	if to == "" && len(f.voters) > 0 {
		f.leader = ""
		to = f.voters[f.nextVoter%len(f.voters)]
		f.nextVoter++
	}
	f.seq++
	f.requests[f.seq%maxTrackedRequests] = sentRequest{f.seq, c.now}
	request := &LeaseRequest{
		Seq: f.seq, Floor: f.current, Holds: c.now < f.leaseUntil, Has: f.usableDigest(c), ReleasedFor: f.releasedFor,
		MinValidSeq: f.minValidSeq, AnsweredSeq: f.answeredSeq, Counts: c.host.RequestCounts(),
	}
	if f.proposal != nil {
		request.ReadyFor, request.Unsupported, request.Reason = f.readyFor, f.unsupported, f.reason
	}
	if f.overlapWith != nil {
		request.OverlapWith = f.overlapWith.ID
	}
	c.send(to, Message{LeaseRequest: request})
}

// scheduleRequest sets when the next request is due, and tells whether this one goes to another voter, as the leader may have changed.
func (f *follower) scheduleRequest(c *Core) (tryOther bool) {
	if c.now >= f.leaseUntil {
		f.nextRequestAt = c.now + min(requestRetryMax, requestRetryMin<<min(f.attempts, maxRetryDoublings))
		f.attempts++
		return f.attempts%requestsPerVoter == 0
	}
	f.nextRequestAt, f.attempts = c.now+max(1, f.leaseDuration/renewalDivisor), 0
	if c.now <= f.leaseUntil-f.leaseDuration/2 {
		return false
	}
	f.nextRequestAt = c.now + requestRetryMin // the leader hasn't answered for half a lease
	return true
}

// usableDigest is the policy that this gateway can hold a lease on.
func (f *follower) usableDigest(c *Core) Digest {
	if c.policies.isUsable(f.decidedDigest) {
		return f.decidedDigest
	}
	return f.currentDigest
}

// neededPolicies are the texts that this gateway has a use for.
func (f *follower) neededPolicies() []Digest {
	needed := []Digest{f.currentDigest, f.decidedDigest}
	if f.proposal != nil {
		needed = append(needed, f.proposal.Digest)
	}
	return needed
}

// saveFloor has the folder remember the policy that this gateway goes by, so that its requests tell voters that know less.
func (f *follower) saveFloor(c *Core) {
	record := floorRecord{f.current, f.currentDigest, f.currentSize, f.voters}
	c.saveRecords([]consensus.Record{{Key: floorKey, Value: encode(record)}}, func(error) {})
}

// release gives up the lease at once and tells the leader.
func (f *follower) release(c *Core) {
	f.leaseUntil, f.overlapWith = 0, nil
	c.publishInForce()
	if f.leader == "" {
		return
	}
	f.seq++
	c.send(f.leader, Message{LeaseRequest: &LeaseRequest{Seq: f.seq, Floor: f.current, Has: f.currentDigest, Leaving: true}})
}
