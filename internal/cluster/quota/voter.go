package quota

import "slices"

// voterState is what a voter knows. A gateway that is no voter keeps an index below 0 and what it hears of the voters' incarnations.
type voterState struct {
	index        int           // place among the plan's voters; below 0: it is none
	incarnations []uint64      // of the voters, as far as known; messages of earlier ones count no more
	knownBy      []uint64      // incarnation of each voter that knew this one, and the same incarnations, when it opened; 0: not yet
	openAt       Time          // from when it confirms shares; Never: not all voters know it yet
	holders      []shareHolder // by share
}

// shareHolder is whom a voter has confirmed a share to.
type shareHolder struct {
	name        string
	incarnation uint64
	until       Time
}

func newVoterState(plan *Plan, name string, incarnation uint64) voterState {
	v := voterState{index: slices.Index(plan.Voters, name), incarnations: make([]uint64, len(plan.Voters)), openAt: Never}
	if v.index >= 0 {
		v.incarnations[v.index] = incarnation
		v.knownBy = make([]uint64, len(plan.Voters))
		v.knownBy[v.index] = incarnation
		v.holders = make([]shareHolder, plan.Shares)
	}
	return v
}

// joinVoters has a voter that is not open ask the other voters to learn its incarnation.
func (c *Core) joinVoters() {
	if c.voter.openAt != Never || c.voter.index < 0 {
		return
	}
	for i, voter := range c.plan.Voters {
		if c.voter.knownBy[i] == 0 {
			c.send(voter, Message{Kind: KindVoterJoin, VoterIncarnations: slices.Clone(c.voter.incarnations)})
		}
	}
}

// restartJoin has a voter join, or join again.
func (c *Core) restartJoin() {
	c.voter.openAt = Never
	clear(c.voter.knownBy)
	c.voter.knownBy[c.voter.index] = c.incarnation
}

// openVoter opens a voter once all other voters know its incarnation, and the same incarnations of each other. What an earlier process
// under its name has confirmed can then no more be counted together with a confirmation of theirs, and what was counted before has
// ended after a term.
func (c *Core) openVoter() {
	v := &c.voter
	others := 0
	for i := range v.knownBy {
		if i != v.index && v.knownBy[i] != 0 {
			others++
		}
	}
	if v.incarnations[v.index] > c.incarnation {
		return // a later process has its name
	}
	alone := others < len(v.knownBy)-1
	if alone && (c.plan.Mutation != JoinWithoutAllVoters || others == 0) {
		return
	}
	v.openAt = c.now + c.plan.withDrift(c.plan.ShareTerm)
	if c.plan.Mutation == OpenVoterAtOnce {
		v.openAt = c.now
	}
}

// learnIncarnations takes in the voters' incarnations. A voter that is not open must be known anew by those that are new.
func (c *Core) learnIncarnations(incarnations []uint64) {
	for i, incarnation := range incarnations {
		if incarnation <= c.voter.incarnations[i] {
			continue
		}
		c.voter.incarnations[i] = incarnation
		if c.voter.openAt == Never {
			c.restartJoin()
		}
	}
}

// otherVoter returns the index of the voter that sent a message between voters; false: this process or the sender is none,
// or the message does not fit the plan.
func (c *Core) otherVoter(m Message) (int, bool) {
	sender := slices.Index(c.plan.Voters, m.Sender)
	return sender, sender >= 0 && c.voter.index >= 0 && len(m.VoterIncarnations) == len(c.voter.incarnations)
}

func (c *Core) handleVoterJoin(m Message) {
	sender, ok := c.otherVoter(m)
	if !ok || sender == c.voter.index || m.SenderIncarnation < c.voter.incarnations[sender] {
		return
	}
	if c.plan.Mutation != JoinWithUnequalIncarnations {
		c.learnIncarnations(m.VoterIncarnations)
	}
	c.send(m.Sender, Message{Kind: KindVoterJoined, RecipientIncarnation: m.SenderIncarnation, VoterIncarnations: slices.Clone(c.voter.incarnations)})
}

func (c *Core) handleVoterJoined(m Message) {
	sender, ok := c.otherVoter(m)
	if !ok || m.RecipientIncarnation != c.incarnation {
		return
	}
	c.learnIncarnations(m.VoterIncarnations)
	if c.voter.openAt != Never || m.SenderIncarnation != c.voter.incarnations[sender] {
		return
	}
	if slices.Equal(m.VoterIncarnations, c.voter.incarnations) || c.plan.Mutation == JoinWithUnequalIncarnations {
		c.voter.knownBy[sender] = m.SenderIncarnation
		c.openVoter()
	}
}

// handleShareClaim confirms a share to one holder at a time, until its term has surely ended by that holder's clock.
func (c *Core) handleShareClaim(m Message) {
	if c.voter.index < 0 || c.now < c.voter.openAt || m.Share < 0 || m.Share >= len(c.voter.holders) || m.PlanRevision < c.highestNumber {
		return
	}
	holder := &c.voter.holders[m.Share]
	if holder.name == c.name && holder.incarnation == c.incarnation && m.Sender != c.name {
		c.stopClaiming(m.Share)
	}
	succeeds := holder.name == m.Sender &&
		(slices.Contains(m.Predecessors, holder.incarnation) || len(m.Predecessors) > 0 && c.plan.Mutation == SucceedAnyHolder)
	same := holder.name == m.Sender && holder.incarnation == m.SenderIncarnation
	if holder.incarnation > 0 && c.now < holder.until && !same && !succeeds {
		c.send(m.Sender, Message{Kind: KindReject, RecipientIncarnation: m.SenderIncarnation, Share: m.Share})
		return
	}
	*holder = shareHolder{m.Sender, m.SenderIncarnation, c.now + c.plan.withDrift(c.plan.ShareTerm)}
	c.send(m.Sender, Message{Kind: KindShareConfirm, RecipientIncarnation: m.SenderIncarnation, Share: m.Share, Sequence: m.Sequence,
		VoterIncarnations: slices.Clone(c.voter.incarnations), KnownIncarnations: slices.Clone(c.voter.knownBy)})
}

func (c *Core) handleShareRelease(m Message) {
	for i := range c.voter.holders {
		holder := &c.voter.holders[i]
		if holder.name == m.Sender && holder.incarnation == m.SenderIncarnation {
			*holder = shareHolder{until: c.now} // a successor that comes soon is before those that take over
		}
	}
}

// takeOverShares has a voter claim the shares that nobody has held for a quarter of a term, or ever, so that the units of dead members are
// used again. Voters take turns at each share, a term at a time, so that a voter that is dead itself leaves none idle.
func (c *Core) takeOverShares() {
	if c.voter.index < 0 || c.now < c.voter.openAt || c.voter.openAt == Never {
		return
	}
	for share := range c.voter.holders {
		idle := c.now - max(c.voter.holders[share].until, c.voter.openAt)
		turn := (share + int(idle/c.plan.ShareTerm)) % len(c.plan.Voters)
		claimed := slices.ContainsFunc(c.claims, func(k shareClaim) bool { return k.share == share })
		if idle >= c.plan.ShareTerm/4 && turn == c.voter.index && !claimed {
			c.claims = append(c.claims, shareClaim{share: share, heldUntil: c.now, nextClaimAt: c.now})
		}
	}
}
