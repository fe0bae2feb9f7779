package rolloutmodel

import (
	"encoding/binary"
	"fmt"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

// keyBuilder encodes the key of a state. It encodes times relative to now, because absolute times don't affect what can happen next.
type keyBuilder struct{ b []byte }

func (k *keyBuilder) numbers(list ...int64) {
	for _, n := range list {
		k.b = binary.AppendVarint(k.b, n)
	}
}

func (k *keyBuilder) flags(list ...bool) {
	for _, set := range list {
		k.b = append(k.b, byte(asNumber(set)))
	}
}

func (k *keyBuilder) text(s string) { k.b = append(append(k.b, s...), 0xff) }

// remaining appends how long it is from now until t. All times in the past have the same encoding.
func (k *keyBuilder) remaining(t, now admission.Time) { k.numbers(int64(max(-1, t-now))) }

func asNumber(set bool) int64 {
	if set {
		return 1
	}
	return 0
}

// Key implements modelcheck.State. The key contains no absolute times.
func (s *system) Key() []byte {
	k := &keyBuilder{}
	k.numbers(int64(s.restarts), int64(s.elections), int64(s.leaseRequests), int64(s.duplicates), int64(len(s.proposals)), int64(s.latestNumber),
		int64(s.log.leader), int64(s.log.term))
	for _, entry := range s.log.decided {
		k.text(string(entry))
	}
	k.text(string(s.log.next))
	for _, p := range s.processes {
		k.numbers(int64(p.incarnation))
		if p.isGateway {
			s.addGateway(k, p)
		}
		if p.replica != nil {
			s.addVoter(k, p)
		}
	}
	for i := range s.inFlight {
		k.text(s.envelopeKey(&s.inFlight[i]))
	}
	return k.b
}

func (s *system) addGateway(k *keyBuilder, p *process) {
	g, now := p.core.GatewayState(), s.clock(p)
	k.numbers(int64(g.Current.Number), int64(g.Decided.Number), int64(g.ReadyFor), int64(g.ReleasedFor))
	if p.replica == nil {
		k.numbers(int64(min(rollout.MaxUnansweredRequests+1, g.Seq-g.AnsweredSeq)), int64(g.Seq-min(g.Seq, g.MinValidSeq)))
	}
	k.remaining(g.LeaseUntil, now)
	if g.ProposalID != 0 {
		k.numbers(int64(g.ProposalID))
	}
	if g.OverlapWith != 0 {
		k.numbers(int64(g.OverlapWith))
		k.remaining(g.OverlapUntil, now)
	}
	if p.replica != nil {
		return
	}
	for _, r := range g.Requests {
		if r.Seq >= g.MinValidSeq && r.Seq > 0 && r.SentAt+max(s.config.LeaseDuration, 6*timeStep) > now {
			k.numbers(int64(g.Seq-r.Seq), int64(r.SentAt-now))
		}
	}
}

func (s *system) addVoter(k *keyBuilder, p *process) {
	k.numbers(int64(p.replica.term), int64(p.replica.applied), asNumber(p.replica.pendingRead != 0))
	l, leads := p.core.LeaderState()
	if !leads {
		return
	}
	now := s.clock(p)
	k.remaining(l.LeasesClearAt, now)
	k.remaining(l.OverlapsClearAt, now)
	k.flags(l.LatestVerified, l.VotersBehind, l.EntryPending)
	k.numbers(int64(l.Phase), asNumber(l.ConfirmationPending))
	if l.ProposalOpen {
		k.numbers(int64(max(-4*timeStep, l.ProposalSince-now)), int64(max(-2*timeStep, l.PhaseSince-now)))
	}
	for i := range l.Holders {
		s.addHolder(k, &l.Holders[i], now)
	}
}

// addHolder appends a leader's state for one member. It encodes sequence numbers as differences, because their absolute values don't
// matter.
func (s *system) addHolder(k *keyBuilder, h *rollout.HolderState, now admission.Time) {
	k.b = append(k.b, h.Name...)
	k.numbers(int64(h.Incarnation), int64(h.OverlapWith), int64(h.ReadyFor), asNumber(h.AwaitsConfirmation))
	if h.Name == memberName {
		latest := s.processes[memberIndex].core.GatewayState().Seq
		k.numbers(int64(h.Seq-min(h.Seq, h.OverlapSeq)), int64(h.Seq-min(h.Seq, h.GrantedSeq)), int64(h.Seq-min(h.Seq, h.ExcludedSeq)), int64(h.Seq-latest))
	}
	k.remaining(h.LeaseClearAt, now)
	k.remaining(h.OverlapClearAt, now)
	k.numbers(int64(max(-s.config.LeaseDuration, h.LastRequestAt-now)))
	k.flags(h.Excluded, h.AwaitsReply, h.HoldsLease)
}

// envelopeKey returns a key that identifies a message. For a reply, it contains the number of requests that the recipient has sent after
// the request that is answered, instead of that request's sequence number.
func (s *system) envelopeKey(e *envelope) string {
	reply := e.message.LeaseReply
	if reply == nil {
		return fmt.Sprint(e.to, e.from, e.message.Incarnation, describe(e.message))
	}
	behind := int64(-1)
	for _, p := range s.processes {
		if p.name == e.to && p.incarnation == reply.ForIncarnation {
			behind = int64(p.core.GatewayState().Seq - reply.Seq)
		}
	}
	proposal := uint64(0)
	if reply.Proposal != nil {
		proposal = reply.Proposal.ID
	}
	return fmt.Sprint(e.to, e.from, e.message.Incarnation, reply.ForIncarnation, behind, reply.Decided.Number, reply.Lease, proposal, reply.Overlap, reply.YieldFor, reply.Confirmed,
		reply.Leader)
}
