package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Key names a record: the 16 hex digits of a task's id as they are, or whatever its owner makes of longer ones.
type Key [16]byte

// The log's form. A segment begins with a head, and records follow without gaps; all numbers are little-endian.
const (
	segmentMagic      = "MPLOG\x00\x00\x01" // the last byte is the version of the form
	segmentHeaderSize = 48                  // magic 8, store's number 16, segment's number 8, first sequence 8, 4 zeros, checksum 4
	recordHeaderSize  = 41                  // mark 1, length 4, sequence 8, synced 8, key 16, checksum 4
	recordMark        = 0xA7                // begins a record that has a value,
	deletionMark      = 0xA8                // and one that says its key has none any more
	maxValueSize      = 1 << 16
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one as it lies in a segment.
type record struct {
	sequence uint64
	synced   uint64 // the last sequence known to survive when this one was written
	key      Key
	deleted  bool
	value    []byte
}

func (r *record) size() int { return recordHeaderSize + len(r.value) }

// appendRecord writes a record.
func appendRecord(dst []byte, r *record) []byte {
	at := len(dst)
	mark := byte(recordMark)
	if r.deleted {
		mark = deletionMark
	}
	dst = append(dst, mark)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(r.value)))
	dst = binary.LittleEndian.AppendUint64(dst, r.sequence)
	dst = binary.LittleEndian.AppendUint64(dst, r.synced)
	dst = append(dst, r.key[:]...)
	sum := crc32.Checksum(dst[at:], castagnoli)
	sum = crc32.Update(sum, castagnoli, r.value)
	dst = binary.LittleEndian.AppendUint32(dst, sum)
	return append(dst, r.value...)
}

// readRecord reads the record that begins b; ok is false where none does, or not all of it is there.
func decodeRecord(b []byte) (r record, ok bool) {
	if len(b) < recordHeaderSize || b[0] != recordMark && b[0] != deletionMark {
		return r, false
	}
	length := int(binary.LittleEndian.Uint32(b[1:]))
	if length > maxValueSize || len(b) < recordHeaderSize+length {
		return r, false
	}
	const summed = recordHeaderSize - 4
	sum := crc32.Checksum(b[:summed], castagnoli)
	r.value = b[recordHeaderSize : recordHeaderSize+length : recordHeaderSize+length]
	if crc32.Update(sum, castagnoli, r.value) != binary.LittleEndian.Uint32(b[summed:]) {
		return r, false
	}
	r.deleted = b[0] == deletionMark
	r.sequence, r.synced = binary.LittleEndian.Uint64(b[5:]), binary.LittleEndian.Uint64(b[13:])
	copy(r.key[:], b[21:])
	return r, true
}

// head is what begins a segment.
type segmentHeader struct {
	storeID       [16]byte
	number        uint64
	firstSequence uint64 // sequence of the first record
}

func (h *segmentHeader) encode() []byte {
	b := append(make([]byte, 0, segmentHeaderSize), segmentMagic...)
	b = append(b, h.storeID[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.number)
	b = binary.LittleEndian.AppendUint64(b, h.firstSequence)
	b = append(b, 0, 0, 0, 0)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeSegmentHeader(b []byte) (h segmentHeader, ok bool) {
	if len(b) < segmentHeaderSize || string(b[:8]) != segmentMagic ||
		crc32.Checksum(b[:segmentHeaderSize-4], castagnoli) != binary.LittleEndian.Uint32(b[segmentHeaderSize-4:]) {
		return h, false
	}
	copy(h.storeID[:], b[8:])
	h.number, h.firstSequence = binary.LittleEndian.Uint64(b[24:]), binary.LittleEndian.Uint64(b[32:])
	return h, true
}

// The names of a store's files.
const (
	manifestName    = "manifest"
	newManifestName = "manifest.new"
	lockName        = "lock"
	segmentSuffix   = ".log"
)

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

func segmentNumber(name string) (number uint64, ok bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// manifest says which store this is, whose, and where its log begins.
type manifest struct {
	storeID          [16]byte
	owner            string
	firstSegment     uint64 // the oldest segment that counts
	closedAtSequence uint64 // the last sequence, where the store was closed in order; 0: it is open, or its process died
	firstSequence    uint64 // the sequence that the oldest segment begins with
}

const manifestMagic = "MPMAN\x00\x00\x01"

func (m *manifest) encode() []byte {
	b := append([]byte(manifestMagic), m.storeID[:]...)
	for _, v := range []uint64{m.firstSegment, m.firstSequence, m.closedAtSequence, uint64(len(m.owner))} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	b = append(b, m.owner...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeManifest(b []byte) (m manifest, ok bool) {
	const fixed = 8 + 16 + 4*8
	if len(b) < fixed+4 || string(b[:8]) != manifestMagic ||
		crc32.Checksum(b[:len(b)-4], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-4:]) {
		return m, false
	}
	copy(m.storeID[:], b[8:])
	m.firstSegment, m.firstSequence, m.closedAtSequence = binary.LittleEndian.Uint64(b[24:]), binary.LittleEndian.Uint64(b[32:]), binary.LittleEndian.Uint64(b[40:])
	if n := binary.LittleEndian.Uint64(b[48:]); n != uint64(len(b)-fixed-4) {
		return m, false
	}
	m.owner = string(b[fixed : len(b)-4])
	return m, true
}
