package faulttest

import (
	"fmt"
	"math"
	"time"

	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/cluster/history"
)

// ageTolerance is the largest accepted error of a reported age, in nanoseconds. It covers the resolution with which ages are sent, a
// tenth of the longest age because the clocks of both sides may run a twentieth too fast or too slow, and the jitter of the links.
const ageTolerance = int64(1500 * time.Millisecond)

// failureLifetime is the longest time for which a reported failure counts at any gateway, in nanoseconds.
const failureLifetime = int64(healthreport.ConfirmedFailureLifetime * 1e5)

// incarnation identifies a process by its name and the incarnation with which it started.
type incarnation struct {
	process string
	start   uint64
}

func incarnationOf(e *history.Event) incarnation { return incarnation{e.Process, e.Start} }

// Check checks a merged history for rules that must hold at every instant, even if messages are lost, duplicated or late, and processes
// are stopped or killed. It uses only what the processes recorded. It returns two lists of violations. A received message has the time
// at which the receiver recorded it. So the violations in timed may also come from a process that was woken more than ageTolerance late.
func Check(events []history.Event) (violations, timed []string) {
	c := newHistoryChecker(events)
	for i := range events {
		c.checkEvent(&events[i])
	}
	return c.violations, c.timedViolations
}

// historyChecker tracks what each incarnation of a process knew, and collects the violations.
type historyChecker struct {
	startedAt         int64
	failures          map[engineObserver][]int64  // times at which an incarnation itself observed a failure of an engine
	firstIncarnations map[incarnation]incarnation // by later incarnation of a process: the one with which it started
	views             map[incarnation]*clusterView
	violations        []string
	timedViolations   []string
}

// engineObserver is a process together with one start of an engine to which it sends requests.
type engineObserver struct {
	incarnation
	engine      string
	engineStart int64
}

// clusterView holds what one incarnation knows about the engines and the other members.
type clusterView struct {
	maxEjectedShare   float64
	endpoints         map[string]int64 // start time of each engine in the endpoint list
	memberStarts      map[string]uint64
	failureReportedAt map[string]map[string]int64 // by engine and member: time at which the member's report of a failure was last received
	suspectedUntil    map[string]int64            // by engine: time until which reports of other members count against it
}

func newHistoryChecker(events []history.Event) *historyChecker {
	c := &historyChecker{
		startedAt:         math.MaxInt64,
		failures:          map[engineObserver][]int64{},
		firstIncarnations: map[incarnation]incarnation{},
		views:             map[incarnation]*clusterView{},
	}
	if len(events) > 0 {
		c.startedAt = events[0].At
	}
	for i := range events {
		e := &events[i]
		switch {
		case e.Kind == history.OutcomeObserved && !e.Success:
			observer := engineObserver{incarnationOf(e), e.Engine, e.EngineStart}
			c.failures[observer] = append(c.failures[observer], e.At)
		case e.Kind == history.StartChanged:
			c.firstIncarnations[incarnation{e.Process, e.Detail}] = incarnationOf(e)
		}
	}
	return c
}

func (c *historyChecker) checkEvent(e *history.Event) {
	view := c.view(incarnationOf(e))
	switch e.Kind {
	case history.ProcessStarted:
		view.maxEjectedShare = float64(e.Number) / 1000
	case history.EngineListed:
		view.updateEndpoint(e)
	case history.AttemptSent:
		if _, ok := view.endpoints[e.Engine]; !ok {
			c.violations = append(c.violations, c.message(e, "list: an attempt was sent to %s, which its own endpoint list does not contain", e.Engine))
		}
	case history.MemberChanged:
		c.checkMemberChange(view, e)
	case history.PeerOutcomeReceived:
		c.checkPeerOutcome(view, e)
	case history.EngineAssessed:
		c.checkAssessment(view, e)
	}
}

func (c *historyChecker) view(of incarnation) *clusterView {
	view := c.views[of]
	if view == nil {
		view = &clusterView{
			endpoints:         map[string]int64{},
			memberStarts:      map[string]uint64{},
			failureReportedAt: map[string]map[string]int64{},
			suspectedUntil:    map[string]int64{},
		}
		c.views[of] = view
	}
	return view
}

func (c *historyChecker) message(e *history.Event, format string, args ...any) string {
	return fmt.Sprintf("%.3f s, %s: %s", float64(e.At-c.startedAt)/1e9, e.Process, fmt.Sprintf(format, args...))
}

// updateEndpoint applies a change of the endpoint list. It discards what was reported about the engine before.
func (v *clusterView) updateEndpoint(e *history.Event) {
	if e.State == "gone" {
		delete(v.endpoints, e.Engine)
	} else {
		v.endpoints[e.Engine] = e.EngineStart
	}
	delete(v.failureReportedAt, e.Engine)
	delete(v.suspectedUntil, e.Engine)
}

// checkMemberChange checks that the known start of a member never decreases.
func (c *historyChecker) checkMemberChange(view *clusterView, e *history.Event) {
	if e.Code == "displaced" {
		return
	}
	if e.Detail < view.memberStarts[e.Member] {
		c.violations = append(c.violations, c.message(e, "start: %s with start %d is %s, although start %d was known", e.Member, e.Detail, e.Code, view.memberStarts[e.Member]))
	}
	view.memberStarts[e.Member] = max(view.memberStarts[e.Member], e.Detail)
}

// checkPeerOutcome checks a report of another member: it comes from the member's latest start, it concerns the listed start of the
// engine, and if it reports a failure, the member itself observed this failure.
func (c *historyChecker) checkPeerOutcome(view *clusterView, e *history.Event) {
	if e.Detail < view.memberStarts[e.Member] {
		c.violations = append(c.violations, c.message(e, "start: a report of %s with start %d was accepted, although start %d was known", e.Member, e.Detail, view.memberStarts[e.Member]))
	}
	if engineStart, ok := view.endpoints[e.Engine]; !ok || engineStart != e.EngineStart {
		c.violations = append(c.violations, c.message(e, "engine's start: a report on %s with start %d was accepted, but its own list has start %d", e.Engine, e.EngineStart, engineStart))
	}
	if e.Success {
		return
	}
	if view.failureReportedAt[e.Engine] == nil {
		view.failureReportedAt[e.Engine] = map[string]int64{}
	}
	view.failureReportedAt[e.Engine][e.Member] = e.At
	if !c.observedFailure(e) {
		c.timedViolations = append(c.timedViolations, c.message(e, "evidence: a report says that %s observed a failure of %s %.1f s ago, but its history has no such failure", e.Member, e.Engine, float64(e.AgeNanos)/1e9))
	}
}

// observedFailure reports whether the member that reported a failure recorded it in its own history.
func (c *historyChecker) observedFailure(e *history.Event) bool {
	reporter := incarnation{e.Member, e.Detail}
	if first, ok := c.firstIncarnations[reporter]; ok {
		reporter = first
	}
	failedAt := e.At - e.AgeNanos
	for _, observedAt := range c.failures[engineObserver{reporter, e.Engine, e.EngineStart}] {
		if failedAt >= observedAt-ageTolerance && failedAt <= observedAt+ageTolerance {
			return true
		}
	}
	return false
}

// checkAssessment checks that a failure score is based on as many witnesses as it claims, and that reports of other members count
// against no more engines at a time than the process allows.
func (c *historyChecker) checkAssessment(view *clusterView, e *history.Event) {
	witnesses := c.countWitnesses(view, e)
	if e.FailureScore > 0 && e.Number > witnesses || e.FailureScore > float64(e.Number)+1e-9 {
		c.timedViolations = append(c.timedViolations, c.message(e, "witnesses: the failure score %.2f of %s claims %d witnesses, but the histories show %d", e.FailureScore, e.Engine, e.Number, witnesses))
	}
	delete(view.suspectedUntil, e.Engine)
	if e.FailureScore > 0 {
		// The validity of the score starts when the process read the reports, even if the process recorded the score later.
		view.suspectedUntil[e.Engine] = e.ObservedAt + e.ValidNanos
	}
	suspected := 0
	for _, until := range view.suspectedUntil {
		if until > e.At {
			suspected++
		}
	}
	if maxSuspected := max(1, int(view.maxEjectedShare*float64(len(view.endpoints)))); suspected > maxSuspected {
		c.timedViolations = append(c.timedViolations, c.message(e, "part: reports of other members count against %d engines at a time; of %d engines they may count against %d", suspected, len(view.endpoints), maxSuspected))
	}
}

// countWitnesses returns the number of members whose reports of a failure of the engine still count. It includes the process itself if
// it observed such a failure.
func (c *historyChecker) countWitnesses(view *clusterView, e *history.Event) int {
	witnesses := 0
	for _, heardAt := range view.failureReportedAt[e.Engine] {
		if e.ObservedAt-heardAt <= failureLifetime+ageTolerance {
			witnesses++
		}
	}
	for _, observedAt := range c.failures[engineObserver{incarnationOf(e), e.Engine, e.EngineStart}] {
		if e.ObservedAt-observedAt <= failureLifetime+ageTolerance && observedAt <= e.At {
			return witnesses + 1
		}
	}
	return witnesses
}
