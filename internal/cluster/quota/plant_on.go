//go:build testbed

package quota

import (
	"os"
	"strings"
)

// ApplyMutation plants the laboratory's defect, if it is one of the budgets'.
func (p *Plan) ApplyMutation() {
	for name, d := range map[string]defect{"takes-twice": takesTwice, "no-drift": noDrift, "no-wait": noWait, "from-arrival": fromArrival, "enters-alone": entersAlone,
		"lends-beyond": lendsBeyond, "takes-after-back": takesAfterBack, "counts-nothing-out": countsNothingOut, "equal-parts": lendsNothing} {
		if strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), name) {
			p.planted = d
		}
	}
}
