package quota

import (
	"math"

	"magpiebank/internal/admission"
)

// How units go where they are needed. Every member announces to its peers now and then what it could lease out. A member
// whose requests wait for more than it has asks those that could lease out most, for what it lacks and at most half of what
// each has. It renews what it has borrowed while it is needed, and returns it a while after. What own requests wait for is
// not leased out, so that at equal demand all come to their equal shares.
const (
	// A lease request that has had no answer for 0.1 s is lost: answers take milliseconds.
	requestTimeout = admission.Second / 10
	// So many requests are out at once: a burst at one of 500 members that have two units each is served within a second or two.
	maxOpenRequests = 32
	// What is borrowed is kept so long beyond the last need. To ask again costs two messages and a round trip, to keep it
	// idle costs a part of the total (real sockets, 32 gateways, demand by Zipf's law: a quarter of a second 0.930 to 0.940
	// of it used, a tenth 0.953; a second 0.86).
	keepIdle = admission.Second / 10
	// A member whose next request needs more than its own share collects units for so long.
	collectInterval = admission.Second / 4
	// A member that has collected enough goes on for so long before it pauses, so that all come to their turn.
	collectLimit = admission.Second
	// Pauses last from one to pauseSteps collect intervals, doubled by each failure up to maxFailures.
	pauseSteps  = 4
	maxFailures = 4
	pausePrime  = 7919 // spreads the pauses of a member
)

// SetDemand sets how many units waiting requests would use at once.
func (c *Core) SetDemand(now Time, quota int, units int64) {
	c.advance(now)
	c.quotas[quota].demand.units = units
}

// SetNextRequestUnits sets how many units the next request needs. Fewer are of no use to it.
func (c *Core) SetNextRequestUnits(quota int, units int64) {
	c.quotas[quota].demand.nextRequestUnits = units
}

// meetDemand borrows what requests wait for, renews leases while they are needed, and returns them after.
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
		lack = min(lack, demand.nextRequestUnits-free) // for one request at a time: a part of what it needs serves none
	}
	for i := range c.taken.requests {
		if r := &c.taken.requests[i]; r.quota == quota && r.isNew && c.now-r.sentAt < requestTimeout {
			lack, open = lack-r.units, open+1
		}
	}
	c.borrow(quota, lack, maxOpenRequests-open)
}

// unneededUnits returns how many units can be spared that have not been needed for a while.
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

// renewLeases asks for more time on leases early enough that the next request can use them for the longest time.
func (c *Core) renewLeases(quota int) {
	for i := range c.taken.leases {
		l := &c.taken.leases[i]
		if l.quota == quota && !l.final && l.until-c.now < c.plan.LeaseTerm-c.plan.LeaseTerm/4 && !c.renewalRequested(l) {
			c.requestLease(quota, l.peer, l.units, l.id)
		}
	}
}

// borrow requests leases of so many units altogether, from the peers that could lease out most, and from unknown ones after them.
func (c *Core) borrow(quota int, lack int64, requests int) {
	for ; lack > 0 && requests > 0; requests-- {
		index := c.spares.richestPeer(quota, c.name)
		if index >= 0 {
			peer := &c.spares.peers[index]
			c.spares.nextLender = index + 1
			units := min(lack, (peer.units[quota]+1)/2)
			peer.units[quota] -= units // until it announces more
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

// pauseCollecting has a member whose next request needs more than its own share, and than it can borrow in a quarter of a second, return
// what it has collected for it, and lease out its own share for a while. Otherwise all would hold a little of a quota and wait for
// each other. Pauses differ, and become longer after failures, so that few enough members collect at a time.
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

// isWide reports whether the next request needs more than one unit, and than the own share.
func (c *Core) isWide(quota int) bool {
	return c.quotas[quota].demand.nextRequestUnits > max(1, c.ownShareUnits(quota))
}

func (c *Core) ownShareUnits(quota int) int64 {
	return c.plan.shareUnits(quota, c.share, c.quotas[quota].scale)
}

// heldBack returns the units that own requests wait for, which are not leased out.
func (c *Core) heldBack(quota int) int64 {
	if c.now < c.quotas[quota].demand.pausedUntil {
		return 0
	}
	return c.quotas[quota].demand.units
}
