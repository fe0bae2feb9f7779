package rollout

import "slices"

const (
	// YieldTimeout is for how long members may take to give up their leases before these are granted again: some round trips, and what
	// is on its way to engines.
	YieldTimeout = second / 4
	// An entry that was not decided after this long is appended again. If it was decided meanwhile, the second one changes nothing.
	appendRetryAfter = second
	// MaxUnansweredRequests is after how many requests without an answer a member that is heard is taken for one that doesn't hear.
	MaxUnansweredRequests = 8
	// No bound is judged by fewer requests.
	minJudgedRequests = 50
	maxLeaseHolders   = 2048
	// The leader makes itself known often until the first lease is granted, then rarely.
	broadcastFastInterval = second / 4
	broadcastSlowInterval = 5 * second
	maxWaitingProposals   = 8
	// Of the number of a read, the low bits count reads and those above them hold the term.
	readCountBits = 20
	// So many members are drawn as sources of the proposal's text beside the leader.
	maxDrawnSources = 2
)

// phase is how far the open proposal is.
type phase uint8

const (
	preparing  phase = iota // members fetch, check and store it, while leases on the policy in force go on
	rehearsing              // members try it on live requests
	switching               // members give up their leases
	deciding                // no lease runs, and the decision is on its way through the log
)

// leaseHolder is a member as the leader knows it.
type leaseHolder struct {
	name        string
	incarnation uint64

	// Its latest request. A read that a majority confirms answers it.
	seq         uint32
	request     LeaseRequest
	lastHeardAt Time
	awaitsReply bool
	awaitedRead uint64

	// What it was granted: by these times its lease and its overlap have surely ended.
	leaseClearAt   Time
	overlapClearAt Time
	overlapWith    uint64 // the proposal of its overlap
	overlapSeq     uint32 // the latest request that was answered with an overlap
	grantedSeq     uint32 // and with a lease

	// A member that took no part in time gets no lease until it answers to a later message than excludedSeq.
	excluded    bool
	excludedSeq uint32
}

// leadership is what a leader knows while it leads; nothing of it passes to the next leader.
type leadership struct {
	term          uint64
	startedAt     Time
	leasesClearAt Time // leases that earlier leaders granted have ended by then
	// proved says that somebody holds a lease on the policy that this leader knows as decided, so that nothing later was decided.
	proved bool
	// behind says that somebody has gone by a later policy than this leader knows: the voters have lost it.
	behind  bool
	holders []leaseHolder // by name and incarnation

	confirming confirmation
	change     change
	pending    pendingEntry
	probation  probationWatch
	missing    missingVoter

	waiting          []waitingProposal
	maintainVotersAt Time
	broadcastAt      Time
}

// confirmation is the read that a majority is asked to confirm.
type confirmation struct {
	read   uint64 // 0: none
	sentAt Time
	count  uint64 // of reads
}

// change is how far the open proposal is.
type change struct {
	phase      phase
	phaseSince Time
	openedAt   Time
	rehearsed  bool
}

// pendingEntry is whether an entry is on its way through the log.
type pendingEntry struct {
	appended bool
	since    Time
}

// probationWatch is the policy on probation that is watched.
type probationWatch struct {
	number uint64
	since  Time
}

// missingVoter is a voter that is not heard, whose place another replica may take in time.
type missingVoter struct {
	replicaID uint64 // 0: none
	since     Time
}

// waitingProposal is a proposal whose text is on its way.
type waitingProposal struct {
	from string
	ProposalRequest
	lastHeardAt Time
}

// leadershipChanged begins to lead in a term, or ends it with a term of 0.
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

// broadcastIfDue has all members know the leader, so that one that has gone by a later policy says so before the first lease is granted.
func (v *voter) broadcastIfDue(c *Core) {
	leader := v.leadership
	if c.now < leader.broadcastAt {
		return
	}
	leader.broadcastAt = c.now + broadcastSlowInterval
	if !leader.proved && c.now < leader.leasesClearAt {
		leader.broadcastAt = c.now + broadcastFastInterval
	}
	v.broadcast(c)
}

// broadcast tells all members that are up what the leader knows.
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

// statusReply is what the leader tells one member, or with a nil holder all.
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

// policySources are a few members that have the proposal's text, drawn so that not all members fetch it from the same one.
func (v *voter) policySources(c *Core, to *leaseHolder) []string {
	sources := []string{c.name}
	holders := v.leadership.holders
	for range min(len(holders), maxDrawnSources) {
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

// appendEntry appends an entry to the log, unless another is on its way, and tells whether it did.
func (v *voter) appendEntry(c *Core, e *logEntry) bool {
	leader := v.leadership
	if leader.pending.appended && c.now-leader.pending.since < appendRetryAfter {
		return false
	}
	if err := v.log.Append(encode(e)); err != nil {
		return false
	}
	if v.leadership == leader { // a sole voter applies the entry within the call, and may lead no more after it
		leader.pending = pendingEntry{true, c.now}
	}
	return true
}
