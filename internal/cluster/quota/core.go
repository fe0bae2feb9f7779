// Package quota divides the totals that an operator sets for the whole cluster (threads, requests that wait or run, rates of work)
// among its gateways. All gateways together never use more than a total, even if some of them are partitioned, stopped, killed,
// restarted or run twice under one name, and however late messages arrive. The package does no I/O: its caller passes in the current
// time and delivers the messages. docs/budgets.md describes the protocol, why it is safe, and which tests show it.
//
// Every gateway has one share, chosen by its index among the gateways. The holder of a share may use an equal part of each total for
// one share term after a majority of the voters (a few named gateways) has confirmed it. The term is counted from when the holder
// requested the confirmation. The holder leases the units that it does not need to other gateways. At the borrower, a lease ends a
// fixed time after it was requested. The lender waits until this time has passed even on the slowest clock that the borrower may have.
package quota

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Host sends a core's messages and lists its peers.
type Host interface {
	Send(to string, m Message)
	Peers() []string // names of the other live members
}

// Core runs the protocol for one process. It is not safe for concurrent use, and it ignores a time that is before an earlier one.
type Core struct {
	plan *Plan
	host Host
	now  Time

	name            string
	incarnation     uint64
	share           int    // index of the own share; below 0 for none
	sequence        uint32 // sequence number of the last claim or lease request sent
	highestRevision uint64 // highest plan revision seen

	voter        voterState
	claims       []shareClaim // the claim of the own share, then the claims of shares taken over
	predecessors []uint64     // earlier incarnations of this member that have certainly ended
	granted      grantedLeases
	taken        takenLeases
	allocations  []allocation
	quotas       []quotaState // by quota index
	spares       spareExchange
}

// quotaState holds a member's state of one quota.
type quotaState struct {
	scale     float64 // fraction of the total that is in effect; see ScaleTotal
	rateUnits int64   // units in use as a rate, which have no end time of their own

	// Units that TryReserve reserved for a request that is about to be sent. They are neither leased out nor returned until the request
	// has been sent or the owner drops the reservation with SetDemand.
	reservedUnits int64
	reservedUntil Time // end of the use

	demand   demandState
	announce announceState
}

// demandState holds what waiting requests need of a quota.
type demandState struct {
	units            int64 // units that all waiting requests together would use
	nextRequestUnits int64 // units that the next waiting request needs; it cannot use fewer
	neededAt         Time  // when the borrowed units were last needed
	collectingSince  Time  // start of the collection of units for one wide request
	pausedUntil      Time  // end of a pause, during which no units are held back for own requests and no new leases are requested
	failures         uint8 // consecutive collections that found too few units, up to maxFailures
}

// announceState holds the last announcement of a quota's spare units.
type announceState struct {
	units int64 // units announced last; below 0: they must be announced again
	round int   // announcement round in which units last changed
}

// Options configures a new core.
type Options struct {
	Plan        *Plan
	Name        string
	Incarnation uint64 // higher than that of any earlier process with this name
	Share       int    // index of its share; below 0 for none
	Host        Host
}

// New returns the core of a process that has just started. It holds no units, even if an earlier process with its name held some.
func New(now Time, o Options) *Core {
	peerOffset := int(HashName(o.Name) >> 1) // members start with different peers
	c := &Core{
		plan: o.Plan, host: o.Host, now: now, name: o.Name, incarnation: o.Incarnation, share: o.Share, highestRevision: o.Plan.Revision,
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

// addQuotas adds state for the new quotas of the plan, and makes the core announce all spare units again.
func (c *Core) addQuotas() {
	for len(c.quotas) < len(c.plan.Totals) {
		c.quotas = append(c.quotas, quotaState{
			scale:  1,
			demand: demandState{nextRequestUnits: 1, neededAt: c.now, collectingSince: c.now, pausedUntil: c.now},
		})
	}
	c.spares.peers = c.spares.peers[:0]
	for i := range c.quotas {
		c.quotas[i].announce.units = -1 // members that had another plan revision ignored the last announcement
	}
}

var errPlanChange = errors.New("expected unchanged seats, keepers and term; changing them requires a restart of all gateways")

// ReplacePlan replaces the totals with those of a plan that has a higher revision. A quota that the next plan lacks gets a total of 0.
// Uses that exceed the new share are not interrupted. Leases taken from a total that is lowered are returned as soon as possible, and
// until then they are neither renewed nor used for new requests.
func (c *Core) ReplacePlan(now Time, next *Plan) error {
	c.advance(now)
	old := c.plan
	if next.Revision <= old.Revision {
		return fmt.Errorf("number: expected more than %d, the number of the totals in force, found %d", old.Revision, next.Revision)
	}
	if next.Shares != old.Shares || !slices.Equal(next.Voters, old.Voters) || next.ShareTerm != old.ShareTerm || next.LeaseTerm != old.LeaseTerm || next.LongestUse != old.LongestUse {
		return errPlanChange
	}
	c.plan = mergePlans(old, next)
	c.highestRevision = max(c.highestRevision, c.plan.Revision)
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
		c.claims[i].nextClaimAt = min(c.claims[i].nextClaimAt, c.now) // claim under the new revision at once
	}
	return nil
}

// mergePlans returns the old plan with the revision and totals of the next one. Quotas keep their index; new quotas are appended.
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

// ReleaseShares drops the demand and returns the borrowed units that are not in use. If no units are in use or leased out and the own
// share is usable, it also releases the shares, so that a successor does not have to wait for the end of their term. It reports whether
// the shares were released.
func (c *Core) ReleaseShares(now Time) bool {
	c.advance(now)
	c.removeExpired()
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

// Tick does the periodic work: it claims shares, makes a voter join, requests, renews and returns leases, and announces spare units.
func (c *Core) Tick(now Time) {
	c.advance(now)
	c.removeExpired()
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

// HandleMessage processes a received message.
func (c *Core) HandleMessage(now Time, m Message) {
	c.advance(now)
	c.highestRevision = max(c.highestRevision, m.PlanRevision)
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

// advance moves the clock forward. Two goroutines read the clock before they call, so a later call may bring an earlier time, which
// leaves the clock as it is.
func (c *Core) advance(now Time) { c.now = max(c.now, now) }

// removeExpired removes allocations, claims, leases and lease requests that have ended.
func (c *Core) removeExpired() {
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
