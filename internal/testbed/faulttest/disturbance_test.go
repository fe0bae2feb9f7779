package faulttest

import (
	"testing"
	"time"

	"magpiebank/internal/cluster/history"
)

// TestOnlyTimedViolationsAreRepeated checks that a run is repeated only if it was disturbed and all its violations depend on time.
func TestOnlyTimedViolationsAreRepeated(t *testing.T) {
	for _, c := range []struct {
		name              string
		delay             time.Duration
		strict, timed     []string
		disturbed, repeat bool
	}{
		{name: "all well", delay: time.Second, disturbed: true},
		{name: "late in a disturbed run", delay: connectWithin, timed: []string{"eventual: late"}, disturbed: true, repeat: true},
		{name: "late in a run that was not disturbed", delay: connectWithin - 1, timed: []string{"eventual: late"}},
		{name: "a rule broken in a disturbed run", delay: time.Second, strict: []string{"rule 2: twice"}, disturbed: true},
		{name: "a rule broken, and late, in a disturbed run", delay: time.Second, strict: []string{"rule 2: twice"}, timed: []string{"eventual: late", "broken"}, disturbed: true},
	} {
		r := &Result{WakeDelay: c.delay}
		r.addTimedViolations(c.timed...)
		r.addViolations(c.strict...)
		if r.Disturbed() != c.disturbed || r.MustRepeat() != c.repeat || len(r.Violations) != len(c.strict)+len(c.timed) {
			t.Errorf("%s: disturbed %v, to be repeated %v, violations %q", c.name, r.Disturbed(), r.MustRepeat(), r.Violations)
		}
	}
}

// TestWakeMeterKeepsTheLongestDelay checks that the longest delay is returned even if shorter ones follow, and that stop may be called
// twice.
func TestWakeMeterKeepsTheLongestDelay(t *testing.T) {
	m := newWakeMeter()
	m.observe(time.Hour)
	m.observe(time.Minute)
	if got := m.stop(); got != time.Hour {
		t.Errorf("longest delay: %v, expected 1h", got)
	}
	if got := m.stop(); got != time.Hour {
		t.Errorf("longest delay after a second stop: %v, expected 1h", got)
	}
}

// TestFewerScenariosAtATimeOnceDisturbed checks that a disturbed run halves the number of scenarios that run at a time, down to one.
// Further disturbed runs that started under the same limit do not halve it again.
func TestFewerScenariosAtATimeOnceDisturbed(t *testing.T) {
	limiter := newScenarioLimiter(100)
	for range 8 {
		limiter.acquire()
	}
	for _, c := range []struct {
		disturbed          bool
		startedUnder, want int
	}{{false, 100, 100}, {true, 100, 3}, {true, 100, 3}, {false, 3, 3}, {true, 3, 1}, {true, 1, 1}} {
		if limiter.release(c.disturbed, c.startedUnder); limiter.capacity != c.want {
			t.Errorf("after a run that started with a limit of %d, disturbed %v: the limit is %d, expected %d", c.startedUnder, c.disturbed, limiter.capacity, c.want)
		}
	}
	limiter.release(false, 1)
	entered := make(chan int)
	go func() { entered <- limiter.acquire() }() // one scenario is still running, so this waits
	limiter.release(false, 1)
	if got := <-entered; got != 1 {
		t.Errorf("acquire returned the limit %d, expected 1", got)
	}
}

// TestGatewaysWokenLateDisturbARun checks that delays which gateways recorded count, except those of gateways that the scenario may stop.
func TestGatewaysWokenLateDisturbARun(t *testing.T) {
	woke := func(label string, after time.Duration) history.Event {
		return history.Event{Kind: history.LateWake, Label: label, AgeNanos: int64(after)}
	}
	events := []history.Event{woke("g0", 3*time.Second), woke("g1", time.Second), woke("g2", 2*time.Second), {Kind: history.OutcomeObserved, Label: "g1", AgeNanos: int64(time.Hour)}}
	s := &Scenario{Steps: []Step{{Action: "stop", Gateways: []string{"g0"}}, {Action: "kill", Gateways: []string{"g2"}}}}
	if got := s.wakeDelay(events); got != 2*time.Second {
		t.Errorf("longest delay: %v, expected 2s", got)
	}
	if got := (&Scenario{CrashPoint: "leading yielding 0 stop"}).wakeDelay(events); got != 0 {
		t.Errorf("longest delay if the scenario may stop any gateway: %v, expected 0", got)
	}
}
