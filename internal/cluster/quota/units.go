package quota

import "slices"

// allocation is some units of a quota that a request uses, until its end at the latest.
type allocation struct {
	quota int
	units int64
	until Time
}

// HeldUnits returns how many units of a quota this process may use now, those among them that are in use. It is 0 where a
// lowered total leaves less than is leased out.
func (c *Core) HeldUnits(now Time, quota int) int64 { return max(0, c.heldAt(quota, now)) }

// UsedUnits returns how many units of a quota are in use.
func (c *Core) UsedUnits(now Time, quota int) int64 { return c.usedAt(quota, now) }

// heldAt returns the units held at a time from now on, as far as is known now: those of the own shares and those that are borrowed.
func (c *Core) heldAt(quota int, t Time) int64 {
	units := c.ownAt(quota, t)
	for i := range c.taken.leases {
		if l := &c.taken.leases[i]; l.quota == quota && t < l.until {
			units += l.units
		}
	}
	return units
}

// ownAt returns the units of the held shares less those that are leased out.
func (c *Core) ownAt(quota int, t Time) (units int64) {
	for i := range c.claims {
		if claim := &c.claims[i]; claim.usableFrom <= t && t < claim.heldUntil {
			units += c.plan.shareUnits(quota, claim.share, c.quotas[quota].scale)
		}
	}
	for i := range c.granted.leases {
		if l := &c.granted.leases[i]; l.quota == quota && t < l.until && !c.usesGranted(l) {
			units -= l.units
		}
	}
	return units
}

// usesGranted reports whether a mutation has the lender use a lease that it has granted.
func (c *Core) usesGranted(l *lease) bool {
	return c.plan.Mutation == UseLeasedUnits || l.final && c.plan.Mutation == UseRecalledUnits
}

// leastOwn returns the least of the own units from now until a time. Leases only come back, so the units fall only where a share ends.
func (c *Core) leastOwn(quota int, until Time) int64 {
	least := c.ownAt(quota, c.now)
	for i := range c.claims {
		if t := c.claims[i].heldUntil; t > c.now && t <= until {
			least = min(least, c.ownAt(quota, t))
		}
	}
	return least
}

// usedAt returns the units that are in use at a time from now on.
func (c *Core) usedAt(quota int, t Time) (units int64) {
	for i := range c.allocations {
		if a := &c.allocations[i]; a.quota == quota && t < a.until {
			units += a.units
		}
	}
	return units + c.quotas[quota].rateUnits
}

// visitEnds calls visit for each later time at which some of what is held ends.
func (c *Core) visitEnds(visit func(t Time)) {
	for i := range c.claims {
		if t := c.claims[i].heldUntil; t > c.now {
			visit(t)
		}
	}
	for i := range c.taken.leases {
		if t := c.taken.leases[i].until; t > c.now {
			visit(t)
		}
	}
}

// free returns how many more units may be used from now until a time: the least of what is held less what is used, over all times at
// which some of it ends, less what must be returned.
func (c *Core) free(quota int, until Time) int64 {
	least := c.heldAt(quota, c.now) - c.usedAt(quota, c.now)
	c.visitEnds(func(t Time) {
		if t <= until {
			least = min(least, c.heldAt(quota, t)-c.usedAt(quota, t))
		}
	})
	return least - c.toBeReturned(quota)
}

// coversUses reports whether what is held is enough for all uses, to the end of each.
func (c *Core) coversUses(quota int) bool {
	covers := c.heldAt(quota, c.now) >= c.usedAt(quota, c.now)
	c.visitEnds(func(t Time) { covers = covers && c.heldAt(quota, t) >= c.usedAt(quota, t) })
	return covers
}

// ReserveRate has up to need units of a quota that is used as a rate be in use, as far as they are free, until the next
// call: they are neither leased out nor returned. It returns how many there are, and when the first of what is held ends.
func (c *Core) ReserveRate(now Time, quota int, need int64) (units int64, until Time) {
	c.advance(now)
	units, until = min(max(0, c.heldAt(quota, c.now)-c.toBeReturned(quota)), need), Never
	c.visitEnds(func(t Time) { until = min(until, t) })
	c.quotas[quota].rateUnits = units
	return units, until
}

// ScaleTotal has only a part of a total count, from 0 to 1, as part of the engines are up. Members that see the same
// engines come to the same.
func (c *Core) ScaleTotal(now Time, quota int, part float64) {
	c.advance(now)
	c.quotas[quota].scale = part
}

// TryAcquire has a request use some units of a quota, if they are free until its end.
func (c *Core) TryAcquire(now Time, quota int, units int64, until Time) bool {
	c.advance(now)
	if c.free(quota, until) < units {
		return false
	}
	c.allocations = append(c.allocations, allocation{quota, units, until})
	return true
}

// Release ends a use of so many units. Of several such uses it ends the one that would end first, so that no more is taken
// for free than is.
func (c *Core) Release(now Time, quota int, units int64) {
	c.advance(now)
	first := -1
	for i := range c.allocations {
		a := &c.allocations[i]
		if a.quota == quota && a.units == units && (first < 0 || a.until < c.allocations[first].until) {
			first = i
		}
	}
	if first >= 0 {
		c.allocations = slices.Delete(c.allocations, first, first+1)
	}
}
