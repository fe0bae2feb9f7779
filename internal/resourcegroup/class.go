package resourcegroup

import (
	"math"

	"magpiebank/internal/admission"
)

// class is the state of one class. Its number stays the same as long as a plan names it or one of its requests waits or runs.
type class struct {
	Class
	pool    int  // number
	inUse   bool // the number is taken
	retired bool // the plan does not have the class any more; its requests end under it
	waiting int  // requests without an attempt in flight
	counts  Counts
	threadState
	workState
	quotaState
}

// threadState is a class's use of threads.
type threadState struct {
	inFlight       int     // attempts
	runningThreads float64 // of these attempts
	threadLimit    float64 // that may run now
	limitChangedAt admission.Time
}

// workState is a class's use of its work per second.
type workState struct {
	workRate         float64 // ms a second that may be sent: WorkMillisPerSecond, or this gateway's share of a fleet-wide class
	creditMillis     float64 // work that may be sent now; below 0: more was sent than the rate allows
	creditUpdatedAt  admission.Time
	recentWorkMillis float64 // work sent, fading away within about a second
	meanCostMillis   float64 // of recent answers; the charge of an attempt whose work is not estimated
}

// quotaState is the use that a fleet-wide class makes of the quota.
type quotaState struct {
	budgets         [budgetKinds]int // indexes; below 0: the limit is this gateway's own
	shortOfThreads  bool             // threads were refused since the last tick
	rejectedByQuota int64            // requests rejected for want of a waiting place since the last tick
}

// Counts are numbers of a class since the start.
type Counts struct {
	Admitted     int64 // requests
	OverCapacity int64 // requests
	Denied       int64 // requests
	Served       int64 // attempts whose work is known
}

// divideAmong turns fleet-wide limits into those of one of several gateways.
func (c *Class) divideAmong(gateways int) {
	n := float64(gateways)
	c.ClusterWide = false
	c.MaxThreads = math.Ceil(c.MaxThreads / n)
	c.WorkMillisPerSecond /= n
	c.MaxWaiting = int(math.Ceil(float64(c.MaxWaiting) / n))
}

// isUnused reports whether the class's number can be freed.
func (c *class) isUnused() bool { return c.retired && c.inFlight == 0 && c.waiting == 0 }

// hasFreeThreads reports whether so many threads may run in addition, by this gateway's own limit.
func (c *class) hasFreeThreads(threads float64) bool {
	if c.MaxThreads == 0 {
		return true
	}
	return c.threadLimit > 0 && (c.inFlight == 0 || c.runningThreads+threads <= c.threadLimit)
}

// hasCredit reports whether more work may be sent. Credit that is not used within a second is lost.
func (c *class) hasCredit(now admission.Time) bool {
	if c.WorkMillisPerSecond <= 0 {
		return true
	}
	c.creditMillis += c.workRate * float64(now-c.creditUpdatedAt) / float64(admission.Second)
	c.creditMillis = min(c.creditMillis, c.workRate)
	c.creditUpdatedAt = now
	return c.creditMillis > 0
}

// maxDebtSeconds bounds the debt of a class, in seconds of its work rate, since an estimate can be far too high.
const maxDebtSeconds = 10

// charge takes the estimated work of an attempt, in ms, off the credit.
func (c *class) charge(work float64) {
	c.creditMillis = max(c.creditMillis-work, -maxDebtSeconds*c.WorkMillisPerSecond)
	c.recentWorkMillis += work
}

// recentCostWeight has the mean cost follow some ten answers.
const recentCostWeight = 0.1

// correctCredit corrects the credit once the cost of an attempt, in ms, is known.
func (c *class) correctCredit(charged, cost float64) {
	c.creditMillis = min(c.creditMillis+charged-cost, c.workRate)
	if c.meanCostMillis == 0 {
		c.meanCostMillis = cost
	}
	c.meanCostMillis += recentCostWeight * (cost - c.meanCostMillis)
}

// wholeThreads rounds up, as the quota has whole units.
func roundUpThreads(threads float64) int64 { return int64(math.Ceil(threads)) }
