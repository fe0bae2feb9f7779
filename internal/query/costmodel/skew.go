package costmodel

import (
	"math"

	"magpiebank/internal/query/sqltext"
)

// skewSearch watches whether a shape's cost follows one of its literals: answers are summed up by the places of the first
// literals, in groups by the literals' numbers. A group's own record follows once one place explains most of the scatter.
type skewSearch struct {
	counts             [skewPlaces][skewGroups]uint16
	sums               [skewPlaces][skewGroups]float32
	total              float64
	logSum, logSquares float64
}

const (
	// Each literal is grouped in two ways: a dear one that shares its group with another is hidden by it, and 13 of 40 shapes
	// with one dear literal of sixteen, of which another fell into its group, were split by one way alone.
	skewGroupings = 2
	skewPlaces    = skewGroupings * len(sqltext.Literals{}.Hashes)
	skewGroups    = 64
	skewBytes     = skewPlaces*skewGroups*6 + 32
	// With so many answers a literal of one in twenty has come six times; and when so many have come without a finding, no
	// place explains the scatter.
	skewMinObservations, skewMaxObservations = 128, 600
	// A place must explain this part of the scatter (one dear literal of sixteen among bad plans explains four tenths), and
	// so many times what chance would: bad plans, drawn anew each time, fall into groups by chance, and an F of five comes once
	// in some ten thousand looks. Half of a deviation in logarithms is what a literal may matter and nobody would notice.
	skewMinShare     = 0.25
	skewMinRatio     = 5.0
	skewMinDeviation = 0.5
)

// skewGroup is a literal's group by a place, from 0: which literal it is, and in which way it is grouped.
func skewGroup(l *sqltext.Literals, place int) int {
	times := [skewGroupings]uint32{0x9e3779b1, 0x85ebca6b}
	return int(l.Hashes[place/skewGroupings]*times[place%skewGroupings]>>26) % skewGroups
}

func (k *skewSearch) add(l *sqltext.Literals, y float64) {
	for p := range l.Count * skewGroupings {
		g := skewGroup(l, p)
		k.counts[p][g]++
		k.sums[p][g] += float32(y)
	}
	k.total++
	k.logSum += y
	k.logSquares += y * y
}

// findPlace is the place, counted from 1, whose literal explains the scatter; 0: none does.
func (k *skewSearch) findPlace() int {
	mean := k.logSum / k.total
	scatter := k.logSquares - k.logSum*mean
	if scatter/k.total < skewMinDeviation*skewMinDeviation {
		return 0
	}
	best, place := skewMinShare, 0
	for p := range k.counts {
		groups, counted, between := 0.0, 0.0, 0.0
		for g, n := range k.counts[p] {
			if n > 0 {
				groups++
				counted += float64(n)
				off := float64(k.sums[p][g])/float64(n) - mean
				between += float64(n) * off * off
			}
		}
		if groups < 2 || counted < k.total || groups >= k.total {
			continue
		}
		// The part explained, less what so many groups explain by chance.
		within := max(1e-9, scatter-between) / (k.total - groups)
		share := 1 - within/(scatter/(k.total-1))
		if share > best && between/(groups-1) > skewMinRatio*within {
			best, place = share, p+1
		}
	}
	return place
}

// splitKey is the key of the record for a literal's group.
func splitKey(key uint64, l *sqltext.Literals, place int) uint64 {
	if place > l.Count*skewGroupings {
		return key
	}
	return key ^ (uint64(place)<<8|uint64(skewGroup(l, place-1))+1)*0xd6e8feb86659fd93
}

// searchSkew takes an answer into the search for a literal that matters.
func (m *Model) searchSkew(r *record, l *sqltext.Literals, y float64) {
	if r.skewPlace > 0 || l.Count == 0 || r.observations < warmupObservations || r.skewSearched {
		return
	}
	if r.skew == nil {
		if _, dev, bad, _ := r.sketch.SplitModes(); dev < skewMinDeviation && bad < 0.02 || m.skewSearches.Load() >= m.maxSkewSearches {
			return
		}
		m.skewSearches.Add(1)
		r.skew = &skewSearch{}
	}
	r.skew.add(l, y)
	if n := r.skew.total; n >= skewMinObservations && math.Mod(n, 16) == 0 {
		if r.skewPlace = r.skew.findPlace(); r.skewPlace > 0 {
			m.SplitShapes.Add(1)
		}
		if r.skewPlace > 0 || n >= skewMaxObservations {
			r.skew, r.skewSearched = nil, true
			m.skewSearches.Add(-1)
		}
	}
}
