// Package quota shares what an operator allows the whole installation (threads, places, turns) among its gateways, so that
// all together never use more than the total, whichever are cut off, stopped, killed, restarted or doubled under one name, and
// however late messages come. It does no I/O: its caller steps it with the clock handed in and carries its messages.
// docs/budgets.md has the protocol, why it holds, and which test shows it.
//
// Every gateway has a share, by its number among all. The holder of a share may use its equal part of each total, for as long as a
// majority of the voters, a few named gateways, has lately confirmed it; a confirmation counts from when it was asked for. The
// holder leases to others what it does not need. A lease ends at the borrower a stated time after it was requested, and at the lender
// only when the borrower's slowest clock has surely come to that.
package quota

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Host is what a core acts on.
type Host interface {
	Send(to string, m Message)
	Peers() []string // names of the other members that are alive
}

// Core is one process's part of the protocol. Its calls come one at a time, with a clock that never goes back.
type Core struct {
	plan *Plan
	host Host
	now  Time

	name          string
	incarnation   uint64
	share         int    // number of the own share
	sequence      uint32 // of the last claim or lease request sent
	highestNumber uint64 // highest plan number received

	voter        voterState
	claims       []shareClaim // the own share's first, then those taken over
	predecessors []uint64     // incarnations under this name that have surely ended
	granted      grantedLeases
	taken        takenLeases
	allocations  []allocation
	quotas       []quotaState // by quota index
	spares       spareExchange
}

// quotaState is what a member knows and wants of one quota.
type quotaState struct {
	scale     float64 // part of the total that counts, as the owner sets it
	rateUnits int64   // in use as a rate, without an end of its own

	// What TryReserve promised to a request that is about to be sent. Until it has been sent, or waits on, nothing of it is leased out
	// or returned.
	reservedUnits int64
	reservedUntil Time // end of the use

	demand   demandState
	announce announceState
}

// demandState is what waiting requests need of a quota.
type demandState struct {
	units            int64 // that all waiting requests would use at once
	nextRequestUnits int64 // that the next of them needs; less is of no use to it
	neededAt         Time  // when what was borrowed was last needed
	collectingSince  Time  // since when units are borrowed for one wide request
	pausedUntil      Time  // until when units that own requests wait for are leased out, and none are requested
	failures         uint8 // collections in a row that found too little
}

// announceState is what was announced of the spare units of a quota.
type announceState struct {
	units int64 // announced last; below 0: to be announced anew
	round int   // in which that changed
}

// Options are what a process begins with.
type Options struct {
	Plan        *Plan
	Name        string
	Incarnation uint64 // higher than that of any process before it under its name
	Share       int    // number of its share; below 0 for none
	Host        Host
}

// New begins a process's part. It holds nothing, whatever an earlier process under its name held.
func New(now Time, o Options) *Core {
	peerOffset := int(HashName(o.Name) >> 1) // each member begins with other peers
	c := &Core{
		plan: o.Plan, host: o.Host, now: now, name: o.Name, incarnation: o.Incarnation, share: o.Share, highestNumber: o.Plan.Revision,
		claims: []shareClaim{{share: o.Share, heldUntil: now, nextClaimAt: now}},
		spares: spareExchange{nextRecipient: peerOffset, nextUnknownPeer: peerOffset},
	}
	c.addQuotas()
	c.voter = newVoterState(o.Plan, o.Name, o.Incarnation)
	if c.voter.index >= 0 {
		c.openVoter()
	}
	return c
}

// addQuotas adds the state of the plan's new quotas, and has all spare units announced anew.
func (c *Core) addQuotas() {
	for len(c.quotas) < len(c.plan.Totals) {
		c.quotas = append(c.quotas, quotaState{
			scale:  1,
			demand: demandState{nextRequestUnits: 1, neededAt: c.now, collectingSince: c.now, pausedUntil: c.now},
		})
	}
	c.spares.peers = c.spares.peers[:0]
	for i := range c.quotas {
		c.quotas[i].announce.units = -1 // members that went by another number did not heed it
	}
}

var errPlanChange = errors.New("expected the seats, keepers and term that there are; others need a restart of all")

// ReplacePlan replaces the totals by others, under a higher number. A quota that the next plan lacks has a total of 0 from
// now on. Uses beyond the new share end by themselves; what was borrowed of a total that is lowered is returned as soon as
// it can be, and no more of it is leased or used before.
func (c *Core) ReplacePlan(now Time, next *Plan) error {
	c.advance(now)
	old := c.plan
	if next.Revision <= old.Revision {
		return fmt.Errorf("number: expected above %d, under which other totals are gone by, found %d", old.Revision, next.Revision)
	}
	if next.Shares != old.Shares || !slices.Equal(next.Voters, old.Voters) || next.ShareTerm != old.ShareTerm || next.LeaseTerm != old.LeaseTerm || next.LongestUse != old.LongestUse {
		return errPlanChange
	}
	c.plan = mergePlans(old, next)
	c.highestNumber = max(c.highestNumber, c.plan.Revision)
	for i := range c.taken.leases {
		if l := &c.taken.leases[i]; c.plan.Totals[l.quota] < old.Totals[l.quota] {
			l.final = true
		}
	}
	c.addQuotas()
	for q := range old.Totals {
		c.ReturnLeases(c.now, q, 0)
	}
	for i := range c.claims {
		c.claims[i].nextClaimAt = min(c.claims[i].nextClaimAt, c.now) // under the new number at once
	}
	return nil
}

// mergePlans returns the old plan with the next one's number and totals. Quotas keep their index; new ones come after them.
func mergePlans(old, next *Plan) *Plan {
	merged := *old
	merged.Revision, merged.QuotaIDs, merged.Totals = next.Revision, slices.Clone(old.QuotaIDs), make([]int64, len(old.QuotaIDs))
	for i, id := range next.QuotaIDs {
		q := slices.Index(merged.QuotaIDs, id)
		if q < 0 {
			q = len(merged.QuotaIDs)
			merged.QuotaIDs, merged.Totals = append(merged.QuotaIDs, id), append(merged.Totals, 0)
		}
		merged.Totals[q] = next.Totals[i]
	}
	return &merged
}

// ReleaseShares returns what was borrowed and, if nothing is used or leased out any more, releases the shares, so that a successor need not
// wait for their term. It reports whether the shares were released.
func (c *Core) ReleaseShares(now Time) bool {
	c.advance(now)
	c.expire()
	for q := range c.quotas {
		state := &c.quotas[q]
		state.demand.units, state.rateUnits, state.reservedUnits = 0, 0, 0
		c.ReturnLeases(now, q, math.MaxInt64)
	}
	if len(c.allocations) > 0 || len(c.granted.leases) > 0 || c.now < c.claims[0].usableFrom {
		return false
	}
	for i := range c.claims {
		claim := &c.claims[i]
		claim.heldUntil, claim.nextClaimAt, claim.sequence = 0, Never, 0
	}
	for _, voter := range c.plan.Voters {
		c.send(voter, Message{Kind: KindShareRelease})
	}
	return true
}

// Tick is the timer: it claims shares, has a voter join, requests, renews and returns leases and announces spare units.
func (c *Core) Tick(now Time) {
	c.advance(now)
	c.expire()
	c.joinVoters()
	c.takeOverShares()
	for i := range c.claims {
		if c.now >= c.claims[i].nextClaimAt {
			c.claimShare(i)
		}
	}
	for q := range c.plan.Totals {
		c.meetDemand(q)
	}
	c.notifyRejected()
	if c.now >= c.spares.nextAnnouncementAt {
		c.announceSpareUnits()
	}
}

// HandleMessage takes in a message.
func (c *Core) HandleMessage(now Time, m Message) {
	c.advance(now)
	c.highestNumber = max(c.highestNumber, m.PlanRevision)
	switch m.Kind {
	case KindVoterJoin:
		c.handleVoterJoin(m)
	case KindVoterJoined:
		c.handleVoterJoined(m)
	case KindShareClaim:
		c.handleShareClaim(m)
	case KindShareConfirm:
		c.handleShareConfirm(m)
	case KindShareRelease:
		c.handleShareRelease(m)
	default:
		if q := slices.Index(c.plan.QuotaIDs, m.QuotaID); q >= 0 {
			c.handleLeaseMessage(q, m)
		}
	}
}

// advance has time go on. Calls of two goroutines that raced are taken in their order.
func (c *Core) advance(now Time) { c.now = max(c.now, now) }

// expire drops what has ended.
func (c *Core) expire() {
	c.allocations = slices.DeleteFunc(c.allocations, func(a allocation) bool { return c.now >= a.until })
	c.claims = slices.DeleteFunc(c.claims, func(k shareClaim) bool {
		return k.share != c.share && k.nextClaimAt == Never && c.now >= k.heldUntil
	})
	ended := func(l lease) bool { return c.now >= l.until }
	c.granted.leases = slices.DeleteFunc(c.granted.leases, ended)
	c.taken.leases = slices.DeleteFunc(c.taken.leases, ended)
	c.taken.requests = slices.DeleteFunc(c.taken.requests, func(r leaseRequest) bool { return c.now-r.sentAt >= c.plan.LeaseTerm })
}

func (c *Core) send(to string, m Message) {
	m.Sender, m.SenderIncarnation, m.PlanRevision = c.name, c.incarnation, c.plan.Revision
	c.host.Send(to, m)
}
