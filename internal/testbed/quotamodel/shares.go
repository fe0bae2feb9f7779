package quotamodel

import (
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/quota"
	"magpiebank/internal/testbed/modelcheck"
)

const (
	maxClaims      = 2 // of a member
	noShare        = -1
	member         = "m"
	members        = 2 // processes under the member's name
	longStep       = 7 // ticks, more than a share term
	secondVoter    = 1
	thirdVoter     = 2
	firstVoterTwin = 5 // place of another process under the first voter's name
)

// shareSystem is the system of shares: three voters with a true, a fast and a slow clock, and two processes under the name
// of one member, for which there is one share. They are killed and doubled as the faults allow, each becoming a process
// that knows nothing. Time passes by some numbers of ticks.
func shareSystem(mutation quota.Mutation, f faults, steps ...quota.Time) *system {
	plan := &quota.Plan{Shares: 1, Voters: []string{"a", "b", "c"}, ShareTerm: 4 * tick, LeaseTerm: tick, DriftDivisor: driftDivisor, Revision: 1,
		QuotaIDs: []uint32{0}, Totals: []int64{1}, Mutation: mutation}
	s := &system{plan: plan, faults: f, lastIncarnation: 5, check: checkOneHolder}
	s.listTransitions = func(s *system) []modelcheck.Transition { return shareTransitions(s, steps) }
	for i, name := range plan.Voters {
		p := &process{rate: []quota.Time{trueRate, fastRate, slowRate}[i], core: s.newCore(0, name, uint64(i+1), noShare)}
		p.core.OpenVoter(0, []uint64{1, 2, 3}, []uint64{1, 2, 3}) // they have long been there
		s.processes = append(s.processes, p)
	}
	for k := range members {
		p := &process{rate: []quota.Time{slowRate, fastRate}[k], core: s.newCore(0, member, uint64(4+k), 0)}
		s.processes = append(s.processes, p)
	}
	s.inFlight = nil
	return s
}

// voterTwinSystem is one of shares with another process under a voter's name, which one other voter knows. No process is killed.
func voterTwinSystem(mutation quota.Mutation) *system {
	s := shareSystem(mutation, faults{}, longStep)
	s.lastIncarnation++
	s.processes = append(s.processes, &process{core: s.newCore(0, "a", s.lastIncarnation, noShare), rate: trueRate})
	s.inFlight, s.pairsOnly = nil, true
	s.processes[firstVoterTwin].core.JoinVoters(0)
	s.deliverQuestions([]int{thirdVoter})
	s.deliverQuestions([]int{firstVoterTwin})
	s.inFlight = nil
	return s
}

// forgottenTwinSystem is one of shares with two voters that were both restarted since the third was doubled, and joined by its earlier
// process: neither has heard of the later one, which has long been there.
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

// joiningSystem is that with one of the two still to join, by either process of the third. The later one and the other
// voter have answered it.
func joiningSystem(mutation quota.Mutation) *system {
	s := forgottenTwinSystem(mutation)
	s.processes[thirdVoter].core.RestartJoin()
	s.processes[thirdVoter].core.JoinVoters(0)
	s.deliverQuestions([]int{secondVoter, firstVoterTwin})
	s.deliverQuestions([]int{thirdVoter})
	s.inFlight = nil
	return s
}

func (s *system) newOpenVoter(name string, incarnation uint64, known []uint64) *quota.Core {
	c := s.newCore(0, name, incarnation, noShare)
	c.OpenVoter(0, known, known)
	return c
}

// checkOneHolder reports if the share has several holders.
func checkOneHolder(s *system) string {
	var holders []string
	for _, p := range s.processes {
		if p.core.HeldUnits(s.clock(p), 0) > 0 {
			holders = append(holders, p.String())
		}
	}
	if len(holders) > 1 {
		return "one share, held by " + strings.Join(holders, " and ")
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
				s.deliverQuestions(voters.processes)
			}))
		}
	}
	if s.faults.successors > 0 {
		incarnation := p.core.Incarnation()
		out = append(out, s.transition(p.String()+" is killed and has a successor", func(s *system) {
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
				s.deliverQuestions(voters.processes)
				s.deliverQuestions([]int{i})
			}))
		}
	}
	if s.faults.crashes > 0 {
		out = append(out, s.transition(p.String()+" is killed and starts with nothing", func(s *system) {
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

// voterSubset is some of the voters' processes, by place in the system.
type voterSubset struct {
	processes []int
	names     string
}

// voterSubsets returns the subsets that can make a difference: two processes at least.
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

// deliverQuestions delivers the questions that were just sent at once to those of the processes that have the recipient's name, and to no
// others. What matters of a question's delay is in that of the answer, because its time counts from the question.
func (s *system) deliverQuestions(processes []int) {
	var questions []envelope
	s.inFlight = slices.DeleteFunc(s.inFlight, func(e envelope) bool {
		isQuestion := e.m.Kind != quota.KindShareConfirm && e.m.Kind != quota.KindReject
		if isQuestion {
			questions = append(questions, e)
		}
		return isQuestion
	})
	for _, e := range questions {
		for _, i := range processes {
			if p := s.processes[i]; p.core.Name() == e.to {
				p.core.HandleMessage(s.clock(p), e.m)
			}
		}
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(e envelope) bool { return e.m.Kind == quota.KindReject })
}
