//go:build !testbed

package agent

import (
	"time"

	"magpiebank/internal/admission"
)

// A defect that the laboratory plants to see that its checkers find it; none in an ordinary build.
const ignoresStart = false

// born is how far the wall clock is off at a process's start, for the laboratory alone.
func born() time.Duration { return 0 }

// beside is another way to share budgets, in a measurement of the laboratory's.
func (f *Agent) beside(admission.Time) shares { return nil }

// planted are the names of defects, for the laboratory alone.
func planted() string { return "" }

// moment is where the laboratory has a process die, or stand still.
func moment(string) {}

// olderBuild is why a gateway that stands for one of an older build can't follow a policy.
func olderBuild([]byte) error { return nil }
