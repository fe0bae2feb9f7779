package costmodel

import "math"

const (
	// mispredictedFactor is the factor between estimate and observation above which an estimate counts as wrong. The
	// costs of one class usually span this factor.
	mispredictedFactor = 3
	// sharedObservations is the number of observations of a record that also update the class and the regression.
	// Further ones contain no information about other shapes.
	sharedObservations = 6
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
	seen := observation{millis: millis, logMillis: math.Log(max(millis, minMillis)), memoryMB: memoryMB, loads: loads}
	key := recordKey(q.Shape, q.Group)
	shared, place, typical := true, 0, seen.logMillis
	m.updateRecord(key, loads, func(r *record) {
		shared = r.observations < sharedObservations
		r.observe(seen, &m.Shifts)
		typical = r.typicalLog(seen.logMillis)
		m.searchSkew(r, &q.literals, seen.logMillis)
		place = r.skewPlace
	})
	if place > 0 && place <= q.literals.Count*skewGroupings {
		m.updateRecord(splitKey(key, &q.literals, place), loads, func(r *record) { r.observe(seen, &m.Shifts) })
	}
	if !shared {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	class := &m.classes[q.Class]
	class.count = min(class.count+1, maxClassObservations)
	class.mean += (seen.logMillis - class.mean) / class.count
	m.regression.update(&q.info.input, typical-class.mean)
}

// updateRecord calls update with the record of a key, after applying the decay of its old observations. If there is
// none, it calls update with a new record and offers that to the cache.
func (m *Model) updateRecord(key uint64, loads int, update func(r *record)) {
	hours := m.hours.Load()
	known := m.records.Visit(key, func(r *record) {
		r.fade(hours)
		update(r)
	})
	if known {
		return
	}
	r := &record{loads: loads, hours: hours}
	update(r)
	evicted, _ := m.records.Put(key, r)
	if evicted != nil && evicted.skew != nil {
		m.skewSearches.Add(-1)
	}
}
