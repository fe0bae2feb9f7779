package rollout

import "strings"

// Mutation is a deliberate defect by which the testbed shows that its checkers find real ones (mutation testing). A process that serves
// runs with NoMutation: only testbed code and builds with the tag testbed set Config.Mutation.
type Mutation uint8

// The mutations.
const (
	NoMutation         Mutation = iota
	SwitchOnReady               // a member goes by a proposal as soon as it is ready for it
	IgnoreClockDrift            // the leader counts a lease only to the end that the member itself counts
	TrustStoredState            // a starting member goes by its stored policy without a lease
	SkipLeaseWait               // a new leader decides before the leases that earlier leaders gave have ended
	GrantWithoutQuorum          // a leader grants leases without a majority's confirmation
	KeepLeaseOnYield            // a member goes on by the lease that it reported as released
	IgnoreOverlap               // a leader decides while members may still go by the overlap of an earlier change
	LeaseFromAnswer             // a member counts its lease from the answer instead of from its request
)

// mutationNames are the names by which scenarios and the environment of a testbed build select mutations.
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

// ParseMutation returns the last mutation whose name occurs in names, or NoMutation.
func ParseMutation(names string) Mutation {
	found := NoMutation
	for mutation, name := range mutationNames {
		if name != "" && strings.Contains(names, name) {
			found = Mutation(mutation)
		}
	}
	return found
}
