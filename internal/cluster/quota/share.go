package quota

import (
	"slices"

	"magpiebank/internal/admission"
)

// shareClaim is a share that this process holds or claims.
type shareClaim struct {
	share         int
	usableFrom    Time // no unit is used before this time, because a predecessor may have leased it out
	heldUntil     Time // end of the term that voters have confirmed
	claimedAt     Time // when the last claim was sent; only its confirmations are counted
	nextClaimAt   Time // when to send the next claim; Never: the share is not claimed again
	sequence      uint32
	confirmations []confirmation
}

// confirmation is a voter's positive reply to a claim.
type confirmation struct {
	voter             int
	incarnation       uint64
	voterIncarnations []uint64
	knownIncarnations []uint64
}

// maxConfirmations limits the confirmations stored for a claim, as several processes may reply under the name of one voter.
const maxConfirmations = 8

// isCompatible reports whether two confirmations count together. They do if neither voter knows a later incarnation of the other, and
// at least one of them was known to the other before it opened. Otherwise each of them could also count together with another process
// that has the other voter's name.
func (v *confirmation) isCompatible(other *confirmation, allowMutuallyUnknown bool) bool {
	if v.voter == other.voter || v.voterIncarnations[other.voter] > other.incarnation || other.voterIncarnations[v.voter] > v.incarnation {
		return false
	}
	return v.knownIncarnations[other.voter] == other.incarnation || other.knownIncarnations[v.voter] == v.incarnation || allowMutuallyUnknown
}

// SetPredecessors sets the incarnations of earlier processes of this name that have certainly ended. Their share passes to this process
// before their term ends. The process does not use the share for one lease term, until all leases that the last predecessor
// granted and all uses by its requests have ended. It must be called right after New.
func (c *Core) SetPredecessors(ended []uint64) {
	c.predecessors = ended
	c.claims[0].usableFrom = c.now + c.plan.withDrift(c.plan.LeaseTerm)
	if c.plan.Mutation == SucceedWithoutWaiting {
		c.claims[0].usableFrom = c.now
	}
}

// ShareStatus reports whether this process holds its own share, and whether it may use the units of the share.
func (c *Core) ShareStatus(now Time) (held, usable bool) {
	held = now < c.claims[0].heldUntil
	return held, held && now >= c.claims[0].usableFrom
}

// claimShare requests a confirmation of a share from all voters. Only replies to the last claim are counted.
func (c *Core) claimShare(index int) {
	const retryInterval = admission.Second / 2 // while the share is not held, because a voter may not have been open yet
	c.sequence++
	claim := &c.claims[index]
	claim.sequence, claim.claimedAt, claim.confirmations = c.sequence, c.now, nil
	claim.nextClaimAt = c.now + c.plan.ShareTerm/4
	if c.now >= claim.heldUntil {
		claim.nextClaimAt = c.now + min(c.plan.ShareTerm/4, retryInterval)
	}
	m := Message{Kind: KindShareClaim, Share: claim.share, Sequence: claim.sequence}
	if index == 0 {
		m.Predecessors = c.predecessors
	}
	for _, voter := range c.plan.Voters {
		c.send(voter, m)
	}
}

// stopClaiming stops the renewal of a taken-over share, because another member claims it, usually its owner that is back. This process
// holds the share until the end of the current term.
func (c *Core) stopClaiming(share int) {
	for i := range c.claims {
		if claim := &c.claims[i]; i > 0 && claim.share == share {
			claim.nextClaimAt = Never
		}
	}
}

// handleShareConfirm counts the voters that have confirmed the last claim. If the confirmations of a majority count together, the
// process holds the share for a term that begins when the claim was sent, however late the replies arrive.
func (c *Core) handleShareConfirm(m Message) {
	voter, voters := slices.Index(c.plan.Voters, m.Sender), len(c.plan.Voters)
	if voter < 0 || m.RecipientIncarnation != c.incarnation || len(m.VoterIncarnations) != voters || len(m.KnownIncarnations) != voters {
		return
	}
	c.rejoinIfUnknownTo(voter, m)
	index := slices.IndexFunc(c.claims, func(k shareClaim) bool { return k.share == m.Share && k.sequence == m.Sequence })
	if index < 0 {
		return
	}
	claim := &c.claims[index]
	counted := slices.ContainsFunc(claim.confirmations, func(v confirmation) bool { return v.voter == voter && v.incarnation == m.SenderIncarnation })
	if len(claim.confirmations) < maxConfirmations && !counted {
		claim.confirmations = append(claim.confirmations, confirmation{voter, m.SenderIncarnation, m.VoterIncarnations, m.KnownIncarnations})
	}
	if 2*maxCompatibleSet(claim.confirmations, nil, c.plan.Mutation == CountMutuallyUnknownVoters) > voters {
		termStart := claim.claimedAt
		if c.plan.Mutation == CountTermFromArrival {
			termStart = c.now
		}
		claim.heldUntil = max(claim.heldUntil, termStart+c.plan.ShareTerm)
	}
}

// rejoinIfUnknownTo makes an open voter join again if another voter opened in a new incarnation without knowing this one. Otherwise
// no member could count the confirmations of the two together.
func (c *Core) rejoinIfUnknownTo(voter int, m Message) {
	if c.voter.index < 0 || voter == c.voter.index || c.voter.openAt == Never {
		return
	}
	if m.SenderIncarnation > c.voter.knownBy[voter] && m.KnownIncarnations[c.voter.index] != c.incarnation {
		c.restartJoin()
	}
}

// maxCompatibleSet returns the size of the largest set of confirmations that contains the chosen ones and in which all count together.
func maxCompatibleSet(confirmations, chosen []confirmation, allowMutuallyUnknown bool) int {
	largest := len(chosen)
	for i := range confirmations {
		conflicts := slices.ContainsFunc(chosen, func(w confirmation) bool { return !confirmations[i].isCompatible(&w, allowMutuallyUnknown) })
		if !conflicts {
			largest = max(largest, maxCompatibleSet(confirmations[i+1:], append(slices.Clip(chosen), confirmations[i]), allowMutuallyUnknown))
		}
	}
	return largest
}
