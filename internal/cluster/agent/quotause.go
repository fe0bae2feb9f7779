package agent

import (
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
)

// The router's owner uses the gateway's share of the budgets through the methods of Agent in this file.

// BudgetIndex returns the index of the budget with a name, or -1 if there is none.
func (a *Agent) BudgetIndex(name string) int {
	if a.quota == nil {
		return -1
	}
	a.quota.namesLock.Lock()
	defer a.quota.namesLock.Unlock()
	return slices.Index(a.quota.names, name)
}

// quotaShares returns the shares of the budgets, or nil if the gateways share no budgets or the agent hasn't started.
func (a *Agent) quotaShares() quotaShares {
	if a.quota == nil {
		return nil
	}
	return a.quota.shares
}

// TryReserve reserves an amount of a budget and reports whether this gateway's share allowed it.
func (a *Agent) TryReserve(now admission.Time, budget int, amount int64) bool {
	shares := a.quotaShares()
	return shares != nil && shares.TryReserve(now, budget, amount, a.quota.plan.LongestUse)
}

// CommitReservation uses an amount that was reserved, when an attempt is sent. It reports whether the amount was available.
func (a *Agent) CommitReservation(now admission.Time, budget int, amount int64) bool {
	return a.quota.use(now, budget, amount, a.quota.plan.LongestUse)
}

// use uses an amount of a budget until Release, or until useTime has passed. It reports whether the amount was available.
func (s *quotaSharing) use(now admission.Time, budget int, amount int64, useTime admission.Time) bool {
	ok := s.shares != nil && s.shares.CommitReservation(now, budget, amount, useTime)
	if !ok { // the caller sends the attempt anyway
		s.agent.log.Error("fleet", "code", "overrun", "budget", s.name(budget), "amount", amount)
	}
	s.agent.history.Write(history.Event{Kind: history.BudgetUsed, Code: s.name(budget), Number: int(amount), ValidNanos: duration(useTime).Nanoseconds()})
	return ok
}

// Release ends the use of an amount of a budget.
func (a *Agent) Release(now admission.Time, budget int, amount int64) {
	if a.quota.shares.Release(now, budget, amount) {
		a.queue.Put(quotaDemandChanged{}) // wakes the agent's goroutine, which at once informs the gateways whose requests for units failed
	}
	a.history.Write(history.Event{Kind: history.BudgetReleased, Code: a.quota.name(budget), Number: int(amount)})
}

// SetDemand sets the amount of a budget that waiting requests need.
func (a *Agent) SetDemand(now admission.Time, budget int, amount int64) {
	shares := a.quotaShares()
	if shares == nil {
		return
	}
	shares.SetDemand(now, budget, amount)
	if amount > 0 {
		a.queue.Put(quotaDemandChanged{}) // wakes the agent's goroutine, which at once requests missing units from other gateways
	}
}

// rateRecordInterval is the time after which an unchanged rate is written to the history again.
const rateRecordInterval = admission.Second / 2

// ReserveRate uses up to need units of a budget that is a rate. It returns the units per second that this gateway may use until the
// next call.
func (a *Agent) ReserveRate(now admission.Time, budget int, need int64) int64 {
	shares := a.quotaShares()
	if shares == nil {
		return 0
	}
	rate, until := shares.ReserveRate(now, budget, need)
	if a.history == nil {
		return rate
	}
	recorded := a.quota.recordedRates[budget]
	if rate != recorded.rate || now-recorded.at >= rateRecordInterval {
		a.quota.recordedRates[budget] = recordedRate{rate, now}
		valid := min(until-now, admission.Second)
		a.history.Write(history.Event{Kind: history.RateGranted, Code: a.quota.name(budget), Number: int(rate), ValidNanos: duration(valid).Nanoseconds()})
	}
	return rate
}

// ScaleTotal scales the configured total of a budget by a fraction.
func (a *Agent) ScaleTotal(now admission.Time, budget int, fraction float64) {
	if shares := a.quotaShares(); shares != nil {
		shares.ScaleTotal(now, budget, fraction)
	}
}
