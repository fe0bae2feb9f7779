package quota

import "slices"

// voterState holds the state of a voter. At a gateway that is not a voter, index is below 0 and the state is not used.
type voterState struct {
	index        int           // index among the plan's voters; below 0: not a voter
	incarnations []uint64      // latest known incarnation of each voter; a join message of an earlier one is ignored
	knownBy      []uint64      // by voter: its incarnation, if it knew this voter and the same incarnations before this voter opened; else 0
	openAt       Time          // when the voter starts to confirm shares; Never: not all voters know it yet
	holders      []shareHolder // by share
}

// shareHolder is the process to which a voter has confirmed a share.
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

// joinVoters makes a voter that has not joined yet send its incarnation to the voters that do not know it.
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

// restartJoin closes a voter and makes it join again from the beginning.
func (c *Core) restartJoin() {
	c.voter.openAt = Never
	clear(c.voter.knownBy)
	c.voter.knownBy[c.voter.index] = c.incarnation
}

// openVoter sets the time at which a voter opens, if all other voters know its incarnation and the same incarnations of each other.
// From then on, no confirmation by an earlier process of its name counts together with a confirmation by another voter. The voter opens
// one share term later, when every share that was confirmed before has ended.
func (c *Core) openVoter() {
	v := &c.voter
	votersKnowing := 0
	for i := range v.knownBy {
		if i != v.index && v.knownBy[i] != 0 {
			votersKnowing++
		}
	}
	if v.incarnations[v.index] > c.incarnation {
		return // a later process has this voter's name
	}
	incomplete := votersKnowing < len(v.knownBy)-1
	if incomplete && (c.plan.Mutation != JoinWithoutAllVoters || votersKnowing == 0) {
		return
	}
	v.openAt = c.now + c.plan.withDrift(c.plan.ShareTerm)
	if c.plan.Mutation == OpenVoterAtOnce {
		v.openAt = c.now
	}
}

// learnIncarnations stores later incarnations of the voters. A voter that has not joined yet then starts again, because all voters must
// know the same incarnations.
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

// otherVoter returns the index of the voter that sent a message between voters. It returns false if this process or the sender is not a
// voter, or if the message has another number of voters than the plan.
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

// handleShareClaim confirms a share to its claimant. It rejects the claim while another process holds the share and its term may not
// have ended on that process's clock, unless the claimant has the same name and lists that process as a predecessor.
func (c *Core) handleShareClaim(m Message) {
	if c.voter.index < 0 || c.now < c.voter.openAt || m.Share < 0 || m.Share >= len(c.voter.holders) || m.PlanRevision < c.highestRevision {
		return
	}
	holder := &c.voter.holders[m.Share]
	if holder.name == c.name && holder.incarnation == c.incarnation && m.Sender != c.name {
		c.stopClaiming(m.Share)
	}
	succeeds := holder.name == m.Sender &&
		(slices.Contains(m.Predecessors, holder.incarnation) || len(m.Predecessors) > 0 && c.plan.Mutation == SucceedAnyHolder)
	sameHolder := holder.name == m.Sender && holder.incarnation == m.SenderIncarnation
	if holder.incarnation > 0 && c.now < holder.until && !sameHolder && !succeeds {
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
			*holder = shareHolder{until: c.now} // others take over the share only after a delay, so that a prompt successor gets it first
		}
	}
}

// takeOverShares makes an open voter claim the shares that have had no holder for a quarter of a term, or never had one, so that the
// units of dead members are used again. The time without a holder starts when this voter opened at the earliest. The voters alternate
// at each share, one term each, so that a dead voter leaves no share unused.
func (c *Core) takeOverShares() {
	if c.voter.index < 0 || c.now < c.voter.openAt || c.voter.openAt == Never {
		return
	}
	for share := range c.voter.holders {
		idle := c.now - max(c.voter.holders[share].until, c.voter.openAt)
		designatedVoter := (share + int(idle/c.plan.ShareTerm)) % len(c.plan.Voters)
		claimed := slices.ContainsFunc(c.claims, func(k shareClaim) bool { return k.share == share })
		if idle >= c.plan.ShareTerm/4 && designatedVoter == c.voter.index && !claimed {
			c.claims = append(c.claims, shareClaim{share: share, heldUntil: c.now, nextClaimAt: c.now})
		}
	}
}
