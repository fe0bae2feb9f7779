package faulttest

import "sync"

// scenarioLimiter limits how many scenarios run at a time. It lowers the limit when a disturbed run shows that the machine is overloaded.
type scenarioLimiter struct {
	mu       sync.Mutex
	released sync.Cond
	capacity int // scenarios that may run at a time
	running  int
}

// limiter limits the scenarios of this package's tests. Its first limit is so high that only go test -parallel limits them.
var limiter = newScenarioLimiter(1 << 10)

func newScenarioLimiter(capacity int) *scenarioLimiter {
	l := &scenarioLimiter{capacity: capacity}
	l.released.L = &l.mu
	return l
}

// acquire waits until fewer scenarios are running than the limit allows, and returns the current limit.
func (l *scenarioLimiter) acquire() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.running >= l.capacity {
		l.released.Wait()
	}
	l.running++
	return l.capacity
}

// release ends a run that started when acquire returned the given capacity. After a disturbed run it sets the limit to half the number of
// running scenarios, but at least to one. Further runs that started under the same limit do not lower it again.
func (l *scenarioLimiter) release(disturbed bool, capacity int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if disturbed && l.capacity == capacity {
		l.capacity = max(1, min(capacity, l.running)/2)
	}
	l.running--
	l.released.Broadcast()
}
