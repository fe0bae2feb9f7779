package costmodel

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// Snapshot is what a book has learned, without the shapes themselves, which are read again when they come. docs/statements.md
// has its form byte by byte.
type Snapshot struct {
	lanes   []laneKnown
	weights [terms]float64
	scatter [terms * (terms + 1) / 2]float64 // of the weights, the rows' parts from the diagonal on
	groups  []groupKnown
	records []recordKnown
}

type (
	laneKnown struct {
		name    string
		mean, n float64
	}
	groupKnown  struct{ group, loads int }
	recordKnown struct {
		key uint64
		age int64 // hours since its old answers faded
		record
	}
)

// snapshotVersion is raised with every change of the form, the regression's terms or the sketch's steps.
const snapshotVersion = 1

const snapshotMagic = "MPST"

// mostSnapshot bounds what is read: a book of 1 GB writes less.
const mostSnapshot = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Snapshot is a snapshot of a book whose lanes have these names.
func (b *Model) Snapshot(lanes []string) *Snapshot {
	s := &Snapshot{}
	b.mu.Lock()
	for i, l := range b.lanes {
		s.lanes = append(s.lanes, laneKnown{lanes[i], l.mean, l.n})
	}
	k := 0
	for i := range terms {
		s.weights[i] = b.shared.w.AtVec(i)
		for j := i; j < terms; j++ {
			s.scatter[k] = b.shared.p.At(i, j)
			k++
		}
	}
	for g, t := range b.groups {
		s.groups = append(s.groups, groupKnown{g, t.loads})
	}
	b.mu.Unlock()
	hours := b.hours.Load()
	b.costs.VisitAll(func(key uint64, r *record) {
		known := recordKnown{key: key, age: max(0, hours-r.hours), record: *r}
		known.skew, known.hours = nil, 0
		s.records = append(s.records, known)
	})
	slices.SortFunc(s.groups, func(a, b groupKnown) int { return cmp.Compare(a.group, b.group) })
	slices.SortFunc(s.records, func(a, b recordKnown) int { return cmp.Compare(a.key, b.key) })
	return s
}

// Restore has an empty book know what a snapshot says. Lanes are found by their names; those with most answers come first
// where not all records have room.
func (b *Model) Restore(s *Snapshot, lanes []string) {
	b.mu.Lock()
	for _, l := range s.lanes {
		if i := slices.Index(lanes, l.name); i >= 0 {
			b.lanes[i] = laneCost{l.mean, l.n}
		}
	}
	s.regression(&b.shared)
	for _, g := range s.groups {
		b.groups[g.group] = &tablesGroup{loads: g.loads}
	}
	b.mu.Unlock()
	byAnswers := slices.Clone(s.records)
	slices.SortStableFunc(byAnswers, func(a, b recordKnown) int { return cmp.Compare(b.n, a.n) })
	for i := range byAnswers {
		r := byAnswers[i].record
		r.hours = -byAnswers[i].age
		b.costs.Put(byAnswers[i].key, &r)
	}
}

func (s *Snapshot) regression(to *regression) {
	if to.w == nil {
		to.begin()
	}
	k := 0
	for i := range terms {
		to.w.SetVec(i, s.weights[i])
		for j := i; j < terms; j++ {
			to.p.SetSym(i, j, s.scatter[k])
			k++
		}
	}
}

// CountRecords tells how many shapes on groups of tables it knows, and how many answers they rest on.
func (s *Snapshot) CountRecords() (records, answers int) {
	for i := range s.records {
		answers += s.records[i].n
	}
	return len(s.records), answers
}

// ClassNames are the names of its lanes.
func (s *Snapshot) ClassNames() (out []string) {
	for _, l := range s.lanes {
		out = append(out, l.name)
	}
	return out
}

// UsualMillis is what a shape on a group of tables usually takes in milliseconds, as far as the snapshot knows it.
func (s *Snapshot) UsualMillis(shape uint64, group int) (ms float64, ok bool) {
	key := costKey(shape, group)
	i, ok := slices.BinarySearchFunc(s.records, key, func(r recordKnown, key uint64) int { return cmp.Compare(r.key, key) })
	if !ok || s.records[i].sketch.Count() == 0 {
		return 0, false
	}
	usual, _, _, _ := s.records[i].sketch.SplitModes()
	return math.Exp(usual), true
}

// MergeSnapshots makes one snapshot of those of several gateways.
func MergeSnapshots(list ...*Snapshot) *Snapshot {
	out := &Snapshot{}
	lanes, groups, records := map[string]int{}, map[int]int{}, map[uint64]int{}
	for _, s := range list {
		for _, l := range s.lanes {
			i, ok := lanes[l.name]
			if !ok {
				lanes[l.name] = len(out.lanes)
				out.lanes = append(out.lanes, l)
				continue
			}
			o := &out.lanes[i]
			if o.n+l.n > 0 {
				o.mean = (o.mean*o.n + l.mean*l.n) / (o.n + l.n)
			}
			o.n += l.n
		}
		for _, g := range s.groups { // each gateway sees the loads that it handed off: together they are the sum
			if i, ok := groups[g.group]; ok {
				out.groups[i].loads += g.loads
			} else {
				groups[g.group] = len(out.groups)
				out.groups = append(out.groups, g)
			}
		}
		for i := range s.records {
			r := &s.records[i]
			if k, ok := records[r.key]; ok {
				out.records[k].merge(r)
			} else {
				records[r.key] = len(out.records)
				out.records = append(out.records, *r)
			}
		}
	}
	for i := range out.lanes {
		out.lanes[i].n = min(out.lanes[i].n, mostLane)
	}
	slices.SortFunc(out.groups, func(a, b groupKnown) int { return cmp.Compare(a.group, b.group) })
	slices.SortFunc(out.records, func(a, b recordKnown) int { return cmp.Compare(a.key, b.key) })
	out.fuse(list)
	return out
}

// merge takes in what another gateway knows of the same shape and group: sketches add up, and what depends on the order
// of answers (the change detector, the trend over that gateway's own loads) is that of the one with more of them.
func (r *recordKnown) merge(o *recordKnown) {
	sketch, n := r.sketch, r.n+o.n
	sketch.Merge(&o.sketch)
	memory := (r.memory*float64(r.n) + o.memory*float64(o.n)) / float64(max(1, n))
	most, age, loads := max(r.most, o.most), min(r.age, o.age), r.loads+o.loads
	if o.n > r.n {
		r.record = o.record
	}
	r.sketch, r.n, r.memory, r.most, r.age, r.loads = sketch, n, memory, most, age, loads
	r.trend = trend{} // begins anew over all gateways' loads
	if r.place != o.place && o.place > 0 {
		r.place = 0 // they split by different literals: searched for again
	}
}

// fuse joins the regressions: what each has learned beyond the common beginning adds up in precision. Where rounding has
// spoilt one, the mean of the weights stands with the wider scatter.
func (s *Snapshot) fuse(list []*Snapshot) {
	var begin regression
	begin.begin()
	information := func(p *mat.SymDense) (*mat.SymDense, bool) {
		var c mat.Cholesky
		if !c.Factorize(p) {
			return nil, false
		}
		out := mat.NewSymDense(terms, nil)
		return out, c.InverseTo(out) == nil
	}
	prior, _ := information(begin.p)
	sum, weighted := mat.NewSymDense(terms, nil), mat.NewVecDense(terms, nil)
	add := func(p *mat.SymDense, w *mat.VecDense, times float64) {
		var scaled mat.SymDense
		scaled.ScaleSym(times, p)
		sum.AddSym(sum, &scaled)
		var v mat.VecDense
		v.MulVec(p, w)
		weighted.AddScaledVec(weighted, times, &v)
	}
	good := len(list) > 0
	for _, one := range list {
		var r regression
		one.regression(&r)
		p, ok := information(r.p)
		if good = good && ok; ok {
			add(p, r.w, 1)
		}
	}
	if good {
		add(prior, begin.w, -float64(len(list)-1))
		p, ok := information(sum)
		if good = ok; ok {
			begin.p = p
			begin.w.MulVec(p, weighted)
		}
	}
	if !good {
		begin.begin()
		begin.w.Zero()
		for _, one := range list {
			for i := range terms {
				begin.w.SetVec(i, begin.w.AtVec(i)+one.weights[i]/float64(len(list)))
			}
		}
	}
	k := 0
	for i := range terms {
		s.weights[i] = begin.w.AtVec(i)
		for j := i; j < terms; j++ {
			s.scatter[k] = begin.p.At(i, j)
			k++
		}
	}
}

// Encode writes a snapshot.
func (s *Snapshot) Encode() []byte {
	var p []byte
	number := func(v int) { p = binary.AppendUvarint(p, uint64(max(0, v))) }
	float := func(list ...float64) {
		for _, v := range list {
			p = binary.LittleEndian.AppendUint64(p, math.Float64bits(v))
		}
	}
	number(len(s.lanes))
	for _, l := range s.lanes {
		number(len(l.name))
		p = append(p, l.name...)
		float(l.mean, l.n)
	}
	number(terms)
	float(s.weights[:]...)
	float(s.scatter[:]...)
	number(len(s.groups))
	for _, g := range s.groups {
		number(g.group)
		number(g.loads)
	}
	number(len(s.records))
	for i := range s.records {
		r := &s.records[i]
		p = binary.LittleEndian.AppendUint64(p, r.key)
		for _, v := range []int{int(r.age), r.n, r.doubt, r.loads, r.place} {
			number(v)
		}
		float(r.memory, r.most, r.up, r.down, r.base, r.dev)
		float(r.recent[:]...)
		float(r.trend.n, r.trend.x, r.trend.y, r.trend.xx, r.trend.xy)
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
	errNoSnapshot = errors.New("not a snapshot of statements")
	errCut        = errors.New("it is cut short, or goes on behind its end")
	errSum        = errors.New("its checksum differs")
	errFigures    = errors.New("it holds figures that can't be")
)

// DecodeSnapshot reads a snapshot; one of another version, cut short or changed is refused as a whole.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	const head, tail = 12, 4
	switch {
	case len(b) < head+tail || string(b[:4]) != snapshotMagic:
		return nil, errNoSnapshot
	case binary.LittleEndian.Uint16(b[4:]) != snapshotVersion:
		return nil, fmt.Errorf("version %d of the form, this program knows %d", binary.LittleEndian.Uint16(b[4:]), snapshotVersion)
	case int64(binary.LittleEndian.Uint32(b[8:])) != int64(len(b)-head-tail) || len(b) > mostSnapshot:
		return nil, errCut
	case crc32.Checksum(b[:len(b)-tail], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-tail:]):
		return nil, errSum
	}
	d := decoder{b: b[head : len(b)-tail]}
	s := &Snapshot{}
	for range d.count(17) {
		name := string(d.take(d.count(1)))
		s.lanes = append(s.lanes, laneKnown{name, d.float(), d.float()})
	}
	if d.count(1) != terms {
		return nil, errFigures
	}
	d.floats(s.weights[:])
	d.floats(s.scatter[:])
	for range d.count(2) {
		s.groups = append(s.groups, groupKnown{d.number(math.MaxInt32), d.number(math.MaxInt32)})
	}
	for range d.count(100) {
		var r recordKnown
		r.key = binary.LittleEndian.Uint64(d.take(8))
		r.age = int64(d.number(math.MaxInt32))
		r.n, r.doubt, r.loads, r.place = d.number(math.MaxInt32), d.number(doubtFor), d.number(math.MaxInt32), d.number(skewPlaces)
		r.memory, r.most, r.up, r.down, r.base, r.dev = d.float(), d.float(), d.float(), d.float(), d.float(), d.float()
		d.floats(r.recent[:])
		r.trend = trend{d.float(), d.float(), d.float(), d.float(), d.float()}
		for range d.count(2) {
			step, c := d.number(steps-1), d.number(math.MaxUint16)
			r.sketch.total += uint32(c) - uint32(r.sketch.counts[step])
			r.sketch.counts[step] = uint16(c)
		}
		s.records = append(s.records, r)
	}
	if d.bad || len(d.b) > 0 {
		return nil, errFigures
	}
	return s, nil
}

// decoder reads a payload; after the first thing amiss it reads zeros.
type decoder struct {
	b   []byte
	bad bool
}

var zeros [8]byte

func (d *decoder) take(n int) []byte {
	if n > len(d.b) {
		d.bad, d.b = true, nil
		return zeros[:min(n, len(zeros))]
	}
	out := d.b[:n]
	d.b = d.b[n:]
	return out
}

func (d *decoder) number(most int) int {
	v, n := binary.Uvarint(d.b)
	if n <= 0 || v > uint64(most) {
		d.bad, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return int(v)
}

// count reads how many things follow that take at least so many bytes each.
func (d *decoder) count(each int) int { return d.number(len(d.b) / each) }

func (d *decoder) float() float64 {
	v := math.Float64frombits(binary.LittleEndian.Uint64(d.take(8)))
	if math.IsNaN(v) || math.Abs(v) > 1e18 {
		d.bad = true
		return 0
	}
	return v
}

func (d *decoder) floats(to []float64) {
	for i := range to {
		to[i] = d.float()
	}
}
