package workers

import "time"

// Loss records that a worker was lost. Its requests whose intended time is From or later go to its heirs.
type Loss struct {
	Worker int           `json:"worker"`
	From   time.Duration `json:"from_ns"`
	Heirs  []int         `json:"heirs"` // workers that share these requests; if there are none, the requests are not sent
	Why    string        `json:"why"`
}

// NoWorker is returned by Owner for a request that no worker sends, because its worker was lost without heirs.
const NoWorker = -1

// Owner returns the worker that sends a request, and the index of the loss through which that worker inherited the request.
// The index is -1 if the request was assigned to that worker from the start.
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

// Assignment determines which requests one worker sends. It is immutable, because the goroutines of the worker's loops read
// it; a change creates a new Assignment.
type Assignment struct {
	Worker, Workers int
	LeaseUntil      time.Duration // end of the worker's lease; requests intended then or later are skipped
	Losses          []Loss
	TakeoverFrom    []time.Duration // by index of the loss: the intended time of the first requests that this worker sends as an heir
}

// Owns reports whether this worker sends a request. skipped reports that the request is assigned to this worker but is not
// sent, because it is intended for a time at which the lease is over.
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

// WithLease returns the assignment with a lease until the given time, or with its present lease if that one ends later.
func (a *Assignment) WithLease(until time.Duration) *Assignment {
	next := *a
	next.LeaseUntil = max(a.LeaseUntil, until)
	return &next
}

// WithoutCoordinator returns the assignment for a worker that has proof that no coordinator is running. A lease that still
// runs is extended to OrphanPeriod from now. This is safe: a worker whose lease still runs has not been declared lost, and the
// next coordinator, which has not started yet, declares no worker lost before all workers have joined or OrphanPeriod has
// passed.
func (a *Assignment) WithoutCoordinator(now time.Duration) *Assignment {
	if now >= a.LeaseUntil {
		return a
	}
	return a.WithLease(now + OrphanPeriod)
}

// WithLosses returns the assignment with a list of losses that is received now. takeovers holds, by the index of each new
// loss, the intended time from which this worker sends the requests that it inherits through the loss.
func (a *Assignment) WithLosses(now time.Duration, losses []Loss) (next *Assignment, takeovers map[int]time.Duration) {
	if len(losses) < len(a.Losses) { // the list is older than the present one
		return a, nil
	}
	changed := *a
	changed.Losses = losses
	changed.TakeoverFrom = append([]time.Duration(nil), a.TakeoverFrom...)
	takeovers = map[int]time.Duration{}
	for index := len(a.TakeoverFrom); index < len(losses); index++ {
		from := max(losses[index].From, now+handoverDelay) // the loops may already have passed requests before that time
		changed.TakeoverFrom = append(changed.TakeoverFrom, from)
		takeovers[index] = from
	}
	return &changed, takeovers
}
