package agent

import (
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
)

// The methods of Agent in this file are the router owner's access to its share of the budgets.

// BudgetIndex is a budget's index by its name, and -1 where there is none.
func (a *Agent) BudgetIndex(name string) int {
	if a.quota == nil {
		return -1
	}
	a.quota.namesLock.Lock()
	defer a.quota.namesLock.Unlock()
	return slices.Index(a.quota.names, name)
}

// quotaShares are the shares of budgets; nil: nothing is shared, or the agent hasn't started.
func (a *Agent) quotaShares() quotaShares {
	if a.quota == nil {
		return nil
	}
	return a.quota.shares
}

// TryReserve reserves an amount of a budget, if this gateway's share allows it.
func (a *Agent) TryReserve(now admission.Time, budget int, amount int64) bool {
	shares := a.quotaShares()
	return shares != nil && shares.TryReserve(now, budget, amount, a.quota.plan.LongestUse)
}

// CommitReservation uses what was reserved, as an attempt is sent.
func (a *Agent) CommitReservation(now admission.Time, budget int, amount int64) bool {
	return a.quota.use(now, budget, amount, a.quota.plan.LongestUse)
}

// use uses an amount of a budget for a time at most.
func (s *quotaSharing) use(now admission.Time, budget int, amount int64, length admission.Time) bool {
	ok := s.shares != nil && s.shares.CommitReservation(now, budget, amount, length)
	if !ok { // the attempt is sent all the same
		s.agent.log.Error("fleet", "code", "overrun", "budget", s.name(budget), "amount", amount)
	}
	s.agent.history.Write(history.Event{Kind: history.BudgetUsed, Code: s.name(budget), Number: int(amount), ValidNanos: duration(length).Nanoseconds()})
	return ok
}

// Release ends a use.
func (a *Agent) Release(now admission.Time, budget int, amount int64) {
	if a.quota.shares.Release(now, budget, amount) {
		a.queue.Put(quotaDemandChanged{}) // other gateways asked for it in vain and are told at once
	}
	a.history.Write(history.Event{Kind: history.BudgetReleased, Code: a.quota.name(budget), Number: int(amount)})
}

// SetDemand reports what waiting requests would use.
func (a *Agent) SetDemand(now admission.Time, budget int, amount int64) {
	shares := a.quotaShares()
	if shares == nil {
		return
	}
	shares.SetDemand(now, budget, amount)
	if amount > 0 {
		a.queue.Put(quotaDemandChanged{}) // it is asked for at once
	}
}

// rateRecordInterval is the time after which a rate is written into the history again though it is the same.
const rateRecordInterval = admission.Second / 2

// ReserveRate uses a budget that is a rate, up to an amount, and returns the units a second that this gateway may use.
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

// ScaleTotal reduces a total to a fraction of itself.
func (a *Agent) ScaleTotal(now admission.Time, budget int, fraction float64) {
	if shares := a.quotaShares(); shares != nil {
		shares.ScaleTotal(now, budget, fraction)
	}
}
