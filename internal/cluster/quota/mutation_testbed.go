//go:build testbed

package quota

import (
	"os"
	"strings"
)

// ApplyMutation sets the mutation named in MAGPIEBANK_PLANTED, if it is a mutation of this package.
func (p *Plan) ApplyMutation() {
	mutations := map[string]Mutation{
		"takes-twice":        CountGrantTwice,
		"no-drift":           IgnoreClockDrift,
		"no-wait":            OpenVoterAtOnce,
		"from-arrival":       CountTermFromArrival,
		"enters-alone":       JoinWithoutAllVoters,
		"lends-beyond":       LeaseBeyondShareTerm,
		"takes-after-back":   RenewReturnedLease,
		"counts-nothing-out": UseLeasedUnits,
		"equal-parts":        GrantNoLease,
	}
	for name, mutation := range mutations {
		if strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), name) {
			p.Mutation = mutation
		}
	}
}
