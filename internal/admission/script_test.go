package admission

import (
	"fmt"
	"strings"
)

// script drives one router and writes down, a line each, what happens to it and what it does.
type script struct {
	*Controller
	d      *Deployment
	at     Time
	probes bool // write down probes
	out    strings.Builder
}

func (s *script) say(format string, args ...any) {
	fmt.Fprintf(&s.out, "%9s  %s\n", ms(s.at), fmt.Sprintf(format, args...))
}

func ms(t Time) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", float64(t)/float64(Millisecond)), ".0") + " ms"
}

func (s *script) SendAttempt(t RequestID, e EngineID, timeout, sendBy Time) {
	by := ""
	if sendBy > 0 {
		by = ", before " + ms(sendBy)
	}
	s.say("  -> send %s to %s, timeout %s%s", t, e, ms(timeout), by)
}
func (s *script) CancelAttempt(t RequestID, n int) { s.say("  -> cancel %s, attempt %d", t, n) }
func (s *script) RejectRequest(t RequestID, retryAfter Time) {
	s.say("  -> reject %s, retry after %s", t, ms(retryAfter))
}
func (s *script) FailRequest(t RequestID) { s.say("  -> fail %s", t) }
func (s *script) SetAttemptTerms(t RequestID, m float64, k int) {
	s.say("  -> terms of %s: %.0f MB, rank %d", t, m, k)
}
func (s *script) SubscribeEndpoints()                                        { s.say("  -> subscribe to the list") }
func (s *script) HasSlowStartCapacity(EngineID, float64) (room, shared bool) { return false, false }
func (s *script) LogEvent(text string)                                       { s.say("  -> log: %s", text) }
func (s *script) ScheduleTick(Time)                                          {}
func (s *script) ReportObservation(e EngineID, saw Observation, report Report, room float64) {
	s.say("  -> tell peers of %s: %s, report %v, %.0f bytes more", e, saw, report, room)
}
func (s *script) ProbeEngine(e EngineID) {
	if s.probes {
		s.say("  -> probe %s", e)
	}
}

// everyPeers has all scripts run where routers may speak to each other.
var everyPeers bool

// classes of the scripts: 0 is short and cheap, 1 long and dear, 2 must not run twice, 3 is deduplicated in order.
func deployment() *Deployment {
	return &Deployment{Gateways: 1, CoresByKind: []float64{4}, MaxAttempts: 4, RetryAfter: 500 * Millisecond,
		WarmUpCapacityShare: 0.25, WarmUpTime: 10 * Second, WarmUpOverloadFactor: 2, WarmUpOverloadTime: Second, SupportsProbes: true, ProbePrice: 0.01,
		Classes: []Class{
			{Threads: 1, LatencyObjective: 400 * Millisecond, ObjectivePerWork: 1, Weight: 1},
			{Threads: 3, LatencyObjective: 2 * Second, ObjectivePerWork: 2, Weight: 20, LateWeightShare: 0.5},
			{Threads: 2, LatencyObjective: 2 * Second, Weight: 5, Effect: NonIdempotent},
			{Threads: 1, LatencyObjective: 2 * Second, Weight: 5, Effect: Deduplicated, DedupWindow: 3 * Second, Ordered: true},
		}}
}

func start(d *Deployment, engines ...EngineID) *script {
	s := &script{d: d}
	d.PeerMessages = d.PeerMessages || everyPeers
	s.Controller = New(0, 7, d, s)
	var list []Endpoint
	for _, e := range engines {
		list = append(list, Endpoint{Engine: e})
	}
	s.UpdateEndpoints(0, CachedUpdate, list)
	return s
}

// pass lets the timer tick until t.
func (s *script) pass(t Time) {
	for s.at+tickInterval <= t {
		s.at += tickInterval
		s.Tick(s.at)
	}
	s.at = t
}

// request brings a request of the given class with 10 s to its deadline.
func (s *script) arrives(id RequestID, class int, work Time, key string) {
	s.say("%s arrives in class %d", id, class)
	s.HandleRequest(s.at, Request{ID: id, Deadline: s.at + 10*Second, Class: class, Key: key, Estimate: Estimate{Work: work}})
}

func (s *script) end(id RequestID, how Outcome) {
	s.say("%s ends: %s", id, [...]string{"served", "error", "full", "timed out", "unreachable", "reset",
		"cancelled", "moot", "lost"}[how])
	s.HandleAttemptEnd(s.at, AttemptResult{Request: id, Outcome: how, Answered: how == Served, Report: NoReport})
}

// answer lets n requests of class 0, told at one length, be delivered after another; the trace starts behind them.
func (s *script) answer(n int, told, took Time) {
	for i := range n {
		id := RequestID(fmt.Sprint("t", i))
		s.HandleRequest(s.at, Request{ID: id, Deadline: s.at + 10*Second, Estimate: Estimate{Work: told}})
		s.at += took
		s.HandleAttemptEnd(s.at, AttemptResult{Request: id, Outcome: Served, Answered: true, Report: NoReport})
	}
	s.out.Reset()
}

// engineOf is the engine of a request's latest attempt.
func (s *script) engineOf(id RequestID) *engineState {
	_, r := s.requests.find(id)
	return s.engines.at(r.attempt.engine)
}

func (s *script) probed(e EngineID, how Outcome, report Report) {
	s.HandleProbeResult(s.at, e, how, report)
	i := &s.engines.items[s.engines.byName[e]]
	s.say("probe of %s: bound %.3g, failure score %.1f", e, i.limit.bound, s.failureScore(i))
}

func (s *script) list(form UpdateKind, list ...Endpoint) {
	s.UpdateEndpoints(s.at, form, list)
	for _, e := range s.engines.items {
		s.say("%s is %s, bound %.3g", e.Engine, [...]string{"live", "draining", "gone"}[e.State], e.limit.bound)
	}
}
