package resourcegroup

import (
	"math"

	"magpiebank/internal/admission"
)

// class is the state of one class. Its number, the index in Limiter.classes, stays the same while the plan has the class or one of its
// requests waits or runs.
type class struct {
	Class
	pool    int  // index in Limiter.pools
	inUse   bool // false: the number is free for another class
	retired bool // the plan in force lacks the class, which remains until its last request has ended
	waiting int  // requests without an attempt in flight
	counts  Counts
	threadState
	workState
	quotaState
}

// threadState holds a class's use of threads.
type threadState struct {
	inFlight       int     // number of attempts
	runningThreads float64 // sum of the threads of these attempts
	threadLimit    float64 // limit in force; below MaxThreads after the pool lost engines, until it is raised again
	limitChangedAt admission.Time
}

// workState holds a class's use of its work per second.
type workState struct {
	workRate         float64 // ms a second that may be sent: WorkMillisPerSecond, or this gateway's share of it if the class is ClusterWide
	creditMillis     float64 // work that may be sent now; negative after more was sent than the rate allows
	creditUpdatedAt  admission.Time
	recentWorkMillis float64 // work sent, an exponentially decaying sum over about a second
	meanCostMillis   float64 // average over recent answers; the charge for an attempt without an estimate
}

// quotaState holds a ClusterWide class's use of the quota.
type quotaState struct {
	budgets         [budgetKinds]int // index of each kind's budget in the quota; negative: no budget, only this gateway's own limit applies
	shortOfThreads  bool             // the quota refused threads since the last tick
	rejectedByQuota int64            // requests rejected since the last tick because the quota had no free waiting place
}

// Counts holds the numbers of a class's requests and attempts since the class was added.
type Counts struct {
	Admitted     int64 // requests that were admitted
	OverCapacity int64 // requests rejected because too many were waiting
	Denied       int64 // requests rejected by a rule
	Served       int64 // attempts whose work is known
}

// divideAmong replaces cluster-wide limits by one gateway's equal share of them.
func (c *Class) divideAmong(gateways int) {
	n := float64(gateways)
	c.ClusterWide = false
	c.MaxThreads = math.Ceil(c.MaxThreads / n)
	c.WorkMillisPerSecond /= n
	c.MaxWaiting = int(math.Ceil(float64(c.MaxWaiting) / n))
}

// isUnused reports whether the class's number can be freed: the plan lacks the class and none of its requests is left.
func (c *class) isUnused() bool { return c.retired && c.inFlight == 0 && c.waiting == 0 }

// hasFreeThreads reports whether this gateway's own limit allows the given number of additional threads.
func (c *class) hasFreeThreads(threads float64) bool {
	if c.MaxThreads == 0 {
		return true
	}
	return c.threadLimit > 0 && (c.inFlight == 0 || c.runningThreads+threads <= c.threadLimit)
}

// hasCredit reports whether more work may be sent, after adding the credit earned since the last call. The credit is limited to the
// work of one second.
func (c *class) hasCredit(now admission.Time) bool {
	if c.WorkMillisPerSecond <= 0 {
		return true
	}
	c.creditMillis += c.workRate * float64(now-c.creditUpdatedAt) / float64(admission.Second)
	c.creditMillis = min(c.creditMillis, c.workRate)
	c.creditUpdatedAt = now
	return c.creditMillis > 0
}

// maxDebtSeconds limits a class's negative credit to the work of this many seconds at WorkMillisPerSecond, because an estimate can be
// far too high.
const maxDebtSeconds = 10

// charge subtracts the estimated work of an attempt, in ms, from the credit.
func (c *class) charge(work float64) {
	c.creditMillis = max(c.creditMillis-work, -maxDebtSeconds*c.WorkMillisPerSecond)
	c.recentWorkMillis += work
}

// recentCostWeight is the weight of the latest cost in the mean, which thus covers about ten answers.
const recentCostWeight = 0.1

// correctCredit replaces what an attempt was charged by its actual cost, both in ms, and updates the mean cost.
func (c *class) correctCredit(charged, cost float64) {
	c.creditMillis = min(c.creditMillis+charged-cost, c.workRate)
	if c.meanCostMillis == 0 {
		c.meanCostMillis = cost
	}
	c.meanCostMillis += recentCostWeight * (cost - c.meanCostMillis)
}

// roundUpThreads rounds up to a whole number because the quota counts in whole units.
func roundUpThreads(threads float64) int64 { return int64(math.Ceil(threads)) }
