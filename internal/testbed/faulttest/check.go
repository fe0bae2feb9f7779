package faulttest

import (
	"fmt"
	"math"
	"time"

	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/cluster/history"
)

// ageTolerance is how far a reported age may be off, in nanoseconds: the steps in which ages are sent, a tenth of the longest age for
// clocks that run a twentieth off on both sides, and the spread of the links.
const ageTolerance = int64(1500 * time.Millisecond)

// failureLifetime is the longest that a reported failure counts anywhere, in nanoseconds.
const failureLifetime = int64(healthreport.ConfirmedFailureLifetime * 1e5)

// incarnation is one start of a process that bears a name.
type incarnation struct {
	process string
	start   uint64
}

func incarnationOf(e *history.Event) incarnation { return incarnation{e.Process, e.Start} }

// Check reads a merged history for what must hold at every instant, whatever was lost, duplicated, late, stopped or killed. It knows
// nothing of the code: only what processes wrote down. Messages are dated as of when they were written down, so late lists what
// holds unless a process was woken later than ageTolerance.
func Check(events []history.Event) (broken, late []string) {
	c := newHistoryChecker(events)
	for i := range events {
		c.checkEvent(&events[i])
	}
	return c.broken, c.late
}

// historyChecker follows what each incarnation of a process knew, and collects the violations.
type historyChecker struct {
	startedAt         int64
	failures          map[engineObserver][]int64 // when an incarnation itself saw an engine fail
	firstIncarnations map[incarnation]incarnation
	views             map[incarnation]*clusterView
	broken            []string
	late              []string
}

// engineObserver is a process that sends requests to one start of an engine.
type engineObserver struct {
	incarnation
	engine      string
	engineStart int64
}

// clusterView is what one incarnation knows of the engines and of the other members.
type clusterView struct {
	maxEjectedShare   float64
	endpoints         map[string]int64 // by engine: its start, as the endpoint list has it
	memberStarts      map[string]uint64
	failureReportedAt map[string]map[string]int64 // by engine and member: when its report of a failure was last received
	suspectedUntil    map[string]int64            // engines against which reports of others count, and until when
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
			c.broken = append(c.broken, c.message(e, "list: a hand-off went to %s, which its own list doesn't name", e.Engine))
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

// updateEndpoint takes in a change of the endpoint list. An engine that is listed anew starts with a clean record.
func (v *clusterView) updateEndpoint(e *history.Event) {
	if e.State == "gone" {
		delete(v.endpoints, e.Engine)
	} else {
		v.endpoints[e.Engine] = e.EngineStart
	}
	delete(v.failureReportedAt, e.Engine)
	delete(v.suspectedUntil, e.Engine)
}

// checkMemberChange checks that the start by which a member is known never goes back.
func (c *historyChecker) checkMemberChange(view *clusterView, e *history.Event) {
	if e.Code == "displaced" {
		return
	}
	if e.Detail < view.memberStarts[e.Member] {
		c.broken = append(c.broken, c.message(e, "start: %s under start %d is %s, after start %d was known", e.Member, e.Detail, e.Code, view.memberStarts[e.Member]))
	}
	view.memberStarts[e.Member] = max(view.memberStarts[e.Member], e.Detail)
}

// checkPeerOutcome checks that a report of another member is of its latest start and of the listed start of the engine, and that the
// member itself saw a failure that it reports.
func (c *historyChecker) checkPeerOutcome(view *clusterView, e *history.Event) {
	if e.Detail < view.memberStarts[e.Member] {
		c.broken = append(c.broken, c.message(e, "start: evidence of %s under start %d was taken in, after start %d was known", e.Member, e.Detail, view.memberStarts[e.Member]))
	}
	if engineStart, ok := view.endpoints[e.Engine]; !ok || engineStart != e.EngineStart {
		c.broken = append(c.broken, c.message(e, "engine's start: evidence on %s of start %d was taken in, its own list has %d", e.Engine, e.EngineStart, engineStart))
	}
	if e.Success {
		return
	}
	if view.failureReportedAt[e.Engine] == nil {
		view.failureReportedAt[e.Engine] = map[string]int64{}
	}
	view.failureReportedAt[e.Engine][e.Member] = e.At
	if !c.observedFailure(e) {
		c.late = append(c.late, c.message(e, "evidence: %s is said to have failed at %s some %.1f s ago, and wrote down no such failure", e.Member, e.Engine, float64(e.AgeNanos)/1e9))
	}
}

// observedFailure tells whether the member that reports a failure wrote it down itself.
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

// checkAssessment checks that a failure score rests on as many reports as it claims, and that reports of others are held against no more
// engines at a time than the process is allowed.
func (c *historyChecker) checkAssessment(view *clusterView, e *history.Event) {
	witnesses := c.countWitnesses(view, e)
	if e.FailureScore > 0 && e.Number > witnesses || e.FailureScore > float64(e.Number)+1e-9 {
		c.late = append(c.late, c.message(e, "witnesses: %.2f is held against %s by %d witnesses, and %d were heard", e.FailureScore, e.Engine, e.Number, witnesses))
	}
	delete(view.suspectedUntil, e.Engine)
	if e.FailureScore > 0 {
		// The score ends by the clock of the process that decides, however late it learns of it.
		view.suspectedUntil[e.Engine] = e.ObservedAt + e.ValidNanos
	}
	suspected := 0
	for _, until := range view.suspectedUntil {
		if until > e.At {
			suspected++
		}
	}
	if maxSuspected := max(1, int(view.maxEjectedShare*float64(len(view.endpoints)))); suspected > maxSuspected {
		c.late = append(c.late, c.message(e, "part: hearsay holds something against %d engines at a time, of %d at most %d", suspected, len(view.endpoints), maxSuspected))
	}
}

// countWitnesses counts the members whose reports of a failure still count, the process itself among them.
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
