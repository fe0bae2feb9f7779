//go:build testbed

package quota

import (
	"os"
	"strings"
)

// ApplyMutation sets the mutation that MAGPIEBANK_PLANTED names, if it is one of the quota's.
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
