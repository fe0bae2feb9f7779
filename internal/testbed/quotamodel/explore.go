package quotamodel

import (
	"magpiebank/internal/cluster/quota"
	"magpiebank/internal/testbed/modelcheck"
)

// maxDepth does not limit any exploration in practice: no practical number of states is that many transitions deep.
const maxDepth = 1000

// Explore explores all systems without a mutation, each up to maxStates states, and calls report with the description and the result of
// each.
func Explore(maxStates int, report func(description string, r modelcheck.Result)) {
	explore := func(description string, s *system) {
		report(description, modelcheck.Explore(s, maxStates, maxDepth))
	}
	const none = quota.NoMutation
	explore("leases, 3 members, a total of 2, one killed, a message duplicated", leaseSystem(none, 2))
	explore("leases, 3 members, a total of 3, one killed, a message duplicated", leaseSystem(none, 3))
	explore("leases, 3 members, a total of 3, a lender recalls the leases it granted, a message duplicated", recallSystem(none))
	explore("leases, 3 members, a total of 3, one killed and followed by a successor, a message duplicated", leaseSuccessorSystem(none))
	explore("shares, 3 voters, a member and its twin, one of them killed and followed by a successor", shareSystem(none, faults{successors: 1}, 1, 3))
	explore("shares, 3 voters, a member and its twin, a voter's twin that one other voter knows", voterTwinSystem(none))
	explore("shares, 3 voters, a member and its twin, a voter's twin that no other voter knows any more", forgottenTwinSystem(none))
	explore("shares, 3 voters, a member and its twin, a voter's twin, and another voter that joins", joiningSystem(none))
	explore("shares, 3 voters, a member and its twin, a voter killed", shareSystem(none, faults{crashes: 1}, 1, 3))
	explore("shares, 3 voters, a member and its twin, a second process starts under a voter's name", shareSystem(none, faults{twins: 1}, 1, longStep))
}
