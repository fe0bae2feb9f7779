package quota

import "slices"

// allocation is a number of units of a quota that a request uses, at most until a given time.
type allocation struct {
	quota int
	units int64
	until Time
}

// HeldUnits returns how many units of a quota this process holds now, including those in use. It returns 0 if more is leased out than
// the process still holds, as happens after a total is lowered.
func (c *Core) HeldUnits(now Time, quota int) int64 { return max(0, c.heldUnitsAt(quota, now)) }

// UsedUnits returns how many units of a quota are in use now.
func (c *Core) UsedUnits(now Time, quota int) int64 { return c.usedUnitsAt(quota, now) }

// heldUnitsAt returns the units held at a time that is not in the past: those of the held shares, less the units leased out, plus the
// borrowed units. It counts only the shares and leases that exist now.
func (c *Core) heldUnitsAt(quota int, t Time) int64 {
	units := c.ownUnitsAt(quota, t)
	for i := range c.taken.leases {
		if l := &c.taken.leases[i]; l.quota == quota && t < l.until {
			units += l.units
		}
	}
	return units
}

// ownUnitsAt returns the units of the held shares at a time, less the units leased out.
func (c *Core) ownUnitsAt(quota int, t Time) (units int64) {
	for i := range c.claims {
		if claim := &c.claims[i]; claim.usableFrom <= t && t < claim.heldUntil {
			units += c.plan.shareUnits(quota, claim.share, c.quotas[quota].scale)
		}
	}
	for i := range c.granted.leases {
		if l := &c.granted.leases[i]; l.quota == quota && t < l.until && !c.lenderUsesLease(l) {
			units -= l.units
		}
	}
	return units
}

// lenderUsesLease reports whether a mutation makes the lender use the units of a lease that it has granted.
func (c *Core) lenderUsesLease(l *lease) bool {
	return c.plan.Mutation == UseLeasedUnits || l.final && c.plan.Mutation == UseRecalledUnits
}

// minOwnUnits returns the minimum of ownUnitsAt from now until a time. The value falls only where a share ends, because the end of a granted
// lease raises it.
func (c *Core) minOwnUnits(quota int, until Time) int64 {
	minUnits := c.ownUnitsAt(quota, c.now)
	for i := range c.claims {
		if t := c.claims[i].heldUntil; t > c.now && t <= until {
			minUnits = min(minUnits, c.ownUnitsAt(quota, t))
		}
	}
	return minUnits
}

// usedUnitsAt returns the units of current uses that are still in use at a time that is not in the past.
func (c *Core) usedUnitsAt(quota int, t Time) (units int64) {
	for i := range c.allocations {
		if a := &c.allocations[i]; a.quota == quota && t < a.until {
			units += a.units
		}
	}
	return units + c.quotas[quota].rateUnits
}

// visitEndTimes calls visit for each future time at which a share or a borrowed lease ends.
func (c *Core) visitEndTimes(visit func(t Time)) {
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

// freeUnits returns how many more units may be used from now until a time: the minimum of held units less used units, now and at each end
// of a share or lease until then, less the units that must be returned.
func (c *Core) freeUnits(quota int, until Time) int64 {
	minFree := c.heldUnitsAt(quota, c.now) - c.usedUnitsAt(quota, c.now)
	c.visitEndTimes(func(t Time) {
		if t <= until {
			minFree = min(minFree, c.heldUnitsAt(quota, t)-c.usedUnitsAt(quota, t))
		}
	})
	return minFree - c.unitsToReturn(quota)
}

// coversUses reports whether the held units suffice for all current uses until each of them ends.
func (c *Core) coversUses(quota int) bool {
	covers := c.heldUnitsAt(quota, c.now) >= c.usedUnitsAt(quota, c.now)
	c.visitEndTimes(func(t Time) { covers = covers && c.heldUnitsAt(quota, t) >= c.usedUnitsAt(quota, t) })
	return covers
}

// ReserveRate marks up to need units of a quota that is used as a rate as in use until the next call, so that they are neither leased
// out nor returned. It returns how many units it marked, and when the first share or borrowed lease ends, of whatever quota.
func (c *Core) ReserveRate(now Time, quota int, need int64) (units int64, until Time) {
	c.advance(now)
	units, until = min(max(0, c.heldUnitsAt(quota, c.now)-c.unitsToReturn(quota)), need), Never
	c.visitEndTimes(func(t Time) { until = min(until, t) })
	c.quotas[quota].rateUnits = units
	return units, until
}

// ScaleTotal limits a total to a fraction of itself, from 0 to 1, for example while only some of the engines are up. Members that
// see the same engines set the same fraction.
func (c *Core) ScaleTotal(now Time, quota int, fraction float64) {
	c.advance(now)
	c.quotas[quota].scale = fraction
}

// TryAcquire marks units of a quota as in use until a time, if they are free until then. It reports whether they were.
func (c *Core) TryAcquire(now Time, quota int, units int64, until Time) bool {
	c.advance(now)
	if c.freeUnits(quota, until) < units {
		return false
	}
	c.allocations = append(c.allocations, allocation{quota, units, until})
	return true
}

// Release ends a use of the given number of units. Of several such uses it ends the one that would end first, so that the units in use
// are never underestimated.
func (c *Core) Release(now Time, quota int, units int64) {
	c.advance(now)
	earliest := -1
	for i := range c.allocations {
		a := &c.allocations[i]
		if a.quota == quota && a.units == units && (earliest < 0 || a.until < c.allocations[earliest].until) {
			earliest = i
		}
	}
	if earliest >= 0 {
		c.allocations = slices.Delete(c.allocations, earliest, earliest+1)
	}
}
