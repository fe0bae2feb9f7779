package quota

import (
	"hash/fnv"
	"math"

	"magpiebank/internal/admission"
)

// Time is a time on the caller's monotonic clock, or a duration.
type Time = admission.Time

// Never is a time after any other time.
const Never = Time(1) << 60

// Plan holds the settings of the protocol, which must be equal at all members.
type Plan struct {
	Shares       int      // number of equal shares, one for each gateway of the cluster
	Voters       []string // names of the 1, 3 or 5 gateways that confirm who holds a share
	ShareTerm    Time     // how long a share is held after the claim that was confirmed
	LeaseTerm    Time     // how long a lease lasts at the borrower after its request; longer than LongestUse
	LongestUse   Time     // maximum duration of a use
	DriftDivisor Time     // the rate of a clock is wrong by at most 1/DriftDivisor
	Revision     uint64   // increases with every change of the totals
	QuotaIDs     []uint32 // ID of each quota, by quota index; see HashName
	Totals       []int64  // units of each quota, by quota index

	// Mutation is a defect injected to show that the checks of tests find it. In production it is NoMutation.
	Mutation Mutation
}

// HashName returns the ID of the quota with a name. Messages carry IDs, because the members' files may list quotas in any order.
func HashName(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// withDrift returns how long a member must wait on its own clock until a duration has certainly passed on another member's clock, which
// may run slower. Three times the drift covers the difference of any two clocks, as long as the drift of a clock is at most a third.
func (p *Plan) withDrift(duration Time) Time {
	if p.Mutation == IgnoreClockDrift {
		return duration
	}
	return duration + (3*duration+p.DriftDivisor-1)/p.DriftDivisor
}

// shareUnits returns the units of one share of a scaled total. All shares are equal, except that the first ones get one unit more if the
// total is not a multiple of the number of shares.
func (p *Plan) shareUnits(quota, share int, scale float64) int64 {
	if share < 0 || share >= p.Shares {
		return 0
	}
	total, shares := int64(math.Ceil(float64(p.Totals[quota])*scale)), int64(p.Shares)
	units := total / shares
	if int64(share) < total%shares {
		units++
	}
	return units
}
