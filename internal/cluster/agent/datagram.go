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

// datagramVersion is the first byte of a datagram. A datagram consists of a version, a nonce and a sealed envelope. All numbers
// are big-endian.
//
//	1 byte    version
//	24 bytes  nonce, random for each datagram
//	sealed    8 bytes sender's incarnation, 8 bytes sequence number of the datagram, 4 bytes sender's clock, 1 byte length of
//	          the sender's name, the name, then sections of 1 byte kind, 2 bytes length of the payload, and the payload
//	16 bytes  authentication tag (XChaCha20-Poly1305, with the version as additional data)
const datagramVersion = 1

// maxDatagramBytes keeps datagrams small enough for networks to carry without IP fragmentation.
const maxDatagramBytes = 1200

// sectionKind identifies the core that a section of a datagram belongs to.
type sectionKind byte

// The kinds of sections. Datagrams contain these values.
const (
	membershipSection   sectionKind = 1
	healthReportSection sectionKind = 2
	quotaSection        sectionKind = 3
	countersSection     sectionKind = 4
	policySection       sectionKind = 5
)

// The reasons for dropping a datagram. The control socket reports counts of dropped datagrams under these texts.
var (
	errOtherVersion = errors.New("another version")
	errWrongKey     = errors.New("not sealed by this key")
	errMalformed    = errors.New("broken")
	errReplayed     = errors.New("replayed")
)

// sealer encrypts and decrypts datagrams with the key that all gateways of an installation share.
type sealer struct{ aead cipher.AEAD }

// readKey reads a key file: 64 hexadecimal digits, with optional white space around them.
func readKey(path string) (*sealer, error) {
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
	return &sealer{aead}, nil
}

// envelope is the sealed content of a datagram.
type envelope struct {
	sender      string // name of the sending gateway
	incarnation uint64 // incarnation of the sending process
	sequence    uint64 // one higher for each datagram of the process
	clock       uint32 // low 32 bits of the sender's clock, in tenths of a millisecond
	sections    []section
}

// section is a message of one core, or a fragment of one.
type section struct {
	kind    sectionKind
	payload []byte
}

// The lengths of the fixed parts of an envelope, in bytes.
const (
	envelopeHeaderBytes = 8 + 8 + 4 + 1 // incarnation, sequence number, clock and the length of the name
	sectionHeaderBytes  = 1 + 2         // kind and length of the payload
)

// seal encodes and encrypts an envelope into a datagram.
func (s *sealer) seal(e *envelope) ([]byte, error) {
	plain := binary.BigEndian.AppendUint64(nil, e.incarnation)
	plain = binary.BigEndian.AppendUint64(plain, e.sequence)
	plain = binary.BigEndian.AppendUint32(plain, e.clock)
	plain = append(plain, byte(len(e.sender)))
	plain = append(plain, e.sender...)
	for _, item := range e.sections {
		plain = append(plain, byte(item.kind))
		plain = binary.BigEndian.AppendUint16(plain, uint16(len(item.payload)))
		plain = append(plain, item.payload...)
	}
	headerBytes := 1 + s.aead.NonceSize()
	out := make([]byte, headerBytes, headerBytes+len(plain)+s.aead.Overhead())
	out[0] = datagramVersion
	if _, err := rand.Read(out[1:]); err != nil {
		return nil, err
	}
	return s.aead.Seal(out, out[1:], plain, out[:1]), nil
}

// open decrypts and decodes a datagram. Its error is errOtherVersion, errWrongKey or errMalformed.
func (s *sealer) open(datagram []byte) (*envelope, error) {
	headerBytes := 1 + s.aead.NonceSize()
	switch {
	case len(datagram) == 0 || len(datagram) > maxDatagramBytes:
		return nil, errMalformed
	case datagram[0] != datagramVersion:
		return nil, errOtherVersion
	case len(datagram) < headerBytes+s.aead.Overhead():
		return nil, errMalformed
	}
	plain, err := s.aead.Open(nil, datagram[1:headerBytes], datagram[headerBytes:], datagram[:1])
	if err != nil {
		return nil, errWrongKey
	}
	return decodeEnvelope(plain)
}

// decodeEnvelope decodes the decrypted content of a datagram. Its error is errMalformed.
func decodeEnvelope(plain []byte) (*envelope, error) {
	if len(plain) < envelopeHeaderBytes {
		return nil, errMalformed
	}
	nameEnd := envelopeHeaderBytes + int(plain[envelopeHeaderBytes-1])
	if len(plain) < nameEnd {
		return nil, errMalformed
	}
	e := &envelope{
		incarnation: binary.BigEndian.Uint64(plain),
		sequence:    binary.BigEndian.Uint64(plain[8:]),
		clock:       binary.BigEndian.Uint32(plain[16:]),
		sender:      string(plain[envelopeHeaderBytes:nameEnd]),
	}
	for rest := plain[nameEnd:]; len(rest) > 0; {
		if len(rest) < sectionHeaderBytes {
			return nil, errMalformed
		}
		end := sectionHeaderBytes + int(binary.BigEndian.Uint16(rest[1:]))
		if len(rest) < end {
			return nil, errMalformed
		}
		e.sections = append(e.sections, section{sectionKind(rest[0]), rest[sectionHeaderBytes:end]})
		rest = rest[end:]
	}
	return e, nil
}
