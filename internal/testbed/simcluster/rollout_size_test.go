package simcluster

import (
	"os"
	"testing"
)

// In a cluster of a hundred members, all members apply a new policy within half a second. If a third of the members is cut off, the
// change waits for the end of their leases. A second simulation with the same seed has the same result.
func TestChangeReachesHundredMembers(t *testing.T) {
	n := 100
	e := MeasureRollout(n, 1)
	WriteRollout(os.Stdout, []RolloutResult{e})
	if e.Took > second/2 || e.Silent > 5*second || e.Gap > 0.2 || e.Messages > 30 {
		t.Errorf("%+v", e)
	}
	if again := MeasureRollout(n, 1); again != e {
		t.Errorf("different results with the same seed: %+v and %+v", e, again)
	}
}
