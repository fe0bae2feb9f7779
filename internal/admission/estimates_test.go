package admission

import (
	"fmt"
	"math"
	"testing"
)

var estimateScripts = map[string]func() *script{
	"estimates too high": func() *script { // an incident: a class whose estimates are twice its work must not be shed for that
		s := startScript(testDeployment(), "e1")
		s.serveRequests(20, 200*Millisecond, 100*Millisecond)
		s.record("price over that of the work told: %.2f", s.estimates.price(0, 1)/s.d.Classes[0].Weight)
		return s
	},
	"crowded": func() *script { // where answers report work, idle cores don't count as free capacity while requests are slow
		d := testDeployment()
		d.ReportsCost = true
		s := startScript(d, "e1")
		e := &s.engines.items[0]
		s.endProbe("e1", Served, Report{-1, 0.4, -1, -1})
		s.record("busy share %.2f", s.estimates.reportedBusyShare(e.cores, e.load.report, e.load.utilization))
		for i := range 20 {
			id := RequestID(fmt.Sprint("t", i))
			s.HandleRequest(s.clock, Request{ID: id, Deadline: s.clock + 10*Second})
			s.clock += 300 * Millisecond
			s.HandleAttemptEnd(s.clock, AttemptResult{Request: id, Outcome: Served, Answered: true, Work: 100 * Millisecond, Report: NoReport})
		}
		s.trace.Reset()
		s.record("busy share %.2f when requests take three times their work",
			s.estimates.reportedBusyShare(e.cores, e.load.report, e.load.utilization))
		return s
	},
	"ranks": func() *script { // by price
		d := testDeployment()
		d.SupportsRanks = true
		s := startScript(d, "e1")
		s.estimates.updatePrices()
		for class, id := range []RequestID{"l0", "l1", "l2"} {
			s.sendRequest(id, class, 0, "")
		}
		return s
	},
}

func TestEstimatorCost(t *testing.T) {
	const run = 100 * Millisecond // on two threads
	tests := []struct {
		name        string
		reportsCost bool
		reported    Time // by the answer
		estimated   Time
		want        Time
	}{
		{"what the answer tells", true, 70 * Millisecond, 0, 70 * Millisecond},
		{"the estimate where the answer tells none", true, 0, 60 * Millisecond, 60 * Millisecond},
		{"the class's mean where an answer would tell and none came", true, 0, 0, 50 * Millisecond},
		{"its threads' time where answers don't tell", false, 0, 0, 2 * run},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newEstimator(&Deployment{ReportsCost: test.reportsCost, Classes: []Class{{Threads: 2, LatencyObjective: Second}}})
			s.classes[0].work = float64(50 * Millisecond)
			r := &activeRequest{estimate: Estimate{Work: test.estimated}}
			if got := s.cost(r, run, test.reported); got != float64(test.want) {
				t.Errorf("cost %g, want %d", got, test.want)
			}
		})
	}
}

func TestEstimatorLearnsFromAnswers(t *testing.T) {
	s := newEstimator(&Deployment{ReportsCost: true, Classes: []Class{{Threads: 1, LatencyObjective: 3 * Second, Weight: 1}}})
	for range 1000 {
		s.learnAnswer(&activeRequest{}, 200*Millisecond, 100*Millisecond, 64)
	}
	class := &s.classes[0]
	for name, pair := range map[string][2]float64{
		"run time":          {class.runTime, float64(200 * Millisecond)},
		"memory":            {class.memory, 64},
		"correction factor": {class.correctionFactor, 2},
		"answers":           {class.answers, meanSamples},
	} {
		if got, want := pair[0], pair[1]; math.Abs(got-want) > 0.01*want {
			t.Errorf("%s: %g, want %g", name, got, want)
		}
	}
}
