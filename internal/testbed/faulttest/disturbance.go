package faulttest

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magpiebank/internal/cluster/history"
)

// connectWithin is how long a connection between the processes of a scenario may take to come up: the shortest time limit that they keep.
const connectWithin = 250 * time.Millisecond

// wakeInterval is how often a wakeMeter is to be woken.
const wakeInterval = 5 * time.Millisecond

// wakeMeter measures the longest delay with which this process wakes a goroutine whose time has come. It is long where the machine, or
// the testbed itself, asks for more than the cores give, and then clients and engines of a scenario are as late.
type wakeMeter struct {
	longest  atomic.Int64
	stopOnce sync.Once
	stopped  chan struct{}
	ended    chan struct{}
}

func newWakeMeter() *wakeMeter {
	m := &wakeMeter{stopped: make(chan struct{}), ended: make(chan struct{})}
	go m.measure()
	return m
}

func (m *wakeMeter) measure() {
	defer close(m.ended)
	for {
		due := time.Now().Add(wakeInterval)
		select {
		case <-m.stopped:
			return
		case <-time.After(wakeInterval):
		}
		m.observe(time.Since(due))
	}
}

func (m *wakeMeter) observe(delay time.Duration) {
	if int64(delay) > m.longest.Load() {
		m.longest.Store(int64(delay))
	}
}

// stop ends the measurement, if it hasn't ended, and tells the longest delay.
func (m *wakeMeter) stop() time.Duration {
	m.stopOnce.Do(func() { close(m.stopped) })
	<-m.ended
	return time.Duration(m.longest.Load())
}

// wakeDelay is the longest delay that gateways wrote down of themselves, except those that the scenario itself stops.
func (s *Scenario) wakeDelay(events []history.Event) time.Duration {
	longest := int64(0)
	for i := range events {
		if e := &events[i]; e.Kind == history.LateWake && e.AgeNanos > longest && !s.mayStop(e.Label) {
			longest = e.AgeNanos
		}
	}
	return time.Duration(longest)
}

// mayStop tells whether a scenario stops a process, or may stop it.
func (s *Scenario) mayStop(label string) bool {
	if s.CrashPoint != "" && strings.Contains(s.CrashPoint, "stop") {
		return true
	}
	for _, step := range s.Steps {
		if step.Action == "stop" && matchesAny(step.Gateways, label) {
			return true
		}
	}
	return false
}

// Disturbed tells whether the machine was too busy for the run's times to mean anything: the testbed itself, or a gateway, was woken
// later than the shortest time limit between the processes.
func (r *Result) Disturbed() bool { return r.WakeDelay >= connectWithin }

// MustRepeat tells whether a run has to be played again, as it was disturbed and violated nothing but what rests on time. What must hold
// whatever the times are counts in any run.
func (r *Result) MustRepeat() bool {
	return r.Disturbed() && !r.Good() && r.timedViolations == len(r.Violations)
}

// addViolations takes down what must hold at every instant, and did not.
func (r *Result) addViolations(what ...string) { r.Violations = append(r.Violations, what...) }

// addTimedViolations takes down what was to come about within a time, and did not.
func (r *Result) addTimedViolations(what ...string) {
	r.addViolations(what...)
	r.timedViolations += len(what)
}
