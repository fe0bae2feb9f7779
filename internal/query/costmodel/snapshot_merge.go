package costmodel

import "gonum.org/v1/gonum/mat"

// MergeSnapshots makes one snapshot of those of several gateways.
func MergeSnapshots(list ...*Snapshot) *Snapshot {
	merged := &snapshotMerger{
		out:     &Snapshot{},
		classes: map[string]int{},
		groups:  map[int]int{},
		records: map[uint64]int{},
	}
	for _, s := range list {
		for _, class := range s.classes {
			merged.addClass(class)
		}
		for _, group := range s.groups {
			merged.addGroup(group)
		}
		for i := range s.records {
			merged.addRecord(&s.records[i])
		}
	}
	out := merged.out
	for i := range out.classes {
		out.classes[i].count = min(out.classes[i].count, maxClassObservations)
	}
	out.sort()
	out.mergeRegressions(list)
	return out
}

// snapshotMerger collects a snapshot, and knows at which index each of its parts is.
type snapshotMerger struct {
	out     *Snapshot
	classes map[string]int
	groups  map[int]int
	records map[uint64]int
}

func (m *snapshotMerger) addClass(class savedClass) {
	i, ok := m.classes[class.name]
	if !ok {
		m.classes[class.name] = len(m.out.classes)
		m.out.classes = append(m.out.classes, class)
		return
	}
	into := &m.out.classes[i]
	if into.count+class.count > 0 {
		into.mean = (into.mean*into.count + class.mean*class.count) / (into.count + class.count)
	}
	into.count += class.count
}

// addGroup adds the loads of a group: each gateway counts those that it forwarded, so the sum is that of all.
func (m *snapshotMerger) addGroup(group savedGroup) {
	i, ok := m.groups[group.group]
	if !ok {
		m.groups[group.group] = len(m.out.groups)
		m.out.groups = append(m.out.groups, group)
		return
	}
	m.out.groups[i].loads += group.loads
}

func (m *snapshotMerger) addRecord(record *savedRecord) {
	i, ok := m.records[record.key]
	if !ok {
		m.records[record.key] = len(m.out.records)
		m.out.records = append(m.out.records, *record)
		return
	}
	m.out.records[i].merge(record)
}

// merge adds another gateway's record of the same shape and group. Sketches add up; what depends on the order of the
// observations, such as the shift detector, is that of the record with more of them.
func (r *savedRecord) merge(other *savedRecord) {
	sketch, observations := r.sketch, r.observations+other.observations
	sketch.Merge(&other.sketch)
	memory := (r.memory*float64(r.observations) + other.memory*float64(other.observations)) / float64(max(1, observations))
	memoryPeak, age, loads := max(r.memoryPeak, other.memoryPeak), min(r.age, other.age), r.loads+other.loads
	if other.observations > r.observations {
		r.record = other.record
	}
	r.sketch, r.observations = sketch, observations
	r.memory, r.memoryPeak = memory, memoryPeak
	r.age, r.loads = age, loads
	r.trend = trend{} // it starts anew, over the loads of all gateways
	if r.skewPlace != other.skewPlace && other.skewPlace > 0 {
		r.skewPlace = 0 // the gateways found different literals, so the search starts anew
	}
}

// mergeRegressions merges the regressions: what each has learned beyond the common prior adds up in precision. If
// rounding has made one of them singular, the result has the mean of the weights and the prior's covariance.
func (s *Snapshot) mergeRegressions(list []*Snapshot) {
	merged, ok := mergeByPrecision(list)
	if !ok {
		merged = meanOfWeights(list)
	}
	s.saveRegression(merged)
}

// precisionSum sums up precision matrices, and the weights multiplied by them.
type precisionSum struct {
	precision *mat.SymDense
	weighted  *mat.VecDense
}

func (p *precisionSum) add(precision *mat.SymDense, weights *mat.VecDense, times float64) {
	var scaled mat.SymDense
	scaled.ScaleSym(times, precision)
	p.precision.AddSym(p.precision, &scaled)
	var product mat.VecDense
	product.MulVec(precision, weights)
	p.weighted.AddScaledVec(p.weighted, times, &product)
}

// invert inverts a symmetric matrix; ok is false if it is not positive definite.
func invert(matrix *mat.SymDense) (inverse *mat.SymDense, ok bool) {
	var cholesky mat.Cholesky
	if !cholesky.Factorize(matrix) {
		return nil, false
	}
	inverse = mat.NewSymDense(regressionTerms, nil)
	return inverse, cholesky.InverseTo(inverse) == nil
}

func mergeByPrecision(list []*Snapshot) (merged *regression, ok bool) {
	if len(list) == 0 {
		return nil, false
	}
	merged = &regression{}
	merged.reset()
	prior, ok := invert(merged.covariance)
	if !ok {
		return nil, false
	}
	sum := precisionSum{mat.NewSymDense(regressionTerms, nil), mat.NewVecDense(regressionTerms, nil)}
	for _, s := range list {
		var one regression
		s.restoreRegression(&one)
		precision, ok := invert(one.covariance)
		if !ok {
			return nil, false
		}
		sum.add(precision, one.weights, 1)
	}
	sum.add(prior, merged.weights, -float64(len(list)-1))
	covariance, ok := invert(sum.precision)
	if !ok {
		return nil, false
	}
	merged.covariance = covariance
	merged.weights.MulVec(covariance, sum.weighted)
	return merged, true
}

func meanOfWeights(list []*Snapshot) *regression {
	mean := &regression{}
	mean.reset()
	mean.weights.Zero()
	for _, s := range list {
		for i := range regressionTerms {
			mean.weights.SetVec(i, mean.weights.AtVec(i)+s.weights[i]/float64(len(list)))
		}
	}
	return mean
}
