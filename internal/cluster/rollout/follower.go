package rollout

import (
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// A gateway without a lease waits for requestRetryMin before its next request, and doubles the wait with each request up to
	// requestRetryMax. At that rate, 500 gateways that start together cost the leader 1000 messages a second, and a gateway that was
	// excluded from a change gets a lease again soon.
	requestRetryMin = second / 10
	requestRetryMax = second / 2
	// maxRetryDoublings limits how many times the wait is doubled.
	maxRetryDoublings = 3
	// Every requestsPerVoter-th request of a gateway without a lease goes to another voter instead of the leader that it knows.
	requestsPerVoter = 3
	// A lease is renewed after 1/renewalDivisor of its length, so that two requests may get lost before it expires.
	renewalDivisor = 4
	// maxTrackedRequests is how many of the latest requests are stored, so that their replies can be matched.
	maxTrackedRequests = 16
)

// follower is the state of this process as a gateway that requests leases and applies policies.
type follower struct {
	// The policy that this gateway applied last, and its lease on that policy.
	current       Version
	currentDigest Digest
	currentSize   int
	leaseUntil    Time // 0: no lease
	leaseDuration Time

	// The latest policy that this gateway knows as decided. The gateway may not have a lease on it yet.
	decided             Version
	decidedDigest       Digest
	knowsDecidedPolicy  bool   // a confirmed leader has announced the decided policy since the start, or the folder has one's text
	reportedUnsupported Digest // the decided policy that was last logged as one that this gateway can't follow

	// The open proposal, and whether this gateway can follow it: readyFor or unsupported is its ID once its text was checked.
	proposal    *ProposalNotice
	readyFor    uint64
	unsupported uint64
	reason      string

	// The proposal for which this gateway gives up its lease. The ID is in yieldingFor while requests admitted under the lease are still
	// being sent to engines. Then it is in releasedFor, which is reported to the leader.
	yieldingFor uint64
	releasedFor uint64

	// Without a lease, this gateway may admit requests that the policy in force and the proposal overlapWith both allow, until
	// overlapUntil.
	overlapUntil Time
	overlapWith  *ProposalNotice

	// Requests for leases. Leases in replies to requests before minValidSeq are ignored.
	seq           uint32
	answeredSeq   uint32
	minValidSeq   uint32
	requests      [maxTrackedRequests]sentRequest
	nextRequestAt Time
	attempts      int // requests since the last lease

	// What this gateway knows of the voters.
	leader          string
	voters          []string
	wantedVoters    []string // the members that should vote, if they differ from voters
	nextVoterIndex  int
	progress        string // the progress of the change, as the leader describes it
	lastEraNoticeAt Time   // when a voter of an earlier era was last notified that its log was replaced

	published    InForce // the last value passed to Host.SetInForce
	hasPublished bool
}

// sentRequest identifies a request for a lease. A lease starts when its request was sent.
type sentRequest struct {
	seq    uint32
	sentAt Time
}

// lastPolicyRecord is the stored form of the latest policy that this gateway has applied.
type lastPolicyRecord struct {
	Version Version  `cbor:"1,keyasint"`
	Digest  Digest   `cbor:"2,keyasint"`
	Size    int      `cbor:"3,keyasint"`
	Voters  []string `cbor:"4,keyasint,omitempty"`
}

// restore sets the initial state from the records in the folder. They contain no lease, so the first request for one is due at once.
func (f *follower) restore(c *Core, stored *StoredState) {
	f.voters, f.nextRequestAt = slices.Clone(c.config.Voters), c.now
	f.nextVoterIndex = c.random.IntN(max(1, len(f.voters)))
	if stored == nil || stored.lastPolicy == nil {
		return
	}
	last := stored.lastPolicy
	f.current, f.currentDigest, f.currentSize = last.Version, last.Digest, last.Size
	f.decided, f.decidedDigest = last.Version, last.Digest
	if len(last.Voters) > 0 {
		f.voters = last.Voters
	}
	body := c.host.LoadPolicy(last.Digest)
	if DigestOf(body) == last.Digest {
		c.policies.add(c, last.Digest, body, true)
		f.knowsDecidedPolicy = true
	}
	if c.config.Mutation == TrustStoredState {
		f.leaseUntil = c.now + 1000*second
	}
}

// publishInForce calls Host.SetInForce if what the gateway may apply has changed.
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
	next := InForce{Era: f.current.Era, Number: f.current.Number, Digest: f.currentDigest, LeaseUntil: f.leaseUntil, KnowsDecidedPolicy: f.knowsDecidedPolicy}
	if f.knowsDecidedPolicy {
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

// equals reports whether the host needs no update from f to other. It does not compare RehearsalID, on the assumption that RehearsalID
// changes only together with RehearsalDigest.
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

// expire ends a lease or an overlap that has expired.
func (f *follower) expire(c *Core) {
	if f.leaseUntil != 0 && c.now >= f.leaseUntil {
		f.leaseUntil = 0
		c.host.LogEvent(LeaseExpired, "number", f.current.Number)
		c.publishInForce()
	}
	if f.overlapWith != nil && c.now >= f.overlapUntil {
		f.endOverlap()
		c.publishInForce()
	}
}

func (f *follower) endOverlap() { f.overlapWith, f.overlapUntil = nil, 0 }

// requestLease requests a lease, or a renewal, from the leader. It sends nothing while the lease is being given up, until the requests
// admitted under it have been sent to their engines.
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
		to = f.voters[f.nextVoterIndex%len(f.voters)]
		f.nextVoterIndex++
	}
	f.seq++
	f.requests[f.seq%maxTrackedRequests] = sentRequest{f.seq, c.now}
	request := &LeaseRequest{
		Seq: f.seq, LastVersion: f.current, HoldsLease: c.now < f.leaseUntil, UsableDigest: f.usableDigest(c), ReleasedFor: f.releasedFor,
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

// scheduleRequest sets when the next request is due. It reports whether the current request should go to another voter, because the
// leader may have changed.
func (f *follower) scheduleRequest(c *Core) (tryOtherVoter bool) {
	if c.now >= f.leaseUntil {
		f.nextRequestAt = c.now + min(requestRetryMax, requestRetryMin<<min(f.attempts, maxRetryDoublings))
		f.attempts++
		return f.attempts%requestsPerVoter == 0
	}
	f.nextRequestAt, f.attempts = c.now+max(1, f.leaseDuration/renewalDivisor), 0
	if c.now <= f.leaseUntil-f.leaseDuration/2 {
		return false
	}
	f.nextRequestAt = c.now + requestRetryMin // the leader hasn't renewed the lease for half of its length
	return true
}

// usableDigest returns the latest policy that this gateway can apply under a lease.
func (f *follower) usableDigest(c *Core) Digest {
	if c.policies.isUsable(f.decidedDigest) {
		return f.decidedDigest
	}
	return f.currentDigest
}

// neededPolicies returns the policies whose texts this gateway needs.
func (f *follower) neededPolicies() []Digest {
	needed := []Digest{f.currentDigest, f.decidedDigest}
	if f.proposal != nil {
		needed = append(needed, f.proposal.Digest)
	}
	return needed
}

// saveLastPolicy stores which policy this gateway applies. After a restart, its requests report that version, so that voters whose log
// lacks it find out.
func (f *follower) saveLastPolicy(c *Core) {
	record := lastPolicyRecord{f.current, f.currentDigest, f.currentSize, f.voters}
	c.saveRecords([]consensus.Record{{Key: lastPolicyKey, Value: encode(record)}}, func(error) {})
}

// release gives up the lease at once and notifies the leader.
func (f *follower) release(c *Core) {
	f.leaseUntil, f.overlapWith = 0, nil
	c.publishInForce()
	if f.leader == "" {
		return
	}
	f.seq++
	c.send(f.leader, Message{LeaseRequest: &LeaseRequest{Seq: f.seq, LastVersion: f.current, UsableDigest: f.currentDigest, Leaving: true}})
}
