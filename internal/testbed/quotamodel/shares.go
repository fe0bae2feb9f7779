package quotamodel

import (
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/quota"
	"magpiebank/internal/testbed/modelcheck"
)

const (
	maxClaims       = 2  // maximum claims of a process of the member
	noShare         = -1 // share of a process without a share of its own
	memberName      = "m"
	memberProcesses = 2 // number of processes under the member's name
	longStep        = 7 // ticks; longer than a share term
	secondVoter     = 1 // index in system.processes
	thirdVoter      = 2 // index in system.processes
	firstVoterTwin  = 5 // index in system.processes of a second process under the first voter's name
)

// shareSystem returns the system that explores shares: three voters with a true, a fast and a slow clock, and two processes under the name
// of one member, which claim the only share. As often as f allows, a voter is killed and restarts, a process of the member is killed and
// followed by a successor, or a second process starts under a voter's name. New processes have no state, except that a successor knows its
// predecessor. Each transition of time advances it by one of the given numbers of ticks.
func shareSystem(mutation quota.Mutation, f faults, steps ...quota.Time) *system {
	plan := &quota.Plan{Shares: 1, Voters: []string{"a", "b", "c"}, ShareTerm: 4 * tick, LeaseTerm: tick, DriftDivisor: driftDivisor, Revision: 1,
		QuotaIDs: []uint32{0}, Totals: []int64{1}, Mutation: mutation}
	s := &system{plan: plan, faults: f, lastIncarnation: 5, check: checkOneHolder}
	s.listTransitions = func(s *system) []modelcheck.Transition { return shareTransitions(s, steps) }
	for i, name := range plan.Voters {
		p := &process{rate: []quota.Time{trueRate, fastRate, slowRate}[i], core: s.newCore(0, name, uint64(i+1), noShare)}
		p.core.OpenVoter(0, []uint64{1, 2, 3}, []uint64{1, 2, 3}) // the voters have been open for a long time
		s.processes = append(s.processes, p)
	}
	for k := range memberProcesses {
		p := &process{rate: []quota.Time{slowRate, fastRate}[k], core: s.newCore(0, memberName, uint64(4+k), 0)}
		s.processes = append(s.processes, p)
	}
	s.inFlight = nil
	return s
}

// voterTwinSystem returns a share system with a second process, a twin, under the first voter's name. Of the other voters only the third
// knows the twin. No process is killed.
func voterTwinSystem(mutation quota.Mutation) *system {
	s := shareSystem(mutation, faults{}, longStep)
	s.lastIncarnation++
	s.processes = append(s.processes, &process{core: s.newCore(0, "a", s.lastIncarnation, noShare), rate: trueRate})
	s.inFlight, s.pairsOnly = nil, true
	s.processes[firstVoterTwin].core.JoinVoters(0)
	s.deliverAtOnce([]int{thirdVoter})
	s.deliverAtOnce([]int{firstVoterTwin})
	s.inFlight = nil
	return s
}

// forgottenTwinSystem returns a share system in which two processes, the earlier one and a later twin, have the first voter's name. The
// second and the third voter have both restarted since the twin started, and have joined with the help of the earlier process. Neither
// knows the twin, which has been open for a long time.
func forgottenTwinSystem(mutation quota.Mutation) *system {
	s := shareSystem(mutation, faults{}, 1, longStep)
	s.lastIncarnation, s.pairsOnly = 8, true
	s.processes[0].core.OpenVoter(0, []uint64{1, 7, 8}, []uint64{1, 2, 3})
	s.processes[secondVoter].core = s.newOpenVoter("b", 7, []uint64{1, 7, 8})
	s.processes[thirdVoter].core = s.newOpenVoter("c", 8, []uint64{1, 7, 8})
	s.processes = append(s.processes, &process{core: s.newOpenVoter("a", 6, []uint64{6, 2, 3}), rate: trueRate})
	s.inFlight = nil
	return s
}

// joiningSystem returns a forgottenTwinSystem in which the third voter has not joined yet, and can join with the help of either process of
// the first voter. The twin and the second voter have already answered its join message.
func joiningSystem(mutation quota.Mutation) *system {
	s := forgottenTwinSystem(mutation)
	s.processes[thirdVoter].core.RestartJoin()
	s.processes[thirdVoter].core.JoinVoters(0)
	s.deliverAtOnce([]int{secondVoter, firstVoterTwin})
	s.deliverAtOnce([]int{thirdVoter})
	s.inFlight = nil
	return s
}

func (s *system) newOpenVoter(name string, incarnation uint64, known []uint64) *quota.Core {
	c := s.newCore(0, name, incarnation, noShare)
	c.OpenVoter(0, known, known)
	return c
}

// checkOneHolder returns a violation if several processes hold the share.
func checkOneHolder(s *system) string {
	var holders []string
	for _, p := range s.processes {
		if p.core.HeldUnits(s.clock(p), 0) > 0 {
			holders = append(holders, p.String())
		}
	}
	if len(holders) > 1 {
		return "the only share is held by " + strings.Join(holders, " and ")
	}
	return ""
}

func shareTransitions(s *system, steps []quota.Time) []modelcheck.Transition {
	out := s.commonTransitions(steps...)
	for i, p := range s.processes {
		if p.core.IsVoter() {
			out = append(out, voterTransitions(s, i)...)
		} else {
			out = append(out, memberTransitions(s, i)...)
		}
	}
	return out
}

func memberTransitions(s *system, i int) (out []modelcheck.Transition) {
	p := s.processes[i]
	claims, claimedAt := p.core.LastClaim()
	if claims < maxClaims && (claims == 0 || s.clock(p)-claimedAt >= s.plan.ShareTerm/2) {
		for _, voters := range voterSubsets(s) {
			out = append(out, s.transition(fmt.Sprintf("%s claims the share, received by%s", p, voters.names), func(s *system) {
				s.processes[i].core.ClaimShare(s.clock(s.processes[i]))
				s.deliverAtOnce(voters.processes)
			}))
		}
	}
	if s.faults.successors > 0 {
		incarnation := p.core.Incarnation()
		out = append(out, s.transition(p.String()+" is killed and followed by a successor", func(s *system) {
			s.faults.successors--
			s.processes[i].core = s.start(s.processes[i], 0)
			s.processes[i].core.SetPredecessors([]uint64{incarnation})
		}))
	}
	return out
}

func voterTransitions(s *system, i int) (out []modelcheck.Transition) {
	p := s.processes[i]
	if p.core.IsJoining() {
		for _, voters := range voterSubsets(s) {
			out = append(out, s.transition(fmt.Sprintf("%s joins, received and answered by%s", p, voters.names), func(s *system) {
				s.processes[i].core.JoinVoters(s.clock(s.processes[i]))
				s.deliverAtOnce(voters.processes)
				s.deliverAtOnce([]int{i})
			}))
		}
	}
	if s.faults.crashes > 0 {
		out = append(out, s.transition(p.String()+" is killed and restarts without state", func(s *system) {
			s.faults.crashes--
			s.processes[i].core = s.start(s.processes[i], noShare)
		}))
	}
	if s.faults.twins > 0 {
		out = append(out, s.transition("another process starts under the name "+p.core.Name(), func(s *system) {
			s.faults.twins--
			s.processes = append(s.processes, &process{core: s.start(s.processes[i], noShare), rate: s.processes[i].rate})
		}))
	}
	return out
}

// voterSubset is a set of voter processes, identified by their indices in the system.
type voterSubset struct {
	processes []int
	names     string
}

// voterSubsets returns the subsets of two or more voter processes, or only the pairs if pairsOnly is set. Smaller subsets change nothing,
// because they are no majority.
func voterSubsets(s *system) (out []voterSubset) {
	var voters []int
	for i, p := range s.processes {
		if p.core.IsVoter() {
			voters = append(voters, i)
		}
	}
	for bits := range 1 << len(voters) {
		var subset voterSubset
		for k, i := range voters {
			if bits>>k&1 == 1 {
				subset.processes = append(subset.processes, i)
				subset.names += " " + s.processes[i].String()
			}
		}
		if n := len(subset.processes); n == 2 || n > 2 && !s.pairsOnly {
			out = append(out, subset)
		}
	}
	return out
}

// deliverAtOnce delivers all messages in flight at once, except share confirmations. A message reaches those of the given processes that
// have the recipient's name. It is lost for all others. Rejections are dropped, because only lease requests react to them. A delay of a
// claim need not be explored separately: the term of a confirmed share starts at the claim, so that a delay of the confirmation has the
// same effect.
func (s *system) deliverAtOnce(processes []int) {
	var messages []envelope
	s.inFlight = slices.DeleteFunc(s.inFlight, func(e envelope) bool {
		hasNoDelay := e.m.Kind != quota.KindShareConfirm && e.m.Kind != quota.KindReject
		if hasNoDelay {
			messages = append(messages, e)
		}
		return hasNoDelay
	})
	for _, e := range messages {
		for _, i := range processes {
			if p := s.processes[i]; p.core.Name() == e.to {
				p.core.HandleMessage(s.clock(p), e.m)
			}
		}
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(e envelope) bool { return e.m.Kind == quota.KindReject })
}
