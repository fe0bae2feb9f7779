// Package quotamodel explores the states of small systems that run the protocol of package quota. The protocol is safe if two properties
// hold. First, a share has at most one holder at a time, whatever faults its holders and the voters have. Second, the units that a holder
// has leased out and those that it still uses are together never more than its share. The properties depend on each other only in one
// point: a lease must end before its lender's share. Therefore the package has separate systems for shares and for leases. Clocks run up
// to a quarter fast or slow, so that a few steps of time reveal errors in the handling of clock drift.
package quotamodel

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/quota"
	"magpiebank/internal/testbed/modelcheck"
)

const (
	driftDivisor = 4             // the rate of a clock is wrong by at most 1/driftDivisor
	tick         = quota.Time(4) // the time that passes on a true clock in one tick
	fastRate     = quota.Time(5) // the time that passes on a fast clock in one tick
	trueRate     = quota.Time(4)
	slowRate     = quota.Time(3)
	maxInFlight  = 3 // maximum messages in flight; beyond it the first messages of the list are lost
)

// envelope is a message in flight.
type envelope struct {
	to  string
	m   quota.Message
	key string // the encoded recipient and message; equal envelopes have equal keys
}

func newEnvelope(to string, m quota.Message) envelope {
	b := append([]byte(to), byte(m.Kind), byte(m.Share))
	b = append(b, m.Sender...)
	for _, v := range []uint64{m.SenderIncarnation, m.RecipientIncarnation, m.PlanRevision, uint64(m.Sequence), uint64(m.QuotaID), uint64(m.Units), uint64(m.LeaseID)} {
		b = binary.AppendUvarint(b, v)
	}
	for _, v := range slices.Concat(m.VoterIncarnations, m.KnownIncarnations, m.Predecessors) {
		b = binary.AppendUvarint(b, v)
	}
	return envelope{to, m, string(b)}
}

// process is one process of a system.
type process struct {
	core *quota.Core
	rate quota.Time // the time that passes on its clock in one tick
}

func (p *process) String() string {
	return fmt.Sprintf("%s/%d", p.core.Name(), p.core.Incarnation())
}

// faults holds how many times each fault may still happen.
type faults struct {
	crashes    int // a process is killed and restarts without state
	successors int // a process is killed, and its successor knows that the process has ended
	twins      int // a second process starts under the name of a running voter
	duplicates int // a message is delivered and stays in flight
	recalls    int // a lender's own requests need the units that it has leased out
}

// system is a state of a small cluster. It is immutable: the method after returns a changed copy.
type system struct {
	plan            *quota.Plan
	ticks           quota.Time // number of ticks that have passed
	processes       []*process
	inFlight        []envelope
	faults          faults
	lastIncarnation uint64
	pairsOnly       bool // a claim or join message reaches exactly two voter processes, instead of any two or more

	listTransitions func(*system) []modelcheck.Transition
	check           func(*system) string
}

// network collects the messages of a system's cores.
type network struct{ s *system }

func (n network) Send(to string, m quota.Message) {
	n.s.inFlight = append(n.s.inFlight, newEnvelope(to, m))
}
func (n network) Peers() []string { return nil }

// Transitions implements modelcheck.State.
func (s *system) Transitions() []modelcheck.Transition { return s.listTransitions(s) }

// Violation implements modelcheck.State. It returns the result of the system's check.
func (s *system) Violation() string { return s.check(s) }

// Key implements modelcheck.State. It encodes times relative to now, because the future of a system does not depend on absolute times.
func (s *system) Key() []byte {
	b := []byte{byte(s.faults.crashes), byte(s.faults.successors), byte(s.faults.twins), byte(s.faults.duplicates), byte(s.faults.recalls)}
	for _, p := range s.processes {
		b = append(b, p.core.Name()...)
		b = binary.AppendVarint(b, int64(p.core.Incarnation()))
		b = p.core.AppendDigest(b, s.clock(p))
	}
	for _, e := range s.inFlight {
		b = append(append(b, e.key...), 0xff)
	}
	return b
}

// after returns a copy of the system that is changed by do.
func (s *system) after(do func(*system)) modelcheck.State {
	next := *s
	next.processes = make([]*process, len(s.processes))
	for i, p := range s.processes {
		next.processes[i] = &process{core: p.core.Clone(network{&next}), rate: p.rate}
	}
	next.inFlight = slices.Clone(s.inFlight)
	do(&next)
	next.settle()
	return &next
}

// transition returns a transition to a copy of the system that is changed by do.
func (s *system) transition(name string, do func(*system)) modelcheck.Transition {
	return modelcheck.Transition{Name: name, Next: func() modelcheck.State { return s.after(do) }}
}

// settle delivers the messages of processes to themselves, which no network can lose. Of the other messages it drops the first ones if
// there are more than maxInFlight, sorts the rest and removes duplicates, so that equivalent states have equal keys.
func (s *system) settle() {
	for s.deliverToSelf() {
	}
	if excess := len(s.inFlight) - maxInFlight; excess > 0 {
		s.inFlight = slices.Clone(s.inFlight[excess:])
	}
	slices.SortFunc(s.inFlight, func(a, b envelope) int { return strings.Compare(a.key, b.key) })
	s.inFlight = slices.CompactFunc(s.inFlight, func(a, b envelope) bool { return a.key == b.key })
}

func (s *system) deliverToSelf() bool {
	for i, e := range s.inFlight {
		if p := s.sender(e.m); p != nil && p.core.Name() == e.to {
			s.inFlight = slices.Delete(s.inFlight, i, i+1)
			p.core.HandleMessage(s.clock(p), e.m)
			return true
		}
	}
	return false
}

func (s *system) sender(m quota.Message) *process {
	for _, p := range s.processes {
		if p.core.Name() == m.Sender && p.core.Incarnation() == m.SenderIncarnation {
			return p
		}
	}
	return nil
}

func (s *system) clock(p *process) quota.Time { return s.ticks * p.rate }

// start returns a new core with the name of a process and the next incarnation.
func (s *system) start(p *process, share int) *quota.Core {
	s.lastIncarnation++
	return s.newCore(s.clock(p), p.core.Name(), s.lastIncarnation, share)
}

func (s *system) newCore(now quota.Time, name string, incarnation uint64, share int) *quota.Core {
	return quota.New(now, quota.Options{Plan: s.plan, Name: name, Incarnation: incarnation, Share: share, Host: network{s}})
}

// commonTransitions returns the transitions that all systems have. Time passes by one of the given numbers of ticks. A message is delivered
// to a process that has the recipient's name, and may stay in flight as a duplicate.
func (s *system) commonTransitions(steps ...quota.Time) (out []modelcheck.Transition) {
	for _, ticks := range steps {
		out = append(out, s.transition(fmt.Sprintf("%d ticks pass", ticks), func(s *system) {
			s.ticks += ticks
			for _, p := range s.processes {
				p.core.Expire(s.clock(p))
			}
		}))
	}
	for i, e := range s.inFlight {
		for k, p := range s.processes {
			if p.core.Name() != e.to || e.m.Sender == p.core.Name() && e.m.SenderIncarnation == p.core.Incarnation() {
				continue
			}
			name := fmt.Sprintf("%s of %s/%d is delivered to %s", e.m.Kind, e.m.Sender, e.m.SenderIncarnation, p)
			out = append(out, s.transition(name, func(s *system) {
				s.inFlight = slices.Delete(s.inFlight, i, i+1)
				s.processes[k].core.HandleMessage(s.clock(s.processes[k]), e.m)
			}))
			if s.faults.duplicates > 0 {
				out = append(out, s.transition(name+", and is still in flight", func(s *system) {
					s.faults.duplicates--
					s.processes[k].core.HandleMessage(s.clock(s.processes[k]), e.m)
				}))
			}
		}
	}
	return out
}
