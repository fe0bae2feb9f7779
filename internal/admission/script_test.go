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

func (s *script) HandOff(t TaskID, e EngineID, patience, sendBy Time) {
	by := ""
	if sendBy > 0 {
		by = ", before " + ms(sendBy)
	}
	s.say("  -> hand %s to %s, patience %s%s", t, e, ms(patience), by)
}
func (s *script) Cancel(t TaskID, n int) { s.say("  -> cancel %s, hand-off %d", t, n) }
func (s *script) Nack(t TaskID, comeBack Time) {
	s.say("  -> nack %s, come back in %s", t, ms(comeBack))
}
func (s *script) WriteOff(t TaskID) { s.say("  -> write off %s", t) }
func (s *script) Terms(t TaskID, m float64, k int) {
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

// lanes of the scripts: 0 is short and cheap, 1 long and dear, 2 must not run twice, 3 is deduplicated in order.
func deployment() *Deployment {
	return &Deployment{Gateways: 1, Cores: []float64{4}, MaxTries: 4, ComeBack: 500 * Millisecond,
		ColdShare: 0.25, WarmAfter: 10 * Second, TipFactor: 2, TipAfter: Second, Probes: true, ProbePrice: 0.01,
		Lanes: []Lane{
			{Threads: 1, Quoted: 400 * Millisecond, Stretch: 1, Earnings: 1},
			{Threads: 3, Quoted: 2 * Second, Stretch: 2, Earnings: 20, LateShare: 0.5},
			{Threads: 2, Quoted: 2 * Second, Earnings: 5, Effect: Unrepeatable},
			{Threads: 1, Quoted: 2 * Second, Earnings: 5, Effect: Deduplicated, Remember: 3 * Second, InOrder: true},
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

// task brings a task of the given lane with 10 s to its cut-off.
func (s *script) task(id TaskID, lane int, work Time, key string) {
	s.say("%s arrives in lane %d", id, lane)
	s.Arrived(s.at, id, s.at+10*Second, lane, 0, key, 0, Foreseen{Work: work})
}

func (s *script) end(id TaskID, how Outcome) {
	s.say("%s ends: %s", id, [...]string{"delivered", "error", "full", "timed out", "unreachable", "reset",
		"cancelled", "moot", "lost"}[how])
	s.Ended(s.at, id, how, how == Delivered, 0, 0, NoReport)
}

// answer lets n tasks of lane 0, told at one length, be delivered after another; the trace starts behind them.
func (s *script) answer(n int, told, took Time) {
	for i := range n {
		id := TaskID(fmt.Sprint("t", i))
		s.Arrived(s.at, id, s.at+10*Second, 0, 0, "", 0, Foreseen{Work: told})
		s.at += took
		s.Ended(s.at, id, Delivered, true, 0, 0, NoReport)
	}
	s.out.Reset()
}

func (s *script) probed(e EngineID, how Outcome, report Report) {
	s.Probed(s.at, e, how, report)
	i := &s.engines[s.named[e]]
	s.say("probe of %s: bound %.3g, distrust %.1f", e, i.bound, s.score(i))
}

func (s *script) list(form Form, list ...Listing) {
	s.Listed(s.at, form, list)
	for _, e := range s.engines {
		s.say("%s is %s, bound %.3g", e.Engine, [...]string{"live", "draining", "gone"}[e.State], e.bound)
	}
}
