package costmodel

import (
	"cmp"
	"math"
	"slices"
)

// Snapshot is the learned state of a model. It does not contain the features of the shapes: they are read again from
// the next statement of each shape. docs/statements.md describes the encoding byte by byte.
type Snapshot struct {
	classes    []savedClass
	weights    [regressionTerms]float64
	covariance [regressionTerms * (regressionTerms + 1) / 2]float64 // upper triangle of the covariance matrix of the weights, row by row
	groups     []savedGroup                                         // sorted by group
	records    []savedRecord                                        // sorted by key
}

type savedClass struct {
	name        string
	mean, count float64
}

type savedGroup struct{ group, loads int }

type savedRecord struct {
	key          uint64
	hoursToDecay int64 // hours for which the decay of its old observations has not been applied yet
	record
}

// Snapshot returns a snapshot of the model. classes are the names of the model's classes, in their order.
func (m *Model) Snapshot(classes []string) *Snapshot {
	s := &Snapshot{}
	m.mu.Lock()
	for i, class := range m.classes {
		s.classes = append(s.classes, savedClass{classes[i], class.mean, class.count})
	}
	s.saveRegression(&m.regression)
	for group, state := range m.groups {
		s.groups = append(s.groups, savedGroup{group, state.loads})
	}
	m.mu.Unlock()
	hours := m.ageHours.Load()
	m.records.VisitAll(func(key uint64, r *record) {
		saved := savedRecord{key: key, hoursToDecay: max(0, hours-r.decayedAtHours), record: *r}
		saved.skew, saved.decayedAtHours = nil, 0
		s.records = append(s.records, saved)
	})
	s.sort()
	return s
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.groups, func(a, b savedGroup) int { return cmp.Compare(a.group, b.group) })
	slices.SortFunc(s.records, func(a, b savedRecord) int { return cmp.Compare(a.key, b.key) })
}

// Restore sets an empty model to the state in a snapshot. classes are the names of the model's classes, in their
// order. If the model does not have the capacity for all records, those with the most observations are kept.
func (m *Model) Restore(s *Snapshot, classes []string) {
	m.restoreShared(s, classes)
	byObservations := slices.Clone(s.records)
	slices.SortStableFunc(byObservations, func(a, b savedRecord) int { return cmp.Compare(b.observations, a.observations) })
	for i := range byObservations {
		saved := &byObservations[i]
		restored := saved.record
		restored.decayedAtHours = -saved.hoursToDecay
		m.records.Put(saved.key, &restored)
	}
}

// restoreShared restores the state that all shapes share: the classes, the regression and the numbers of loads.
func (m *Model) restoreShared(s *Snapshot, classes []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, saved := range s.classes {
		if i := slices.Index(classes, saved.name); i >= 0 {
			m.classes[i] = classCost{saved.mean, saved.count}
		}
	}
	s.restoreRegression(&m.regression)
	for _, saved := range s.groups {
		m.groups[saved.group] = &tableGroup{loads: saved.loads}
	}
}

func (s *Snapshot) saveRegression(from *regression) {
	next := 0
	for i := range regressionTerms {
		s.weights[i] = from.weights.AtVec(i)
		for j := i; j < regressionTerms; j++ {
			s.covariance[next] = from.covariance.At(i, j)
			next++
		}
	}
}

func (s *Snapshot) restoreRegression(to *regression) {
	if to.weights == nil {
		to.reset()
	}
	next := 0
	for i := range regressionTerms {
		to.weights.SetVec(i, s.weights[i])
		for j := i; j < regressionTerms; j++ {
			to.covariance.SetSym(i, j, s.covariance[next])
			next++
		}
	}
}

// CountRecords returns the number of records, and the number of observations in them.
func (s *Snapshot) CountRecords() (records, observations int) {
	for i := range s.records {
		observations += s.records[i].observations
	}
	return len(s.records), observations
}

// ClassNames returns the names of the snapshot's classes.
func (s *Snapshot) ClassNames() (names []string) {
	for _, class := range s.classes {
		names = append(names, class.name)
	}
	return names
}

// UsualMillis returns the usual work of a shape on a group of tables; ok is false if the snapshot has no observations
// of it.
func (s *Snapshot) UsualMillis(shape uint64, group int) (millis float64, ok bool) {
	i, ok := slices.BinarySearchFunc(s.records, recordKey(shape, group), func(r savedRecord, key uint64) int {
		return cmp.Compare(r.key, key)
	})
	if !ok || s.records[i].sketch.Count() == 0 {
		return 0, false
	}
	usual, _, _, _ := s.records[i].sketch.SplitModes()
	return math.Exp(usual), true
}
