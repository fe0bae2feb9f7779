package rolloutmodel

import (
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/testbed/modelcheck"
)

// system is one state of the model. It implements modelcheck.State.
type system struct {
	config        *rollout.Config
	now           admission.Time // number of time steps
	log           sharedLog
	processes     []*process
	inFlight      []envelope
	proposals     []*rollout.LoggedProposal // not appended to the log yet
	starts        uint64                    // number of process starts, which is also the last incarnation
	delayRequests bool

	// How many times each fault, and a lease request by the member, may still happen.
	restarts, elections, duplicates, leaseRequests int

	latestNumber   uint64 // the highest policy number that any gateway has applied
	latestNumberBy string // label of the first gateway that applied it
	violation      string
}

// process is one process: a core, its clock, and its replica of the log if it is a voter.
type process struct {
	name          string
	incarnation   uint64
	core          *rollout.Core
	replica       *replica       // nil: not a voter
	clockQuarters admission.Time // how far its clock advances in one time step, in quarters of timeStep
	isGateway     bool           // it applies policies to requests
	inForce       rollout.InForce
}

func (p *process) label() string { return fmt.Sprintf("%s/%d", p.name, p.incarnation) }

// envelope is a message in flight.
type envelope struct {
	to, from string
	message  *rollout.Message
}

// clock returns the time on the clock of a process.
func (s *system) clock(p *process) admission.Time { return s.now * timeStep * p.clockQuarters / 4 }

// Violation implements modelcheck.State. It describes the first application of an older policy, if there was one.
func (s *system) Violation() string { return s.violation }

// start starts a process, with stored state unless stored is nil.
func (s *system) start(index int, stored *rollout.StoredState) {
	p := s.processes[index]
	s.starts++
	p.incarnation, p.inForce = s.starts, rollout.InForce{}
	p.core = rollout.New(s.clock(p), s.config, rollout.Process{Name: p.name, Incarnation: p.incarnation, Random: newRandom(), Stored: stored}, host{s, index})
	for _, text := range policyTexts {
		p.core.AddPolicy(text)
	}
}

// elect makes a voter the current leader. Before it leads, all entries decided so far are applied to its core. With keepAppended, the
// undecided entry that the last leader appended is decided; without it, that entry is lost.
func (s *system) elect(index int, keepAppended bool) {
	log := &s.log
	log.term++
	log.leader = index
	if keepAppended {
		log.decided = append(log.decided, log.next)
	}
	log.next = nil
	p := s.processes[index]
	p.core.LogHost().LeadershipChanged(0)
	for p.replica.applied < len(log.decided) {
		p.replica.applyNext()
	}
	p.replica.term, p.replica.pendingRead = log.term, 0
	p.core.LogHost().LeadershipChanged(log.term)
}

// decideNext decides the entry that the leader appended, as if a majority had stored it, and applies it to the leader's core.
func (s *system) decideNext() {
	log := &s.log
	log.decided, log.next = append(log.decided, log.next), nil
	s.processes[log.leader].replica.applyNext()
}

// after returns a copy of the system that is changed by change.
func (s *system) after(change func(*system)) modelcheck.State {
	next := *s
	next.log.decided = slices.Clone(s.log.decided)
	next.processes = make([]*process, len(s.processes))
	next.inFlight, next.proposals = slices.Clone(s.inFlight), slices.Clone(s.proposals)
	for i, p := range s.processes {
		copied := *p
		if p.replica != nil {
			r := *p.replica
			r.system, copied.replica = &next, &r
		}
		copied.core = p.core.Clone(host{&next, i}, copied.replica, newRandom())
		next.processes[i] = &copied
	}
	change(&next)
	next.settle()
	return &next
}

// settle completes a transition. It runs the immediate events, renews the current leader's own lease, drops the first messages if more than
// maxInFlight are in flight, sorts the rest and removes duplicates, and checks which policy each gateway applies.
func (s *system) settle() {
	s.runImmediate()
	if i := s.log.leader; i != noLeader && s.processes[i].replica.isCurrentLeader() && s.processes[i].core.GrantsLeases() {
		s.requestLease(s.processes[i], s.processes[i].name)
		s.runImmediate()
	}
	if excess := len(s.inFlight) - maxInFlight; excess > 0 {
		s.inFlight = slices.Clone(s.inFlight[excess:])
	}
	slices.SortFunc(s.inFlight, func(a, b envelope) int { return strings.Compare(s.envelopeKey(&a), s.envelopeKey(&b)) })
	s.inFlight = slices.CompactFunc(s.inFlight, func(a, b envelope) bool { return s.envelopeKey(&a) == s.envelopeKey(&b) })
	s.checkDecisions()
}

func (s *system) requestLease(p *process, leader string) {
	p.core.RequestLease(s.clock(p), leader, 100*s.config.LeaseDuration)
}

// runImmediate runs the events that happen before any other transition: messages of processes to themselves, lease requests unless they are
// delayed, a majority's confirmations for the current leader, and the decision of the appended entry. If elections are still possible, an
// entry that puts a policy in force is not decided here, because an election may come first.
func (s *system) runImmediate() {
	for again := true; again; {
		again = s.deliverImmediate()
		for i, p := range s.processes {
			if r := p.replica; r != nil && r.pendingRead != 0 && r.isCurrentLeader() && s.log.leader == i {
				read := r.pendingRead
				r.pendingRead = 0
				p.core.LogHost().LeadershipConfirmed(read)
				again = true
			}
		}
		if next := s.log.next; next != nil && (s.elections == 0 || !rollout.IsDecision(next)) {
			s.decideNext()
			again = true
		}
	}
}

// deliverImmediate delivers the first message in flight that has no delay, and reports whether there was one. A message of a process to
// itself is lost if the process has been killed since.
func (s *system) deliverImmediate() bool {
	immediate := func(e envelope) bool { return e.to == e.from || e.message.LeaseRequest != nil && !s.delayRequests }
	i := slices.IndexFunc(s.inFlight, immediate)
	if i < 0 {
		return false
	}
	e := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	if e.to == e.from && !s.isRunning(e.from, e.message.Incarnation) {
		return true
	}
	for _, p := range s.processes {
		if p.name == e.to {
			s.deliver(p, e)
		}
	}
	return true
}

// isRunning reports whether an incarnation of a process is still running.
func (s *system) isRunning(name string, incarnation uint64) bool {
	return slices.ContainsFunc(s.processes, func(p *process) bool { return p.name == name && p.incarnation == incarnation })
}

func (s *system) deliver(p *process, e envelope) {
	if p.isGateway || e.message.LeaseRequest != nil {
		p.core.HandleDecoded(s.clock(p), e.from, *e.message)
	}
}

// checkDecisions treats every gateway that may apply a policy as if it did so now. Gateways whose policy number is not higher than the
// highest number applied before are checked first, because all of them apply their policies at the same instant.
func (s *system) checkDecisions() {
	for _, newer := range []bool{false, true} {
		for _, p := range s.processes {
			if p.isGateway && newer == (p.inForce.Number > s.latestNumber) {
				s.checkDecision(p)
			}
		}
	}
}

func (s *system) checkDecision(p *process) {
	inForce, now := &p.inForce, s.clock(p)
	holdsLease := inForce.HoldsLease(now)
	switch {
	case holdsLease && inForce.Number > s.latestNumber:
		s.latestNumber, s.latestNumberBy = inForce.Number, p.label()
	case s.violation != "":
	case holdsLease && inForce.Number < s.latestNumber:
		s.violation = fmt.Sprintf("%s applies policy number %d after %s has applied number %d", p.label(), inForce.Number, s.latestNumberBy, s.latestNumber)
	case holdsLease:
	case inForce.OverlapDigest != (rollout.Digest{}) && now < inForce.OverlapUntil && !s.allowsOverlap(inForce):
		s.violation = fmt.Sprintf("%s applies the overlap of policy number %d and a proposal after %s has applied number %d", p.label(), inForce.Number, s.latestNumberBy, s.latestNumber)
	}
}

// allowsOverlap reports whether a gateway may still apply the overlap of two policies: the policy with the highest number applied so far
// must be one of the two, or an earlier one.
func (s *system) allowsOverlap(inForce *rollout.InForce) bool {
	if s.latestNumber == inForce.Number+1 {
		return s.digestOf(s.latestNumber) == inForce.OverlapDigest
	}
	return s.latestNumber <= inForce.Number
}

// digestOf returns the digest of the policy with a number, according to the log.
func (s *system) digestOf(number uint64) rollout.Digest {
	var table rollout.Table
	for _, entry := range s.log.decided {
		table.ApplyEncoded(entry)
		if table.Number == number {
			break
		}
	}
	return table.Digest
}
