package rollout

import "slices"

const (
	// YieldTimeout is how long members may take to give up their leases before the leader grants leases again. It covers some round trips
	// and the time to finish sending requests to engines.
	YieldTimeout = second / 4
	// appendRetryAfter is how long the leader waits for an entry to be decided before it may append another. The same entry may then be
	// decided twice, and the second one changes nothing.
	appendRetryAfter = second
	// MaxUnansweredRequests limits how many requests of a member may stay unanswered before the leader assumes that its replies don't
	// reach the member.
	MaxUnansweredRequests = 8
	// minRequestsForBounds is the smallest number of requests by which the bounds of a rehearsal or a probation are checked.
	minRequestsForBounds = 50
	maxLeaseHolders      = 2048
	// A leader broadcasts at the fast interval until leases can be granted, then at the slow one.
	broadcastFastInterval = second / 4
	broadcastSlowInterval = 5 * second
	maxWaitingProposals   = 8
	// The ID of a read has the count of reads in its low readCountBits bits and the term in the bits above.
	readCountBits = 20
	// maxRandomSources limits how many members are drawn at random as sources of the proposal's text, in addition to the leader.
	maxRandomSources = 2
)

// phase is the phase of the open proposal at the leader.
type phase uint8

const (
	preparing  phase = iota // members fetch, check and store the policy; leases on the policy in force are still granted
	rehearsing              // members evaluate the policy on live requests
	switching               // members give up their leases, and the leader grants none
	deciding                // no lease is running, and the decision was appended to the log or is about to be
)

// leaseHolder is the leader's state for one process that requests leases.
type leaseHolder struct {
	name        string
	incarnation uint64

	// The latest request. The leader replies to it once a majority has confirmed the read awaitedRead.
	seq           uint32
	request       LeaseRequest
	lastRequestAt Time
	awaitsReply   bool
	awaitedRead   uint64

	// The member's lease and overlap have certainly ended at leaseClearAt and overlapClearAt, even if its clock runs slower.
	leaseClearAt   Time
	overlapClearAt Time
	overlapWith    uint64 // the proposal of the member's overlap
	overlapSeq     uint32 // the latest request that was answered with an overlap
	grantedSeq     uint32 // the latest request that was answered with a lease

	// A member is excluded if it was not ready in time or kept its lease too long. It gets no lease until it has received a reply to a later
	// request than excludedSeq, or until a proposal is decided after its lease has ended.
	excluded    bool
	excludedSeq uint32
}

// leadership is the state of this voter while it leads. The next leader starts without it.
type leadership struct {
	term          uint64
	startedAt     Time
	leasesClearAt Time // by then, all leases that earlier leaders granted have expired
	// latestVerified is set once the leader knows that no later policy than its own was decided: a member holds a lease on the leader's
	// policy, or this leader decided the policy itself.
	latestVerified bool
	// votersBehind is set once a member reports that it has applied a later policy than this leader knows of. The voters have lost the
	// decision on that policy.
	votersBehind bool
	holders      []leaseHolder // sorted by name and incarnation

	confirmation confirmation
	change       change
	pending      pendingEntry
	probation    probationWatch
	missing      missingVoter

	waiting          []waitingProposal
	maintainVotersAt Time
	broadcastAt      Time
}

// confirmation is the outstanding read that a majority must confirm, and with it that this voter still leads.
type confirmation struct {
	read      uint64 // the ID of the read; 0: none is outstanding
	sentAt    Time
	readCount uint64 // the number of reads so far
}

// change is the progress of the open proposal.
type change struct {
	phase      phase
	phaseSince Time
	openedAt   Time
	rehearsed  bool
}

// pendingEntry records whether an appended entry is not decided yet, and when it was appended.
type pendingEntry struct {
	appended bool
	since    Time
}

// probationWatch is the number of the policy on probation, and when this leader started to watch it.
type probationWatch struct {
	number uint64
	since  Time
}

// missingVoter is a voter from which no messages arrive. Another replica may replace it after voterReplaceableAfter.
type missingVoter struct {
	replicaID uint64 // 0: none
	since     Time
}

// waitingProposal is a proposal that waits until its text is fetched and checked.
type waitingProposal struct {
	from string
	ProposalRequest
	lastReceivedAt Time
}

// leadershipChanged starts this voter's leadership of the given term, or ends its leadership if the term is 0.
func (v *voter) leadershipChanged(c *Core, term uint64) {
	if term == 0 {
		v.leadership = nil
		return
	}
	leader := &leadership{term: term, startedAt: c.now, change: change{openedAt: c.now, phaseSince: c.now}}
	leader.leasesClearAt = c.now + c.config.leaseMargin(v.table.LeaseDuration)
	if c.config.Mutation == SkipLeaseWait {
		leader.leasesClearAt = c.now
	}
	v.leadership = leader
	c.host.LogEvent(LeaderElected, "term", term, "number", v.table.Number)
	v.broadcastIfDue(c)
}

// broadcastIfDue announces the leader to all members at intervals, so that a member that has applied a later policy reports it before the
// first lease is granted.
func (v *voter) broadcastIfDue(c *Core) {
	leader := v.leadership
	if c.now < leader.broadcastAt {
		return
	}
	leader.broadcastAt = c.now + broadcastSlowInterval
	if !leader.latestVerified && c.now < leader.leasesClearAt {
		leader.broadcastAt = c.now + broadcastFastInterval
	}
	v.broadcast(c)
}

// broadcast sends the leader's status to all members that are alive or have sent a request.
func (v *voter) broadcast(c *Core) {
	to := c.host.Peers()
	if !slices.Contains(to, c.name) {
		to = append(slices.Clone(to), c.name)
	}
	for i := range v.leadership.holders {
		if name := v.leadership.holders[i].name; !slices.Contains(to, name) {
			to = append(to, name)
		}
	}
	for _, name := range to {
		c.send(name, Message{LeaseReply: v.statusReply(c, nil)})
	}
}

// statusReply returns a reply with the leader's status for one member, or for all members if to is nil. It contains no lease.
func (v *voter) statusReply(c *Core, to *leaseHolder) *LeaseReply {
	table := &v.table
	reply := &LeaseReply{Leader: c.name, Decided: table.version(), Digest: table.Digest, Size: table.Size, Progress: v.describeProgress(c)}
	reply.Voters = voterNames(table.Voters)
	slices.Sort(reply.Voters)
	if !slices.Equal(reply.Voters, table.WantedVoters) {
		reply.WantedVoters = table.WantedVoters
	}
	if p := table.Proposal; p != nil {
		rehearse := v.leadership.change.phase == rehearsing
		reply.Proposal = &ProposalNotice{ID: p.ID, Digest: p.Digest, Size: p.Size, Rehearse: rehearse, Sources: v.policySources(c, to)}
	}
	return reply
}

// policySources returns a few members that have the proposal's text. They are drawn at random so that not all members fetch the text from
// the same one. The leader is the last one.
func (v *voter) policySources(c *Core, to *leaseHolder) []string {
	sources := []string{c.name}
	holders := v.leadership.holders
	for range min(len(holders), maxRandomSources) {
		h := &holders[c.random.IntN(len(holders))]
		if h.request.ReadyFor == v.table.Proposal.ID && h != to {
			sources = append(sources, h.name)
		}
	}
	if len(sources) > 1 {
		sources = append(sources[1:], sources[0])
	}
	return sources
}

// appendEntry appends an entry to the log, unless another one is pending, and reports whether it did.
func (v *voter) appendEntry(c *Core, e *logEntry) bool {
	leader := v.leadership
	if leader.pending.appended && c.now-leader.pending.since < appendRetryAfter {
		return false
	}
	if err := v.log.Append(encode(e)); err != nil {
		return false
	}
	if v.leadership == leader { // a sole voter applies the entry during the call and may have lost its leadership after it
		leader.pending = pendingEntry{true, c.now}
	}
	return true
}
