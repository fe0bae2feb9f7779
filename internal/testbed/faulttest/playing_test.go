package faulttest

import "sync"

// scenarioLimiter bounds how many scenarios are played at a time: fewer, once a run shows that they are too many for the machine.
type scenarioLimiter struct {
	mu       sync.Mutex
	released sync.Cond
	capacity int
	running  int
}

// limiter is the limit of this package's tests. They begin with as many as go test -parallel lets run.
var limiter = newScenarioLimiter(1 << 10)

func newScenarioLimiter(capacity int) *scenarioLimiter {
	l := &scenarioLimiter{capacity: capacity}
	l.released.L = &l.mu
	return l
}

// acquire waits for a turn, and tells how many there are by now.
func (l *scenarioLimiter) acquire() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.running >= l.capacity {
		l.released.Wait()
	}
	l.running++
	return l.capacity
}

// release ends a turn that was taken when there were so many. A disturbed run has half as many turns be there as are taken; the others of
// its time say nothing more.
func (l *scenarioLimiter) release(disturbed bool, capacity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if disturbed && l.capacity == capacity {
		l.capacity = max(1, min(capacity, l.running)/2)
	}
	l.running--
	l.released.Broadcast()
}
