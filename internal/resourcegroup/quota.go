package resourcegroup

import (
	"math"

	"magpiebank/internal/admission"
)

// Quota is this gateway's share of what classes may use over all gateways: of each budget, some units until a request ends, or
// a rate.
type Quota interface {
	// BudgetIndex returns a budget's index by its name; below 0: there is none.
	BudgetIndex(name string) int
	// TryReserve reserves an amount of a budget, if this gateway may use it. The reservation lasts until CommitReservation, or
	// the next SetDemand.
	TryReserve(now admission.Time, budget int, amount int64) bool
	// CommitReservation uses what was reserved until Release.
	CommitReservation(now admission.Time, budget int, amount int64) bool
	// Release ends the use of an amount.
	Release(now admission.Time, budget int, amount int64)
	// SetDemand reports how much waiting requests would use at once.
	SetDemand(now admission.Time, budget int, amount int64)
	// ReserveRate uses a budget that is a rate, up to an amount, and returns the units a second that this gateway may use until
	// the next call.
	ReserveRate(now admission.Time, budget int, need int64) (rate int64)
	// ScaleTotal reduces a total to a fraction of itself from now on.
	ScaleTotal(now admission.Time, budget int, fraction float64)
}

// The kinds of budgets of a fleet-wide class.
const (
	threadBudget  = iota // units: threads in use
	waitingBudget        // units: requests that wait or run
	workBudget           // a rate: ms of work a second
	budgetKinds
)

// BudgetNames returns the names of a fleet-wide class's budgets and their totals; a total of 0 means that there is no such budget.
func (c *Class) BudgetNames() (names [budgetKinds]string, totals [budgetKinds]int64) {
	names = [budgetKinds]string{c.Name + " threads", c.Name + " waiting", c.Name + " work"}
	totals = [budgetKinds]int64{int64(c.MaxThreads), int64(c.MaxWaiting), int64(c.WorkMillisPerSecond)}
	return names, totals
}

// ClusterBudgets returns the names and totals of the budgets of all fleet-wide classes.
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

// UseQuota has fleet-wide classes use a quota that the gateways share.
func (l *Limiter) UseQuota(quota Quota) {
	l.quota = quota
	for number := range l.classes {
		c := &l.classes[number]
		c.budgets = l.budgetIndexes(&c.Class)
	}
}

// budgetIndexes returns the indexes of a class's budgets by kind; -1 where it has none.
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

// checkBudgets returns a *PlanError if the quota does not have the budgets of a plan's fleet-wide classes.
func (l *Limiter) checkBudgets(plan *Plan) error {
	if l.quota == nil {
		return nil
	}
	for i := range plan.Classes {
		c := &plan.Classes[i]
		names, totals := c.BudgetNames()
		for kind, name := range names {
			if c.ClusterWide && totals[kind] > 0 && l.quota.BudgetIndex(name) < 0 {
				return planError(classField(i, "fleet"), "expected fleet.budgets of a higher number, as %q is new", name)
			}
		}
	}
	return nil
}

// minDemandAttempts is how many attempts' threads are demanded at least, if so many requests wait. The demand is otherwise bounded by
// what runs, since some of those that wait do not wait for threads.
const minDemandAttempts = 4

// reserveThreads reserves threads for an attempt of a fleet-wide class. At the first refusal after a tick it reports the demand.
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

// updateQuota reports at a tick what a fleet-wide class would use in addition, and takes over its share of the work rate. Totals of
// threads and work are scaled as the pool's engines come and go, which all gateways see at the same time.
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
	// recentWorkDecay is the part of recentWorkMillis that fades away at a tick, of which there are 50 a second: what remains is about the
	// work of a second.
	recentWorkDecay = 0.02
	// workHeadroom lets a gateway's use grow.
	workHeadroom = 1.5
	// workGrowthDivisor is the inverse of the part of the total that a gateway demands in addition while its requests wait for work.
	workGrowthDivisor = 8
)

// workDemand fades the recent work at a tick and returns the work rate, in whole ms a second, that the class could use here.
func (c *class) workDemand() int64 {
	c.recentWorkMillis -= c.recentWorkMillis * recentWorkDecay
	demand := workHeadroom * c.recentWorkMillis
	if c.waiting > 0 && c.creditMillis <= 0 {
		demand = max(1, demand+c.WorkMillisPerSecond/workGrowthDivisor)
	}
	return int64(math.Ceil(min(demand, c.WorkMillisPerSecond)))
}
