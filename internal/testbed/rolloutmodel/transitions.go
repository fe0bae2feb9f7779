package rolloutmodel

import (
	"fmt"
	"slices"

	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/testbed/modelcheck"
)

// transitionList collects the transitions that are possible in one state.
type transitionList struct {
	system *system
	list   []modelcheck.Transition
}

func (t *transitionList) add(name string, change func(*system)) {
	t.list = append(t.list, modelcheck.Transition{Name: name, Next: func() modelcheck.State { return t.system.after(change) }})
}

// Transitions implements modelcheck.State.
func (s *system) Transitions() []modelcheck.Transition {
	t := &transitionList{system: s}
	t.add("time passes", (*system).passTime)
	for i, p := range s.processes {
		if p.isGateway && p.replica == nil {
			t.addMember(i)
		}
		if p.replica != nil {
			t.addVoter(i)
		}
	}
	t.addDeliveries()
	return t.list
}

func (s *system) passTime() {
	s.now++
	for _, p := range s.processes {
		p.core.Advance(s.clock(p))
	}
}

// addMember adds the transitions of a gateway that doesn't vote: it requests a lease from a voter that believes that it leads, or it is
// killed and restarts.
func (t *transitionList) addMember(index int) {
	member := t.system.processes[index]
	for _, voter := range t.system.processes {
		if voter.replica == nil || voter.replica.term == 0 || t.system.leaseRequests == 0 {
			continue
		}
		leader := voter.name
		t.add(member.label()+" requests a lease from "+leader, func(s *system) {
			s.leaseRequests--
			s.requestLease(s.processes[index], leader)
		})
	}
	if t.system.restarts > 0 {
		t.add(member.label()+" is killed and restarts with its stored state", func(s *system) {
			s.restarts--
			floor := member.core.LastPolicyRecord()
			stored := &rollout.StoredState{}
			stored.AddRecord(floor.Key, floor.Value, false)
			s.start(index, stored)
		})
	}
}

// addVoter adds the transitions of a voter: its elections and, after another election, the news that it does not lead any more. For the
// current leader it adds the decision of the appended entry or, if there is none, the next proposal.
func (t *transitionList) addVoter(index int) {
	s := t.system
	voter := s.processes[index]
	t.addElections(index)
	if voter.replica.term > 0 && voter.replica.term < s.log.term {
		t.add(voter.label()+" learns that another voter leads", func(s *system) {
			p := s.processes[index]
			p.replica.term, p.replica.pendingRead = 0, 0
			p.core.LogHost().LeadershipChanged(0)
		})
	}
	if !voter.replica.isCurrentLeader() {
		return
	}
	if s.log.next != nil {
		t.add("the entry that "+voter.label()+" appended is decided", (*system).decideNext)
		return
	}
	if len(s.proposals) > 0 {
		t.add(fmt.Sprintf("%s appends proposal %d", voter.label(), s.proposals[0].ID), func(s *system) {
			s.processes[index].core.AppendProposal(s.proposals[0])
			s.proposals = s.proposals[1:]
		})
	}
}

// addElections adds the elections that a voter may win: without the entry that the last leader appended and, if there is such an entry,
// with it.
func (t *transitionList) addElections(index int) {
	s := t.system
	voter := s.processes[index]
	if s.elections == 0 || voter.replica.term > 0 && voter.replica.isCurrentLeader() {
		return
	}
	elect := func(name string, keepAppended bool) {
		t.add(name, func(s *system) {
			s.elections--
			s.elect(index, keepAppended)
		})
	}
	elect(voter.label()+" is elected", false)
	if s.log.next != nil {
		elect(voter.label()+" is elected and keeps the entry that was appended before", true)
	}
}

// addDeliveries adds the delivery of each message in flight and, while duplicates may happen, a delivery after which the message stays in
// flight.
func (t *transitionList) addDeliveries() {
	for i, e := range t.system.inFlight {
		for k, p := range t.system.processes {
			if p.name != e.to {
				continue
			}
			name := fmt.Sprintf("%s of %s/%d is delivered to %s", describe(e.message), e.from, e.message.Incarnation, p.label())
			t.add(name, func(s *system) {
				s.inFlight = slices.Delete(s.inFlight, i, i+1)
				s.deliver(s.processes[k], e)
			})
			if t.system.duplicates > 0 {
				t.add(name+", and is still in flight", func(s *system) {
					s.duplicates--
					s.deliver(s.processes[k], e)
				})
			}
		}
	}
}

// describe returns the name of a message for a trace and for envelopeKey.
func describe(m *rollout.Message) string {
	request, reply := m.LeaseRequest, m.LeaseReply
	switch {
	case request != nil && request.ReleasedFor != 0:
		return fmt.Sprintf("release %d", request.Seq)
	case request != nil:
		return fmt.Sprintf("lease request %d", request.Seq)
	case reply != nil && reply.YieldFor != 0:
		return "request to yield"
	case reply != nil && reply.Lease > 0:
		return fmt.Sprintf("lease on policy number %d for request %d", reply.Decided.Number, reply.Seq)
	case reply != nil:
		return fmt.Sprintf("notice that policy number %d is in force", reply.Decided.Number)
	}
	return "message"
}
