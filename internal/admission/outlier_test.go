package admission

import (
	"fmt"
	"math"
	"testing"
)

var outlierScripts = map[string]func() *script{
	"failure score": func() *script { // a silent engine gets no attempts until its score decays; if all are silent, none is ejected
		s := startScript(testDeployment(), "e1", "e2")
		s.advanceTo(100 * Millisecond)
		for range 3 {
			s.endProbe("e1", TimedOut, NoReport)
		}
		for _, id := range []RequestID{"a", "b", "c"} {
			s.sendRequest(id, 0, 0, "")
		}
		for range 3 {
			s.endProbe("e2", TimedOut, NoReport)
		}
		s.advanceTo(4 * Second)
		s.endProbe("e1", Served, Report{-1, 0.5, -1, -1})
		return s
	},
	"time-outs": func() *script { // an incident: at a limit of zero they raise a jammed engine's score, above it its limit is lowered
		s := startScript(testDeployment(), "e1")
		e := &s.engines.items[0]
		for i, limit := range []float64{8, 0} {
			id := RequestID(fmt.Sprint("t", i))
			s.sendRequest(id, 0, 0, "")
			e.concurrency.limit = limit
			s.endAttempt(id, TimedOut)
			s.record("bound %g: failure score %.1f", limit, s.failureScore(e))
			e.concurrency.limit = 8
			s.HandleDisconnect(s.clock, id)
			s.endAttempt(id, TimedOut)
		}
		return s
	},
	"errors": func() *script { // requests that fail on every engine, because of the client, eject no engine
		s := startScript(testDeployment(), "e1")
		e := &s.engines.items[0]
		for _, outcome := range []Outcome{Errored, AnswerLost} {
			s.sendRequest("a", 0, 0, "")
			s.endAttempt("a", outcome)
			s.record("failure score %.1f", s.failureScore(e))
			s.endAttempt("a", Errored)
			s.record("failure score %.1f", s.failureScore(e))
		}
		return s
	},
}

func TestFailureScoreDecays(t *testing.T) {
	tests := []struct {
		name   string
		points []float64 // one failure per half-life
		after  Time      // time since the last failure
		want   float64
	}{
		{"no failure", nil, 0, 0},
		{"a failure at once", []float64{2}, 0, 2},
		{"a failure after a half-life", []float64{2}, failureHalfLife, 1},
		{"a second failure on what is left", []float64{2, 2}, 0, 3},
		{"no more than the most", []float64{8, 8, 8}, 0, maxFailureScore},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s failureScore
			now := Second
			for i, points := range test.points {
				if i > 0 {
					now += failureHalfLife
				}
				s.add(points, now)
			}
			if got := s.decayed(now + test.after); math.Abs(got-test.want) > 1e-9 {
				t.Errorf("score %g, want %g", got, test.want)
			}
		})
	}
}

func TestFailureScoreLogsAnEjectionOncePerInterval(t *testing.T) {
	var s failureScore
	for _, step := range []struct {
		at   Time
		want bool
	}{{Second, true}, {2 * Second, false}, {Second + ejectionLogInterval, true}, {2*Second + ejectionLogInterval, false}} {
		if got := s.shouldLog(step.at); got != step.want {
			t.Errorf("at %d: shouldLog returned %t, want %t", step.at, got, step.want)
		}
	}
}

func TestPeerReportEjectsFromTheEjectionScoreOn(t *testing.T) {
	for score, want := range map[float64]bool{0: false, ejectionScore - 0.1: false, ejectionScore: true} {
		if got := (&PeerReport{FailureScore: score}).Ejects(); got != want {
			t.Errorf("a report with a score of %g ejects: %t, want %t", score, got, want)
		}
	}
}
