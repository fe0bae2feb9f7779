package quota

import (
	"encoding/binary"
	"errors"
	"slices"
)

// MaxMessageBytes is the longest message in bytes.
const MaxMessageBytes = 200

// MaxPredecessors is how many processes a claim follows at most: those since the last that held its seat, where each ended soon after its start.
const MaxPredecessors = 4

const version = 1

// ErrMessage is what can't be read.
var ErrMessage = errors.New("budget: no message of this version")

// Encode writes a message: version, kind, the length of the sender's name and the name, then all figures as varints, the starts of
// keepers with their count before them. A confirmation has those that knew its sender after that, a claim those that it follows, if any.
func (m *Message) Encode() []byte {
	b := append([]byte{version, byte(m.Kind), byte(len(m.Sender))}, m.Sender...)
	for _, v := range []uint64{m.SenderIncarnation, m.RecipientIncarnation, m.PlanNumber, uint64(m.Share + 1), uint64(m.Sequence), uint64(m.QuotaID), uint64(m.Units), uint64(m.LeaseID), uint64(len(m.VoterIncarnations))} {
		b = binary.AppendUvarint(b, v)
	}
	for _, v := range m.VoterIncarnations {
		b = binary.AppendUvarint(b, v)
	}
	if more := slices.Concat(m.KnownIncarnations, m.Predecessors); len(more) > 0 {
		b = binary.AppendUvarint(b, uint64(len(more)))
		for _, v := range more {
			b = binary.AppendUvarint(b, v)
		}
	}
	return b
}

// Decode reads one, whole or not at all.
func Decode(b []byte) (m Message, err error) {
	if len(b) < 3 || len(b) > MaxMessageBytes || b[0] != version || Kind(b[1]) < KindVoterJoin || Kind(b[1]) > KindShareRelease || len(b) < 3+int(b[2]) {
		return m, ErrMessage
	}
	m.Kind, m.Sender = Kind(b[1]), string(b[3:3+int(b[2])])
	b = b[3+int(b[2]):]
	bad := false
	next := func(most uint64) uint64 {
		v, n := binary.Uvarint(b)
		if bad = bad || n <= 0 || v > most; bad {
			return 0
		}
		b = b[n:]
		return v
	}
	const any = 1<<64 - 1
	m.SenderIncarnation, m.RecipientIncarnation, m.PlanNumber = next(any), next(any), next(any)
	m.Share, m.Sequence, m.QuotaID = int(next(1<<20))-1, uint32(next(1<<32-1)), uint32(next(1<<32-1))
	m.Units, m.LeaseID = int64(next(1<<40)), uint32(next(1<<32-1))
	for range next(7) {
		m.VoterIncarnations = append(m.VoterIncarnations, next(any))
	}
	if more := []uint64(nil); len(b) > 0 {
		for range next(7) {
			more = append(more, next(any))
		}
		switch m.Kind {
		case KindShareConfirm:
			m.KnownIncarnations = more
		case KindShareClaim:
			m.Predecessors = more
		default:
			bad = true
		}
	}
	if bad || len(b) > 0 {
		return Message{}, ErrMessage
	}
	return m, nil
}
