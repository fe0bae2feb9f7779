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
	KindVoterJoin    Kind = iota + 1 // a voter sends its incarnation to the other voters, because it has started or must rejoin
	KindVoterJoined                  // a voter replies with the incarnations that it knows, including that of the joining voter
	KindShareClaim                   // a member requests a voter's confirmation of its share
	KindShareConfirm                 // a voter confirms the share
	KindReject                       // a voter rejects a claim because another member holds the share, or a lender rejects a lease request
	KindLeaseRequest                 // a member requests a lease, or the renewal of one
	KindLeaseGrant                   // a lender grants a lease or renews it
	KindLeaseReturn                  // a borrower ends a lease early
	KindSpareUnits                   // a member announces how many units it could lease out
	KindShareRelease                 // a holder stops and frees its share at once
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

// Message is a message between members. Incarnations distinguish processes with the same name: a reply to another incarnation is ignored.
type Message struct {
	Kind                 Kind
	Sender               string
	SenderIncarnation    uint64
	RecipientIncarnation uint64 // in replies and lease returns: incarnation of the process that the message is for
	PlanRevision         uint64
	Share                int
	Sequence             uint32   // number of a claim or lease request; replies repeat it
	VoterIncarnations    []uint64 // incarnation of each voter, as far as the sender knows
	KnownIncarnations    []uint64 // in a confirmation: incarnation of each voter that knew the sender before it opened
	Predecessors         []uint64 // in a claim: earlier incarnations of the sender that have certainly ended
	QuotaID              uint32
	Units                int64
	LeaseID              uint32 // assigned by the borrower
}

// MaxMessageBytes is the maximum length of an encoded message.
const MaxMessageBytes = 200

// MaxPredecessors is the maximum number of predecessors in a claim: the last incarnation that held the share, and those after it that
// ended soon after their start.
const MaxPredecessors = 4

const (
	version         = 1
	headBytes       = 3 // version, kind and length of the sender's name
	maxIncarnations = 7 // maximum length of a list of incarnations
	maxShare        = 1 << 20
	maxUnits        = 1 << 40
)

// ErrInvalidMessage is returned for bytes that are not a valid message of this version.
var ErrInvalidMessage = errors.New("quota: not a valid message of this version")

// Encode encodes a message: the version, the kind, the length of the sender's name, the name, all numbers as varints, and the voters'
// incarnations preceded by their count. The known incarnations of a confirmation or the predecessors of a claim follow, if there are any.
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

// Decode decodes a message. If any part is invalid, it returns an empty message and ErrInvalidMessage.
func Decode(b []byte) (Message, error) {
	if len(b) < headBytes || len(b) > MaxMessageBytes || b[0] != version || Kind(b[1]) < KindVoterJoin || Kind(b[1]) > KindShareRelease {
		return Message{}, ErrInvalidMessage
	}
	nameEnd := headBytes + int(b[2])
	if len(b) < nameEnd {
		return Message{}, ErrInvalidMessage
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
		return Message{}, ErrInvalidMessage
	}
	return m, nil
}

// reader reads numbers from the rest of a message. After a failed read it returns zeros.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) uvarint(limit uint64) uint64 {
	if r.failed {
		return 0
	}
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > limit {
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
