package workers

import "time"

// Loss is a worker that is lost; its requests from a time on go to its heirs.
type Loss struct {
	Worker int           `json:"worker"`
	From   time.Duration `json:"from_ns"`
	Heirs  []int         `json:"heirs"` // none: they are not offered
	Why    string        `json:"why"`
}

// NoWorker is the owner of a request that is not offered.
const NoWorker = -1

// Owner returns the worker that sends a request, and the index of the loss by which the request came to that worker (-1:
// it was that worker's from the start).
func Owner(number uint64, at time.Duration, workers int, losses []Loss) (owner, byLoss int) {
	owner, byLoss = int(number%uint64(workers)), -1
	for index := range losses {
		loss := &losses[index]
		if loss.Worker != owner || at < loss.From {
			continue
		}
		if len(loss.Heirs) == 0 {
			return NoWorker, index
		}
		byLoss = index
		owner = loss.Heirs[(number/uint64(workers)+uint64(index))%uint64(len(loss.Heirs))]
	}
	return owner, byLoss
}

// Assignment decides, for one worker, which requests are its own. It is immutable, because the worker's loops read it
// from their goroutines; a change makes a new one.
type Assignment struct {
	Worker, Workers int
	LeaseUntil      time.Duration // of the lease
	Losses          []Loss
	TakeoverFrom    []time.Duration // by loss: from when on this worker sends what came by it
}

// Owns tells whether a request is this worker's, and whether it would be if the lease were not over.
func (a *Assignment) Owns(number uint64, at time.Duration) (owned, skipped bool) {
	owner, byLoss := Owner(number, at, a.Workers, a.Losses)
	if owner != a.Worker || byLoss >= 0 && at < a.TakeoverFrom[byLoss] {
		return false, false
	}
	if at >= a.LeaseUntil {
		return false, true
	}
	return true, false
}

// WithLease returns the assignment with a lease that a coordinator granted.
func (a *Assignment) WithLease(until time.Duration) *Assignment {
	next := *a
	next.LeaseUntil = max(a.LeaseUntil, until)
	return &next
}

// WithoutCoordinator returns the assignment now that no coordinator is there, which is proven. A worker whose lease still
// runs can't have been given up, and another coordinator, which can't have begun yet, waits for OrphanPeriod before it
// gives a worker up.
func (a *Assignment) WithoutCoordinator(now time.Duration) *Assignment {
	if now >= a.LeaseUntil {
		return a
	}
	return a.WithLease(now + OrphanPeriod)
}

// WithLosses returns the assignment with a list of losses that is received now; takeovers holds, by the index of each new
// loss, from when on this worker sends what the loss brings it.
func (a *Assignment) WithLosses(now time.Duration, losses []Loss) (next *Assignment, takeovers map[int]time.Duration) {
	if len(losses) < len(a.Losses) { // an older list
		return a, nil
	}
	changed := *a
	changed.Losses = losses
	changed.TakeoverFrom = append([]time.Duration(nil), a.TakeoverFrom...)
	takeovers = map[int]time.Duration{}
	for index := len(a.TakeoverFrom); index < len(losses); index++ {
		from := max(losses[index].From, now+handoverDelay) // the loops may have passed some of the requests already
		changed.TakeoverFrom = append(changed.TakeoverFrom, from)
		takeovers[index] = from
	}
	return &changed, takeovers
}
