package agent

import (
	"bytes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"

	"golang.org/x/crypto/chacha20poly1305"
)

// A datagram is a version, a nonce and what is sealed: who sends it, its number, and the parts of the cores.
//
//	1 byte    version
//	24 bytes  nonce, drawn anew for each
//	sealed    8 bytes the sender's start, 8 bytes the datagram's number, 4 bytes of the sender's clock, 1 byte and the
//	          sender's name, then parts: 1 byte what, 2 bytes length, the part
//	16 bytes  of the seal (XChaCha20-Poly1305, the version as its additional data)
const version = 1

// The parts of a datagram.
const (
	partMembers   = 1
	partJudgement = 2
	partBudget    = 3
	partTally     = 4
	partCharter   = 5
)

// mostDatagram is under what networks carry whole.
const mostDatagram = 1200

// The kinds of datagrams that are dropped.
var (
	errOther    = errors.New("another version")
	errStranger = errors.New("not sealed by this key")
	errBroken   = errors.New("broken")
	errReplayed = errors.New("replayed")
)

// seal is the fleet's one key.
type seal struct{ aead cipher.AEAD }

// readKey reads a key: 64 hex digits, and space round them.
func readKey(path string) (*seal, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet.key: %w", err)
	}
	key, err := hex.DecodeString(string(bytes.TrimSpace(text)))
	if err != nil || len(key) != chacha20poly1305.KeySize {
		return nil, fmt.Errorf("fleet.key: %s: expected 64 hex digits", path)
	}
	aead, err := chacha20poly1305.NewX(key)
	if err != nil {
		return nil, fmt.Errorf("fleet.key: %w", err)
	}
	return &seal{aead}, nil
}

// letter is what a datagram holds.
type letter struct {
	name   string
	start  uint64
	number uint64
	clock  uint32 // tenths of a millisecond; its last 32 bits
	parts  []part
}

type part struct {
	what  byte
	bytes []byte
}

func (s *seal) close(l *letter) ([]byte, error) {
	plain := binary.BigEndian.AppendUint64(nil, l.start)
	plain = binary.BigEndian.AppendUint64(plain, l.number)
	plain = binary.BigEndian.AppendUint32(plain, l.clock)
	plain = append(append(plain, byte(len(l.name))), l.name...)
	for _, p := range l.parts {
		plain = binary.BigEndian.AppendUint16(append(plain, p.what), uint16(len(p.bytes)))
		plain = append(plain, p.bytes...)
	}
	out := make([]byte, 1+s.aead.NonceSize(), 1+s.aead.NonceSize()+len(plain)+s.aead.Overhead())
	out[0] = version
	if _, err := rand.Read(out[1:]); err != nil {
		return nil, err
	}
	return s.aead.Seal(out, out[1:], plain, out[:1]), nil
}

func (s *seal) open(b []byte) (*letter, error) {
	sealed := 1 + s.aead.NonceSize()
	switch {
	case len(b) == 0 || len(b) > mostDatagram:
		return nil, errBroken
	case b[0] != version:
		return nil, errOther
	case len(b) < sealed+s.aead.Overhead():
		return nil, errBroken
	}
	plain, err := s.aead.Open(nil, b[1:sealed], b[sealed:], b[:1])
	if err != nil {
		return nil, errStranger
	}
	const head = 21 // up to the name
	if len(plain) < head || len(plain) < head+int(plain[head-1]) {
		return nil, errBroken
	}
	rest := plain[head+int(plain[head-1]):]
	l := &letter{start: binary.BigEndian.Uint64(plain), number: binary.BigEndian.Uint64(plain[8:]), clock: binary.BigEndian.Uint32(plain[16:]),
		name: string(plain[head : head+int(plain[head-1])])}
	for len(rest) > 0 {
		if len(rest) < 3 || len(rest) < 3+int(binary.BigEndian.Uint16(rest[1:])) {
			return nil, errBroken
		}
		n := 3 + int(binary.BigEndian.Uint16(rest[1:]))
		l.parts = append(l.parts, part{rest[0], rest[3:n]})
		rest = rest[n:]
	}
	return l, nil
}

// seen tells datagrams that came before from new ones, by the last 64 numbers of each process.
type seen struct {
	start, top, bits uint64
}

// fresh takes in a number; false: it came before, is too old to tell, or is of an earlier process.
func (s *seen) fresh(start, number uint64) bool {
	switch {
	case start < s.start:
		return false
	case start > s.start:
		*s = seen{start: start, top: number, bits: 1}
		return true
	case number > s.top:
		if by := number - s.top; by < 64 {
			s.bits = s.bits<<by | 1
		} else {
			s.bits = 1
		}
		s.top = number
		return true
	case s.top-number >= 64 || s.bits>>(s.top-number)&1 == 1:
		return false
	}
	s.bits |= 1 << (s.top - number)
	return true
}
