package quota

import (
	"slices"

	"magpiebank/internal/admission"
)

// shareClaim is a share that this process holds, or wants to hold.
type shareClaim struct {
	share         int
	usableFrom    Time // nothing of the share is used before, as a predecessor may have leased it out
	heldUntil     Time // until when it is surely held
	claimedAt     Time // when the claim was sent whose answers are counted
	nextClaimAt   Time // Never: it is not claimed again
	sequence      uint32
	confirmations []confirmation
}

// confirmation is a voter's answer to a claim.
type confirmation struct {
	voter             int
	incarnation       uint64
	voterIncarnations []uint64
	knownIncarnations []uint64
}

// A claim keeps at most this many confirmations, from several processes under one voter's name.
const maxConfirmations = 8

// countsWith reports whether two confirmations count together: neither voter knows of a later process of the other, and one
// of them was known by the other when it began to confirm. Otherwise each could count with another process under the
// other's name.
func (v *confirmation) countsWith(w *confirmation, unacquainted bool) bool {
	if v.voter == w.voter || v.voterIncarnations[w.voter] > w.incarnation || w.voterIncarnations[v.voter] > v.incarnation {
		return false
	}
	return v.knownIncarnations[w.voter] == w.incarnation || w.knownIncarnations[v.voter] == v.incarnation || unacquainted
}

// SetPredecessors takes in that processes under this name have surely ended, by their incarnations. Their share passes
// to this process without their term having to end. What the last of them leased out, and what its requests use, is waited
// for: it has ended when a lease has. It is called right after New.
func (c *Core) SetPredecessors(ended []uint64) {
	c.predecessors = ended
	c.claims[0].usableFrom = c.now + c.plan.withDrift(c.plan.LeaseTerm)
	if c.plan.Mutation == SucceedWithoutWaiting {
		c.claims[0].usableFrom = c.now
	}
}

// ShareStatus reports whether the own share is held, and whether its units may be used.
func (c *Core) ShareStatus(now Time) (held, usable bool) {
	held = now < c.claims[0].heldUntil
	return held, held && now >= c.claims[0].usableFrom
}

// claimShare asks all voters to confirm a share. Only answers to the last claim are counted.
func (c *Core) claimShare(index int) {
	const retryInterval = admission.Second / 2 // of a share that is not held: a voter may not have been open yet
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

// stopClaiming has a share that was taken over end with its term, because its own holder is back.
func (c *Core) stopClaiming(share int) {
	for i := range c.claims {
		if claim := &c.claims[i]; i > 0 && claim.share == share {
			claim.nextClaimAt = Never
		}
	}
}

// handleShareConfirm counts the voters that have confirmed the last claim: a majority of those that count together holds
// the share for a term from when the claim was sent, however late the answers come.
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
	if 2*largestSet(claim.confirmations, nil, c.plan.Mutation == CountMutuallyUnknownVoters) > voters {
		begin := claim.claimedAt
		if c.plan.Mutation == CountTermFromArrival {
			begin = c.now
		}
		claim.heldUntil = max(claim.heldUntil, begin+c.plan.ShareTerm)
	}
}

// rejoinIfUnknownTo has an open voter join again where another one began to confirm without knowing it, by another process under
// its name: nobody counts the two together.
func (c *Core) rejoinIfUnknownTo(voter int, m Message) {
	if c.voter.index < 0 || voter == c.voter.index || c.voter.openAt == Never {
		return
	}
	if m.SenderIncarnation > c.voter.knownBy[voter] && m.KnownIncarnations[c.voter.index] != c.incarnation {
		c.restartJoin()
	}
}

// largestSet returns how many of the confirmations count with those chosen, and with each other, at most.
func largestSet(confirmations, chosen []confirmation, unacquainted bool) int {
	most := len(chosen)
	for i := range confirmations {
		conflicts := slices.ContainsFunc(chosen, func(w confirmation) bool { return !confirmations[i].countsWith(&w, unacquainted) })
		if !conflicts {
			most = max(most, largestSet(confirmations[i+1:], append(slices.Clip(chosen), confirmations[i]), unacquainted))
		}
	}
	return most
}
