package rolloutmodel

import (
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/testbed/modelcheck"
)

// system is one state of the model; it implements modelcheck.State.
type system struct {
	config        *rollout.Config
	now           admission.Time // in time steps
	log           sharedLog
	processes     []*process
	inFlight      []envelope
	proposals     []*rollout.LoggedProposal // still to be made
	starts        uint64                    // incarnations so far
	delayRequests bool

	// Faults and lease requests that may still come.
	restarts, elections, duplicates, leaseRequests int

	latestNumber uint64 // the highest that any gateway has decided by
	latestBy     string // which gateway
	violation    string
}

// process is one process: a core, its clock, and its replica of the log if it votes.
type process struct {
	name          string
	incarnation   uint64
	core          *rollout.Core
	replica       *replica       // nil: it doesn't vote
	clockQuarters admission.Time // quarters of a time step that its clock goes at a time
	isGateway     bool           // it goes by policies
	inForce       rollout.InForce
}

func (p *process) label() string { return fmt.Sprintf("%s/%d", p.name, p.incarnation) }

// envelope is a message under way.
type envelope struct {
	to, from string
	message  *rollout.Message
}

// clock is the time by the clock of a process.
func (s *system) clock(p *process) admission.Time { return s.now * timeStep * p.clockQuarters / 4 }

// Violation is the first decision by an older policy.
func (s *system) Violation() string { return s.violation }

// start has a process start with what its folder holds.
func (s *system) start(index int, stored *rollout.StoredState) {
	p := s.processes[index]
	s.starts++
	p.incarnation, p.inForce = s.starts, rollout.InForce{}
	p.core = rollout.New(s.clock(p), s.config, rollout.Process{Name: p.name, Incarnation: p.incarnation, Random: newRandom(), Stored: stored}, host{s, index})
	for _, text := range policyTexts {
		p.core.AddPolicy(text)
	}
}

// elect has a voter lead by a majority. It is told first what was decided before it, and with keepAppended also what the last leader
// appended.
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

// decideNext has a majority have what the leader appended.
func (s *system) decideNext() {
	log := &s.log
	log.decided, log.next = append(log.decided, log.next), nil
	s.processes[log.leader].replica.applyNext()
}

// after is the state after a transition, which changes a copy.
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

// settle does what nothing can come between, renews the lease of the leader that counts, loses the oldest of too many messages, and
// checks who decides by what.
func (s *system) settle() {
	s.runImmediate()
	if i := s.log.leader; i != nobody && s.processes[i].replica.counts() && s.processes[i].core.GrantsLeases() {
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

// runImmediate does all that nothing can come between: messages of processes to themselves, lease requests unless they are delayed,
// confirmations by a majority, and decisions where no election can come before them.
func (s *system) runImmediate() {
	for again := true; again; {
		again = s.deliverImmediate()
		for i, p := range s.processes {
			if r := p.replica; r != nil && r.pendingRead != 0 && r.counts() && s.log.leader == i {
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

// deliverImmediate delivers the first message that arrives at once, and tells whether there was one. A request of a process that was
// killed since is lost.
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

// isRunning tells whether an incarnation of a process still runs.
func (s *system) isRunning(name string, incarnation uint64) bool {
	return slices.ContainsFunc(s.processes, func(p *process) bool { return p.name == name && p.incarnation == incarnation })
}

func (s *system) deliver(p *process, e envelope) {
	if p.isGateway || e.message.LeaseRequest != nil {
		p.core.HandleDecoded(s.clock(p), e.from, *e.message)
	}
}

// checkDecisions takes each gateway that may decide as deciding now. Gateways that lag come first, as all decide at one instant.
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
	holds := inForce.HoldsLease(now)
	switch {
	case holds && inForce.Number > s.latestNumber:
		s.latestNumber, s.latestBy = inForce.Number, p.label()
	case s.violation != "":
	case holds && inForce.Number < s.latestNumber:
		s.violation = fmt.Sprintf("%s decides by number %d, after %s has decided by %d", p.label(), inForce.Number, s.latestBy, s.latestNumber)
	case holds:
	case inForce.OverlapDigest != (rollout.Digest{}) && now < inForce.OverlapUntil && !s.allowsOverlap(inForce):
		s.violation = fmt.Sprintf("%s decides by what number %d and a proposal allow, after %s has decided by %d", p.label(), inForce.Number, s.latestBy, s.latestNumber)
	}
}

// allowsOverlap tells whether the latest policy decided by is one of the two whose overlap a gateway goes by.
func (s *system) allowsOverlap(inForce *rollout.InForce) bool {
	if s.latestNumber == inForce.Number+1 {
		return s.digestOf(s.latestNumber) == inForce.OverlapDigest
	}
	return s.latestNumber <= inForce.Number
}

// digestOf is the policy of a number, as the log has it.
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
