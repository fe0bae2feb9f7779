package quota

import (
	"hash/fnv"
	"math"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's monotonic clock.
type Time = admission.Time

// Plan is what all members go by.
type Plan struct {
	Shares       int      // of the installation
	Voters       []string // names; 1, 3 or 5
	ShareTerm    Time     // for which a confirmed seat is held
	LeaseTerm    Time     // for which a loan is
	LongestUse   Time     // that a use lasts; loans are several times as long
	DriftDivisor Time     // clocks run at most one part in this many fast or slow
	Number       uint64   // of the totals; a keeper confirms none with a lower one than it has heard of
	QuotaIDs     []uint32 // of the budgets, the same at all members: ID makes one of a name
	Totals       []int64  // by budget

	planted defect // of the laboratory alone
}

// HashName is a budget's by its name: by that members speak of it, in whatever order their files have it.
func HashName(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// margin is a length of time at one who must wait until another, whose clock may run slower, has surely counted it: three parts
// of the drift are more than the two clocks can be apart, up to a third.
func (p *Plan) margin(t Time) Time {
	if p.planted == noDrift {
		return t
	}
	return t + (3*t+p.DriftDivisor-1)/p.DriftDivisor
}

// share is a seat's part of a total, or of what it is shrunk to: equal ones, the first seats a unit more where it doesn't divide.
func (p *Plan) share(budget, seat int, scale float64) int64 {
	if seat < 0 || seat >= p.Shares {
		return 0
	}
	t, n := int64(math.Ceil(float64(p.Totals[budget])*scale)), int64(p.Shares)
	s := t / n
	if int64(seat) < t%n {
		s++
	}
	return s
}
