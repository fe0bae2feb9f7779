package agent

import (
	"time"

	"magpiebank/internal/admission"
)

// mutationHook is the one place at which a build with the tag testbed changes what the agent does, to show that the
// testbed's checkers notice it. An ordinary build has noMutations alone.
type mutationHook interface {
	// names are the names of the mutations that the process runs with, for the cores that have their own.
	names() string
	// ignoresStart has health reports of an earlier process under a member's name count.
	ignoresStart() bool
	// startClockOffset is how far the wall clock is off when the process starts.
	startClockOffset() time.Duration
	// replaceQuotaShares returns another way to share budgets, which the agent's own is compared with; nil: none.
	replaceQuotaShares(a *Agent, now admission.Time) quotaShares
	// rejectPolicy is why a gateway that stands for one of an older build can't follow a policy.
	rejectPolicy(text []byte) error
	// crashPoint is told of what a process does of policies, and may end the process or have it stand still.
	crashPoint(step string)
}

// mutations is replaced when a build with the tag testbed starts.
var mutations mutationHook = noMutations{}

// noMutations changes nothing.
type noMutations struct{}

func (noMutations) names() string                                         { return "" }
func (noMutations) ignoresStart() bool                                    { return false }
func (noMutations) startClockOffset() time.Duration                       { return 0 }
func (noMutations) replaceQuotaShares(*Agent, admission.Time) quotaShares { return nil }
func (noMutations) rejectPolicy([]byte) error                             { return nil }
func (noMutations) crashPoint(string)                                     {}
