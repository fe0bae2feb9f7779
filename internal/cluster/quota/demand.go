package quota

import (
	"math"
	"slices"
	"strings"

	"magpiebank/internal/admission"
)

// Who gets how much. Every member tells now and then what it could lend. One whose tasks wait for more than it has asks
// those that could lend most, for what it lacks and no more than half of what each has; it asks again for what it has
// borrowed while it is needed, and gives it back a while after. What own tasks wait for is not lent: so at the same need all
// come to their equal parts, and what one doesn't need goes where it is waited for.
const (
	second = admission.Second
	// News every 0.3 s: a burst finds who idles within the time of some tasks, at some bytes a second a member.
	newsEvery = 3 * second / 10
	// An ask that has had no answer for 0.1 s is lost: answers take milliseconds. So many are out at once: a burst at one of 500
	// members that have two units each is served within a second or two.
	askEvery = second / 10
	atOnce   = 32
	// News goes to so many others in turn: of 500 each hears of as many a time, and of all in ten seconds.
	newsTo = 16
	// What hasn't changed since all heard it is told again at every so manieth turn, for who came, or lost it.
	newsAgain = 10
	// What is borrowed is kept so long beyond the last need: to ask again costs two messages and a way, to keep it idle a part of the total
	// (real sockets, 32 gateways, demand by Zipf's law: a quarter of a second 0.930 to 0.940 of it used, a tenth 0.953; a second 0.86).
	keepIdle = second / 10
	// Who has told nothing for a second may be asked all the same: among 500 each hears of the others every ten seconds, and a burst moves
	// faster. Each such ask that finds something pays for two more; in vain they go out four times a second, where all have too little.
	strange   = second
	blindEach = second / 4
	// A member whose next task needs more than its own part collects for so long.
	collect = second / 4
)

// tell has the others know what this member could lend.
func (c *Core) tell() {
	c.newsAt = c.now + newsEvery
	others := c.host.Peers()
	some := min(newsTo, len(others))
	turn := max(1, (len(others)+newsTo-1)/newsTo) // rounds until all have heard
	c.round++
	for b := range c.plan.Totals {
		n := max(0, c.lendable(b, c.now+c.plan.margin(c.plan.LeaseTerm)))
		if n != c.told[b] {
			c.told[b], c.toldAt[b] = n, c.round
		}
		if c.round-c.toldAt[b] >= turn && c.round%(newsAgain*turn) >= turn {
			continue
		}
		for k := range some {
			c.send(others[(c.toldTo+k)%len(others)], Message{Kind: KindSpareUnits, QuotaID: c.plan.QuotaIDs[b], Units: n})
		}
	}
	c.toldTo += some
}

// deny keeps who asked, in vain or not; makeUp tells them first once there is something.
func (c *Core) deny(b int, by string) {
	if !slices.ContainsFunc(c.denied, func(d denied) bool { return d.budget == b && d.by == by }) && len(c.denied) < atOnce {
		c.denied = append(c.denied, denied{b, by, c.now})
	}
}

func (c *Core) makeUp() {
	if len(c.denied) == 0 {
		return
	}
	left := make([]int64, 0, 8) // by budget, what there is for those who were not told yet
	c.denied = slices.DeleteFunc(c.denied, func(d denied) bool {
		if c.now-d.at >= second {
			return true // by now it has heard of others
		}
		for len(left) <= d.budget {
			left = append(left, max(0, c.lendable(len(left), c.now+c.plan.margin(c.plan.LeaseTerm))))
		}
		if left[d.budget] == 0 {
			return false
		}
		c.send(d.by, Message{Kind: KindSpareUnits, QuotaID: c.plan.QuotaIDs[d.budget], Units: left[d.budget]})
		left[d.budget]--
		return true
	})
}

func (c *Core) hears(b int, m Message) {
	if m.PlanNumber != c.plan.Number {
		return
	}
	s := c.spareOf(m.Sender)
	s.amount[b], s.at = m.Units, c.now
}

// spareOf is what is known of a member, made where there is nothing.
func (c *Core) spareOf(name string) *spare {
	i, ok := slices.BinarySearchFunc(c.spares, name, func(s spare, of string) int { return strings.Compare(s.of, of) })
	if !ok {
		c.spares = slices.Insert(c.spares, i, spare{of: name, amount: make([]int64, len(c.plan.Totals)), at: -strange})
	}
	return &c.spares[i]
}

// stranger is the next member that has told nothing lately; empty: there is none, or no asking it.
func (c *Core) stranger() string {
	for ; c.now >= c.creditAt && c.credit < atOnce; c.creditAt = max(c.creditAt+blindEach, c.now-strange) {
		c.credit++
	}
	if c.credit == 0 {
		return ""
	}
	others := c.host.Peers()
	for range others {
		c.blindTo++
		name := others[c.blindTo%len(others)]
		if name == c.name {
			continue
		}
		if s := c.spareOf(name); c.now-s.at >= strange {
			s.at = c.now
			c.credit--
			return name
		}
	}
	return ""
}

// SetDemand tells how much tasks that wait would use at once.
func (c *Core) SetDemand(now Time, budget int, amount int64) {
	c.pass(now)
	c.wanted[budget] = amount
}

// SetNextRequestUnits tells how much the next task needs: less is of no use.
func (c *Core) SetNextRequestUnits(budget int, one int64) { c.one[budget] = one }

// demand borrows what tasks wait for, asks for more time while it is needed, and gives it back after.
func (c *Core) demand(b int) {
	if len(c.spares) > mostKnown { // names come and go
		c.spares = c.spares[:0]
	}
	spared, least := c.free(b, c.now)-c.wanted[b], int64(0)
	for i := range c.loans {
		if l := &c.loans[i]; l.budget == b && (least == 0 || l.amount < least) {
			least = l.amount
		}
	}
	if least == 0 || spared < least {
		c.needAt[b] = c.now
	}
	if c.now-c.needAt[b] < keepIdle {
		spared = 0
	}
	c.ReturnLeases(c.now, b, spared)
	for i := range c.loans { // in time for the next task's whole length
		if l := &c.loans[i]; l.budget == b && !l.last && l.until-c.now < c.plan.LeaseTerm-c.plan.LeaseTerm/4 && !c.asking(b, l.with, l.id) {
			c.borrow(b, l.with, l.amount, l.id)
		}
	}
	free := max(0, c.free(b, c.now+c.plan.LongestUse))
	if c.yields(b, free) {
		return
	}
	lack, out := c.wanted[b]-free, 0
	if c.wide(b) && free < c.one[b] {
		lack = min(lack, c.one[b]-free) // for one task at a time: who holds a part of many serves none
	}
	for i := range c.asks {
		if a := &c.asks[i]; a.budget == b && a.fresh && c.now-a.at < askEvery {
			lack, out = lack-a.amount, out+1
		}
	}
	for ; lack > 0 && out < atOnce; out++ {
		most, of := int64(0), -1
		for k := range c.spares {
			i := (c.turn + k) % len(c.spares)
			if s := &c.spares[i]; s.amount[b] > most && s.of != c.name {
				most, of = s.amount[b], i
			}
		}
		if of < 0 {
			name := c.stranger()
			if name == "" {
				return
			}
			n := min(lack, max(1, c.plan.share(b, c.seat, c.scale[b])))
			lack -= n
			c.ids++
			c.borrow(b, name, n, c.ids)
			c.asks[len(c.asks)-1].blind = true
			continue
		}
		c.turn = of + 1
		n := min(lack, (most+1)/2)
		c.spares[of].amount[b] -= n // until it tells again
		lack -= n
		c.ids++
		c.borrow(b, c.spares[of].of, n, c.ids)
	}
}

// yields has a member whose next task needs more than its own part, and than it can borrow in a quarter of a second, give back what it has
// for it, and lend its own part for a while: else all hold a little of a budget and wait for each other. Pauses differ, and become
// longer after failures, so that few enough collect at a time. Who has enough goes on for a second, so that all come to their turn.
func (c *Core) yields(b int, free int64) bool {
	const few, doubled = 4, 4 // pauses are of one to four parts of a quarter of a second, and up to sixteen times that
	enough := free >= c.one[b]
	switch begun := max(c.collects[b], c.pauseTo[b]); {
	case c.wanted[b] == 0 || !c.wide(b):
		c.collects[b], c.failed[b] = c.now, 0
		return false
	case c.now < c.pauseTo[b]:
		return true
	case c.now-begun < collect || enough && c.now-begun < second:
		return false
	}
	if !enough {
		c.failed[b] = min(c.failed[b]+1, doubled)
	}
	c.pauses++
	c.pauseTo[b] = c.now + collect*Time(1+(HashName(c.name)+c.pauses*7919)%(few<<c.failed[b]))
	c.ReturnLeases(c.now, b, math.MaxInt64)
	return true
}

// wide tells whether the next task needs more than one unit, and than the own part.
func (c *Core) wide(b int) bool { return c.one[b] > max(1, c.plan.share(b, c.seat, c.scale[b])) }

// needs is what own tasks wait for, and is not lent.
func (c *Core) needs(b int) int64 {
	if c.now < c.pauseTo[b] {
		return 0
	}
	return c.wanted[b]
}

const mostKnown = 1024

// asking tells whether more time on a loan was asked for lately.
func (c *Core) asking(b int, of string, id uint32) bool {
	return slices.ContainsFunc(c.asks, func(a asked) bool { return a.budget == b && a.of == of && a.id == id && c.now-a.at < askEvery })
}

// borrow asks for a loan, or for more time on one.
func (c *Core) borrow(b int, of string, amount int64, id uint32) {
	c.last++
	fresh := !slices.ContainsFunc(c.loans, func(l loan) bool { return l.budget == b && l.with == of && l.id == id })
	c.asks = append(c.asks, asked{budget: b, of: of, id: id, seq: c.last, amount: amount, at: c.now, fresh: fresh})
	c.send(of, Message{Kind: KindLeaseRequest, QuotaID: c.plan.QuotaIDs[b], Units: amount, Sequence: c.last, LeaseID: id})
}
