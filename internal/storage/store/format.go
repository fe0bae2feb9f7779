package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Key identifies a value. The user of the store chooses its bytes, for example the 16 hex digits of a request's ID.
type Key [16]byte

// The format of the log. A segment consists of a header and records that follow it without gaps. All numbers are little-endian. The
// comments on the header sizes list the fields in their order, each with its size in bytes.
const (
	segmentMagic      = "MPLOG\x00\x00\x01" // the last byte is the version of the format
	segmentHeaderSize = 48                  // magic 8, store ID 16, segment number 8, first sequence 8, zeros 4, checksum 4
	recordHeaderSize  = 41                  // mark 1, value's length 4, sequence 8, synced sequence 8, key 16, checksum 4
	recordMark        = 0xA7                // first byte of a record with a value
	deletionMark      = 0xA8                // first byte of a record of a deletion
	maxValueSize      = 1 << 16             // bytes
	checksumSize      = 4                   // bytes of a CRC-32C
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is a value or a deletion in a segment.
type record struct {
	sequence       uint64 // the records of a store are numbered consecutively
	syncedSequence uint64 // sequence number of the last record that was known to be synced when this record was written
	key            Key
	deleted        bool
	value          []byte
}

func (r *record) size() int { return recordHeaderSize + len(r.value) }

// appendRecord appends the encoded record to dst.
func appendRecord(dst []byte, r *record) []byte {
	start := len(dst)
	mark := byte(recordMark)
	if r.deleted {
		mark = deletionMark
	}
	dst = append(dst, mark)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(r.value)))
	dst = binary.LittleEndian.AppendUint64(dst, r.sequence)
	dst = binary.LittleEndian.AppendUint64(dst, r.syncedSequence)
	dst = append(dst, r.key[:]...)
	sum := crc32.Checksum(dst[start:], castagnoli)
	sum = crc32.Update(sum, castagnoli, r.value)
	dst = binary.LittleEndian.AppendUint32(dst, sum)
	return append(dst, r.value...)
}

// decodeRecord decodes the record at the start of b; ok is false if b doesn't begin with a complete, valid record.
func decodeRecord(b []byte) (r record, ok bool) {
	if len(b) < recordHeaderSize || b[0] != recordMark && b[0] != deletionMark {
		return r, false
	}
	length := int(binary.LittleEndian.Uint32(b[1:]))
	if length > maxValueSize || len(b) < recordHeaderSize+length {
		return r, false
	}
	const checksummedSize = recordHeaderSize - checksumSize
	sum := crc32.Checksum(b[:checksummedSize], castagnoli)
	r.value = b[recordHeaderSize : recordHeaderSize+length : recordHeaderSize+length]
	if crc32.Update(sum, castagnoli, r.value) != binary.LittleEndian.Uint32(b[checksummedSize:]) {
		return r, false
	}
	r.deleted = b[0] == deletionMark
	r.sequence = binary.LittleEndian.Uint64(b[5:])
	r.syncedSequence = binary.LittleEndian.Uint64(b[13:])
	copy(r.key[:], b[21:])
	return r, true
}

// segmentHeader is the header at the start of a segment.
type segmentHeader struct {
	storeID       [16]byte
	number        uint64
	firstSequence uint64 // sequence number of the segment's first record
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
		crc32.Checksum(b[:segmentHeaderSize-checksumSize], castagnoli) != binary.LittleEndian.Uint32(b[segmentHeaderSize-checksumSize:]) {
		return h, false
	}
	copy(h.storeID[:], b[8:])
	h.number = binary.LittleEndian.Uint64(b[24:])
	h.firstSequence = binary.LittleEndian.Uint64(b[32:])
	return h, true
}

// The names of the files in a store's folder. The name of a segment is its number and segmentSuffix.
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

// manifest identifies the store, its owner and the beginning of its log.
type manifest struct {
	storeID          [16]byte
	owner            string
	firstSegment     uint64 // number of the oldest segment
	closedAtSequence uint64 // last sequence number when the store was closed; 0: the store is open, or its process crashed
	firstSequence    uint64 // sequence number of the first record in the oldest segment
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
	const fixedSize = 8 + 16 + 4*8 // magic, store ID and four numbers
	if len(b) < fixedSize+4 || string(b[:8]) != manifestMagic ||
		crc32.Checksum(b[:len(b)-4], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-4:]) {
		return m, false
	}
	copy(m.storeID[:], b[8:])
	m.firstSegment = binary.LittleEndian.Uint64(b[24:])
	m.firstSequence = binary.LittleEndian.Uint64(b[32:])
	m.closedAtSequence = binary.LittleEndian.Uint64(b[40:])
	if n := binary.LittleEndian.Uint64(b[48:]); n != uint64(len(b)-fixedSize-4) {
		return m, false
	}
	m.owner = string(b[fixedSize : len(b)-4])
	return m, true
}
