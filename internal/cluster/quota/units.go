package quota

import "slices"

// use is some of a budget that a task has, until its end at the latest.
type use struct {
	budget int
	amount int64
	until  Time
}

// HeldUnits is what this process may use of a budget now, what it uses already among it (totals that were lowered may leave less than is
// lent), and Used what it uses.
func (c *Core) HeldUnits(now Time, budget int) int64 { return max(0, c.at(budget, now)) }

func (c *Core) UsedUnits(now Time, budget int) int64 { return c.used(budget, now) }

// at is what it has of a budget at a time from now on, as far as is known now.
func (c *Core) at(budget int, t Time) int64 {
	n := c.own(budget, t)
	for i := range c.loans {
		if l := &c.loans[i]; l.budget == budget && t < l.until {
			n += l.amount
		}
	}
	return n
}

// own is that without what it has borrowed.
func (c *Core) own(budget int, t Time) (n int64) {
	for i := range c.claims {
		if k := &c.claims[i]; k.from <= t && t < k.until {
			n += c.plan.share(budget, k.seat, c.scale[budget])
		}
	}
	for i := range c.lent {
		if l := &c.lent[i]; l.budget == budget && t < l.until && c.plan.planted != countsNothingOut && !(l.last && c.plan.planted == recalledIsBack) {
			n -= l.amount
		}
	}
	return n
}

// ownLeast is the least of that until a time: loans only come back, so it falls where a seat ends.
func (c *Core) ownLeast(budget int, until Time) int64 {
	least := c.own(budget, c.now)
	for i := range c.claims {
		if t := c.claims[i].until; t > c.now && t <= until {
			least = min(least, c.own(budget, t))
		}
	}
	return least
}

// used is what tasks have of a budget at a time.
func (c *Core) used(budget int, t Time) (n int64) {
	for i := range c.uses {
		if u := &c.uses[i]; u.budget == budget && t < u.until {
			n += u.amount
		}
	}
	return n + c.standing[budget]
}

// ReserveRate has a budget that is used as a rate be used by so much, as far as there is that, until it is asked for again: what stands so is
// neither lent nor given back. until is when the first part of what there is ends.
func (c *Core) ReserveRate(now Time, budget int, need int64) (n int64, until Time) {
	c.pass(now)
	n, until = min(max(0, c.at(budget, c.now)-c.going(budget)), need), Never
	end := func(t Time) {
		if t > c.now {
			until = min(until, t)
		}
	}
	for i := range c.claims {
		end(c.claims[i].until)
	}
	for i := range c.loans {
		end(c.loans[i].until)
	}
	c.standing[budget] = n
	return n, until
}

// ScaleTotal has a total be a part of itself, as the engines that it is meant for are; all that see the same engines come to the same.
func (c *Core) ScaleTotal(now Time, budget int, part float64) {
	c.pass(now)
	c.scale[budget] = part
}

// free is how much more may be used from now until a time: the least of what is held less what is used, at each instant at
// which some of it ends.
func (c *Core) free(budget int, until Time) int64 {
	least := c.at(budget, c.now) - c.used(budget, c.now)
	look := func(t Time) {
		if t > c.now && t <= until {
			least = min(least, c.at(budget, t)-c.used(budget, t))
		}
	}
	for i := range c.claims {
		look(c.claims[i].until)
	}
	for i := range c.loans {
		look(c.loans[i].until)
	}
	return least - c.going(budget)
}

// going is what goes back to its lenders as soon as it can.
func (c *Core) going(budget int) (n int64) {
	for i := range c.loans {
		if l := &c.loans[i]; l.budget == budget && l.last {
			n += l.amount
		}
	}
	return n
}

// TryAcquire has a task use some of a budget, if there is as much until its end.
func (c *Core) TryAcquire(now Time, budget int, amount int64, until Time) bool {
	c.pass(now)
	if c.free(budget, until) < amount {
		return false
	}
	c.uses = append(c.uses, use{budget, amount, until})
	return true
}

// Release ends a use of some amount. Of several the one that would end first is taken for it: so no more is free than is.
func (c *Core) Release(now Time, budget int, amount int64) {
	c.pass(now)
	first := -1
	for i := range c.uses {
		if u := &c.uses[i]; u.budget == budget && u.amount == amount && (first < 0 || u.until < c.uses[first].until) {
			first = i
		}
	}
	if first >= 0 {
		c.uses = slices.Delete(c.uses, first, first+1)
	}
}

// ReturnLeases has what was borrowed of a budget go back, loan by loan as far as so much can be spared, and in any case those on which no
// more time is given; what tasks use to its end stays.
func (c *Core) ReturnLeases(now Time, budget int, spared int64) {
	c.pass(now)
	if c.promised[budget] > 0 {
		return
	}
	for i := 0; i < len(c.loans); {
		l := c.loans[i]
		if l.budget != budget || l.amount > spared && !l.last {
			i++
			continue
		}
		c.loans = slices.Delete(c.loans, i, i+1) // from here on it uses nothing of it
		if !c.covered(budget) {
			c.loans = slices.Insert(c.loans, i, l)
			i++
			continue
		}
		if !l.last {
			spared -= l.amount
		}
		if c.plan.planted != takesAfterBack { // more time that was asked for is not taken when it comes: the lender has it back by then
			c.asks = slices.DeleteFunc(c.asks, func(a asked) bool { return a.budget == budget && a.of == l.with && a.id == l.id })
		}
		c.send(l.with, Message{Kind: KindLeaseReturn, RecipientIncarnation: l.start, QuotaID: c.plan.QuotaIDs[l.budget], LeaseID: l.id})
	}
}

// covered tells whether what is held is enough for what tasks use, to the end of each.
func (c *Core) covered(budget int) bool {
	ok := c.at(budget, c.now) >= c.used(budget, c.now)
	look := func(t Time) { ok = ok && (t <= c.now || c.at(budget, t) >= c.used(budget, t)) }
	for i := range c.claims {
		look(c.claims[i].until)
	}
	for i := range c.loans {
		look(c.loans[i].until)
	}
	return ok
}
