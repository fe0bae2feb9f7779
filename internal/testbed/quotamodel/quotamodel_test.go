package quotamodel

import (
	"strings"
	"testing"

	"magpiebank/internal/cluster/quota"
	"magpiebank/internal/testbed/modelcheck"
)

func resultText(description string, r modelcheck.Result) string {
	var out strings.Builder
	r.WriteText(&out, description)
	return "\n" + out.String()
}

func TestNoExploredStateViolatesTheQuota(t *testing.T) {
	maxStates := 50_000 // .ci/run explores more states with magpiebank-testbed
	if modelcheck.RaceEnabled {
		maxStates = 10_000
	}
	Explore(maxStates, func(description string, r modelcheck.Result) {
		t.Log(resultText(description, r))
		if r.Violation != "" {
			t.Error(description)
		}
	})
}

// For each mutation, the exploration of the system that is meant to reveal this kind of defect finds a violation.
func TestEveryMutationIsFound(t *testing.T) {
	if modelcheck.RaceEnabled {
		t.Skip("the mutations are explored without the race detector, because it is ten times as slow")
	}
	const maxStates = 1_500_000
	for _, c := range []struct {
		description string
		system      *system
	}{
		{"the lender uses units at the end of their lease without the drift", leaseSystem(quota.IgnoreClockDrift, 3)},
		{"what is leased out is used by the lender too", leaseSystem(quota.UseLeasedUnits, 3)},
		{"a grant counted twice", leaseSystem(quota.CountGrantTwice, 3)},
		{"more time on a lease that was returned", leaseSystem(quota.RenewReturnedLease, 3)},
		{"what was recalled is used before it is returned", recallSystem(quota.UseRecalledUnits)},
		{"a voter that confirms at once after a start with nothing", shareSystem(quota.OpenVoterAtOnce, faults{crashes: 1}, 1, 3)},
		{"a voter's twin that opens once one other voter knows it", voterTwinSystem(quota.JoinWithoutAllVoters)},
		{"a successor uses its share at once", leaseSuccessorSystem(quota.SucceedWithoutWaiting)},
		{"a voter that passes the share to the successor of another than its holder", shareSystem(quota.SucceedAnyHolder, faults{successors: 1}, 1, 3)},
		{"voters that count together though neither has heard of the other", forgottenTwinSystem(quota.CountMutuallyUnknownVoters)},
		{"a voter that joins by others who know less than it", joiningSystem(quota.JoinWithUnequalIncarnations)},
		{"a confirmation that counts from its arrival", shareSystem(quota.CountTermFromArrival, faults{}, 1, 3)},
	} {
		t.Run(c.description, func(t *testing.T) {
			r := modelcheck.Explore(c.system, maxStates, maxDepth)
			t.Log(resultText(c.description, r))
			if r.Violation == "" {
				t.Error("the mutation was not found")
			}
		})
	}
}
