package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/testbed/modelcheck"
)

// The walk finds nothing, and each defect that is planted.
func TestExplorationFindsMutationsAlone(t *testing.T) {
	most := 50_000 // .ci/run walks further by magpiebank-testbed
	if modelcheck.RaceEnabled {
		most = 5_000
	}
	for _, c := range []struct {
		name string
		w    *world
	}{
		{"switches-on-word", modelled(SwitchOnReady, 0, 0, 0, 0)},
		{"lease-without-drift", modelled(IgnoreClockDrift, 0, 0, 0, 0)},
		{"believes-folder", modelled(TrustStoredState, 0, 1, 0, 0)},
		{"leader-without-wait", modelled(SkipLeaseWait, 0, 0, 1, 0)},
		{"grants-unasked", modelled(GrantWithoutQuorum, 0, 0, 1, 0)},
		{"keeps-on-yield", modelled(KeepLeaseOnYield, 0, 0, 0, 0)},
		{"lease-from-answer", modelled(LeaseFromAnswer, 0, 0, 0, 0)},
		{"both-forever", modelled(IgnoreOverlap, 6*unit, 0, 0, 0)},
	} {
		if modelcheck.RaceEnabled {
			break // made without the race detector
		}
		began := time.Now()
		r := modelcheck.Explore(c.w, 600_000, 1000)
		if r.Violation == "" {
			t.Errorf("%s: not found in %d states, %d deep", c.name, r.States, r.Depth)
			continue
		}
		t.Logf("%s: found after %d moves, %d states, %.1f s: %s", c.name, r.Depth, r.States, time.Since(began).Seconds(), r.Violation)
		t.Log(strings.Join(r.Trace, "; "))
	}
	Explore(most, func(what string, r modelcheck.Result) {
		t.Log(what, fmt.Sprintf("%d states, %d deep", r.States, r.Depth))
		if r.Violation != "" {
			t.Errorf("%s: %s", what, r.Violation)
			for i, m := range r.Trace {
				t.Logf("%4d  %s", i+1, m)
			}
		}
	})
}
