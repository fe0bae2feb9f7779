package quotamodel

import (
	"fmt"
	"slices"

	"magpiebank/internal/cluster/quota"
	"magpiebank/internal/testbed/modelcheck"
)

const (
	maxRequests = 2   // maximum open lease requests of a process
	allUnits    = 100 // more units than any total here
)

// leaseSystem returns the system that explores leases. Three processes, with a fast, a true and a slow clock, hold their shares forever and
// lease units to each other. One process may be killed, and one message may be duplicated.
func leaseSystem(mutation quota.Mutation, total int64) *system {
	plan := &quota.Plan{Shares: 3, Voters: []string{"a", "b", "c"}, ShareTerm: 1000 * tick, LeaseTerm: 2 * tick, DriftDivisor: driftDivisor, Revision: 1,
		QuotaIDs: []uint32{0}, Totals: []int64{total}, Mutation: mutation}
	s := &system{plan: plan, faults: faults{crashes: 1, duplicates: 1}, lastIncarnation: 3, listTransitions: leaseTransitions, check: checkTotal}
	for i, name := range plan.Voters {
		p := &process{rate: []quota.Time{fastRate, trueRate, slowRate}[i], core: s.newCore(0, name, uint64(i+1), i)}
		p.core.HoldShare(quota.Never - 1)
		s.processes = append(s.processes, p)
	}
	s.inFlight = nil
	return s
}

// recallSystem returns a lease system in which a lender may recall the leases that it has granted, and no process is killed.
func recallSystem(mutation quota.Mutation) *system {
	s := leaseSystem(mutation, 3)
	s.faults.crashes, s.faults.recalls = 0, 1
	return s
}

// leaseSuccessorSystem returns a lease system in which a share holder may be killed and followed by a successor.
func leaseSuccessorSystem(mutation quota.Mutation) *system {
	s := leaseSystem(mutation, 3)
	s.faults.crashes, s.faults.successors = 0, 1
	return s
}

// checkTotal returns a violation if all processes together hold more units than the total.
func checkTotal(s *system) string {
	sum, parts := int64(0), ""
	for _, p := range s.processes {
		units := p.core.HeldUnits(s.clock(p), 0)
		sum += units
		parts += fmt.Sprintf(" %s %d", p, units)
	}
	if total := s.plan.Totals[0]; sum > total {
		return fmt.Sprintf("%d units may be used, the total is %d:%s", sum, total, parts)
	}
	return ""
}

func leaseTransitions(s *system) []modelcheck.Transition {
	out := s.commonTransitions(1)
	for i, p := range s.processes {
		lender := s.processes[(i+1)%len(s.processes)].core.Name()
		requested, taken, granted := p.core.LeaseCounts()
		if i != 1 && requested < maxRequests { // the slow process borrows from the fast one, and the fast one from the true one
			out = append(out, s.transition(fmt.Sprintf("%s requests a lease from %s", p.core.Name(), lender), func(s *system) {
				s.processes[i].core.RequestLease(0, lender, 1)
			}))
		}
		if taken > 0 {
			out = append(out, s.transition(p.core.Name()+" returns its leases", func(s *system) {
				s.processes[i].core.ReturnLeases(s.clock(s.processes[i]), 0, allUnits)
			}))
		}
		if s.faults.recalls > 0 && granted > 0 {
			out = append(out, s.transition(p.core.Name()+"'s own requests need more units", func(s *system) {
				s.faults.recalls--
				s.processes[i].core.SetDemand(s.clock(s.processes[i]), 0, s.plan.Totals[0])
			}))
		}
		out = append(out, leaseHolderFaults(s, i)...)
	}
	return out
}

func leaseHolderFaults(s *system, i int) (out []modelcheck.Transition) {
	name, incarnation := s.processes[i].core.Name(), s.processes[i].core.Incarnation()
	if s.faults.crashes > 0 {
		out = append(out, s.transition(name+" is killed and restarts without state", func(s *system) {
			s.faults.crashes--
			s.restartHolder(i)
		}))
	}
	if s.faults.successors > 0 {
		out = append(out, s.transition(name+" is killed, and its successor holds its share", func(s *system) {
			s.faults.successors--
			s.restartHolder(i)
			s.processes[i].core.SetPredecessors([]uint64{incarnation})
			s.processes[i].core.HoldShare(quota.Never - 1)
		}))
	}
	return out
}

// restartHolder replaces a process by a new one that has no share and does not claim one. Join messages of voters are dropped, because
// voters take no part in the lease systems.
func (s *system) restartHolder(i int) {
	p := s.processes[i]
	p.core = s.start(p, i)
	p.core.HoldShare(s.clock(p))
	s.inFlight = slices.DeleteFunc(s.inFlight, func(e envelope) bool { return e.m.Kind == quota.KindVoterJoin })
}
