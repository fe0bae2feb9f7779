package costmodel

import "math"

// Observe takes in what a statement cost in milliseconds, and the MB it needed (0: not told).
func (m *Model) Observe(s *Query, ms, memory float64) {
	if !(ms > 0) || math.IsInf(ms, 0) {
		return
	}
	y := math.Log(max(ms, minMillis))
	const wrong = 3 // what a class of costs spans, as a rule
	if e := m.Estimate(s); e.Known && (ms > wrong*e.WorkMillis || ms < e.WorkMillis/wrong) {
		m.Mispredicted.Add(1)
	}
	m.Observations.Add(1)
	m.mu.Lock()
	loads := 0
	if g := m.groups[s.Group]; g != nil {
		loads = g.loads
	}
	m.mu.Unlock()
	key := costKey(s.Shape, s.Group)
	fresh, place, usual := true, 0, y
	m.updateRecord(key, loads, func(r *record) {
		fresh = r.observations < 6
		r.observe(y, ms, memory, loads, &m.Shifts)
		usual = r.typicalLog(y)
		m.searchSkew(r, &s.literals, y)
		place = r.skewPlace
	})
	if place > 0 && place <= s.literals.Count*skewGroupings {
		m.updateRecord(splitKey(key, &s.literals, place), loads, func(r *record) { r.observe(y, ms, memory, loads, &m.Shifts) })
	}
	m.mu.Lock()
	if fresh { // further answers of a shape teach nothing of others
		lane := &m.classes[s.Class]
		lane.count = min(lane.count+1, maxClassObservations)
		lane.mean += (y - lane.mean) / lane.count
		m.regression.update(&s.info.input, usual-lane.mean)
	}
	m.mu.Unlock()
}

// updateRecord calls f with the record of a key, a new one where there is none.
func (m *Model) updateRecord(key uint64, loads int, f func(r *record)) {
	hours := m.hours.Load()
	if m.records.Visit(key, func(r *record) {
		for ; hours-r.hours >= halfLifeHours; r.hours += halfLifeHours {
			r.sketch.Fade()
			if r.sketch.Count() == 0 {
				r.hours = hours
			}
		}
		f(r)
	}) {
		return
	}
	r := &record{loads: loads, hours: hours}
	f(r)
	if gone, _ := m.records.Put(key, r); gone != nil && gone.skew != nil {
		m.skewSearches.Add(-1)
	}
}
