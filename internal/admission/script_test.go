package admission

import (
	"fmt"
	"strings"
)

// script drives one Controller, is its Host, and records a trace: one line for each event and each action.
type script struct {
	*Controller
	d            *Deployment
	clock        Time
	recordProbes bool
	trace        strings.Builder
}

func (s *script) record(format string, args ...any) {
	fmt.Fprintf(&s.trace, "%9s  %s\n", formatTime(s.clock), fmt.Sprintf(format, args...))
}

func formatTime(t Time) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", float64(t)/float64(Millisecond)), ".0") + " ms"
}

func (s *script) SendAttempt(request RequestID, engine EngineID, timeout, sendBy Time) {
	limit := ""
	if sendBy > 0 {
		limit = ", before " + formatTime(sendBy)
	}
	s.record("  -> send %s to %s, timeout %s%s", request, engine, formatTime(timeout), limit)
}
func (s *script) CancelAttempt(request RequestID, number int) {
	s.record("  -> cancel %s, attempt %d", request, number)
}
func (s *script) RejectRequest(request RequestID, retryAfter Time) {
	s.record("  -> reject %s, retry after %s", request, formatTime(retryAfter))
}
func (s *script) FailRequest(request RequestID) { s.record("  -> fail %s", request) }
func (s *script) SetAttemptOptions(request RequestID, memory float64, rank int) {
	s.record("  -> terms of %s: %.0f MB, rank %d", request, memory, rank)
}
func (s *script) SubscribeEndpoints()                                       { s.record("  -> subscribe to the list") }
func (s *script) HasSlowStartCapacity(EngineID, float64) (has, shared bool) { return false, false }
func (s *script) LogEvent(text string)                                      { s.record("  -> log: %s", text) }
func (s *script) ScheduleTick(Time)                                         {}
func (s *script) ReportObservation(engine EngineID, observed Observation, report Report, bytes float64) {
	s.record("  -> tell peers of %s: %s, report %v, %.0f bytes more", engine, observed, report, bytes)
}
func (s *script) ProbeEngine(engine EngineID) {
	if s.recordProbes {
		s.record("  -> probe %s", engine)
	}
}

// forcePeerMessages makes all scripts run with messages between gateways enabled.
var forcePeerMessages bool

// testDeployment has four classes: 0 is short and of low weight, 1 is long and of high weight, 2 is non-idempotent, 3 is
// deduplicated and ordered.
func testDeployment() *Deployment {
	return &Deployment{Gateways: 1, CoresByKind: []float64{4}, MaxAttempts: 4, RetryAfter: 500 * Millisecond,
		WarmUpCapacityShare: 0.25, WarmUpTime: 10 * Second, WarmUpOverloadFactor: 2, WarmUpOverloadTime: Second,
		SupportsProbes: true, ProbeCost: 0.01,
		Classes: []Class{
			{Threads: 1, LatencyObjective: 400 * Millisecond, ObjectivePerWork: 1, Weight: 1},
			{Threads: 3, LatencyObjective: 2 * Second, ObjectivePerWork: 2, Weight: 20, LateWeightShare: 0.5},
			{Threads: 2, LatencyObjective: 2 * Second, Weight: 5, RepeatEffect: NonIdempotent},
			{Threads: 1, LatencyObjective: 2 * Second, Weight: 5, RepeatEffect: Deduplicated, DedupWindow: 3 * Second, Ordered: true},
		}}
}

// startScript starts a controller at 0 s with the given engines in its list.
func startScript(d *Deployment, engines ...EngineID) *script {
	s := &script{d: d}
	d.PeerMessages = d.PeerMessages || forcePeerMessages
	s.Controller = New(0, 7, d, s)
	var list []Endpoint
	for _, engine := range engines {
		list = append(list, Endpoint{Engine: engine})
	}
	s.UpdateEndpoints(0, CachedUpdate, list)
	return s
}

// advanceTo moves the clock to t and calls Tick for each tick until then.
func (s *script) advanceTo(t Time) {
	for s.clock+tickInterval <= t {
		s.clock += tickInterval
		s.Tick(s.clock)
	}
	s.clock = t
}

// sendRequest delivers a request to the controller; its deadline is 10 s away.
func (s *script) sendRequest(id RequestID, class int, work Time, key string) {
	s.record("%s arrives in class %d", id, class)
	s.HandleRequest(s.clock, Request{ID: id, Deadline: s.clock + 10*Second, Class: class, Key: key, Estimate: Estimate{Work: work}})
}

// endAttempt ends a request's attempt.
func (s *script) endAttempt(id RequestID, outcome Outcome) {
	s.record("%s ends: %s", id, [...]string{"served", "error", "full", "timed out", "unreachable", "reset",
		"cancelled", "moot", "lost"}[outcome])
	s.HandleAttemptEnd(s.clock, AttemptResult{Request: id, Outcome: outcome, Answered: outcome == Served, Report: NoReport})
}

// serveRequests runs n requests of class 0 with the same estimate one after another and then clears the trace.
func (s *script) serveRequests(n int, estimate, took Time) {
	for i := range n {
		id := RequestID(fmt.Sprint("t", i))
		s.HandleRequest(s.clock, Request{ID: id, Deadline: s.clock + 10*Second, Estimate: Estimate{Work: estimate}})
		s.clock += took
		s.HandleAttemptEnd(s.clock, AttemptResult{Request: id, Outcome: Served, Answered: true, Report: NoReport})
	}
	s.trace.Reset()
}

// engineOf returns the engine of a request's latest attempt.
func (s *script) engineOf(id RequestID) *engineState {
	_, request := s.requests.find(id)
	return s.engines.at(request.attempt.engine)
}

// endProbe delivers the result of an engine's probe.
func (s *script) endProbe(name EngineID, outcome Outcome, report Report) {
	s.HandleProbeResult(s.clock, name, outcome, report)
	engine := s.engines.at(s.engines.byName[name])
	s.record("probe of %s: bound %.3g, failure score %.1f", name, engine.concurrency.limit, s.failureScore(engine))
}

// updateList delivers an update of the engine list, and records the state of all engines.
func (s *script) updateList(kind UpdateKind, list ...Endpoint) {
	s.UpdateEndpoints(s.clock, kind, list)
	for i := range s.engines.items {
		engine := &s.engines.items[i]
		s.record("%s is %s, bound %.3g", engine.Engine, [...]string{"live", "draining", "gone"}[engine.State], engine.concurrency.limit)
	}
}
