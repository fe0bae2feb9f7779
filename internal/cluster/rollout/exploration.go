package rollout

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/cluster/consensus"
)

// The methods of this file let a model checker drive a core one step at a time: they copy it, hand it decoded messages and a log of
// the checker's own, and show the state that decides what it does next. They change nothing about how a core behaves.

// MessageSender is a host that takes messages as they are. A core calls SendMessage in place of Host.Send on a host that has it, so that
// a model checker need not encode and decode them; the message must not be changed afterwards.
type MessageSender interface {
	SendMessage(to string, m *Message)
}

// Clone returns a copy of the core that acts on another host and draws from another random source. A core that votes gets log for
// its voters' log. Policy texts are shared with the copy.
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

// JoinVoters has a core without a voter decide on a log that already exists, as the replica that the log and the table name.
func (c *Core) JoinVoters(log Log, table Table, replicaID uint64) {
	c.voter = &voter{log: log, table: table, replicaID: replicaID, replicaIDSaved: true}
}

// LogHost is what the log of a core that votes reports to.
func (c *Core) LogHost() consensus.Host { return voterHost{c, c.voter} }

// AddPolicy gives the core the text of a policy, as if it had been fetched and stored.
func (c *Core) AddPolicy(text []byte) { c.policies.add(c, DigestOf(text), text, true) }

// HandleDecoded is HandleMessage for a message that was not encoded.
func (c *Core) HandleDecoded(now Time, from string, m Message) {
	c.advanceClock(now)
	m.from = from
	c.dispatch(&m)
}

// Advance ends what has expired and takes a change as far as it can go. Unlike Tick it sends no periodic message.
func (c *Core) Advance(now Time) {
	c.advanceClock(now)
	c.follower.expire(c)
	if c.voter != nil && c.voter.leadership != nil {
		c.voter.advanceProposal(c)
	}
}

// RequestLease sends a request for a lease now, as a gateway does that takes leader for the leader and held its last lease for
// lastLease.
func (c *Core) RequestLease(now Time, leader string, lastLease Time) {
	c.advanceClock(now)
	c.follower.leader, c.follower.leaseDuration = leader, lastLease
	c.follower.requestLease(c)
}

// AppendProposal has a leader append a proposal whose text all members have.
func (c *Core) AppendProposal(p *LoggedProposal) {
	c.voter.appendEntry(c, &logEntry{Proposal: p})
}

// GrantsLeases tells whether this core leads and is not switching to another policy.
func (c *Core) GrantsLeases() bool {
	return c.voter != nil && c.voter.leadership != nil && c.voter.leadership.change.phase < switching
}

// LastPolicyRecord is the record by which a folder remembers the policy that this gateway went by last.
func (c *Core) LastPolicyRecord() consensus.Record {
	f := &c.follower
	return consensus.Record{Key: floorKey, Value: encode(floorRecord{f.current, f.currentDigest, f.currentSize, f.voters})}
}

// IsDecision tells whether an entry of the voters' log puts a policy in force.
func IsDecision(encoded []byte) bool {
	var e logEntry
	return unmarshal(encoded, &e) == nil && e.Decide != nil
}

// ApplyEncoded applies an entry of the voters' log. It passes over one that it can't decode, as voters do.
func (t *Table) ApplyEncoded(encoded []byte) {
	var e logEntry
	if unmarshal(encoded, &e) == nil {
		t.apply(&e)
	}
}

// GatewayState is what a core knows as a gateway that goes by policies. Zero stands for no proposal.
type GatewayState struct {
	Current, Decided Version // the version it went by last, and the latest it knows as decided
	LeaseUntil       Time
	ProposalID       uint64 // the open proposal as far as it has heard
	ReadyFor         uint64
	ReleasedFor      uint64
	OverlapWith      uint64
	OverlapUntil     Time
	Seq              uint32 // of its latest request
	AnsweredSeq      uint32 // the latest request that was answered
	MinValidSeq      uint32 // answers to earlier requests don't count
	Requests         [maxTrackedRequests]SentRequest
}

// SentRequest is a request for a lease and when it was sent.
type SentRequest struct {
	Seq    uint32
	SentAt Time
}

// GatewayState returns it.
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

// LeaderState is what a core knows as the voters' leader.
type LeaderState struct {
	LeasesClearAt       Time // leases that earlier leaders gave have ended by then
	OverlapsClearAt     Time // and so have the overlaps that they allowed
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

// HolderState is what a leader knows of one member.
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

// LeaderState returns it, and false for a core that doesn't lead.
func (c *Core) LeaderState() (LeaderState, bool) {
	if c.voter == nil || c.voter.leadership == nil {
		return LeaderState{}, false
	}
	table, l := &c.voter.table, c.voter.leadership
	s := LeaderState{
		LeasesClearAt: l.leasesClearAt, OverlapsClearAt: l.startedAt + c.config.leaseMargin(table.Overlap), LatestVerified: l.proved, VotersBehind: l.behind,
		EntryPending: l.pending.appended, ConfirmationPending: l.confirming.read != 0, Phase: int(l.change.phase), PhaseSince: l.change.phaseSince,
		ProposalOpen: table.Proposal != nil, ProposalSince: l.change.openedAt,
	}
	for i := range l.holders {
		h := &l.holders[i]
		s.Holders = append(s.Holders, HolderState{
			Name: h.name, Incarnation: h.incarnation, Seq: h.seq, HoldsLease: h.request.Holds, ReadyFor: h.request.ReadyFor, LastRequestAt: h.lastHeardAt,
			LeaseClearAt: h.leaseClearAt, OverlapClearAt: h.overlapClearAt, OverlapWith: h.overlapWith, OverlapSeq: h.overlapSeq,
			GrantedSeq: h.grantedSeq, Excluded: h.excluded, ExcludedSeq: h.excludedSeq, AwaitsReply: h.awaitsReply, AwaitsConfirmation: h.awaitedRead != 0,
		})
	}
	return s, true
}
