package faulttest

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"magpiebank/internal/cluster/history"
)

// connectWithin is the time limit for opening a connection between the processes of a scenario. It is the shortest time limit that the
// processes have.
const connectWithin = 250 * time.Millisecond

// wakeInterval is the time between two wake-ups of a wakeMeter.
const wakeInterval = 5 * time.Millisecond

// wakeMeter measures the longest delay with which this process wakes a goroutine after its timer has expired. The delay is long if the
// machine or the testbed needs more CPU time than the cores have. The clients and engines of a scenario are then late by as much.
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

// stop ends the measurement and returns the longest delay. It may be called again.
func (m *wakeMeter) stop() time.Duration {
	m.stopOnce.Do(func() { close(m.stopped) })
	<-m.ended
	return time.Duration(m.longest.Load())
}

// wakeDelay returns the longest delay that gateways recorded of their own wake-ups. It leaves out gateways that the scenario itself may
// stop.
func (s *Scenario) wakeDelay(events []history.Event) time.Duration {
	longest := int64(0)
	for i := range events {
		if e := &events[i]; e.Kind == history.LateWake && e.AgeNanos > longest && !s.mayStop(e.Label) {
			longest = e.AgeNanos
		}
	}
	return time.Duration(longest)
}

// mayStop reports whether the scenario stops a process, or may stop it at its crash point.
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

// Disturbed reports whether the machine was too busy for the run's times to be meaningful. This is so if the testbed or a gateway was
// woken later than the shortest time limit between the processes.
func (r *Result) Disturbed() bool { return r.WakeDelay >= connectWithin }

// MustRepeat reports whether the run must be repeated, because it was disturbed and has only timed violations. Other violations count
// in every run, because they do not depend on time.
func (r *Result) MustRepeat() bool {
	return r.Disturbed() && !r.Good() && r.timedViolations == len(r.Violations)
}

// addViolations records violations of rules that must hold at every instant.
func (r *Result) addViolations(what ...string) { r.Violations = append(r.Violations, what...) }

// addTimedViolations records violations that depend on time: something did not happen in time, or a busy machine can cause them.
func (r *Result) addTimedViolations(what ...string) {
	r.addViolations(what...)
	r.timedViolations += len(what)
}
