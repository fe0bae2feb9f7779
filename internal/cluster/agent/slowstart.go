package agent

import (
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"magpiebank/internal/admission"
)

// An engine that has just started fails if the gateways together send it too much within a time window. What they may send it is
// therefore a budget that all gateways share. Engines come and go, so there is a fixed number of such budgets: the number of engines
// that may start at the same time without sharing one. An engine's budget is found by the hash of its name. If two starting engines
// share a budget, each can be sent half.
const (
	slowStartBudgets = 8
	// slowStartUnits is the number of units of a budget. Smaller units fit the size of requests better, but a request then needs more
	// leases.
	slowStartUnits = 12
)

// SlowStartBudgets returns the names and totals of the budgets for engines that have just started.
func SlowStartBudgets() (names []string, totals []int64) {
	for i := range slowStartBudgets {
		names = append(names, fmt.Sprint("cold ", i))
		totals = append(totals, slowStartUnits)
	}
	return names, totals
}

// slowStart reserves units of the budgets for engines that have just started. Only the router's owner uses it.
type slowStart struct {
	agent   *Agent
	useTime admission.Time // how long units stay in use after an attempt was sent
	budgets [slowStartBudgets]slowStartBudget

	// The last reservation, which the next attempt at the engine uses.
	engine admission.EngineID // empty: there is no reservation
	bucket int                // index in budgets
	units  int64
}

// slowStartBudget is this gateway's demand for one budget.
type slowStartBudget struct {
	index       int            // index among all budgets
	wanted      int64          // units that the last failed reservation needed
	wantedAt    admission.Time // when that reservation failed
	needsUpdate bool           // the next Tick has to call SetDemand even if nothing is wanted, to withdraw a demand or free a reservation
}

func newSlowStart(a *Agent) *slowStart {
	if !a.config.Quota.SlowStart {
		return nil
	}
	// Units stay in use for one and a half times the window in which an engine can be overloaded, because an attempt that has
	// to wait for its connection may arrive in the same window as a later attempt that doesn't.
	s := &slowStart{agent: a, useTime: a.quota.overloadTime + a.quota.overloadTime/2}
	names, _ := SlowStartBudgets()
	for i := range s.budgets {
		s.budgets[i].index = a.BudgetIndex(names[i])
	}
	return s
}

// TryReserveSlowStart reserves a fraction of what an engine that has just started may be sent, for the next attempt. If this
// gateway's share isn't enough, Tick requests the units from the other gateways. The result shared is false if the gateways share
// no slow start budgets.
func (a *Agent) TryReserveSlowStart(now admission.Time, engine admission.EngineID, fraction float64) (reserved, shared bool) {
	s := a.slowStart
	if s == nil {
		return false, false
	}
	units := int64(math.Ceil(fraction * slowStartUnits))
	if units > slowStartUnits {
		return false, true
	}
	bucket := int(xxhash.Sum64String(string(engine)) % slowStartBudgets)
	budget := &s.budgets[bucket]
	if !a.quota.shares.TryReserve(now, budget.index, units, s.useTime) {
		budget.wanted, budget.wantedAt = units, now
		return false, true
	}
	budget.needsUpdate = true
	s.engine, s.bucket, s.units = engine, bucket, units
	return true, true
}

// recordAttempt uses the last reservation if it was made for the engine that an attempt was sent to.
func (s *slowStart) recordAttempt(now admission.Time, engine admission.EngineID) {
	if s == nil || s.engine != engine {
		return
	}
	s.agent.quota.use(now, s.budgets[s.bucket].index, s.units, s.useTime)
	s.engine = ""
}

// slowStartWantTime is how long demand for units lasts after a failed reservation. It is longer than the time between two
// attempts of a waiting request to reserve them.
const slowStartWantTime = 3 * admission.Second / 10

// Tick reports the demand for slow start budgets, and frees units that were reserved but not used. The router's owner calls it.
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
		if budget.wanted > 0 || budget.needsUpdate {
			a.quota.shares.SetDemand(now, budget.index, budget.wanted)
			budget.needsUpdate = budget.wanted > 0
		}
	}
}
