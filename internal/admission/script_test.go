package admission

import (
	"fmt"
	"strings"
)

// script drives one router and writes down, a line each, what happens to it and what it does.
type script struct {
	*Router
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

func (s *script) Send(t RequestID, e EngineID, timeout, sendBy Time) {
	by := ""
	if sendBy > 0 {
		by = ", before " + ms(sendBy)
	}
	s.say("  -> send %s to %s, timeout %s%s", t, e, ms(timeout), by)
}
func (s *script) Cancel(t RequestID, n int) { s.say("  -> cancel %s, attempt %d", t, n) }
func (s *script) Reject(t RequestID, retryAfter Time) {
	s.say("  -> reject %s, retry after %s", t, ms(retryAfter))
}
func (s *script) Fail(t RequestID) { s.say("  -> fail %s", t) }
func (s *script) Terms(t RequestID, m float64, k int) {
	s.say("  -> terms of %s: %.0f MB, rank %d", t, m, k)
}
func (s *script) Subscribe()                                     { s.say("  -> subscribe to the list") }
func (s *script) ColdRoom(EngineID, float64) (room, shared bool) { return false, false }
func (s *script) Say(text string)                                { s.say("  -> log: %s", text) }
func (s *script) Wake(Time)                                      {}
func (s *script) Tell(e EngineID, saw Sight, report Report, room float64) {
	s.say("  -> tell peers of %s: %s, report %v, %.0f bytes more", e, saw, report, room)
}
func (s *script) Probe(e EngineID) {
	if s.probes {
		s.say("  -> probe %s", e)
	}
}

// everyPeers has all scripts run where routers may speak to each other.
var everyPeers bool

// classes of the scripts: 0 is short and cheap, 1 long and dear, 2 must not run twice, 3 is deduplicated in order.
func deployment() *Deployment {
	return &Deployment{Gateways: 1, Cores: []float64{4}, MaxAttempts: 4, RetryAfter: 500 * Millisecond,
		ColdShare: 0.25, WarmAfter: 10 * Second, TipFactor: 2, TipAfter: Second, Probes: true, ProbePrice: 0.01,
		Classes: []Class{
			{Threads: 1, LatencyTarget: 400 * Millisecond, Stretch: 1, Value: 1},
			{Threads: 3, LatencyTarget: 2 * Second, Stretch: 2, Value: 20, LateShare: 0.5},
			{Threads: 2, LatencyTarget: 2 * Second, Value: 5, Effect: Unrepeatable},
			{Threads: 1, LatencyTarget: 2 * Second, Value: 5, Effect: Deduplicated, DedupWindow: 3 * Second, InOrder: true},
		}}
}

func start(d *Deployment, engines ...EngineID) *script {
	s := &script{d: d}
	d.Peers = d.Peers || everyPeers
	s.Router = New(0, 7, d, s)
	var list []Listing
	for _, e := range engines {
		list = append(list, Listing{Engine: e})
	}
	s.Listed(0, Remembered, list)
	return s
}

// pass lets the timer tick until t.
func (s *script) pass(t Time) {
	for s.at+tick <= t {
		s.at += tick
		s.Due(s.at)
	}
	s.at = t
}

// request brings a request of the given class with 10 s to its deadline.
func (s *script) arrives(id RequestID, class int, work Time, key string) {
	s.say("%s arrives in class %d", id, class)
	s.Arrived(s.at, id, s.at+10*Second, class, 0, key, 0, Foreseen{Work: work})
}

func (s *script) end(id RequestID, how Outcome) {
	s.say("%s ends: %s", id, [...]string{"served", "error", "full", "timed out", "unreachable", "reset",
		"cancelled", "moot", "lost"}[how])
	s.Ended(s.at, id, how, how == Served, 0, 0, NoReport)
}

// answer lets n requests of class 0, told at one length, be delivered after another; the trace starts behind them.
func (s *script) answer(n int, told, took Time) {
	for i := range n {
		id := RequestID(fmt.Sprint("t", i))
		s.Arrived(s.at, id, s.at+10*Second, 0, 0, "", 0, Foreseen{Work: told})
		s.at += took
		s.Ended(s.at, id, Served, true, 0, 0, NoReport)
	}
	s.out.Reset()
}

func (s *script) probed(e EngineID, how Outcome, report Report) {
	s.Probed(s.at, e, how, report)
	i := &s.engines[s.named[e]]
	s.say("probe of %s: bound %.3g, failure score %.1f", e, i.bound, s.score(i))
}

func (s *script) list(form Form, list ...Listing) {
	s.Listed(s.at, form, list)
	for _, e := range s.engines {
		s.say("%s is %s, bound %.3g", e.Engine, [...]string{"live", "draining", "gone"}[e.State], e.bound)
	}
}
