package agent

import (
	"time"

	"magpiebank/internal/admission"
)

// mutationHook is the only interface through which a build with the tag testbed changes the agent's behavior. Tests inject
// mutations to verify that the testbed's checkers detect them. A production build contains only noMutations.
type mutationHook interface {
	// names returns the names of the mutations that the process runs with, for the cores that define their own.
	names() string
	// acceptsEarlierIncarnations reports whether health reports of an earlier process under a member's name are accepted.
	acceptsEarlierIncarnations() bool
	// startClockOffset returns the offset by which the wall clock is wrong when the process starts.
	startClockOffset() time.Duration
	// replaceQuotaShares returns an implementation of quotaShares to compare the agent's own with; nil: none.
	replaceQuotaShares(a *Agent, now admission.Time) quotaShares
	// rejectPolicy returns the error with which a gateway of a simulated older build rejects a policy; nil: it accepts it.
	rejectPolicy(text []byte) error
	// crashPoint is called with the code of each event of a policy rollout, and with "sent" before each message of it. It may
	// kill or stop the process.
	crashPoint(step string)
}

// mutations is replaced by an init function in a build with the tag testbed.
var mutations mutationHook = noMutations{}

// noMutations implements mutationHook without any mutation.
type noMutations struct{}

func (noMutations) names() string                                         { return "" }
func (noMutations) acceptsEarlierIncarnations() bool                      { return false }
func (noMutations) startClockOffset() time.Duration                       { return 0 }
func (noMutations) replaceQuotaShares(*Agent, admission.Time) quotaShares { return nil }
func (noMutations) rejectPolicy([]byte) error                             { return nil }
func (noMutations) crashPoint(string)                                     {}
