package admission

import (
	"fmt"
	"math"
	"testing"
)

// A controller goes on from what one before it knew: classes, bounds, reports and failure scores with their age; the retry
// budget and this turn at a cold engine as used up; an engine that was started since is new.
func ExampleController_RestoreSnapshot() {
	d := testDeployment()
	d.RetryBurst, d.RetryRatio, d.RetryWindow = 2, 0.1, 10*Second
	d.KeyCooldown = 2 * Second
	s := startScript(d, "e1", "e2")
	s.serveRequests(30, 0, 120*Millisecond)
	s.UpdateEndpoints(s.at, PartialUpdate, []Endpoint{{Engine: "e3", StartedAt: s.at}})
	s.endProbe("e1", Served, Report{-1, 0.2, -1, -1})
	s.endProbe("e2", Reset, NoReport)
	s.sendRequest("k", 3, 0, "key")
	s.endAttempt("k", TimedOut)
	b := s.TakeSnapshot(s.at).Encode()
	m, err := DecodeSnapshot(b)
	fmt.Print(s.out.String(), err, "\n")
	for _, later := range []Time{500 * Millisecond, 30 * Second} {
		n := &script{d: d, at: s.at + later}
		n.Controller = New(n.at, 8, d, n)
		n.RestoreSnapshot(n.at, m)
		n.UpdateEndpoints(n.at, FullUpdate, []Endpoint{{Engine: "e1", StartedAt: s.at + 1}, {Engine: "e2"},
			{Engine: "e3", StartedAt: m.Engines[2].Since}})
		fmt.Printf("%v later: run %.0f ms by %.0f answers, retries allowed %t, key rests %t\n", formatTime(later),
			n.estimates.classes[0].runTime/10,
			n.estimates.classes[0].answers, n.retries.allows(n.now), n.keys.queues["key"].cooldownUntil > n.at)
		for i := range n.engines.items {
			e := &n.engines.items[i]
			fmt.Printf("  %s bound %.1f, failure score %.1f, busy %.2f, room while cold %t\n", e.Engine, e.limit.bound,
				n.failureScore(e), n.busyShare(e), !n.slowStart.isWarmingUp(e, n.now) || n.hasSlowStartCapacity(e, &activeRequest{}))
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

func TestSnapshotThatIsNoNumberIsNotWritten(t *testing.T) {
	s := &Snapshot{Version: snapshotVersion, MinPrice: math.NaN()}
	if b := s.Encode(); b != nil {
		t.Errorf("written as %s", b)
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
				t.Errorf("read as %+v", s)
			}
		})
	}
}
