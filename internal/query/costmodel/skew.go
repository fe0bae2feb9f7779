package costmodel

import (
	"math"

	"magpiebank/internal/query/sqltext"
)

// skewSearch looks for a literal that determines the cost of a shape. A grouping puts the statements of the shape
// into groups by a hash of one of their first literals. Each literal has several groupings, with different hashes.
// The search sums the costs of each group in each grouping. When a grouping explains enough of the variance of the
// costs, its groups get records of their own.
type skewSearch struct {
	counts             [skewGroupings][skewGroups]uint16  // numbers of observations
	sums               [skewGroupings][skewGroups]float32 // sums of the logarithms of the costs
	total              float64                            // number of observations
	logSum, logSquares float64                            // sums of the logarithms of all costs, and of their squares
}

const (
	// skewHashesPerLiteral is the number of groupings of each literal. A costly literal that shares its group with others is
	// hidden by them: with one grouping, 13 of 40 shapes with one costly literal of sixteen were not split.
	skewHashesPerLiteral = 2
	// skewGroupings is the number of groupings of all literals.
	skewGroupings = skewHashesPerLiteral * len(sqltext.Literals{}.Hashes)
	// skewGroups is the number of groups in a grouping.
	skewGroups = 64
	// skewBytes is the memory of a search.
	skewBytes = skewGroupings*skewGroups*6 + 32

	// skewMinObservations is the number of observations after which a search evaluates its groupings for the first
	// time. By then, a literal of one statement in twenty has occurred about six times.
	skewMinObservations = 128
	// skewMaxObservations is the number of observations after which a search without a result ends, because no
	// grouping explains the variance.
	skewMaxObservations = 600
	// skewInterval is the number of observations between two evaluations.
	skewInterval = 16

	// skewMinShare is the share of the variance that a grouping must explain. One costly literal of sixteen explains
	// 40% if there are also bad plans.
	skewMinShare = 0.25
	// skewMinRatio is the F statistic that a grouping must exceed: the variance between its groups over the variance
	// within them. Bad plans fall into groups by chance, and chance alone gives a ratio of five in about one of ten
	// thousand evaluations.
	skewMinRatio = 5.0
	// skewMinDeviation is the standard deviation of the logarithms of the costs from which a search justifies its
	// memory. A search has a result only if its own observations reach it, too.
	skewMinDeviation = 0.5
	// skewMinBadPlanShare is the share of bad plans from which a search justifies its memory.
	skewMinBadPlanShare = 0.02
)

// skewHashFactors are the multipliers of the hashes, one for each grouping of a literal.
var skewHashFactors = [skewHashesPerLiteral]uint32{0x9e3779b1, 0x85ebca6b}

// skewGroup returns the group of a literal in a grouping, which is counted from 0 here.
func skewGroup(l *sqltext.Literals, grouping int) int {
	return int(l.Hashes[grouping/skewHashesPerLiteral]*skewHashFactors[grouping%skewHashesPerLiteral]>>26) % skewGroups
}

func (s *skewSearch) add(l *sqltext.Literals, logMillis float64) {
	for grouping := range l.Count * skewHashesPerLiteral {
		group := skewGroup(l, grouping)
		s.counts[grouping][group]++
		s.sums[grouping][group] += float32(logMillis)
	}
	s.total++
	s.logSum += logMillis
	s.logSquares += logMillis * logMillis
}

// findGrouping returns the grouping, counted from 1, that explains the largest share of the variance, or 0 if none
// explains enough.
func (s *skewSearch) findGrouping() int {
	mean := s.logSum / s.total
	totalSquares := s.logSquares - s.logSum*mean
	if totalSquares/s.total < skewMinDeviation*skewMinDeviation {
		return 0
	}
	bestShare, found := skewMinShare, 0
	for grouping := range s.counts {
		groups, counted, squaresBetween := s.squaresBetween(grouping, mean)
		if groups < 2 || counted < s.total || groups >= s.total {
			continue
		}
		// The share of the variance that the grouping explains, less what this number of groups explains by chance
		// (the adjusted R squared).
		varianceWithin := max(1e-9, totalSquares-squaresBetween) / (s.total - groups)
		share := 1 - varianceWithin/(totalSquares/(s.total-1))
		if share > bestShare && squaresBetween/(groups-1) > skewMinRatio*varianceWithin {
			bestShare, found = share, grouping+1
		}
	}
	return found
}

// squaresBetween returns the number of groups of a grouping that have observations, the number of these observations,
// and the sum of squares between the groups.
func (s *skewSearch) squaresBetween(grouping int, mean float64) (groups, counted, between float64) {
	for group, count := range s.counts[grouping] {
		if count == 0 {
			continue
		}
		groups++
		counted += float64(count)
		deviation := float64(s.sums[grouping][group])/float64(count) - mean
		between += float64(count) * deviation * deviation
	}
	return groups, counted, between
}

// splitKey returns the key of the record for the group of a literal in a grouping, which is counted from 1. It
// returns key itself if the statement has no such literal.
func splitKey(key uint64, l *sqltext.Literals, grouping int) uint64 {
	if grouping > l.Count*skewHashesPerLiteral {
		return key
	}
	return key ^ (uint64(grouping)<<8|uint64(skewGroup(l, grouping-1))+1)*0xd6e8feb86659fd93
}

// searchSkew adds an observation to the search for a literal that determines the record's cost. It also starts and
// ends the search.
func (m *Model) searchSkew(r *record, l *sqltext.Literals, logMillis float64) {
	if r.skewGrouping > 0 || l.Count == 0 || r.observations < warmupObservations || r.skewSearched {
		return
	}
	if r.skew == nil {
		if !r.costsVary() || m.skewSearches.Load() >= m.maxSkewSearches {
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
	r.skewGrouping = r.skew.findGrouping()
	if r.skewGrouping > 0 {
		m.SplitShapes.Add(1)
	}
	if r.skewGrouping > 0 || observations >= skewMaxObservations {
		r.skew, r.skewSearched = nil, true
		m.skewSearches.Add(-1)
	}
}

// costsVary reports whether the costs differ enough for a search.
func (r *record) costsVary() bool {
	_, deviation, badShare, _ := r.sketch.SplitModes()
	return deviation >= skewMinDeviation || badShare >= skewMinBadPlanShare
}
