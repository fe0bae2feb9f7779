package agent

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"magpiebank/internal/admission"
)

// What an engine that has just started may be sent, within the time after which it would be overloaded, is a budget of
// all gateways. Engines come and go, so there is a fixed number of such budgets, as many as engines may start at a time
// without sharing one. An engine's budget is found by the hash of its name; two engines at one budget have half each.
const (
	slowStartBudgets = 8
	// slowStartUnits divides a budget. Finer units fit requests better, but cost a request more leases.
	slowStartUnits = 12
)

// SlowStartBudgets are the names and totals of the budgets for engines that have just started.
func SlowStartBudgets() (names []string, totals []int64) {
	for i := range slowStartBudgets {
		names = append(names, fmt.Sprint("cold ", i))
		totals = append(totals, slowStartUnits)
	}
	return names, totals
}

// slowStart reserves units of the budgets for engines that have just started. It is the router owner's.
type slowStart struct {
	agent   *Agent
	useTime admission.Time // for which units count once they are used
	budgets [slowStartBudgets]slowStartBudget

	// What was reserved last, for the attempt that follows.
	engine admission.EngineID // empty: nothing
	slot   int                // in budgets
	units  int64
}

// slowStartBudget is what this gateway wants of one budget.
type slowStartBudget struct {
	index    int            // among all budgets
	wanted   int64          // units
	wantedAt admission.Time // when they were wanted last
	reported bool           // something is wanted or reserved
}

func newSlowStart(a *Agent) *slowStart {
	if !a.config.Quota.SlowStart {
		return nil
	}
	// Units count half as long again as the time after which an engine is overloaded, because an attempt that waited
	// for its connection may arrive in the same window as a later one that did not.
	s := &slowStart{agent: a, useTime: a.quota.overloadTime + a.quota.overloadTime/2}
	names, _ := SlowStartBudgets()
	for i := range s.budgets {
		s.budgets[i].index = a.BudgetIndex(names[i])
	}
	return s
}

// TryReserveSlowStart reserves a fraction of what an engine that has just started may be sent, for the next attempt.
// Where none is this gateway's, it is asked for. The result shared is false where these budgets aren't shared.
func (a *Agent) TryReserveSlowStart(now admission.Time, engine admission.EngineID, fraction float64) (reserved, shared bool) {
	s := a.slowStart
	if s == nil {
		return false, false
	}
	units := int64(math.Ceil(fraction * slowStartUnits))
	if units > slowStartUnits {
		return false, true
	}
	slot := int(xxhash.Sum64String(string(engine)) % slowStartBudgets)
	budget := &s.budgets[slot]
	if !a.quota.shares.TryReserve(now, budget.index, units, s.useTime) {
		budget.wanted, budget.wantedAt = units, now
		return false, true
	}
	budget.reported = true
	s.engine, s.slot, s.units = engine, slot, units
	return true, true
}

// recordAttempt uses what was reserved last, if it was for the engine that an attempt was sent to.
func (s *slowStart) recordAttempt(now admission.Time, engine admission.EngineID) {
	if s == nil || s.engine != engine {
		return
	}
	s.agent.quota.use(now, s.budgets[s.slot].index, s.units, s.useTime)
	s.engine = ""
}

// slowStartWantTime is how long units are wanted for: longer than the pause between two looks of waiting requests.
const slowStartWantTime = 3 * admission.Second / 10

// Tick reports what is wanted, and frees what was reserved and not used. The router's owner calls it.
func (a *Agent) Tick(now admission.Time) {
	s := a.slowStart
	if s == nil {
		return
	}
	s.engine = ""
	for i := range s.budgets {
		budget := &s.budgets[i]
		if now-budget.wantedAt >= slowStartWantTime {
			budget.wanted = 0
		}
		if budget.wanted > 0 || budget.reported {
			a.quota.shares.SetDemand(now, budget.index, budget.wanted)
			budget.reported = budget.wanted > 0
		}
	}
}
