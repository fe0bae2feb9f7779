package quota

import (
	"math"

	"magpiebank/internal/admission"
)

// These constants control how units move to the members that need them. Every member regularly announces to its peers how many units it
// could lease out. A member whose waiting requests need more units than it has requests the missing units from the peers that announced
// most, up to half of what each announced. It renews its leases while the units are needed, and returns them when the units have been
// idle for a while. Units that a member's own requests wait for are not leased out, so that members with equal demand end up with equal
// shares.
const (
	// requestTimeout is the time after which an unanswered lease request is considered lost. Replies take milliseconds.
	requestTimeout = admission.Second / 10
	// maxOpenRequests limits a member's open requests for new leases of a quota. With 32, a burst at one of 500 members that have two
	// units each is served within one or two seconds. It also limits the rejected requests that are stored and the credit for blind
	// requests.
	maxOpenRequests = 32
	// idleReturnDelay is how long borrowed units are kept after they were last needed. Requesting them again costs two messages and a round
	// trip. Keeping them idle wastes a part of the total: with 32 gateways, real sockets and Zipf-distributed demand, 0.953 of the
	// total is used with a tenth of a second, 0.930 to 0.940 with a quarter, and 0.86 with a second.
	idleReturnDelay = admission.Second / 10
	// collectInterval is how long a member collects units for a next request that needs more than its own share, before it pauses.
	collectInterval = admission.Second / 4
	// collectLimit is how long a member that has collected enough units goes on before it pauses, so that every member gets units.
	collectLimit = admission.Second
	// A pause lasts from one to pauseSteps collect intervals. Each consecutive failure, up to maxFailures, doubles the maximum.
	pauseSteps      = 4
	maxFailures     = 4
	pauseMultiplier = 7919 // makes the lengths of a member's pauses differ
)

// SetDemand sets how many units all waiting requests together would use.
func (c *Core) SetDemand(now Time, quota int, units int64) {
	c.advance(now)
	c.quotas[quota].demand.units = units
}

// SetNextRequestUnits sets how many units the next waiting request needs. It cannot use fewer.
func (c *Core) SetNextRequestUnits(quota int, units int64) {
	c.quotas[quota].demand.nextRequestUnits = units
}

// meetDemand borrows the units that waiting requests need, renews leases while they are needed, and returns unneeded leases.
func (c *Core) meetDemand(quota int) {
	c.spares.limitPeers()
	c.ReturnLeases(c.now, quota, c.unneededUnits(quota))
	c.renewLeases(quota)
	free := max(0, c.freeUnits(quota, c.now+c.plan.LongestUse))
	if c.pauseCollecting(quota, free) {
		return
	}
	demand := &c.quotas[quota].demand
	missing, openRequests := demand.units-free, 0
	if c.nextRequestIsWide(quota) && free < demand.nextRequestUnits {
		missing = min(missing, demand.nextRequestUnits-free) // collect only for the next request, which cannot use fewer units
	}
	for i := range c.taken.requests {
		if r := &c.taken.requests[i]; r.quota == quota && r.isNew && c.now-r.sentAt < requestTimeout {
			missing, openRequests = missing-r.units, openRequests+1
		}
	}
	c.borrow(quota, missing, maxOpenRequests-openRequests)
}

// unneededUnits returns how many free units exceed the demand, if these have been enough to return the smallest lease for at least
// idleReturnDelay. Otherwise it returns 0.
func (c *Core) unneededUnits(quota int) int64 {
	demand := &c.quotas[quota].demand
	spared, smallestLease := c.freeUnits(quota, c.now)-demand.units, int64(0)
	for i := range c.taken.leases {
		if l := &c.taken.leases[i]; l.quota == quota && (smallestLease == 0 || l.units < smallestLease) {
			smallestLease = l.units
		}
	}
	if smallestLease == 0 || spared < smallestLease {
		demand.neededAt = c.now
	}
	if c.now-demand.neededAt < idleReturnDelay {
		return 0
	}
	return spared
}

// renewLeases requests the renewal of each lease after the first quarter of its term, so that a request that starts later still
// has the longest use before it.
func (c *Core) renewLeases(quota int) {
	for i := range c.taken.leases {
		l := &c.taken.leases[i]
		if l.quota == quota && !l.final && l.until-c.now < c.plan.LeaseTerm-c.plan.LeaseTerm/4 && !c.renewalRequested(l) {
			c.requestLease(quota, l.peer, l.units, l.id)
		}
	}
}

// borrow requests leases of lack units in total, in at most the given number of requests. It sends them first to the peers that announced
// most spare units, then to peers that announced nothing recently.
func (c *Core) borrow(quota int, missing int64, maxRequests int) {
	for ; missing > 0 && maxRequests > 0; maxRequests-- {
		index := c.spares.peerWithMostSpare(quota, c.name)
		if index >= 0 {
			peer := &c.spares.peers[index]
			c.spares.nextLender = index + 1
			units := min(missing, (peer.units[quota]+1)/2)
			peer.units[quota] -= units // until the peer's next announcement
			missing -= units
			c.requestNewLease(quota, peer.name, units)
			continue
		}
		name := c.nextUnknownPeer()
		if name == "" {
			return
		}
		units := min(missing, max(1, c.ownShareUnits(quota)))
		missing -= units
		c.requestNewLease(quota, name, units)
		c.taken.requests[len(c.taken.requests)-1].blind = true
	}
}

// pauseCollecting reports whether a member that collects units for a wide request is in a pause, and starts a pause if it is due. A pause
// is due when the member has not found enough units within collectInterval, or has collected enough for collectLimit. The member
// then returns the borrowed units that are not in use, and may lease out its own share during the pause. Without pauses, every member
// could hold a few units of a quota and wait for the others. The lengths of pauses differ and their maximum grows after failures, so
// that only a few members collect at the same time.
func (c *Core) pauseCollecting(quota int, free int64) bool {
	demand := &c.quotas[quota].demand
	if demand.units == 0 || !c.nextRequestIsWide(quota) {
		demand.collectingSince, demand.failures = c.now, 0
		return false
	}
	if c.now < demand.pausedUntil {
		return true
	}
	collected := c.now - max(demand.collectingSince, demand.pausedUntil)
	enough := free >= demand.nextRequestUnits
	if collected < collectInterval || enough && collected < collectLimit {
		return false
	}
	if !enough {
		demand.failures = min(demand.failures+1, maxFailures)
	}
	c.taken.pauses++
	steps := 1 + (HashName(c.name)+c.taken.pauses*pauseMultiplier)%(pauseSteps<<demand.failures)
	demand.pausedUntil = c.now + collectInterval*Time(steps)
	c.ReturnLeases(c.now, quota, math.MaxInt64)
	return true
}

// nextRequestIsWide reports whether the next request needs more than one unit and more than the own share.
func (c *Core) nextRequestIsWide(quota int) bool {
	return c.quotas[quota].demand.nextRequestUnits > max(1, c.ownShareUnits(quota))
}

func (c *Core) ownShareUnits(quota int) int64 {
	return c.plan.shareUnits(quota, c.share, c.quotas[quota].scale)
}

// heldBackUnits returns the units that are not leased out because own requests wait for them. It returns 0 during a pause.
func (c *Core) heldBackUnits(quota int) int64 {
	if c.now < c.quotas[quota].demand.pausedUntil {
		return 0
	}
	return c.quotas[quota].demand.units
}
