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
	// keepIdle is how long borrowed units are kept after they were last needed. Requesting them again costs two messages and a round
	// trip. Keeping them idle wastes a part of the total: with 32 gateways, real sockets and Zipf-distributed demand, 0.953 of the
	// total is used with a tenth of a second, 0.930 to 0.940 with a quarter, and 0.86 with a second.
	keepIdle = admission.Second / 10
	// collectInterval is how long a member collects units for a next request that needs more than its own share, before it pauses.
	collectInterval = admission.Second / 4
	// collectLimit is how long a member that has collected enough units goes on before it pauses, so that every member gets units.
	collectLimit = admission.Second
	// A pause lasts from one to pauseSteps collect intervals. Each consecutive failure, up to maxFailures, doubles the maximum.
	pauseSteps  = 4
	maxFailures = 4
	pausePrime  = 7919 // makes the lengths of a member's pauses differ
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
	free := max(0, c.free(quota, c.now+c.plan.LongestUse))
	if c.pauseCollecting(quota, free) {
		return
	}
	demand := &c.quotas[quota].demand
	lack, open := demand.units-free, 0
	if c.isWide(quota) && free < demand.nextRequestUnits {
		lack = min(lack, demand.nextRequestUnits-free) // collect for one request at a time, because a request cannot use a part of its units
	}
	for i := range c.taken.requests {
		if r := &c.taken.requests[i]; r.quota == quota && r.isNew && c.now-r.sentAt < requestTimeout {
			lack, open = lack-r.units, open+1
		}
	}
	c.borrow(quota, lack, maxOpenRequests-open)
}

// unneededUnits returns how many free units exceed the demand, if these have been enough to return the smallest lease for at least
// keepIdle. Otherwise it returns 0.
func (c *Core) unneededUnits(quota int) int64 {
	demand := &c.quotas[quota].demand
	spared, smallest := c.free(quota, c.now)-demand.units, int64(0)
	for i := range c.taken.leases {
		if l := &c.taken.leases[i]; l.quota == quota && (smallest == 0 || l.units < smallest) {
			smallest = l.units
		}
	}
	if smallest == 0 || spared < smallest {
		demand.neededAt = c.now
	}
	if c.now-demand.neededAt < keepIdle {
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
func (c *Core) borrow(quota int, lack int64, requests int) {
	for ; lack > 0 && requests > 0; requests-- {
		index := c.spares.richestPeer(quota, c.name)
		if index >= 0 {
			peer := &c.spares.peers[index]
			c.spares.nextLender = index + 1
			units := min(lack, (peer.units[quota]+1)/2)
			peer.units[quota] -= units // until the peer's next announcement
			lack -= units
			c.requestNewLease(quota, peer.name, units)
			continue
		}
		name := c.nextUnknownPeer()
		if name == "" {
			return
		}
		units := min(lack, max(1, c.ownShareUnits(quota)))
		lack -= units
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
	if demand.units == 0 || !c.isWide(quota) {
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
	steps := 1 + (HashName(c.name)+c.taken.pauses*pausePrime)%(pauseSteps<<demand.failures)
	demand.pausedUntil = c.now + collectInterval*Time(steps)
	c.ReturnLeases(c.now, quota, math.MaxInt64)
	return true
}

// isWide reports whether the next request needs more than one unit and more than the own share.
func (c *Core) isWide(quota int) bool {
	return c.quotas[quota].demand.nextRequestUnits > max(1, c.ownShareUnits(quota))
}

func (c *Core) ownShareUnits(quota int) int64 {
	return c.plan.shareUnits(quota, c.share, c.quotas[quota].scale)
}

// heldBack returns the units that are not leased out because own requests wait for them. It returns 0 during a pause.
func (c *Core) heldBack(quota int) int64 {
	if c.now < c.quotas[quota].demand.pausedUntil {
		return 0
	}
	return c.quotas[quota].demand.units
}
