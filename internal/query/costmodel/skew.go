package costmodel

import (
	"math"

	"magpiebank/internal/query/sqltext"
)

// skewSearch looks for a literal that determines a shape's cost. It sums up the costs in groups of literals, for each
// place: each of the first literals of the statement, grouped in each of the ways. Once one place explains most of the
// scatter, the groups of that place get records of their own.
type skewSearch struct {
	counts             [skewPlaces][skewGroups]uint16
	sums               [skewPlaces][skewGroups]float32
	total              float64 // observations
	logSum, logSquares float64 // over all observations
}

const (
	// skewGroupings is the number of ways in which each literal is grouped. A costly literal that shares its group with
	// others is hidden by them: with one way, 13 of 40 shapes with one costly literal of sixteen were not split.
	skewGroupings = 2
	skewPlaces    = skewGroupings * len(sqltext.Literals{}.Hashes)
	skewGroups    = 64
	// skewBytes is the memory of a search.
	skewBytes = skewPlaces*skewGroups*6 + 32

	// skewMinObservations is when a search looks for the first time: a literal of one in twenty has come six times.
	skewMinObservations = 128
	// skewMaxObservations is when a search without a finding ends: no place explains the scatter.
	skewMaxObservations = 600
	// skewInterval is how many observations lie between two looks.
	skewInterval = 16

	// skewMinShare is the share of the scatter that a place must explain. One costly literal of sixteen among bad plans
	// explains four tenths.
	skewMinShare = 0.25
	// skewMinRatio is how many times as much as chance a place must explain (an F statistic). Bad plans fall into groups
	// by chance, and a ratio of five comes once in some ten thousand looks.
	skewMinRatio = 5.0
	// skewMinDeviation is the deviation, of logarithms, from which a search is worth its memory.
	skewMinDeviation = 0.5
	// skewMinBadPlanShare is the share of bad plans from which a search is worth its memory.
	skewMinBadPlanShare = 0.02
)

// skewHashFactors are the factors of the ways of grouping.
var skewHashFactors = [skewGroupings]uint32{0x9e3779b1, 0x85ebca6b}

// skewGroup returns a literal's group by a place, which counts from 0 here.
func skewGroup(l *sqltext.Literals, place int) int {
	return int(l.Hashes[place/skewGroupings]*skewHashFactors[place%skewGroupings]>>26) % skewGroups
}

func (s *skewSearch) add(l *sqltext.Literals, logMillis float64) {
	for place := range l.Count * skewGroupings {
		group := skewGroup(l, place)
		s.counts[place][group]++
		s.sums[place][group] += float32(logMillis)
	}
	s.total++
	s.logSum += logMillis
	s.logSquares += logMillis * logMillis
}

// findPlace returns the place, counted from 1, whose literal explains most of the scatter; 0: none explains enough.
func (s *skewSearch) findPlace() int {
	mean := s.logSum / s.total
	scatter := s.logSquares - s.logSum*mean
	if scatter/s.total < skewMinDeviation*skewMinDeviation {
		return 0
	}
	best, found := skewMinShare, 0
	for place := range s.counts {
		groups, counted, between := s.scatterBetween(place, mean)
		if groups < 2 || counted < s.total || groups >= s.total {
			continue
		}
		// The share explained, less what so many groups explain by chance.
		within := max(1e-9, scatter-between) / (s.total - groups)
		share := 1 - within/(scatter/(s.total-1))
		if share > best && between/(groups-1) > skewMinRatio*within {
			best, found = share, place+1
		}
	}
	return found
}

// scatterBetween returns how many groups of a place have observations, how many observations those are, and the scatter
// between the groups.
func (s *skewSearch) scatterBetween(place int, mean float64) (groups, counted, between float64) {
	for group, count := range s.counts[place] {
		if count == 0 {
			continue
		}
		groups++
		counted += float64(count)
		deviation := float64(s.sums[place][group])/float64(count) - mean
		between += float64(count) * deviation * deviation
	}
	return groups, counted, between
}

// splitKey returns the key of the record of a literal's group by a place, which counts from 1.
func splitKey(key uint64, l *sqltext.Literals, place int) uint64 {
	if place > l.Count*skewGroupings {
		return key
	}
	return key ^ (uint64(place)<<8|uint64(skewGroup(l, place-1))+1)*0xd6e8feb86659fd93
}

// searchSkew adds an observation to the search for a literal that determines the record's cost, and begins or ends the
// search.
func (m *Model) searchSkew(r *record, l *sqltext.Literals, logMillis float64) {
	if r.skewPlace > 0 || l.Count == 0 || r.observations < warmupObservations || r.skewSearched {
		return
	}
	if r.skew == nil {
		if !r.scatters() || m.skewSearches.Load() >= m.maxSkewSearches {
			return
		}
		m.skewSearches.Add(1)
		r.skew = &skewSearch{}
	}
	r.skew.add(l, logMillis)
	observations := r.skew.total
	if observations < skewMinObservations || math.Mod(observations, skewInterval) != 0 {
		return
	}
	r.skewPlace = r.skew.findPlace()
	if r.skewPlace > 0 {
		m.SplitShapes.Add(1)
	}
	if r.skewPlace > 0 || observations >= skewMaxObservations {
		r.skew, r.skewSearched = nil, true
		m.skewSearches.Add(-1)
	}
}

// scatters tells whether the costs differ enough for a search.
func (r *record) scatters() bool {
	_, deviation, badShare, _ := r.sketch.SplitModes()
	return deviation >= skewMinDeviation || badShare >= skewMinBadPlanShare
}
