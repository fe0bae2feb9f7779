package costmodel

import "gonum.org/v1/gonum/mat"

// MergeSnapshots merges the snapshots of several gateways into one.
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

// snapshotMerger builds a merged snapshot. The maps hold the indices of its classes by name, its groups by number and
// its records by key.
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

// addGroup adds the loads of a group. Each gateway counts the loads that it forwarded itself, so the merged number is
// the sum.
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

// merge adds another gateway's record of the same shape and group of tables. The sketches are added. State that
// depends on the order of the observations, such as that of the shift detector, comes from the record with more
// observations.
func (r *savedRecord) merge(other *savedRecord) {
	sketch, observations := r.sketch, r.observations+other.observations
	sketch.Merge(&other.sketch)
	memory := (r.memory*float64(r.observations) + other.memory*float64(other.observations)) / float64(max(1, observations))
	memoryPeak, age, loads := max(r.memoryPeak, other.memoryPeak), min(r.hoursToDecay, other.hoursToDecay), r.loads+other.loads
	if other.observations > r.observations {
		r.record = other.record
	}
	r.sketch, r.observations = sketch, observations
	r.memory, r.memoryPeak = memory, memoryPeak
	r.hoursToDecay, r.loads = age, loads
	r.trend = trend{} // it restarts, because the numbers of loads are now those of all gateways
	if r.skewGrouping != other.skewGrouping && other.skewGrouping > 0 {
		r.skewGrouping = 0 // the gateways found different literals, so the search restarts
	}
}

// mergeRegressions merges the regressions of snapshots by adding up what each has learned beyond the prior that all
// start from. If rounding errors have made one of their covariance matrices singular, the result has the mean of the
// weights and the covariance of the prior.
func (s *Snapshot) mergeRegressions(list []*Snapshot) {
	merged, ok := mergeByPrecision(list)
	if !ok {
		merged = meanOfWeights(list)
	}
	s.saveRegression(merged)
}

// precisionSum is a sum of precision matrices, the inverses of covariance matrices, and the sum of their products
// with the weights.
type precisionSum struct {
	precision *mat.SymDense
	weighted  *mat.VecDense
}

func (p *precisionSum) add(precision *mat.SymDense, weights *mat.VecDense, factor float64) {
	var scaled mat.SymDense
	scaled.ScaleSym(factor, precision)
	p.precision.AddSym(p.precision, &scaled)
	var product mat.VecDense
	product.MulVec(precision, weights)
	p.weighted.AddScaledVec(p.weighted, factor, &product)
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

// mergeByPrecision adds up the precision matrices of the regressions. Each contains the prior, so the prior is
// subtracted once less than there are regressions. ok is false if the list is empty or a matrix can't be inverted.
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

// meanOfWeights returns a regression with the mean of the weights and the covariance of the prior.
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
