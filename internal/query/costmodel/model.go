package costmodel

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"gonum.org/v1/gonum/mat"

	"magpiebank/internal/query/sqltext"
)

// Estimate is what a statement will cost, as far as is known.
type Estimate struct {
	WorkMillis    float64 // milliseconds, usually
	UpperMillis   float64 // nine of ten stay under it
	MemoryMB      float64 // MB; 0: not known
	Observations  int     // of this shape and group that it rests on
	BadPlanShare  float64 // share of answers that took several times the usual
	BadPlanFactor float64 // and how many times
	Uncertain     bool    // a load has ended on its tables, or its cost has moved, since it was sure
	FullScan      string  // the table that it reads as a whole; empty: none
	Known         bool    // there were answers to rest on, of its own or of its lane; else Work and Upper mean nothing
}

// TableLookup knows what an operator says of tables.
type TableLookup func(t *Table) (rows float64, keys []string, ok bool)

// Model holds what answers have taught of statements. Its calls may come from many goroutines.
type Model struct {
	shapes *Cache[*sight]
	costs  *Cache[*record]
	tables TableLookup

	mu     sync.Mutex // of what all shapes share
	lanes  []laneCost
	shared regression
	groups map[int]*tablesGroup
	hours  atomic.Int64 // of age, as told by Age

	watching     atomic.Int64 // shapes that are searched for a literal that matters,
	mostWatching int64        // and how many may be

	// Counts since the start.
	Statements, Parsed, Unparsed, Shifts atomic.Int64
	SplitShapes                          atomic.Int64 // shapes whose cost follows a literal
	Observations, Mispredicted           atomic.Int64 // answers, and those that took three times what was estimated, or a third of it
}

// sight is what is known of a shape at first sight.
type sight struct {
	features *Features
	vector   [terms]float64
	full     string
}

type laneCost struct{ mean, n float64 } // of the logarithms of its costs

// mostLane is how many answers a lane's mean rests on at the most, so that it follows a mix that changes.
const mostLane = 500

type tablesGroup struct{ loads int }

// record is what answers told of a shape on a group of tables.
type record struct {
	sketch Sketch
	memory float64 // mean of the needs
	most   float64 // of them, fading
	n      int     // answers since it began anew
	doubt  int     // answers that must come before it is sure again
	loads  int     // that had ended on the group at the last answer
	// The change detector: sums of how far answers stood above and below what was usual, in deviations.
	up, down  float64
	base, dev float64 // what was usual when it was last set
	recent    [recents]float64
	trend     trend
	hours     int64 // the age up to which old answers have faded
	skew      *skew
	searched  bool // no literal explained its scatter
	place     int  // of the literal that does, from 1; 0: none
}

// The sizes that are kept of recent answers: from so many a changed cost begins anew.
const recents = 8

// The change detector is a two-sided CUSUM on clipped deviations. With a slack of 0.75 a shift of factor three over a
// deviation of 0.8 (1.37 deviations) adds some 0.6 an answer, so it is found within some fifteen; clipping at two
// deviations keeps single bad plans from being taken for a shift. The height is what holds false alarms under one in
// ten thousand answers with one bad plan in ten (TestAlarms).
const (
	slack    = 0.75
	clip     = 2.0
	height   = 7.5
	learnt   = 24  // answers before it watches
	leastDev = 0.2 // of logarithms: steps of a quarter look like this
	doubtFor = 5   // answers after a load
)

// trend is the growth of a cost with the loads that end on its tables: least squares over the loads so far, older ones
// fading.
type trend struct{ n, x, y, xx, xy float64 }

func (t *trend) add(x, y float64) {
	const keep = 0.99
	t.n, t.x, t.y, t.xx, t.xy = keep*t.n+1, keep*t.x+x, keep*t.y+y, keep*t.xx+x*x, keep*t.xy+x*y
}

// slope is the growth a load, of logarithms; 0 while the loads seen are too few to tell.
func (t *trend) slope() (slope, middle float64) {
	if t.n < learnt {
		return 0, 0
	}
	middle = t.x / t.n
	spread := t.xx/t.n - middle*middle
	if spread < 1 {
		return 0, middle
	}
	return min(0.2, max(0, (t.xy/t.n-middle*t.y/t.n)/spread)), middle
}

// NewModel holds up to so many bytes. tables may be nil.
func NewModel(bytes int64, lanes int, tables TableLookup) *Model {
	b := &Model{tables: tables, lanes: make([]laneCost, lanes), groups: map[int]*tablesGroup{}}
	b.shapes = NewCache[*sight](bytes/4, sightBytes)
	b.costs = NewCache[*record](bytes-bytes/4, recordBytes)
	b.shared.begin()
	b.mostWatching = bytes / 16 / int64(skewBytes) // they are beside the bytes of the records
	return b
}

// SetTables goes by what an operator says of tables from now on. Shapes are read again, as what narrows them may differ.
func (b *Model) SetTables(tables TableLookup) {
	b.mu.Lock()
	b.tables = tables
	b.mu.Unlock()
	b.shapes.Clear()
}

// AdvanceHours tells how many hours have passed since the last call: old answers fade.
func (b *Model) AdvanceHours(hours int64) { b.hours.Add(hours) }

// halfAfter is the hours in which an answer comes to count half, if no other comes: loads of data come by the day.
const halfAfter = 24

// What an entry takes with what it points to, as measured by TestBytes.
const (
	sightBytes  = 1100
	recordBytes = 420
)

// Query is a statement that was looked at.
type Query struct {
	Shape uint64
	Group int
	Class int
	sight *sight

	literals sqltext.Literals
}

// Features are what is known of the shape.
func (s *Query) Features() *Features { return s.sight.features }

func costKey(shape uint64, group int) uint64 {
	return shape ^ (uint64(group)+1)*0x9e3779b97f4a7c15
}

// Inspect finds a statement's shape, and parses it where the shape is new. It is meant for the goroutine that read the
// statement.
func (b *Model) Inspect(sql []byte, group, lane int) Query {
	s := Query{Group: group, Class: lane}
	s.Shape, s.literals = sqltext.ShapeAndLiterals(sql)
	b.Statements.Add(1)
	if known, ok := b.shapes.Get(s.Shape); ok {
		s.sight = known
		return s
	}
	b.mu.Lock()
	tables := b.tables
	b.mu.Unlock()
	f := ReadFeaturesWith(sql, tables)
	if b.Parsed.Add(1); !f.Parsed {
		b.Unparsed.Add(1)
	}
	s.sight = see(f, tables)
	b.shapes.Put(s.Shape, s.sight)
	return s
}

func see(f *Features, tables TableLookup) *sight {
	s := &sight{features: f}
	if t := f.FullScan(); t != nil {
		s.full = t.String()
	}
	s.vector = vector(f, s.full != "", tables)
	return s
}

// knownFrom is how many answers of a lane a first estimate must rest on: with fewer its mean is a guess.
const knownFrom = 8

// Estimate is what a statement will cost.
func (b *Model) Estimate(s *Query) (e Estimate) {
	e.FullScan = s.sight.full
	b.mu.Lock()
	first := b.lanes[s.Class].mean + b.shared.value(&s.sight.vector)
	e.Known = b.lanes[s.Class].n >= knownFrom
	loads := 0
	if g := b.groups[s.Group]; g != nil {
		loads = g.loads
	}
	b.mu.Unlock()
	work, spread := first, unsure
	key, place := costKey(s.Shape, s.Group), 0
	b.costs.Visit(key, func(r *record) {
		place = r.place
		work, spread = b.blend(&e, r, first, loads)
	})
	if place > 0 {
		b.costs.Visit(splitKey(key, &s.literals, place), func(r *record) {
			if r.n >= ownFrom {
				work, spread = b.blend(&e, r, first, loads)
			}
		})
	}
	e.WorkMillis = math.Exp(min(work, longest))
	e.UpperMillis = math.Exp(min(work+nine*spread, longest))
	if e.BadPlanShare >= 0.05 { // nine of ten don't stay under it for sure
		e.UpperMillis = max(e.UpperMillis, e.WorkMillis*e.BadPlanFactor)
	}
	if e.Uncertain {
		e.UpperMillis *= 2
	}
	return e
}

const (
	unsure = 1.0    // deviation of a first estimate, of logarithms
	nine   = 1.2816 // deviations under which nine of ten of a normal stay
	// Answers of a literal's own group before they count more than those of the whole shape.
	ownFrom = 3
	// An hour in ms, of logarithms: no client waits longer, and what is beyond comes of an estimate gone astray.
	longest = 15.1
)

// blend sets what a record says into an estimate; it returns the mean and deviation of the logarithms.
func (b *Model) blend(e *Estimate, r *record, first float64, loads int) (work, spread float64) {
	usual, dev, share, times := r.sketch.SplitModes()
	e.Observations, e.BadPlanShare, e.BadPlanFactor, e.MemoryMB = r.n, share, times, max(r.memory, 0.7*r.most)
	if slope, middle := r.trend.slope(); slope > 0 {
		usual += slope * (float64(loads) - middle)
	}
	// The first estimate counts as two answers. Where the shape is of a lane without answers it is none.
	weight := 2.0
	if !e.Known {
		weight = 0
	}
	n := float64(r.sketch.Count()) * math.Exp2(-float64(b.hours.Load()-r.hours)/halfAfter)
	e.Known = e.Known || r.n >= ownFrom
	e.Uncertain = r.doubt > 0 || loads > r.loads
	if weight+n == 0 {
		return first, unsure
	}
	return (weight*first + n*usual) / (weight + n), (weight*unsure + n*max(leastDev, dev)) / (weight + n)
}

// Observe takes in what a statement cost in milliseconds, and the MB it needed (0: not told).
func (b *Model) Observe(s *Query, ms, memory float64) {
	if !(ms > 0) || math.IsInf(ms, 0) {
		return
	}
	y := math.Log(max(ms, least))
	const wrong = 3 // what a class of costs spans, as a rule
	if e := b.Estimate(s); e.Known && (ms > wrong*e.WorkMillis || ms < e.WorkMillis/wrong) {
		b.Mispredicted.Add(1)
	}
	b.Observations.Add(1)
	b.mu.Lock()
	loads := 0
	if g := b.groups[s.Group]; g != nil {
		loads = g.loads
	}
	b.mu.Unlock()
	key := costKey(s.Shape, s.Group)
	fresh, place, usual := true, 0, y
	b.into(key, loads, func(r *record) {
		fresh = r.n < 6
		r.learn(y, ms, memory, loads, &b.Shifts)
		usual = r.usual(y)
		b.watch(r, &s.literals, y)
		place = r.place
	})
	if place > 0 && place <= s.literals.Count*skewWays {
		b.into(splitKey(key, &s.literals, place), loads, func(r *record) { r.learn(y, ms, memory, loads, &b.Shifts) })
	}
	b.mu.Lock()
	if fresh { // further answers of a shape teach nothing of others
		lane := &b.lanes[s.Class]
		lane.n = min(lane.n+1, mostLane)
		lane.mean += (y - lane.mean) / lane.n
		b.shared.learn(&s.sight.vector, usual-lane.mean)
	}
	b.mu.Unlock()
}

// into calls f with the record of a key, a new one where there is none.
func (b *Model) into(key uint64, loads int, f func(r *record)) {
	hours := b.hours.Load()
	if b.costs.Visit(key, func(r *record) {
		for ; hours-r.hours >= halfAfter; r.hours += halfAfter {
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
	if gone, _ := b.costs.Put(key, r); gone != nil && gone.skew != nil {
		b.watching.Add(-1)
	}
}

// learn takes an answer into a record.
func (r *record) learn(y, ms, memory float64, loads int, moved *atomic.Int64) {
	if loads > r.loads {
		r.loads, r.doubt = loads, doubtFor
	}
	r.doubt = max(0, r.doubt-1)
	if memory > 0 {
		r.memory += (memory - r.memory) / float64(min(r.n+1, 50))
		r.most = max(memory, 0.98*r.most)
	}
	r.trend.add(float64(loads), y)
	r.recent[r.n%recents] = ms
	r.n++
	if r.n >= learnt && r.dev > 0 {
		slope, middle := r.trend.slope()
		z := (y - r.base - slope*(float64(loads)-middle)) / r.dev
		z = min(clip, max(-clip, z))
		need := height
		if r.doubt > 0 { // a load has just ended: less is needed to believe in a change
			need /= 2
		}
		r.up, r.down = max(0, r.up+z-slack), max(0, r.down-z-slack)
		if r.up > need || r.down > need {
			moved.Add(1)
			r.anew()
			return
		}
	}
	r.sketch.Add(ms)
	if r.n == learnt || r.n%64 == 0 && r.n > learnt { // what is usual is looked at again now and then
		var bad float64
		r.base, r.dev, bad, _ = r.sketch.SplitModes()
		r.base += bad * clip * max(leastDev, r.dev) // what clipping leaves of the bad mode belongs to what is usual
		r.dev = max(leastDev, r.dev)
	}
}

// usual is the logarithm of the lower median of the first answers: a bad plan among them says nothing of other shapes.
func (r *record) usual(y float64) float64 {
	n := min(r.n, recents)
	if n < 2 {
		return y
	}
	var sorted [recents]float64
	copy(sorted[:], r.recent[:n])
	slices.Sort(sorted[:n])
	return math.Log(max(least, sorted[(n-1)/2]))
}

// anew forgets all but the last answers, as the cost has moved.
func (r *record) anew() {
	recent := r.recent
	*r = record{memory: r.memory, most: r.most, loads: r.loads, doubt: doubtFor, hours: r.hours, place: r.place, skew: r.skew, searched: r.searched}
	for _, ms := range recent {
		r.recent[r.n%recents] = ms
		r.n++
		r.sketch.Add(ms)
	}
}

// RecordLoad takes in that a load has ended on a group of tables: what reads it is in doubt.
func (b *Model) RecordLoad(group int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.groups[group]
	if g == nil {
		const most = 1 << 14 // groups that are told apart; installations have some hundred
		if len(b.groups) >= most {
			return
		}
		g = &tablesGroup{}
		b.groups[group] = g
	}
	g.loads++
}

// The regression that all shapes share: logarithms of costs over their lane's mean, by what a statement does, learned
// one answer at a time (recursive least squares).
const terms = 14

// firstWeights are what is believed before any answer: reading a whole table costs several times a look-up in the same
// lane, everything else a little.
var firstWeights = [terms]float64{0, 0.1, 0.8, 2, 0.3, -1.2, 0.1, 0.1, 0.2, 0.1, 0.2, 0.2, 0.2, 0.2}

type regression struct {
	w *mat.VecDense
	p *mat.SymDense
	x *mat.VecDense
}

func (r *regression) begin() {
	r.w = mat.NewVecDense(terms, append([]float64(nil), firstWeights[:]...))
	r.p = mat.NewSymDense(terms, nil)
	r.x = mat.NewVecDense(terms, nil)
	for i := range terms {
		r.p.SetSym(i, i, 1.0) // beliefs hold against about one answer
	}
}

func (r *regression) value(x *[terms]float64) float64 {
	sum := 0.0
	for i, v := range x {
		sum += v * r.w.AtVec(i)
	}
	return sum
}

func (r *regression) learn(x *[terms]float64, y float64) {
	const forget, most = 0.999, 3.0 // one answer doesn't say more than a factor of twenty
	for i, v := range x {
		r.x.SetVec(i, v)
	}
	err := min(most, max(-most, y-r.value(x)))
	var px mat.VecDense
	px.MulVec(r.p, r.x)
	scale := 1 / (forget + mat.Dot(r.x, &px))
	r.w.AddScaledVec(r.w, err*scale, &px)
	r.p.SymRankOne(r.p, -scale, &px)
	r.p.ScaleSym(1/forget, r.p)
	for i := range terms { // what is never seen must not grow without end
		if v := r.p.At(i, i); v > 10 {
			r.p.ScaleSym(10/v, r.p)
		}
	}
}

// vector is what the regression sees of a statement.
func vector(f *Features, full bool, tables TableLookup) (x [terms]float64) {
	log := func(n int) float64 { return math.Log1p(float64(n)) }
	x[0] = 1
	x[1] = log(f.Joins)
	x[2] = log(f.UnboundJoins)
	rows, known := 0.0, false
	if full {
		x[3] = 1
		for i := range f.Tables {
			if t := &f.Tables[i]; t.Scanned && tables != nil {
				if n, _, ok := tables(t); ok {
					rows, known = max(rows, n), true
				}
			}
		}
	}
	if known {
		x[4] = math.Log10(max(1, rows)) - 5 // a table of a hundred thousand rows is taken for usual
	}
	switch f.reach() {
	case toOne:
		x[5] = 1
	case toSome:
		x[13] = 1
	}
	x[6] = log(f.Aggregates)
	x[7] = log(f.Groups)
	x[8] = log(f.Sorts)
	x[9] = log(f.Windows)
	x[10] = log(f.Subqueries)
	x[11] = log(f.Unions)
	if f.Verb == InsertSelect || f.Verb == Load {
		x[12] = 1
	}
	return x
}
