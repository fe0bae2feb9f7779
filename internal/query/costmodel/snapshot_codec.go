package costmodel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
)

// snapshotVersion is raised with every change of the form, the regression's terms or the sketch's steps.
const snapshotVersion = 1

const snapshotMagic = "MPST"

// maxSnapshotBytes bounds what is read: a book of 1 GB writes less.
const maxSnapshotBytes = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode writes a snapshot.
func (s *Snapshot) Encode() []byte {
	var p []byte
	number := func(v int) { p = binary.AppendUvarint(p, uint64(max(0, v))) }
	float := func(list ...float64) {
		for _, v := range list {
			p = binary.LittleEndian.AppendUint64(p, math.Float64bits(v))
		}
	}
	number(len(s.classes))
	for _, l := range s.classes {
		number(len(l.name))
		p = append(p, l.name...)
		float(l.mean, l.count)
	}
	number(regressionTerms)
	float(s.weights[:]...)
	float(s.covariance[:]...)
	number(len(s.groups))
	for _, g := range s.groups {
		number(g.group)
		number(g.loads)
	}
	number(len(s.records))
	for i := range s.records {
		r := &s.records[i]
		p = binary.LittleEndian.AppendUint64(p, r.key)
		for _, v := range []int{int(r.age), r.observations, r.uncertainFor, r.loads, r.skewPlace} {
			number(v)
		}
		float(r.memory, r.memoryPeak, r.shiftUp, r.shiftDown, r.baseline, r.deviation)
		float(r.recent[:]...)
		float(r.trend.count, r.trend.sumX, r.trend.sumY, r.trend.sumXX, r.trend.sumXY)
		used := 0
		for _, c := range r.sketch.counts {
			if c > 0 {
				used++
			}
		}
		number(used)
		for step, c := range r.sketch.counts {
			if c > 0 {
				number(step)
				number(int(c))
			}
		}
	}
	out := append([]byte(snapshotMagic), 0, 0, 0, 0, 0, 0, 0, 0)
	binary.LittleEndian.PutUint16(out[4:], snapshotVersion)
	binary.LittleEndian.PutUint32(out[8:], uint32(len(p)))
	out = append(out, p...)
	return binary.LittleEndian.AppendUint32(out, crc32.Checksum(out, castagnoli))
}

// What is amiss with a snapshot.
var (
	errNotSnapshot   = errors.New("not a snapshot of statements")
	errTruncated     = errors.New("it is cut short, or goes on behind its end")
	errChecksum      = errors.New("its checksum differs")
	errInvalidValues = errors.New("it holds figures that can't be")
)

// DecodeSnapshot reads a snapshot; one of another version, cut short or changed is refused as a whole.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	const head, tail = 12, 4
	switch {
	case len(b) < head+tail || string(b[:4]) != snapshotMagic:
		return nil, errNotSnapshot
	case binary.LittleEndian.Uint16(b[4:]) != snapshotVersion:
		return nil, fmt.Errorf("version %d of the form, this program knows %d", binary.LittleEndian.Uint16(b[4:]), snapshotVersion)
	case int64(binary.LittleEndian.Uint32(b[8:])) != int64(len(b)-head-tail) || len(b) > maxSnapshotBytes:
		return nil, errTruncated
	case crc32.Checksum(b[:len(b)-tail], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-tail:]):
		return nil, errChecksum
	}
	d := decoder{rest: b[head : len(b)-tail]}
	s := &Snapshot{}
	for range d.count(17) {
		name := string(d.take(d.count(1)))
		s.classes = append(s.classes, savedClass{name, d.float(), d.float()})
	}
	if d.count(1) != regressionTerms {
		return nil, errInvalidValues
	}
	d.floats(s.weights[:])
	d.floats(s.covariance[:])
	for range d.count(2) {
		s.groups = append(s.groups, savedGroup{d.number(math.MaxInt32), d.number(math.MaxInt32)})
	}
	for range d.count(100) {
		var r savedRecord
		r.key = binary.LittleEndian.Uint64(d.take(8))
		r.age = int64(d.number(math.MaxInt32))
		r.observations, r.uncertainFor, r.loads, r.skewPlace = d.number(math.MaxInt32), d.number(uncertainAfterLoad), d.number(math.MaxInt32), d.number(skewPlaces)
		r.memory, r.memoryPeak, r.shiftUp, r.shiftDown, r.baseline, r.deviation = d.float(), d.float(), d.float(), d.float(), d.float(), d.float()
		d.floats(r.recent[:])
		r.trend = trend{d.float(), d.float(), d.float(), d.float(), d.float()}
		for range d.count(2) {
			step, c := d.number(sketchSteps-1), d.number(math.MaxUint16)
			r.sketch.total += uint32(c) - uint32(r.sketch.counts[step])
			r.sketch.counts[step] = uint16(c)
		}
		s.records = append(s.records, r)
	}
	if d.failed || len(d.rest) > 0 {
		return nil, errInvalidValues
	}
	return s, nil
}

// decoder reads a payload; after the first thing amiss it reads zeros.
type decoder struct {
	rest   []byte
	failed bool
}

var zeros [8]byte

func (d *decoder) take(n int) []byte {
	if n > len(d.rest) {
		d.failed, d.rest = true, nil
		return zeros[:min(n, len(zeros))]
	}
	out := d.rest[:n]
	d.rest = d.rest[n:]
	return out
}

func (d *decoder) number(most int) int {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || v > uint64(most) {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return int(v)
}

// count reads how many things follow that take at least so many bytes each.
func (d *decoder) count(each int) int { return d.number(len(d.rest) / each) }

func (d *decoder) float() float64 {
	v := math.Float64frombits(binary.LittleEndian.Uint64(d.take(8)))
	if math.IsNaN(v) || math.Abs(v) > 1e18 {
		d.failed = true
		return 0
	}
	return v
}

func (d *decoder) floats(to []float64) {
	for i := range to {
		to[i] = d.float()
	}
}
