package membership

import (
	"encoding/binary"
	"errors"
)

type kind uint8

const (
	kindPing kind = iota + 1
	kindAck
	kindPingRequest // requests a probe of another member from a helper
)

// message is a message between members. docs/fleet.md describes the encoding.
type message struct {
	kind     kind
	full     bool // a ping that requests a reply with as many member records as fit
	sequence uint32
	from     Member
	about    string // the member that is probed; in an ack, the member that sent the ping or that a helper received a reply from
	target   string // in a ping request: address of the member to probe
	records  []Member
}

// MaxMessageBytes is the maximum length of a message. Together with the other parts of a datagram, a message of this length still fits
// into one packet on any network.
const MaxMessageBytes = 720

const (
	version    = 1    // the first byte of every message; messages of other versions are rejected
	fullFlag   = 0x80 // flag in the byte of the kind
	headBytes  = 6    // version, kind and sequence
	maxRecords = 255  // records in a message
	// A message that has a record with more refutations is rejected.
	maxRefutations = 1 << 31
)

// ErrInvalidMessage is returned for bytes that are not a valid message of this version.
var ErrInvalidMessage = errors.New("membership: not a valid message of this version")

// writer encodes a message up to the maximum length.
type writer struct {
	b           []byte
	count       int             // number of records
	countOffset int             // index of the number of records in b
	added       map[string]bool // names of the members whose records the message has
}

func newWriter(m message) *writer {
	b := make([]byte, 0, MaxMessageBytes)
	k := byte(m.kind)
	if m.full {
		k |= fullFlag
	}
	b = append(b, version, k)
	b = binary.BigEndian.AppendUint32(b, m.sequence)
	b = appendMember(b, &m.from)
	b = appendText(b, m.about)
	b = appendText(b, m.target)
	w := &writer{b: append(b, 0), added: map[string]bool{}}
	w.countOffset = len(w.b) - 1
	return w
}

// add adds a member's record, unless the message already has it. It returns false if the record does not fit.
func (w *writer) add(m *Member) bool {
	if w.added[m.Name] {
		return true
	}
	before := len(w.b)
	w.b = appendMember(w.b, m)
	if len(w.b) > MaxMessageBytes || w.count == maxRecords {
		w.b = w.b[:before]
		return false
	}
	w.added[m.Name] = true
	w.count++
	return true
}

func (w *writer) bytes() []byte {
	w.b[w.countOffset] = byte(w.count)
	return w.b
}

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func appendMember(b []byte, m *Member) []byte {
	b = appendText(b, m.Name)
	b = binary.AppendUvarint(b, m.Incarnation)
	b = binary.AppendUvarint(b, uint64(m.Refutations))
	b = append(b, byte(m.State))
	b = appendText(b, m.Address)
	if m.State == Suspect {
		b = appendText(b, m.Accuser)
	}
	return b
}

// reader reads values from the rest of a message. It sets failed after a failed read.
type reader struct {
	b      []byte
	failed bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.failed = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) text(maxLength int) string {
	n := int(r.byte())
	if n > maxLength || n > len(r.b) {
		r.failed = true
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) member() (m Member) {
	m.Name, m.Incarnation = r.text(maxNameBytes), r.uvarint()
	refutations := r.uvarint()
	m.Refutations, m.State = uint32(refutations), State(r.byte())
	m.Address = r.text(maxAddressBytes)
	if m.State == Suspect {
		m.Accuser = r.text(maxNameBytes)
	}
	if m.Name == "" || m.State > Left || refutations > maxRefutations {
		r.failed = true
	}
	return m
}

func decode(b []byte) (message, error) {
	if len(b) < headBytes || len(b) > MaxMessageBytes || b[0] != version {
		return message{}, ErrInvalidMessage
	}
	m := message{kind: kind(b[1] &^ fullFlag), full: b[1]&fullFlag != 0, sequence: binary.BigEndian.Uint32(b[2:])}
	r := &reader{b: b[headBytes:]}
	m.from = r.member()
	m.about, m.target = r.text(maxNameBytes), r.text(maxAddressBytes)
	for range r.byte() {
		if r.failed {
			break
		}
		m.records = append(m.records, r.member())
	}
	if r.failed || len(r.b) > 0 || m.kind < kindPing || m.kind > kindPingRequest {
		return m, ErrInvalidMessage
	}
	return m, nil
}

// ValidNameAndAddress reports whether a name and an address are not empty and fit into messages.
func ValidNameAndAddress(name, address string) bool {
	return name != "" && len(name) <= maxNameBytes && address != "" && len(address) <= maxAddressBytes
}
