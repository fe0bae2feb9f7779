package costmodel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
)

// snapshotVersion must be incremented with every change of the encoding, of the regression's terms or of the sketch's
// buckets.
const snapshotVersion = 1

// snapshotMagic is the first four bytes of an encoded snapshot.
const snapshotMagic = "MPST"

// An encoded snapshot consists of a header (magic, version, two bytes of 0, length of the payload), the payload, and
// a CRC-32C of both.
const (
	versionOffset        = 4
	lengthOffset         = 8
	snapshotHeaderBytes  = 12
	snapshotTrailerBytes = 4
)

// maxSnapshotBytes is the size of the largest snapshot that is decoded. A model with 1 GB of memory has a smaller
// snapshot.
const maxSnapshotBytes = 1 << 30

// maxSavedNumber is the highest value of any integer in a snapshot. Some integers have a smaller maximum.
const maxSavedNumber = math.MaxInt32

// maxSavedFloat is the highest absolute value of any float in a snapshot.
const maxSavedFloat = 1e18

// The minimum sizes of the elements of a snapshot. DecodeSnapshot rejects a number of elements for which the payload
// is too short.
const (
	minClassBytes  = 17
	minGroupBytes  = 2
	minRecordBytes = 100
	minBucketBytes = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the snapshot in its binary encoding.
func (s *Snapshot) Encode() []byte {
	var e encoder
	e.number(len(s.classes))
	for _, class := range s.classes {
		e.text(class.name)
		e.floats(class.mean, class.count)
	}
	e.number(regressionTerms)
	e.floats(s.weights[:]...)
	e.floats(s.covariance[:]...)
	e.number(len(s.groups))
	for _, group := range s.groups {
		e.numbers(group.group, group.loads)
	}
	e.number(len(s.records))
	for i := range s.records {
		e.record(&s.records[i])
	}
	out := append(make([]byte, 0, snapshotHeaderBytes+len(e.payload)+snapshotTrailerBytes), snapshotMagic...)
	out = out[:snapshotHeaderBytes]
	binary.LittleEndian.PutUint16(out[versionOffset:], snapshotVersion)
	binary.LittleEndian.PutUint32(out[lengthOffset:], uint32(len(e.payload)))
	out = append(out, e.payload...)
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out, castagnoli))
}

// encoder appends encoded values to a payload.
type encoder struct{ payload []byte }

func (e *encoder) number(value int) {
	e.payload = binary.AppendUvarint(e.payload, uint64(max(0, value)))
}

func (e *encoder) numbers(values ...int) {
	for _, value := range values {
		e.number(value)
	}
}

func (e *encoder) floats(values ...float64) {
	for _, value := range values {
		e.payload = binary.LittleEndian.AppendUint64(e.payload, math.Float64bits(value))
	}
}

func (e *encoder) text(value string) {
	e.number(len(value))
	e.payload = append(e.payload, value...)
}

func (e *encoder) record(r *savedRecord) {
	e.payload = binary.LittleEndian.AppendUint64(e.payload, r.key)
	e.numbers(int(r.hoursToDecay), r.observations, r.uncertainFor, r.loads, r.skewGrouping)
	e.floats(r.memory, r.memoryPeak, r.shiftUp, r.shiftDown, r.baseline, r.deviation)
	e.floats(r.recent[:]...)
	e.floats(r.trend.count, r.trend.sumX, r.trend.sumY, r.trend.sumXX, r.trend.sumXY)
	used := 0
	for _, count := range r.sketch.counts {
		if count > 0 {
			used++
		}
	}
	e.number(used)
	for bucket, count := range r.sketch.counts {
		if count > 0 {
			e.numbers(bucket, int(count))
		}
	}
}

// The errors of DecodeSnapshot, apart from the error for a snapshot of another version.
var (
	errNotSnapshot   = errors.New("this is not a snapshot of statement costs")
	errTruncated     = errors.New("the snapshot is truncated or has trailing bytes")
	errChecksum      = errors.New("the checksum of the snapshot does not match")
	errInvalidValues = errors.New("the snapshot contains invalid values")
)

// DecodeSnapshot decodes a snapshot. It returns an error and no snapshot if the bytes have another version, or were
// truncated or changed.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	payload, err := snapshotPayload(b)
	if err != nil {
		return nil, err
	}
	d := decoder{rest: payload}
	s := &Snapshot{}
	for range d.count(minClassBytes) {
		name := string(d.bytes(d.count(1)))
		s.classes = append(s.classes, savedClass{name, d.float(), d.float()})
	}
	if d.count(1) != regressionTerms {
		return nil, errInvalidValues
	}
	d.floats(s.weights[:])
	d.floats(s.covariance[:])
	for range d.count(minGroupBytes) {
		s.groups = append(s.groups, savedGroup{d.number(maxSavedNumber), d.number(maxSavedNumber)})
	}
	for range d.count(minRecordBytes) {
		s.records = append(s.records, d.record())
	}
	if d.failed || len(d.rest) > 0 {
		return nil, errInvalidValues
	}
	return s, nil
}

// snapshotPayload checks the header and the checksum and returns the payload between them.
func snapshotPayload(b []byte) ([]byte, error) {
	if len(b) < snapshotHeaderBytes+snapshotTrailerBytes || string(b[:versionOffset]) != snapshotMagic {
		return nil, errNotSnapshot
	}
	if version := binary.LittleEndian.Uint16(b[versionOffset:]); version != snapshotVersion {
		return nil, fmt.Errorf("version %d of the form, this program knows %d", version, snapshotVersion)
	}
	end := len(b) - snapshotTrailerBytes
	length := int64(binary.LittleEndian.Uint32(b[lengthOffset:]))
	if length != int64(end-snapshotHeaderBytes) || len(b) > maxSnapshotBytes {
		return nil, errTruncated
	}
	if crc32.Checksum(b[:end], castagnoli) != binary.LittleEndian.Uint32(b[end:]) {
		return nil, errChecksum
	}
	return b[snapshotHeaderBytes:end], nil
}

// decoder reads values from the start of rest. The first invalid value sets failed. After an integer that is invalid
// or a value that is truncated, all further reads return zeros.
type decoder struct {
	rest   []byte
	failed bool
}

var zeros [8]byte

func (d *decoder) bytes(count int) []byte {
	if count > len(d.rest) {
		d.failed, d.rest = true, nil
		return zeros[:min(count, len(zeros))]
	}
	taken := d.rest[:count]
	d.rest = d.rest[count:]
	return taken
}

func (d *decoder) number(highest int) int {
	value, length := binary.Uvarint(d.rest)
	if length <= 0 || value > uint64(highest) {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[length:]
	return int(value)
}

// count reads the number of the elements that follow. Each takes at least minBytes, so a number for which rest is too
// short is invalid.
func (d *decoder) count(minBytes int) int { return d.number(len(d.rest) / minBytes) }

func (d *decoder) float() float64 {
	value := math.Float64frombits(binary.LittleEndian.Uint64(d.bytes(8)))
	if math.IsNaN(value) || math.Abs(value) > maxSavedFloat {
		d.failed = true
		return 0
	}
	return value
}

func (d *decoder) floats(into []float64) {
	for i := range into {
		into[i] = d.float()
	}
}

func (d *decoder) record() (r savedRecord) {
	r.key = binary.LittleEndian.Uint64(d.bytes(8))
	r.hoursToDecay = int64(d.number(maxSavedNumber))
	r.observations, r.uncertainFor = d.number(maxSavedNumber), d.number(uncertainAfterLoad)
	r.loads, r.skewGrouping = d.number(maxSavedNumber), d.number(skewGroupings)
	r.memory, r.memoryPeak = d.float(), d.float()
	r.shiftUp, r.shiftDown = d.float(), d.float()
	r.baseline, r.deviation = d.float(), d.float()
	d.floats(r.recent[:])
	r.trend = trend{d.float(), d.float(), d.float(), d.float(), d.float()}
	for range d.count(minBucketBytes) {
		step, count := d.number(sketchBuckets-1), d.number(math.MaxUint16)
		r.sketch.total += uint32(count) - uint32(r.sketch.counts[step])
		r.sketch.counts[step] = uint16(count)
	}
	return r
}
