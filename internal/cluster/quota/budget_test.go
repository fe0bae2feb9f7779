package quota

import (
	"strings"
	"testing"

	"magpiebank/internal/testbed/modelcheck"
)

// Every interleaving up to the bound: nothing is violated.
func TestExplore(t *testing.T) {
	most := 50_000 // .ci/run walks further by magpiebank-testbed
	if modelcheck.RaceEnabled {
		most = 10_000
	}
	Explore(most, func(what string, r modelcheck.Result) {
		var text strings.Builder
		r.WriteText(&text, what)
		t.Log("\n" + text.String())
		if r.Violation != "" {
			t.Error(what)
		}
	})
}

// Planted defects are found, each by the model that claims to see its kind.
func TestPlanted(t *testing.T) {
	if modelcheck.RaceEnabled {
		t.Skip("made without the race detector")
	}
	for _, c := range []struct {
		what string
		w    *world
	}{
		{"the lender uses a right at its end without the drift", loans(noDrift, 3)},
		{"what is lent is used by the lender too", loans(countsNothingOut, 3)},
		{"a loan taken twice", loans(takesTwice, 3)},
		{"more time on a loan that was given back", loans(takesAfterBack, 3)},
		{"what was called back is used before it is back", recalls(recalledIsBack)},
		{"a keeper that confirms at once after a start with nothing", seats(noWait, 1, 0, 0, 1, 3)},
		{"a keeper's double that takes part once one other knows it", doubled(entersAlone)},
		{"who follows uses its part at once", returns(followsAtOnce)},
		{"a keeper that gives the seat to who follows another than its holder", seats(followsAnyone, 0, 1, 0, 1, 3)},
		{"keepers that count together though neither has heard of the other", forgotten(countsStrangers)},
		{"a keeper that enters by others who know less than it", entering(entersUnequal)},
		{"a confirmation that counts from when it came", seats(fromArrival, 0, 0, 0, 1, 3)},
	} {
		r := modelcheck.Explore(c.w, 1_500_000, 1000)
		var text strings.Builder
		r.WriteText(&text, c.what)
		t.Log("\n" + text.String())
		if r.Violation == "" {
			t.Errorf("not found: %s", c.what)
		}
	}
}
