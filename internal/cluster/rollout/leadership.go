package rollout

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// So long all have to give up what they hold, before it is given to them again: some round trips, and what is on its way to engines.
	YieldTimeout = second / 4
	// An entry that was not decided after this long is appended anew; one that was meanwhile changes nothing a second time.
	appendRetryAfter = second
	// Who has had no answer to so many asks is taken for silent, though it is heard.
	MaxUnansweredRequests = 8
	// A probation looks at no share of fewer tasks.
	minJudgedRequests     = 50
	maxLeaseHolders       = 2048
	broadcastFastInterval = second / 4
	broadcastSlowInterval = 5 * second
	maxWaitingProposals   = 8
)

type phase uint8

const (
	preparing  phase = iota // members fetch a proposal, look at it and keep it; leases on the old policy go on
	rehearsing              // they try it on live tasks
	switching               // they give up what they hold
	deciding                // nobody holds anything, and the decision is on its way through the log
)

// guest is a member as the leader knows it.
type leaseHolder struct {
	name           string
	incarnation    uint64
	seq            uint32
	request        LeaseRequest
	lastHeardAt    Time
	leaseClearAt   Time // by then its lease has surely ended
	overlapClearAt Time // and what it may go by besides
	overlapWith    uint64
	overlapSeq     uint32 // the latest ask that was answered so,
	grantedSeq     uint32 // or with a lease
	excluded       bool   // it took no part in time: nothing is given to it until it is heard to hear
	excludedSeq    uint32 // its last ask by then
	awaitsReply    bool   // its ask has had no answer
	awaitedRead    uint64 // whose answer it waits for
}

// lead is what a leader knows while it leads; nothing of it is handed on.
type leadership struct {
	term             uint64
	startedAt        Time
	leasesClearAt    Time // by then all leases that leaders before it gave have ended
	proved           bool // somebody holds a lease on what this one knows as decided: so nothing later has been
	behind           bool // somebody has gone by more than is known here
	holders          []leaseHolder
	confirmingRead   uint64 // the question to a majority that is out; 0: none
	confirmSentAt    Time
	reads            uint64
	phase            phase
	phaseSince       Time // of the phase
	proposalOpenedAt Time // when the proposal was
	rehearsed        bool
	rehearsalCounts  []RequestCounts // at the members, when the rehearsal began here
	pendingEntry     string          // the entry on its way
	pendingSince     Time
	probationNumber  uint64 // the probation that is watched,
	probationSince   Time   // since when
	waiting          []waitingProposal
	maintainVotersAt Time
	broadcastAt      Time   // when all are told next who leads
	missingReplica   uint64 // a voter that is not heard, whose place another could take,
	missingSince     Time   // since when
}

// waiting is a proposal whose text is on its way.
type waitingProposal struct {
	from string
	ProposalRequest
	lastHeardAt Time
}

// led begins to lead, or ends it.
func (v *voter) leadershipChanged(c *Core, term uint64) {
	if term == 0 {
		v.leadership = nil
		return
	}
	l := &leadership{term: term, proposalOpenedAt: c.now, phaseSince: c.now, startedAt: c.now}
	if l.leasesClearAt = c.now + c.config.leaseMargin(v.table.LeaseDuration); c.config.Mutation == SkipLeaseWait {
		l.leasesClearAt = c.now
	}
	v.leadership = l
	c.host.LogEvent(LeaderElected, "term", term, "number", v.table.Number)
	v.broadcastIfDue(c)
}

// call has all that are there know who leads: often before the first lease is given, as whoever knows of more should say so by then.
func (v *voter) broadcastIfDue(c *Core) {
	l := v.leadership
	if c.now < l.broadcastAt {
		return
	}
	if l.broadcastAt = c.now + broadcastSlowInterval; !l.proved && c.now < l.leasesClearAt {
		l.broadcastAt = c.now + broadcastFastInterval
	}
	v.broadcast(c)
}

// word is what the leader says to one member, or to all.
func (v *voter) statusReply(c *Core, g *leaseHolder) *LeaseReply {
	b := &v.table
	a := &LeaseReply{Leader: c.name, Decided: b.version(), Digest: b.Digest, Size: b.Size, Progress: v.describeProgress(c)}
	a.Voters = voterNames(b.Voters)
	if slices.Sort(a.Voters); !slices.Equal(a.Voters, b.WantedVoters) {
		a.WantedVoters = b.WantedVoters
	}
	if p := b.Proposal; p != nil {
		a.Proposal = &ProposalNotice{ID: p.ID, Digest: p.Digest, Size: p.Size, Rehearse: v.leadership.phase == rehearsing, Sources: v.policySources(c, g)}
	}
	return a
}

// sources are a few members that have the proposal's text: others in turn, so that not all ask the same.
func (v *voter) policySources(c *Core, g *leaseHolder) []string {
	out := []string{c.name}
	l := v.leadership
	for range min(len(l.holders), 2) {
		if k := &l.holders[c.random.IntN(len(l.holders))]; k.request.ReadyFor == v.table.Proposal.ID && k != g {
			out = append(out, k.name)
		}
	}
	if len(out) > 1 {
		out = append(out[1:], out[0])
	}
	return out
}

// asked takes in a member's ask: it is answered once a majority has borne out that this voter leads.
func (v *voter) handleLeaseRequest(c *Core, m *Message) {
	if v.checkSuperseded(c, m.LeaseRequest.Floor.Era, m.from) {
		return
	}
	l := v.leadership
	if l == nil {
		if n := v.leaderName(); n != "" && n != c.name {
			c.send(m.from, Message{LeaseReply: &LeaseReply{Seq: m.LeaseRequest.Seq, Leader: n}})
		}
		return
	}
	i, ok := slices.BinarySearchFunc(l.holders, leaseHolder{name: m.from, incarnation: m.Incarnation}, func(a, b leaseHolder) int {
		return cmp.Or(strings.Compare(a.name, b.name), cmp.Compare(a.incarnation, b.incarnation))
	})
	if !ok {
		if len(l.holders) >= maxLeaseHolders {
			return
		}
		l.holders = slices.Insert(l.holders, i, leaseHolder{name: m.from, incarnation: m.Incarnation})
	}
	g := &l.holders[i]
	if m.LeaseRequest.Seq <= g.seq {
		return
	}
	g.seq, g.request, g.lastHeardAt, g.awaitsReply, g.awaitedRead = m.LeaseRequest.Seq, *m.LeaseRequest, c.now, true, 0
	if g.request.Leaving {
		l.holders = slices.Delete(l.holders, i, i+1)
		v.advanceProposal(c)
		return
	}
	if g.request.OverlapWith == 0 && g.seq > g.overlapSeq {
		g.overlapClearAt, g.overlapWith = 0, 0
	}
	p := v.table.Proposal
	if g.request.ReleasedFor != 0 && g.request.MinValidSeq > g.grantedSeq && (p != nil && g.request.ReleasedFor == p.ID || g.request.ReleasedFor == v.table.LastProposal) {
		g.leaseClearAt = 0
	}
	if g.excluded && g.request.AnsweredSeq > g.excludedSeq {
		g.excluded = false
	}
	if l.phase == switching && g.leaseClearAt > c.now && p != nil {
		v.sendYield(c, g)
	}
	v.advanceProposal(c)
	v.confirmLeadership(c)
}

// read asks a majority, for all asks that came by now.
func (v *voter) confirmLeadership(c *Core) {
	l := v.leadership
	if l == nil || l.phase >= switching {
		return // answers wait for the decision
	}
	if l.confirmingRead != 0 && c.now-l.confirmSentAt < requestRetryMax {
		return
	}
	any := false
	for i := range l.holders {
		any = any || l.holders[i].awaitsReply
	}
	if !any {
		l.confirmingRead = 0
		return
	}
	l.reads++
	l.confirmingRead, l.confirmSentAt = l.term<<20|l.reads&(1<<20-1), c.now
	for i := range l.holders {
		if l.holders[i].awaitsReply {
			l.holders[i].awaitedRead = l.confirmingRead
		}
	}
	if c.config.Mutation == GrantWithoutQuorum {
		v.leadershipConfirmed(c, l.confirmingRead)
		return
	}
	v.log.ConfirmLeadership(l.confirmingRead)
}

// confirmed answers who asked before it was asked for.
func (v *voter) leadershipConfirmed(c *Core, read uint64) {
	l := v.leadership
	if l == nil || read != l.confirmingRead {
		return
	}
	l.confirmingRead = 0
	if l.phase >= switching {
		return
	}
	for i := range l.holders {
		if g := &l.holders[i]; g.awaitsReply && g.awaitedRead == read {
			v.observeVersion(c, g)
		}
	}
	for i := range l.holders {
		if g := &l.holders[i]; g.awaitsReply && g.awaitedRead == read {
			v.replyTo(c, g)
		}
	}
	v.advanceProposal(c)
	v.confirmLeadership(c)
}

// prove looks at what a member has gone by: more than is known here means that the voters have lost it; a lease on it, that they have not.
func (v *voter) observeVersion(c *Core, g *leaseHolder) {
	l := v.leadership
	switch at := v.table.version(); {
	case at.Before(g.request.Floor):
		if !l.behind {
			l.behind = true
			c.host.LogEvent(VotersBehind, "member", g.name, "goes_by", g.request.Floor.Number, "era", g.request.Floor.Era, "number", v.table.Number)
		}
	case g.request.Holds && g.request.Floor == at:
		l.proved = true
	}
}

func (v *voter) replyTo(c *Core, g *leaseHolder) {
	l, p := v.leadership, v.table.Proposal
	a := v.statusReply(c, g)
	a.Seq, a.ForIncarnation, a.Confirmed = g.seq, g.incarnation, true
	g.awaitsReply = false
	has := g.request.Has == v.table.Digest || g.request.ReadyFor != 0 && g.request.ReadyFor == v.table.LastProposal
	deaf := g.seq-g.request.AnsweredSeq > MaxUnansweredRequests
	if !l.behind && has && !g.excluded && !deaf && (l.proved || c.now >= l.leasesClearAt) {
		a.Lease = v.table.LeaseDuration
		g.leaseClearAt, g.grantedSeq = max(g.leaseClearAt, c.now+c.config.leaseMargin(a.Lease)), g.seq
		if p != nil && p.Overlap > 0 && g.request.ReadyFor == p.ID && p.Kind != KindRehearsal {
			a.Overlap = p.Overlap
			g.overlapClearAt, g.overlapWith, g.overlapSeq = max(g.overlapClearAt, c.now+c.config.leaseMargin(a.Overlap)), p.ID, g.seq
		}
	}
	c.send(g.name, Message{LeaseReply: a})
}

func (v *voter) sendYield(c *Core, g *leaseHolder) {
	a := v.statusReply(c, g)
	a.YieldFor = v.table.Proposal.ID
	c.send(g.name, Message{LeaseReply: a})
}

// push has all members that are there know what the leader knows, unasked.
func (v *voter) broadcast(c *Core) {
	to := c.host.Peers()
	if !slices.Contains(to, c.name) {
		to = append(slices.Clone(to), c.name)
	}
	for i := range v.leadership.holders {
		if n := v.leadership.holders[i].name; !slices.Contains(to, n) {
			to = append(to, n)
		}
	}
	for _, n := range to {
		c.send(n, Message{LeaseReply: v.statusReply(c, nil)})
	}
}

// write appends an entry; while it is on its way no other is.
func (v *voter) appendEntry(c *Core, what string, e *logEntry) bool {
	l := v.leadership
	if l.pendingEntry != "" && c.now-l.pendingSince < appendRetryAfter {
		return false
	}
	if err := v.log.Append(encode(e)); err != nil {
		return false
	}
	if v.leadership == l { // deciding may have come about within the call
		l.pendingEntry, l.pendingSince = what, c.now
	}
	return true
}

// limit is how long a proposal may stay open: the time to take it, the longest lease that may have to end, its rehearsal, and some
// tries to switch.
func (v *voter) proposalTimeout(c *Core, t *policyText) Time {
	n := c.config.PrepareTimeout + 3*c.config.leaseMargin(max(v.table.LeaseDuration, v.table.Overlap)) + 10*second + v.table.Proposal.RehearsalLength
	if t != nil {
		n += t.terms.RehearsalLength
	}
	return n
}
