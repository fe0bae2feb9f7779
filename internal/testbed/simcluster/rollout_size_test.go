package simcluster

import (
	"os"
	"testing"
)

// The core among a hundred: all go by a change within half a second, a third silent costs a lease, and the figures come out the same again.
func TestChangeReachesHundredMembers(t *testing.T) {
	n := 100
	e := MeasureRollout(n, 1)
	WriteRollout(os.Stdout, []RolloutResult{e})
	if e.Took > second/2 || e.Silent > 5*second || e.Gap > 0.2 || e.Messages > 30 {
		t.Errorf("%+v", e)
	}
	if again := MeasureRollout(n, 1); again != e {
		t.Errorf("the same seed: %+v and %+v", e, again)
	}
}
