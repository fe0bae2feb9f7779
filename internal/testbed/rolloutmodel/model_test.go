package rolloutmodel

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/testbed/modelcheck"
)

// The exploration finds a violation for each mutation of the protocol, and none without a mutation.
func TestExplorationFindsViolationsOnlyInMutations(t *testing.T) {
	maxStates := 50_000 // .ci/run explores more states with magpiebank-testbed
	if modelcheck.RaceEnabled {
		maxStates = 5_000
	}
	for _, c := range []struct {
		name    string
		options Options
	}{
		{"switches-on-word", Options{Mutation: rollout.SwitchOnReady}},
		{"lease-without-drift", Options{Mutation: rollout.IgnoreClockDrift}},
		{"believes-folder", Options{Mutation: rollout.TrustStoredState, Restarts: 1}},
		{"leader-without-wait", Options{Mutation: rollout.SkipLeaseWait, Elections: 1}},
		{"grants-unasked", Options{Mutation: rollout.GrantWithoutQuorum, Elections: 1}},
		{"keeps-on-yield", Options{Mutation: rollout.KeepLeaseOnYield}},
		{"lease-from-answer", Options{Mutation: rollout.LeaseFromAnswer}},
		{"both-forever", Options{Mutation: rollout.IgnoreOverlap, Overlap: 6 * timeStep}},
	} {
		if modelcheck.RaceEnabled {
			break // the mutations are explored without the race detector, because it is ten times as slow
		}
		if rollout.ParseMutation(c.name) != c.options.Mutation {
			t.Errorf("%s: the name selects another mutation", c.name)
		}
		began := time.Now()
		r := modelcheck.Explore(New(c.options), 600_000, maxDepth)
		if r.Violation == "" {
			t.Errorf("%s: no violation found in %d states, depth %d", c.name, r.States, r.Depth)
			continue
		}
		t.Logf("%s: violation found at depth %d, after %d states, %.1f s: %s", c.name, r.Depth, r.States, time.Since(began).Seconds(), r.Violation)
		t.Log(strings.Join(r.Trace, "; "))
	}
	Explore(maxStates, func(description string, r modelcheck.Result) {
		t.Log(description, fmt.Sprintf("%d states, %d deep", r.States, r.Depth))
		if r.Violation != "" {
			t.Errorf("%s: %s", description, r.Violation)
			for i, m := range r.Trace {
				t.Logf("%4d  %s", i+1, m)
			}
		}
	})
}
