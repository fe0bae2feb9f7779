package costmodel

import (
	"cmp"
	"math"
	"slices"
)

// Snapshot is what a book has learned, without the shapes themselves, which are read again when they come. docs/statements.md
// has its form byte by byte.
type Snapshot struct {
	classes    []savedClass
	weights    [regressionTerms]float64
	covariance [regressionTerms * (regressionTerms + 1) / 2]float64 // of the weights, the rows' parts from the diagonal on
	groups     []savedGroup
	records    []savedRecord
}

type (
	savedClass struct {
		name        string
		mean, count float64
	}
	savedGroup  struct{ group, loads int }
	savedRecord struct {
		key uint64
		age int64 // hours since its old answers faded
		record
	}
)

// Snapshot is a snapshot of a book whose lanes have these names.
func (m *Model) Snapshot(lanes []string) *Snapshot {
	s := &Snapshot{}
	m.mu.Lock()
	for i, l := range m.classes {
		s.classes = append(s.classes, savedClass{lanes[i], l.mean, l.count})
	}
	k := 0
	for i := range regressionTerms {
		s.weights[i] = m.regression.weights.AtVec(i)
		for j := i; j < regressionTerms; j++ {
			s.covariance[k] = m.regression.covariance.At(i, j)
			k++
		}
	}
	for g, t := range m.groups {
		s.groups = append(s.groups, savedGroup{g, t.loads})
	}
	m.mu.Unlock()
	hours := m.hours.Load()
	m.records.VisitAll(func(key uint64, r *record) {
		known := savedRecord{key: key, age: max(0, hours-r.hours), record: *r}
		known.skew, known.hours = nil, 0
		s.records = append(s.records, known)
	})
	slices.SortFunc(s.groups, func(a, m savedGroup) int { return cmp.Compare(a.group, m.group) })
	slices.SortFunc(s.records, func(a, m savedRecord) int { return cmp.Compare(a.key, m.key) })
	return s
}

// Restore has an empty book know what a snapshot says. Lanes are found by their names; those with most answers come first
// where not all records have room.
func (m *Model) Restore(s *Snapshot, lanes []string) {
	m.mu.Lock()
	for _, l := range s.classes {
		if i := slices.Index(lanes, l.name); i >= 0 {
			m.classes[i] = classCost{l.mean, l.count}
		}
	}
	s.restoreRegression(&m.regression)
	for _, g := range s.groups {
		m.groups[g.group] = &tableGroup{loads: g.loads}
	}
	m.mu.Unlock()
	byAnswers := slices.Clone(s.records)
	slices.SortStableFunc(byAnswers, func(a, m savedRecord) int { return cmp.Compare(m.observations, a.observations) })
	for i := range byAnswers {
		r := byAnswers[i].record
		r.hours = -byAnswers[i].age
		m.records.Put(byAnswers[i].key, &r)
	}
}

func (s *Snapshot) restoreRegression(to *regression) {
	if to.weights == nil {
		to.reset()
	}
	k := 0
	for i := range regressionTerms {
		to.weights.SetVec(i, s.weights[i])
		for j := i; j < regressionTerms; j++ {
			to.covariance.SetSym(i, j, s.covariance[k])
			k++
		}
	}
}

// CountRecords tells how many shapes on groups of tables it knows, and how many answers they rest on.
func (s *Snapshot) CountRecords() (records, answers int) {
	for i := range s.records {
		answers += s.records[i].observations
	}
	return len(s.records), answers
}

// ClassNames are the names of its lanes.
func (s *Snapshot) ClassNames() (out []string) {
	for _, l := range s.classes {
		out = append(out, l.name)
	}
	return out
}

// UsualMillis is what a shape on a group of tables usually takes in milliseconds, as far as the snapshot knows it.
func (s *Snapshot) UsualMillis(shape uint64, group int) (ms float64, ok bool) {
	key := recordKey(shape, group)
	i, ok := slices.BinarySearchFunc(s.records, key, func(r savedRecord, key uint64) int { return cmp.Compare(r.key, key) })
	if !ok || s.records[i].sketch.Count() == 0 {
		return 0, false
	}
	usual, _, _, _ := s.records[i].sketch.SplitModes()
	return math.Exp(usual), true
}
