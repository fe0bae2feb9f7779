package membership

import (
	"encoding/binary"
	"errors"
)

type kind uint8

const (
	ping kind = iota + 1
	ack
	ask // to probe another member
)

// message is what members say to each other. docs/fleet.md has it byte by byte.
type message struct {
	kind   kind
	full   bool // a ping that asks for as many members as an answer holds
	seq    uint32
	from   Member
	about  string // whom an ask is to look at, or an answer is from
	target string // and its address, in an ask
	said   []Member
}

// MaxMessageBytes is the longest message, in bytes: with what others put into the same datagram it stays under what any network carries
// whole.
const MaxMessageBytes = 720

// version is the first byte of every message; another's are not read.
const version = 1

// ErrMessage is what can't be read.
var ErrMessage = errors.New("member: no message of this version")

type writer struct {
	b     []byte
	count int
	at    int // of the count
	said  map[string]bool
}

func newWriter(m message) *writer {
	b := make([]byte, 0, MaxMessageBytes)
	k := byte(m.kind)
	if m.full {
		k |= 0x80
	}
	b = append(b, version, k)
	b = binary.BigEndian.AppendUint32(b, m.seq)
	b = appendMember(b, &m.from)
	b = appendText(b, m.about)
	b = appendText(b, m.target)
	w := &writer{b: append(b, 0), said: map[string]bool{}}
	w.at = len(w.b) - 1
	return w
}

// add tells whether there was room.
func (w *writer) add(m *Member) bool {
	if w.said[m.Name] {
		return true
	}
	n := len(w.b)
	if w.b = appendMember(w.b, m); len(w.b) > MaxMessageBytes || w.count == 255 {
		w.b = w.b[:n]
		return false
	}
	w.said[m.Name] = true
	w.count++
	return true
}

func (w *writer) bytes() []byte {
	w.b[w.at] = byte(w.count)
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

type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.bad = true
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *reader) text(most int) string {
	n := int(r.byte())
	if n > most || n > len(r.b) {
		r.bad = true
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) member() (m Member) {
	m.Name, m.Incarnation = r.text(mostName), r.uvarint()
	refuted := r.uvarint()
	m.Refutations, m.State = uint32(refuted), State(r.byte())
	m.Address = r.text(mostAddress)
	if m.State == Suspect {
		m.Accuser = r.text(mostName)
	}
	if m.Name == "" || m.State > Left || refuted > 1<<31 {
		r.bad = true
	}
	return m
}

func decode(b []byte) (m message, err error) {
	if len(b) < 6 || len(b) > MaxMessageBytes || b[0] != version {
		return m, ErrMessage
	}
	m.kind, m.full = kind(b[1]&^0x80), b[1]&0x80 != 0
	m.seq = binary.BigEndian.Uint32(b[2:])
	r := &reader{b: b[6:]}
	m.from = r.member()
	m.about, m.target = r.text(mostName), r.text(mostAddress)
	for range r.byte() {
		if r.bad {
			break
		}
		m.said = append(m.said, r.member())
	}
	if r.bad || len(r.b) > 0 || m.kind < ping || m.kind > ask {
		return m, ErrMessage
	}
	return m, nil
}

// ValidNameAndAddress tells whether a name and an address fit into messages.
func ValidNameAndAddress(name, address string) bool {
	return name != "" && len(name) <= mostName && address != "" && len(address) <= mostAddress
}
