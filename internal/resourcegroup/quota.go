package resourcegroup

import (
	"math"

	"magpiebank/internal/admission"
)

// Quota gives this gateway its share of the budgets that the classes of all gateways use together. A budget is either a number of units,
// each in use until its request ends, or a rate.
type Quota interface {
	// BudgetIndex returns the index of the budget with the given name, or a negative number if there is none.
	BudgetIndex(name string) int
	// TryReserve reserves an amount of a budget, and reports whether this gateway's share allows that. The reservation lasts until
	// CommitReservation or the next SetDemand.
	TryReserve(now admission.Time, budget int, amount int64) bool
	// CommitReservation turns a reservation into use, which lasts until Release. It reports whether that succeeded.
	CommitReservation(now admission.Time, budget int, amount int64) bool
	// Release ends the use of an amount.
	Release(now admission.Time, budget int, amount int64)
	// SetDemand reports the amount that waiting requests would use in addition if it were available now.
	SetDemand(now admission.Time, budget int, amount int64)
	// ReserveRate reserves up to need units a second of a budget that is a rate, and returns the units a second that this gateway may
	// use until the next call.
	ReserveRate(now admission.Time, budget int, need int64) (rate int64)
	// ScaleTotal sets the fraction, from 0 to 1, of a budget's total that may be used from now on.
	ScaleTotal(now admission.Time, budget int, fraction float64)
}

// The kinds of budgets of a ClusterWide class.
const (
	threadBudget  = iota // unit: a thread in use
	waitingBudget        // unit: a request that waits or runs
	workBudget           // rate: ms of work a second
	budgetKinds
)

// BudgetNames returns the names and totals of a class's budgets by kind; a total of 0 means that the class has no such budget.
func (c *Class) BudgetNames() (names [budgetKinds]string, totals [budgetKinds]int64) {
	names = [budgetKinds]string{c.Name + " threads", c.Name + " waiting", c.Name + " work"}
	totals = [budgetKinds]int64{int64(c.MaxThreads), int64(c.MaxWaiting), int64(c.WorkMillisPerSecond)}
	return names, totals
}

// ClusterBudgets returns the names and totals of the budgets of all ClusterWide classes.
func (p *Plan) ClusterBudgets() (names []string, totals []int64) {
	for i := range p.Classes {
		class := &p.Classes[i]
		if !class.ClusterWide {
			continue
		}
		classNames, classTotals := class.BudgetNames()
		for kind, total := range classTotals {
			if total > 0 {
				names = append(names, classNames[kind])
				totals = append(totals, total)
			}
		}
	}
	return names, totals
}

// UseQuota makes ClusterWide classes use a quota that the gateways share.
func (l *Limiter) UseQuota(quota Quota) {
	l.quota = quota
	for number := range l.classes {
		c := &l.classes[number]
		c.budgets = l.budgetIndexes(&c.Class)
	}
}

// budgetIndexes returns the indexes in the quota of a class's budgets by kind; -1 where it has none.
func (l *Limiter) budgetIndexes(c *Class) (budgets [budgetKinds]int) {
	names, totals := c.BudgetNames()
	for kind := range budgets {
		budgets[kind] = -1
		if c.ClusterWide && l.quota != nil && totals[kind] > 0 {
			budgets[kind] = l.quota.BudgetIndex(names[kind])
		}
	}
	return budgets
}

// checkBudgets returns a *PlanError if the quota lacks a budget of the plan's ClusterWide classes.
func (l *Limiter) checkBudgets(plan *Plan) error {
	if l.quota == nil {
		return nil
	}
	for i := range plan.Classes {
		c := &plan.Classes[i]
		names, totals := c.BudgetNames()
		for kind, name := range names {
			if c.ClusterWide && totals[kind] > 0 && l.quota.BudgetIndex(name) < 0 {
				return planError(classField(i, "fleet"), "expected fleet.budgets with a higher number, as the budget %q is new", name)
			}
		}
	}
	return nil
}

// minDemandAttempts is the number of waiting requests whose threads are always demanded from the quota. Beyond that, the demand is
// limited to the threads that are running, since some waiting requests don't wait for threads.
const minDemandAttempts = 4

// reserveThreads reserves threads for an attempt of a ClusterWide class and reports whether the quota allows that. At the first refusal
// after a tick it reports the class's demand to the quota.
func (l *Limiter) reserveThreads(now admission.Time, c *class, threads float64) bool {
	budget, width := c.budgets[threadBudget], roundUpThreads(threads)
	if l.quota.TryReserve(now, budget, width) {
		return true
	}
	if !c.shortOfThreads {
		c.shortOfThreads = true
		demand := min(int64(c.waiting)*width, max(minDemandAttempts*width, roundUpThreads(c.runningThreads)))
		l.quota.SetDemand(now, budget, demand)
	}
	return false
}

// updateQuota reports, once per tick, what a ClusterWide class would use in addition, and updates its share of the work rate. It scales
// the totals of threads and work to the pool's live engines, a change that all gateways see at the same time.
func (l *Limiter) updateQuota(now admission.Time, c *class) {
	fraction := 1.0
	if p := &l.pools[c.pool]; p.maxLiveCores > 0 {
		fraction = p.liveCores / p.maxLiveCores
	}
	if budget := c.budgets[threadBudget]; budget >= 0 {
		l.quota.ScaleTotal(now, budget, fraction)
		if !c.shortOfThreads {
			l.quota.SetDemand(now, budget, 0)
		}
		c.shortOfThreads = false
	}
	if budget := c.budgets[waitingBudget]; budget >= 0 {
		l.quota.ScaleTotal(now, budget, 1)
		l.quota.SetDemand(now, budget, c.rejectedByQuota)
		c.rejectedByQuota = 0
	}
	if budget := c.budgets[workBudget]; budget >= 0 {
		l.quota.ScaleTotal(now, budget, fraction)
		need := c.workDemand()
		rate := l.quota.ReserveRate(now, budget, need)
		c.workRate = float64(rate)
		l.quota.SetDemand(now, budget, need-rate)
	}
}

const (
	// recentWorkDecay is the fraction that recentWorkMillis loses per tick. With 50 ticks a second the remaining sum is about the work of
	// one second.
	recentWorkDecay = 0.02
	// workHeadroom is the ratio of the demanded work rate to the recent use, so that the use can grow.
	workHeadroom = 1.5
	// workGrowthDivisor is the divisor of the class's total that gives the work rate demanded in addition while requests wait for credit.
	workGrowthDivisor = 8
)

// workDemand applies one tick's decay to the recent work and returns the work rate, in whole ms a second, that the class could use at
// this gateway.
func (c *class) workDemand() int64 {
	c.recentWorkMillis -= c.recentWorkMillis * recentWorkDecay
	demand := workHeadroom * c.recentWorkMillis
	if c.waiting > 0 && c.creditMillis <= 0 {
		demand = max(1, demand+c.WorkMillisPerSecond/workGrowthDivisor)
	}
	return int64(math.Ceil(min(demand, c.WorkMillisPerSecond)))
}
