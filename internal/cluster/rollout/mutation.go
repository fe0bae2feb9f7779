package rollout

import "strings"

// Mutation is a deliberate defect, for mutation testing: the testbed shows with it that its checkers find real defects. A production process
// runs with NoMutation, because only testbed code and builds with the tag testbed set Config.Mutation.
type Mutation uint8

// The mutations of a core.
const (
	NoMutation         Mutation = iota
	SwitchOnReady               // a member applies a proposal as soon as it is ready for it
	IgnoreClockDrift            // the leader's wait for the end of a lease doesn't allow for clocks that run at different speeds
	TrustStoredState            // a starting member applies its stored policy without a lease
	SkipLeaseWait               // a new leader decides before the leases that earlier leaders granted have expired
	GrantWithoutQuorum          // a leader grants leases without a majority's confirmation
	KeepLeaseOnYield            // a member continues to use the lease that it reported as released
	IgnoreOverlap               // a leader decides while members may still apply the overlap of an earlier change
	LeaseFromAnswer             // a member's lease starts when the reply arrives instead of when the request was sent
)

// mutationNames holds the names by which scenarios, or the environment of a testbed build, select mutations.
var mutationNames = [...]string{
	SwitchOnReady:      "switches-on-word",
	IgnoreClockDrift:   "lease-without-drift",
	TrustStoredState:   "believes-folder",
	SkipLeaseWait:      "leader-without-wait",
	GrantWithoutQuorum: "grants-unasked",
	KeepLeaseOnYield:   "keeps-on-yield",
	IgnoreOverlap:      "both-forever",
	LeaseFromAnswer:    "lease-from-answer",
}

// ParseMutation returns the mutation whose name occurs in names, the last one if there are several, or NoMutation.
func ParseMutation(names string) Mutation {
	found := NoMutation
	for mutation, name := range mutationNames {
		if name != "" && strings.Contains(names, name) {
			found = Mutation(mutation)
		}
	}
	return found
}
