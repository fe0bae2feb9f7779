package rollout

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/cluster/consensus"
)

// The methods in this file let a model checker drive a core one step at a time: they copy a core, pass it decoded messages and a log that
// the checker provides, and return the state that determines the core's next steps. They don't change how a core behaves.

// MessageSender is a host that accepts messages without encoding. A core calls SendMessage in place of Host.Send on a host that implements
// it, so that a model checker need not encode and decode messages. The message must not be changed afterwards.
type MessageSender interface {
	SendMessage(to string, m *Message)
}

// Clone returns a copy of the core that uses another host and another random source. The copy of a core with a voter uses log as the
// voters' log. The copy shares the policy texts.
func (c *Core) Clone(host Host, log Log, random *rand.Rand) *Core {
	clone := *c
	clone.host, clone.random = host, random
	clone.follower.voters = slices.Clone(c.follower.voters)
	clone.proposals = slices.Clone(c.proposals)
	if c.voter == nil {
		return &clone
	}
	v := *c.voter
	v.log, v.table = log, *c.voter.table.clone()
	if v.leadership != nil {
		l := *v.leadership
		l.holders = slices.Clone(l.holders)
		v.leadership = &l
	}
	clone.voter = &v
	return &clone
}

// JoinVoters makes a core without a voter a voter of an existing log, with the replica ID by which the log and the table list it.
func (c *Core) JoinVoters(log Log, table Table, replicaID uint64) {
	c.voter = &voter{log: log, table: table, replicaID: replicaID, replicaIDSaved: true}
}

// LogHost returns the host for the voters' log of a core that votes.
func (c *Core) LogHost() consensus.Host { return voterHost{c, c.voter} }

// AddPolicy adds a policy's text to the core, as if it had been fetched and stored.
func (c *Core) AddPolicy(text []byte) { c.policies.add(c, DigestOf(text), text, true) }

// HandleDecoded does what HandleMessage does, for a message that is not encoded.
func (c *Core) HandleDecoded(now Time, from string, m Message) {
	c.advanceClock(now)
	m.from = from
	c.dispatch(&m)
}

// Advance ends an expired lease or overlap and moves the open proposal on as far as possible. Unlike Tick it sends no periodic messages.
func (c *Core) Advance(now Time) {
	c.advanceClock(now)
	c.follower.expire(c)
	if c.voter != nil && c.voter.leadership != nil {
		c.voter.advanceProposal(c)
	}
}

// RequestLease sends a request for a lease now. The gateway takes leader for the current leader and lastLease for the length of its last
// lease.
func (c *Core) RequestLease(now Time, leader string, lastLease Time) {
	c.advanceClock(now)
	c.follower.leader, c.follower.leaseDuration = leader, lastLease
	c.follower.requestLease(c)
}

// AppendProposal makes a leader append a proposal to the log. The caller makes sure that all members have the policy's text.
func (c *Core) AppendProposal(p *LoggedProposal) {
	c.voter.appendEntry(c, &logEntry{Proposal: p})
}

// GrantsLeases reports whether this core leads and is not switching to another policy.
func (c *Core) GrantsLeases() bool {
	return c.voter != nil && c.voter.leadership != nil && c.voter.leadership.change.phase < switching
}

// LastPolicyRecord returns the record that stores, in a folder, the latest policy that this gateway has applied.
func (c *Core) LastPolicyRecord() consensus.Record {
	f := &c.follower
	return consensus.Record{Key: lastPolicyKey, Value: encode(lastPolicyRecord{f.current, f.currentDigest, f.currentSize, f.voters})}
}

// IsDecision reports whether an entry of the voters' log puts a policy in force.
func IsDecision(encoded []byte) bool {
	var e logEntry
	return unmarshal(encoded, &e) == nil && e.Decide != nil
}

// ApplyEncoded applies an encoded entry of the voters' log. It ignores an entry that it can't decode, as voters do.
func (t *Table) ApplyEncoded(encoded []byte) {
	var e logEntry
	if unmarshal(encoded, &e) == nil {
		t.apply(&e)
	}
}

// GatewayState is the state of a core as a gateway that applies policies. A proposal ID of zero stands for no proposal.
type GatewayState struct {
	Current, Decided Version // the version that it applied last, and the latest version that it knows as decided
	LeaseUntil       Time
	ProposalID       uint64 // the open proposal that the leader announced last
	ReadyFor         uint64
	ReleasedFor      uint64
	OverlapWith      uint64
	OverlapUntil     Time
	Seq              uint32 // the latest request
	AnsweredSeq      uint32 // the latest request that was answered
	MinValidSeq      uint32 // leases in replies to earlier requests are ignored
	Requests         [maxTrackedRequests]SentRequest
}

// SentRequest identifies a request for a lease and the time when it was sent.
type SentRequest struct {
	Seq    uint32
	SentAt Time
}

// GatewayState returns the state of this core as a gateway.
func (c *Core) GatewayState() GatewayState {
	f := &c.follower
	s := GatewayState{
		Current: f.current, Decided: f.decided, LeaseUntil: f.leaseUntil, ReadyFor: f.readyFor, ReleasedFor: f.releasedFor,
		OverlapUntil: f.overlapUntil, Seq: f.seq, AnsweredSeq: f.answeredSeq, MinValidSeq: f.minValidSeq,
	}
	if f.proposal != nil {
		s.ProposalID = f.proposal.ID
	}
	if f.overlapWith != nil {
		s.OverlapWith = f.overlapWith.ID
	}
	for i, r := range f.requests {
		s.Requests[i] = SentRequest{r.seq, r.sentAt}
	}
	return s
}

// LeaderState is the state of a core as the voters' leader.
type LeaderState struct {
	LeasesClearAt       Time // by then, all leases that earlier leaders granted have expired
	OverlapsClearAt     Time // by then, all overlaps that earlier leaders granted have expired
	LatestVerified      bool
	VotersBehind        bool
	EntryPending        bool
	ConfirmationPending bool
	Phase               int
	PhaseSince          Time
	ProposalOpen        bool
	ProposalSince       Time
	Holders             []HolderState
}

// HolderState is a leader's state for one member.
type HolderState struct {
	Name               string
	Incarnation        uint64
	Seq                uint32
	HoldsLease         bool
	ReadyFor           uint64
	LastRequestAt      Time
	LeaseClearAt       Time
	OverlapClearAt     Time
	OverlapWith        uint64
	OverlapSeq         uint32
	GrantedSeq         uint32
	Excluded           bool
	ExcludedSeq        uint32
	AwaitsReply        bool
	AwaitsConfirmation bool
}

// LeaderState returns the state of this core as the leader. The second result is false if the core doesn't lead.
func (c *Core) LeaderState() (LeaderState, bool) {
	if c.voter == nil || c.voter.leadership == nil {
		return LeaderState{}, false
	}
	table, l := &c.voter.table, c.voter.leadership
	s := LeaderState{
		LeasesClearAt: l.leasesClearAt, OverlapsClearAt: l.startedAt + c.config.leaseMargin(table.Overlap), LatestVerified: l.latestVerified, VotersBehind: l.votersBehind,
		EntryPending: l.pending.appended, ConfirmationPending: l.confirmation.read != 0, Phase: int(l.change.phase), PhaseSince: l.change.phaseSince,
		ProposalOpen: table.Proposal != nil, ProposalSince: l.change.openedAt,
	}
	for i := range l.holders {
		h := &l.holders[i]
		s.Holders = append(s.Holders, HolderState{
			Name: h.name, Incarnation: h.incarnation, Seq: h.seq, HoldsLease: h.request.HoldsLease, ReadyFor: h.request.ReadyFor, LastRequestAt: h.lastRequestAt,
			LeaseClearAt: h.leaseClearAt, OverlapClearAt: h.overlapClearAt, OverlapWith: h.overlapWith, OverlapSeq: h.overlapSeq,
			GrantedSeq: h.grantedSeq, Excluded: h.excluded, ExcludedSeq: h.excludedSeq, AwaitsReply: h.awaitsReply, AwaitsConfirmation: h.awaitedRead != 0,
		})
	}
	return s, true
}
