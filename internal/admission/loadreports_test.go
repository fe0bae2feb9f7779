package admission

import (
	"math"
	"testing"
)

var loadReportScripts = map[string]func() *script{
	"reports": func() *script { // a repeated report counts as one measurement: two steps need two different reports
		s := startScript(testDeployment(), "e1")
		s.sendRequest("a", 0, 0, "")
		for _, u := range []float64{0.99, 0.99, 0.98} {
			s.advanceTo(s.clock + 200*Millisecond)
			s.endProbe("e1", Served, Report{-1, u, -1, -1})
		}
		return s
	},
}

func TestLoadReportUpdate(t *testing.T) {
	tests := []struct {
		name            string
		before          loadReport
		report          Report
		wantUtilization float64
		wantInterval    Time
	}{
		{"the first stands alone", loadReport{report: NoReport}, Report{-1, 0.8, -1, -1}, 0.8, Second},
		{"one soon after counts for a third", loadReport{report: Report{-1, 0.5, -1, -1}, utilization: 0.5, reportAt: 9 * Second},
			Report{-1, 0.8, -1, -1}, 0.5 + 0.3*(1.0/3), Second},
		{"one after a long time stands alone", loadReport{report: Report{-1, 0.5, -1, -1}, utilization: 0.5, reportAt: 2 * Second},
			Report{-1, 0.8, -1, -1}, 0.8, 8 * Second},
		{"memory stands in for cores", loadReport{report: NoReport}, Report{-1, -1, 0.7, 0.6}, 0.7, Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := test.before
			interval := l.update(test.report, 10*Second)
			if math.Abs(l.utilization-test.wantUtilization) > 1e-9 || interval != test.wantInterval {
				t.Errorf("utilization %g after %d, want %g after %d", l.utilization, interval, test.wantUtilization, test.wantInterval)
			}
			if l.report != test.report || l.reportAt != 10*Second {
				t.Errorf("stored report %v at %d, want the new one at 10 s", l.report, l.reportAt)
			}
		})
	}
}
