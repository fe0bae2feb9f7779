package admission

import (
	"testing"
)

var peerScripts = map[string]func() *script{
	"peers": func() *script { // three witnesses eject an engine, two don't; a report counts for one start of the engine and expires
		d := testDeployment()
		d.Gateways, d.PeerMessages = 4, true
		s := startScript(d, "e1", "e2")
		receive := func(report PeerReport) {
			report.Engine, report.ScoreUntil, report.ReportAt = "e1", s.clock+10*Second, s.clock
			s.HandlePeerReport(s.clock, &report)
			e := &s.engines.items[0]
			s.record("heard of e1: against %.1f, score %.1f, own %.1f, busy %.2f, signal %.2f", report.FailureScore,
				s.failureScore(e), e.failures.decayed(s.clock), s.estimates.meanBusyShare, s.loadSignal(e))
		}
		receive(PeerReport{EngineStartedAt: 7, FailureScore: 3, Report: NoReport})
		receive(PeerReport{FailureScore: 2, Report: Report{-1, 0.95, -1, -1}})
		s.sendRequest("a", 0, 0, "")
		receive(PeerReport{FailureScore: 3, Report: NoReport})
		s.sendRequest("b", 0, 0, "")
		s.endAttempt("b", Errored)
		s.endAttempt("a", Served)
		s.clock += 4 * Second
		receive(PeerReport{FailureScore: 3, Report: Report{-1, 0.95, -1, -1}})
		s.advanceTo(s.clock + 10*Second)
		s.record("ten seconds later: score %.1f, signal %.2f", s.failureScore(&s.engines.items[0]), s.loadSignal(&s.engines.items[0]))
		return s
	},
}

func TestPeerMessageCreditEarnsThePeerBudget(t *testing.T) {
	for name, test := range map[string]struct{ price, want float64 }{
		"a message of the budget's price for each request": {peerBudget, 256},
		"half of one of twice the price":                   {2 * peerBudget, 128},
		"no more than one where messages cost nothing":     {0, 256},
	} {
		t.Run(name, func(t *testing.T) {
			m := peerMessageCredit{cost: test.price}
			m.earn()
			if m.bytes != test.want {
				t.Errorf("%g bytes, want %g", m.bytes, test.want)
			}
		})
	}
}
