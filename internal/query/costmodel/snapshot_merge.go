package costmodel

import (
	"cmp"
	"slices"

	"gonum.org/v1/gonum/mat"
)

// MergeSnapshots makes one snapshot of those of several gateways.
func MergeSnapshots(list ...*Snapshot) *Snapshot {
	out := &Snapshot{}
	lanes, groups, records := map[string]int{}, map[int]int{}, map[uint64]int{}
	for _, s := range list {
		for _, l := range s.classes {
			i, ok := lanes[l.name]
			if !ok {
				lanes[l.name] = len(out.classes)
				out.classes = append(out.classes, l)
				continue
			}
			o := &out.classes[i]
			if o.count+l.count > 0 {
				o.mean = (o.mean*o.count + l.mean*l.count) / (o.count + l.count)
			}
			o.count += l.count
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
	for i := range out.classes {
		out.classes[i].count = min(out.classes[i].count, maxClassObservations)
	}
	slices.SortFunc(out.groups, func(a, b savedGroup) int { return cmp.Compare(a.group, b.group) })
	slices.SortFunc(out.records, func(a, b savedRecord) int { return cmp.Compare(a.key, b.key) })
	out.mergeRegressions(list)
	return out
}

// merge takes in what another gateway knows of the same shape and group: sketches add up, and what depends on the order
// of answers (the change detector, the trend over that gateway's own loads) is that of the one with more of them.
func (r *savedRecord) merge(o *savedRecord) {
	sketch, n := r.sketch, r.observations+o.observations
	sketch.Merge(&o.sketch)
	memory := (r.memory*float64(r.observations) + o.memory*float64(o.observations)) / float64(max(1, n))
	most, age, loads := max(r.memoryPeak, o.memoryPeak), min(r.age, o.age), r.loads+o.loads
	if o.observations > r.observations {
		r.record = o.record
	}
	r.sketch, r.observations, r.memory, r.memoryPeak, r.age, r.loads = sketch, n, memory, most, age, loads
	r.trend = trend{} // begins anew over all gateways' loads
	if r.skewPlace != o.skewPlace && o.skewPlace > 0 {
		r.skewPlace = 0 // they split by different literals: searched for again
	}
}

// mergeRegressions joins the regressions: what each has learned beyond the common beginning adds up in precision. Where rounding has
// spoilt one, the mean of the weights stands with the wider scatter.
func (s *Snapshot) mergeRegressions(list []*Snapshot) {
	var begin regression
	begin.reset()
	information := func(p *mat.SymDense) (*mat.SymDense, bool) {
		var c mat.Cholesky
		if !c.Factorize(p) {
			return nil, false
		}
		out := mat.NewSymDense(regressionTerms, nil)
		return out, c.InverseTo(out) == nil
	}
	prior, _ := information(begin.covariance)
	sum, weighted := mat.NewSymDense(regressionTerms, nil), mat.NewVecDense(regressionTerms, nil)
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
		one.restoreRegression(&r)
		p, ok := information(r.covariance)
		if good = good && ok; ok {
			add(p, r.weights, 1)
		}
	}
	if good {
		add(prior, begin.weights, -float64(len(list)-1))
		p, ok := information(sum)
		if good = ok; ok {
			begin.covariance = p
			begin.weights.MulVec(p, weighted)
		}
	}
	if !good {
		begin.reset()
		begin.weights.Zero()
		for _, one := range list {
			for i := range regressionTerms {
				begin.weights.SetVec(i, begin.weights.AtVec(i)+one.weights[i]/float64(len(list)))
			}
		}
	}
	k := 0
	for i := range regressionTerms {
		s.weights[i] = begin.weights.AtVec(i)
		for j := i; j < regressionTerms; j++ {
			s.covariance[k] = begin.covariance.At(i, j)
			k++
		}
	}
}
