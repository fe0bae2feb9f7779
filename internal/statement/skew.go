package statement

import (
	"math"

	"magpiebank/internal/sqltext"
)

// skew watches whether a shape's cost follows one of its literals: answers are summed up by the places of the first
// literals, in groups by the literals' numbers. A group's own record follows once one place explains most of the scatter.
type skew struct {
	n            [skewPlaces][skewGroups]uint16
	sum          [skewPlaces][skewGroups]float32
	total        float64
	all, squares float64
}

const (
	skewPlaces = len(sqltext.Literals{}.Hash)
	// A literal that costs more shares its group with one in sixteen of the others, which are then taken for dear.
	skewGroups = 16
	skewBytes  = skewPlaces*skewGroups*6 + 32
	// So many answers fall into each group on average, with a heavy literal in one of twenty, before it is judged; and
	// when so many have come without a finding, no place explains the scatter.
	skewFrom, skewUntil = 48, 400
	// A place must explain this part of the scatter (one dear literal of sixteen among bad plans explains four tenths), and
	// so many times what chance would: bad plans, drawn anew each time, fall into groups by chance, and an F of five comes once
	// in some ten thousand looks. Half of a deviation in logarithms is what a literal may matter and nobody would notice.
	skewShare  = 0.25
	skewTimes  = 5.0
	skewSpread = 0.5
)

func skewGroup(hash uint32) int { return int(hash*0x9e3779b1>>28) % skewGroups }

func (k *skew) add(l *sqltext.Literals, y float64) {
	for p := range l.N {
		g := skewGroup(l.Hash[p])
		k.n[p][g]++
		k.sum[p][g] += float32(y)
	}
	k.total++
	k.all += y
	k.squares += y * y
}

// find is the place, counted from 1, whose literal explains the scatter; 0: none does.
func (k *skew) find() int {
	mean := k.all / k.total
	scatter := k.squares - k.all*mean
	if scatter/k.total < skewSpread*skewSpread {
		return 0
	}
	best, place := skewShare, 0
	for p := range k.n {
		groups, counted, between := 0.0, 0.0, 0.0
		for g, n := range k.n[p] {
			if n > 0 {
				groups++
				counted += float64(n)
				off := float64(k.sum[p][g])/float64(n) - mean
				between += float64(n) * off * off
			}
		}
		if groups < 2 || counted < k.total || groups >= k.total {
			continue
		}
		// The part explained, less what so many groups explain by chance.
		within := max(1e-9, scatter-between) / (k.total - groups)
		share := 1 - within/(scatter/(k.total-1))
		if share > best && between/(groups-1) > skewTimes*within {
			best, place = share, p+1
		}
	}
	return place
}

// splitKey is the key of the record for a literal's group.
func splitKey(key uint64, l *sqltext.Literals, place int) uint64 {
	if place > l.N {
		return key
	}
	return key ^ (uint64(place)<<8|uint64(skewGroup(l.Hash[place-1]))+1)*0xd6e8feb86659fd93
}

// watch takes an answer into the search for a literal that matters.
func (b *Book) watch(r *record, l *sqltext.Literals, y float64) {
	if r.place > 0 || l.N == 0 || r.n < learnt || r.searched {
		return
	}
	if r.skew == nil {
		if _, dev, bad, _ := r.sketch.Modes(); dev < skewSpread && bad < 0.02 || b.watching.Load() >= b.mostWatching {
			return
		}
		b.watching.Add(1)
		r.skew = &skew{}
	}
	r.skew.add(l, y)
	if n := r.skew.total; n >= skewFrom && math.Mod(n, 16) == 0 {
		if r.place = r.skew.find(); r.place > 0 {
			b.Split.Add(1)
		}
		if r.place > 0 || n >= skewUntil {
			r.skew, r.searched = nil, true
			b.watching.Add(-1)
		}
	}
}
