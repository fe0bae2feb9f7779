package quota

import (
	"hash/fnv"
	"math"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's monotonic clock.
type Time = admission.Time

// Never is later than any time that comes.
const Never = Time(1) << 60

// Plan holds the settings that are equal at all members.
type Plan struct {
	Shares       int      // number of equal shares, one for each gateway of the installation
	Voters       []string // names of the 1, 3 or 5 gateways that confirm who holds a share
	ShareTerm    Time     // how long a confirmed share is held
	LeaseTerm    Time     // how long a lease lasts; several times LongestUse
	LongestUse   Time     // how long a use lasts at most
	DriftDivisor Time     // clocks run at most one part in this many fast or slow
	Revision     uint64   // raised with every change of the totals
	QuotaIDs     []uint32 // by quota index; HashName makes an ID of a name
	Totals       []int64  // units by quota index

	// Mutation is a deliberate fault of the protocol, by which tests prove that their checks find it. It is NoMutation in service.
	Mutation Mutation
}

// HashName returns the ID of a quota by its name. Messages carry IDs, because the members' files may list quotas in any order.
func HashName(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// withDrift returns how long a member must wait by its own clock until another clock, which may run slower, has surely counted the
// duration. Three times the drift exceeds the difference of any two clocks that drift by a third at most.
func (p *Plan) withDrift(duration Time) Time {
	if p.Mutation == IgnoreClockDrift {
		return duration
	}
	return duration + (3*duration+p.DriftDivisor-1)/p.DriftDivisor
}

// shareUnits returns the units of one share of a scaled total. All shares are equal, except that the first ones have a unit more where
// the total does not divide.
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
