package agent

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"magpiebank/internal/admission"
)

// What an engine that has just started may be sent within the time after which it tips over is a budget of all gateways, in twelfths: finer
// parts fit tasks better, and cost a task more loans.
// Engines come and go, so there are so many budgets as may be cold at a time without having to share one, found by the engine's name;
// two that meet at one have half each.
const (
	coldSlots = 8
	coldWhole = 12
)

// SlowStartBudgets are their names and totals.
func SlowStartBudgets() (names []string, totals []int64) {
	for n := range coldSlots {
		names, totals = append(names, fmt.Sprint("cold ", n)), append(totals, coldWhole)
	}
	return names, totals
}

// cold is the owner's side of these budgets.
type cold struct {
	f      *Agent
	length admission.Time // for which what was sent counts
	slots  [coldSlots]struct {
		budget int
		wanted int64
		at     admission.Time // when that was last wanted
		told   bool           // something is wanted or promised
	}
	engine admission.EngineID // that something was promised for last
	slot   int
	amount int64
}

func (f *Agent) newCold() *cold {
	if !f.plan.Quota.SlowStart {
		return nil
	}
	// What was sent counts half as long again as the time after which an engine tips over: a hand-off that waited for its
	// connection may come in the same window as a later one that did not.
	c := &cold{f: f, length: f.tip + f.tip/2}
	names, _ := SlowStartBudgets()
	for n := range c.slots {
		c.slots[n].budget = f.Index(names[n])
	}
	return c
}

// ColdRoom tells whether a part of what an engine may be sent is this gateway's to send next; otherwise it is wanted.
func (f *Agent) TryReserveSlowStart(now admission.Time, engine admission.EngineID, part float64) (room, shared bool) {
	c := f.cold
	if c == nil {
		return false, false
	}
	n := int(xxhash.Sum64String(string(engine)) % coldSlots)
	s, amount := &c.slots[n], int64(math.Ceil(part*coldWhole))
	if amount > coldWhole {
		return false, true
	}
	if !f.shares.TryReserve(now, s.budget, amount, c.length) {
		s.wanted, s.at = amount, now
		return false, true
	}
	s.told = true
	c.engine, c.slot, c.amount = engine, n, amount
	return true, true
}

// sent has what was promised last be used, if it was for the engine that a hand-off went to.
func (c *cold) sent(now admission.Time, engine admission.EngineID) {
	if c != nil && c.engine == engine {
		c.f.spend(now, c.slots[c.slot].budget, c.amount, c.length)
		c.engine = ""
	}
}

// Due tells what is wanted, and that what was promised and not used is free again.
func (f *Agent) Tick(now admission.Time) {
	const lately = 3 * admission.Second / 10 // longer than the pause between two looks of tasks that wait
	if f.cold == nil {
		return
	}
	f.cold.engine = ""
	for n := range f.cold.slots {
		s := &f.cold.slots[n]
		if now-s.at >= lately {
			s.wanted = 0
		}
		if s.wanted > 0 || s.told {
			f.shares.SetDemand(now, s.budget, s.wanted)
			s.told = s.wanted > 0
		}
	}
}
