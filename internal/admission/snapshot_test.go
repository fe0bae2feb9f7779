package admission

import (
	"fmt"
	"math"
	"testing"
)

// A controller continues with the state of an earlier process: classes, limits, reports and failure scores with their age. The
// retry budget and the current slow-start span count as used up. An engine that was restarted since starts without state.
func ExampleController_RestoreSnapshot() {
	d := testDeployment()
	d.RetryBurst, d.RetryRatio, d.RetryWindow = 2, 0.1, 10*Second
	d.KeyCooldown = 2 * Second
	s := startScript(d, "e1", "e2")
	s.serveRequests(30, 0, 120*Millisecond)
	s.UpdateEndpoints(s.clock, PartialUpdate, []Endpoint{{Engine: "e3", StartedAt: s.clock}})
	s.endProbe("e1", Served, Report{-1, 0.2, -1, -1})
	s.endProbe("e2", Reset, NoReport)
	s.sendRequest("k", 3, 0, "key")
	s.endAttempt("k", TimedOut)
	b := s.TakeSnapshot(s.clock).Encode()
	decoded, err := DecodeSnapshot(b)
	fmt.Print(s.trace.String(), err, "\n")
	for _, later := range []Time{500 * Millisecond, 30 * Second} {
		next := &script{d: d, clock: s.clock + later}
		next.Controller = New(next.clock, 8, d, next)
		next.RestoreSnapshot(next.clock, decoded)
		next.UpdateEndpoints(next.clock, FullUpdate, []Endpoint{{Engine: "e1", StartedAt: s.clock + 1}, {Engine: "e2"},
			{Engine: "e3", StartedAt: decoded.Engines[2].StartedAt}})
		fmt.Printf("%v later: run %.0f ms by %.0f answers, retries allowed %t, key rests %t\n", formatTime(later),
			next.estimates.classes[0].runTime/10,
			next.estimates.classes[0].answers, next.retries.allows(next.now), next.keys.queues["key"].cooldownUntil > next.clock)
		for i := range next.engines.items {
			e := &next.engines.items[i]
			fmt.Printf("  %s bound %.1f, failure score %.1f, busy %.2f, room while cold %t\n", e.Engine, e.concurrency.limit,
				next.failureScore(e), next.busyShare(e), !next.slowStart.isWarmingUp(e, next.now) || next.hasSlowStartCapacity(e, &activeRequest{}))
		}
	}
	if _, err := DecodeSnapshot([]byte(`{"Version":9}`)); err != nil {
		fmt.Println(err)
	}
	// Output:
	//   3600 ms  probe of e1: bound 8, failure score 0.0
	//   3600 ms  probe of e2: bound 8, failure score 1.5
	//   3600 ms  k arrives in class 3
	//   3600 ms    -> send k to e1, timeout 10000 ms
	//   3600 ms  k ends: timed out
	//   3600 ms    -> send k to e2, timeout 10000 ms, before 6600 ms
	// <nil>
	// 500 ms later: run 120 ms by 30 answers, retries allowed false, key rests true
	//   e1 bound 8.0, failure score 0.0, busy 0.44, room while cold true
	//   e2 bound 8.0, failure score 1.2, busy 0.44, room while cold true
	//   e3 bound 8.0, failure score 0.0, busy 0.44, room while cold false
	// 30000 ms later: run 120 ms by 21 answers, retries allowed true, key rests false
	//   e1 bound 8.0, failure score 0.0, busy 0.44, room while cold true
	//   e2 bound 8.0, failure score 0.0, busy 0.44, room while cold true
	//   e3 bound 8.0, failure score 0.0, busy 0.44, room while cold true
	// version 9 of the form, this program knows 1
}

func TestSnapshotWithNaNIsNotEncoded(t *testing.T) {
	s := &Snapshot{Version: snapshotVersion, MinPrice: math.NaN()}
	if b := s.Encode(); b != nil {
		t.Errorf("encoded as %s, want nil", b)
	}
}

func TestDecodeSnapshotRejects(t *testing.T) {
	for name, text := range map[string]string{
		"what is no JSON":       "Version",
		"another version":       `{"Version":2}`,
		"no version":            `{}`,
		"a field of other type": `{"Version":1,"At":"now"}`,
	} {
		t.Run(name, func(t *testing.T) {
			if s, err := DecodeSnapshot([]byte(text)); err == nil {
				t.Errorf("decoded as %+v, want an error", s)
			}
		})
	}
}
