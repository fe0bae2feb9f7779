package quota

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	KindVoterJoin    Kind = iota + 1 // a voter that has started asks the other voters to learn its incarnation
	KindVoterJoined                  // the answer: the incarnation is known
	KindShareClaim                   // a member asks a voter to confirm its share
	KindShareConfirm                 // the voter confirms it
	KindReject                       // the share belongs to another; or no lease is granted, or no more time on one
	KindLeaseRequest                 // a member asks for a lease, or for more time on one
	KindLeaseGrant                   // the lease, or more time on it, is granted
	KindLeaseReturn                  // a lease ends early
	KindSpareUnits                   // how many units a member could lease out
	KindShareRelease                 // a holder stops: its share is free at once
)

var kindNames = [...]string{
	KindVoterJoin:    "voter join",
	KindVoterJoined:  "voter joined",
	KindShareClaim:   "share claim",
	KindShareConfirm: "share confirmation",
	KindReject:       "rejection",
	KindLeaseRequest: "lease request",
	KindLeaseGrant:   "lease grant",
	KindLeaseReturn:  "lease return",
	KindSpareUnits:   "spare units",
	KindShareRelease: "share release",
}

func (k Kind) String() string { return kindNames[k] }

// Message is one message between members. Incarnations tell processes under one name apart: a message for another incarnation is ignored.
type Message struct {
	Kind                 Kind
	Sender               string
	SenderIncarnation    uint64
	RecipientIncarnation uint64 // of the process that is answered
	PlanRevision         uint64
	Share                int
	Sequence             uint32   // numbers claims and lease requests; answers repeat it
	VoterIncarnations    []uint64 // by voter, as the sender knows them
	KnownIncarnations    []uint64 // of a confirmation: the voters that knew its sender when it began to confirm
	Predecessors         []uint64 // of a claim: incarnations under its sender's name that have surely ended
	QuotaID              uint32
	Units                int64
	LeaseID              uint32 // assigned by the borrower
}

// MaxMessageBytes is the length of the longest message.
const MaxMessageBytes = 200

// MaxPredecessors is how many predecessors a claim names at most: the incarnations since the last one that held the share, where each
// ended soon after its start.
const MaxPredecessors = 4

const (
	version         = 1
	headBytes       = 3 // version, kind and the length of the sender's name
	maxIncarnations = 7 // in a list
	maxShare        = 1 << 20
	maxUnits        = 1 << 40
)

// ErrMessage reports bytes that are no message of this version.
var ErrMessage = errors.New("quota: no message of this version")

// Encode writes the version, the kind, the length of the sender's name and the name, then all numbers as varints, and the voters'
// incarnations with their count before them. A confirmation's known incarnations or a claim's predecessors follow, if there are any.
func (m *Message) Encode() []byte {
	b := append([]byte{version, byte(m.Kind), byte(len(m.Sender))}, m.Sender...)
	for _, v := range []uint64{m.SenderIncarnation, m.RecipientIncarnation, m.PlanRevision, uint64(m.Share + 1), uint64(m.Sequence), uint64(m.QuotaID), uint64(m.Units), uint64(m.LeaseID)} {
		b = binary.AppendUvarint(b, v)
	}
	b = appendList(b, m.VoterIncarnations)
	if more := slices.Concat(m.KnownIncarnations, m.Predecessors); len(more) > 0 {
		b = appendList(b, more)
	}
	return b
}

func appendList(b []byte, list []uint64) []byte {
	b = binary.AppendUvarint(b, uint64(len(list)))
	for _, v := range list {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

// Decode reads a message, whole or not at all. The error is ErrMessage.
func Decode(b []byte) (Message, error) {
	if len(b) < headBytes || len(b) > MaxMessageBytes || b[0] != version || Kind(b[1]) < KindVoterJoin || Kind(b[1]) > KindShareRelease {
		return Message{}, ErrMessage
	}
	nameEnd := headBytes + int(b[2])
	if len(b) < nameEnd {
		return Message{}, ErrMessage
	}
	m := Message{Kind: Kind(b[1]), Sender: string(b[headBytes:nameEnd])}
	r := reader{b: b[nameEnd:]}
	m.SenderIncarnation, m.RecipientIncarnation, m.PlanRevision = r.uvarint(math.MaxUint64), r.uvarint(math.MaxUint64), r.uvarint(math.MaxUint64)
	m.Share = int(r.uvarint(maxShare)) - 1
	m.Sequence, m.QuotaID = uint32(r.uvarint(math.MaxUint32)), uint32(r.uvarint(math.MaxUint32))
	m.Units, m.LeaseID = int64(r.uvarint(maxUnits)), uint32(r.uvarint(math.MaxUint32))
	m.VoterIncarnations = r.list()
	if len(r.b) > 0 {
		more := r.list()
		switch m.Kind {
		case KindShareConfirm:
			m.KnownIncarnations = more
		case KindShareClaim:
			m.Predecessors = more
		default:
			r.failed = true
		}
	}
	if r.failed || len(r.b) > 0 {
		return Message{}, ErrMessage
	}
	return m, nil
}

// reader reads numbers from what is left of a message, and zeros once a read has failed.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) uvarint(most uint64) uint64 {
	if r.failed {
		return 0
	}
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > most {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) list() (out []uint64) {
	for range r.uvarint(maxIncarnations) {
		out = append(out, r.uvarint(math.MaxUint64))
	}
	return out
}
