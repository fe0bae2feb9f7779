package admission

import (
	"testing"
)

var healthCheckScripts = map[string]func() *script{
	"probes": func() *script { // requests pay for probes; an engine has one probe in flight at a time, none before a new report is due
		s := startScript(testDeployment(), "e1")
		s.probes.credit = maxProbeCredit / 2
		s.recordProbes = true
		s.advanceTo(40 * Millisecond)
		s.endProbe("e1", Served, Report{-1, 0.5, -1, -1})
		s.advanceTo(3 * Second)
		s.record("credit %.1f", s.probes.credit)
		s.sendRequest("a", 0, 0, "")
		s.sendRequest("b", 0, 0, "")
		s.endProbe("e1", Served, Report{-1, 0.6, -1, -1})
		s.sendRequest("c", 0, 0, "")
		return s
	},
}

func TestProbeCreditEarnsTheProbeBudget(t *testing.T) {
	tests := []struct {
		name     string
		cost     float64
		requests int
		want     float64 // credit after the requests
	}{
		{"a probe of the budget's price for each request", probeBudget, 3, 3},
		{"a probe of twice that for every other request", 2 * probeBudget, 4, 2},
		{"no more than the most", probeBudget, 100, maxProbeCredit},
		{"a cheap probe fills the credit at once", 0, 1, maxProbeCredit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := probeCredit{cost: test.cost}
			for range test.requests {
				p.earn()
			}
			if p.credit != test.want {
				t.Errorf("credit %g, want %g", p.credit, test.want)
			}
		})
	}
}
