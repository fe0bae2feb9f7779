package costmodel

import "math"

const (
	// mispredictedFactor is the factor between estimate and observation above which an estimate counts as wrong. The
	// costs of one class usually span this factor.
	mispredictedFactor = 3
	// maxSharedObservations is the number of observations of a record that also update the class and the regression.
	// Further ones contain no information about other shapes.
	maxSharedObservations = 6
)

// observation is the measured cost of one finished query.
type observation struct {
	millis    float64
	logMillis float64
	memoryMB  float64 // 0: unknown
	loads     int     // number of loads that had ended on the group of tables
}

// Observe updates the model with the cost of a finished query: the work in milliseconds, and the memory, which is 0
// if it is unknown. It ignores work that is not a positive, finite number.
func (m *Model) Observe(q *Query, millis, memoryMB float64) {
	if !(millis > 0) || math.IsInf(millis, 0) {
		return
	}
	e := m.Estimate(q)
	if e.Known && (millis > mispredictedFactor*e.WorkMillis || millis < e.WorkMillis/mispredictedFactor) {
		m.Mispredicted.Add(1)
	}
	m.Observations.Add(1)
	m.mu.Lock()
	loads := m.loadsOf(q.Group)
	m.mu.Unlock()
	observed := observation{millis: millis, logMillis: math.Log(max(millis, minMillis)), memoryMB: memoryMB, loads: loads}
	key := recordKey(q.Shape, q.Group)
	updateShared, grouping, typical := true, 0, observed.logMillis
	m.updateRecord(key, loads, func(r *record) {
		updateShared = r.observations < maxSharedObservations
		r.observe(observed, &m.Shifts)
		typical = r.typicalLog(observed.logMillis)
		m.searchSkew(r, &q.literals, observed.logMillis)
		grouping = r.skewGrouping
	})
	if grouping > 0 && grouping <= q.literals.Count*skewHashesPerLiteral {
		m.updateRecord(splitKey(key, &q.literals, grouping), loads, func(r *record) { r.observe(observed, &m.Shifts) })
	}
	if !updateShared {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	class := &m.classes[q.Class]
	class.count = min(class.count+1, maxClassObservations)
	class.mean += (observed.logMillis - class.mean) / class.count
	m.regression.update(&q.info.regressionInput, typical-class.mean)
}

// updateRecord calls update with the record of a key, after applying the decay of its old observations. If there is
// none, it calls update with a new record and offers that to the cache.
func (m *Model) updateRecord(key uint64, loads int, update func(r *record)) {
	hours := m.ageHours.Load()
	known := m.records.Visit(key, func(r *record) {
		r.fade(hours)
		update(r)
	})
	if known {
		return
	}
	r := &record{loads: loads, decayedAtHours: hours}
	update(r)
	evicted, _ := m.records.Put(key, r)
	if evicted != nil && evicted.skew != nil {
		m.skewSearches.Add(-1)
	}
}
