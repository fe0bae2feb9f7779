package costmodel

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"math/rand"
	"runtime"
	"strings"
	"testing"
)

func show(f *Features) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s parsed %v", f.Verb, f.Parsed)
	for _, t := range f.Tables {
		fmt.Fprintf(&b, " [%s.%s", t.Schema, t.Name)
		if t.Alias != "" {
			b.WriteString(" as " + t.Alias)
		}
		if t.Written {
			b.WriteString(" written")
		}
		if t.Scanned {
			b.WriteString(" scanned")
		}
		b.WriteString("]")
	}
	for _, p := range f.Predicates {
		fmt.Fprintf(&b, " %s:%s", p.Column, p.Match)
	}
	fmt.Fprintf(&b, " joins %d loose %d sub %d unions %d agg %d groups %d sorts %d windows %d limit %d", f.Joins, f.UnboundJoins, f.Subqueries,
		f.Unions, f.Aggregates, f.Groups, f.Sorts, f.Windows, f.Limit)
	if t := f.FullScan(); t != nil {
		b.WriteString(" FULL " + t.Name)
	}
	return b.String()
}

// One line a statement: what is read of it.
func ExampleReadFeatures() {
	for _, sql := range []string{
		"SELECT dia, count(*), max(nota) FROM actas_17.mesas WHERE clave = '3f9c' GROUP BY dia",
		"SELECT dia, count(*) FROM actas_17.mesas GROUP BY dia",
		"SELECT * FROM actas_17.mesas LIMIT 10",
		"SELECT * FROM actas_17.mesas WHERE nota LIKE '%x' AND upper(dia) = 'A' AND a + 1 = 2",
		"SELECT m.a FROM a_1.m m JOIN a_1.n AS n ON m.id = n.id LEFT JOIN a_1.o ON o.x = n.x WHERE m.b IN (1, 2) AND n.c BETWEEN 1 AND 2",
		"SELECT * FROM a_1.m, a_1.n WHERE m.x > 5",
		"WITH t AS (SELECT a FROM a_1.m WHERE b = 1) SELECT a, row_number() OVER (PARTITION BY a ORDER BY b ROWS BETWEEN 1 AND 2) FROM t UNION ALL SELECT 1, 2 ORDER BY 1 LIMIT 5, 10",
		"SELECT a FROM a_1.m WHERE b = (SELECT max(b) FROM a_1.n WHERE c = 5) OR d = 1",
		"SELECT CASE WHEN a > 1 THEN 'x' ELSE date_add(b, INTERVAL 1 DAY) END z FROM a_1.m WHERE (b = 1 AND c < 2) AND NOT d = 3",
		"INSERT INTO actas_17.mesas SELECT * FROM staging.lote_5",
		"INSERT INTO actas_17.mesas (a, b) VALUES (1, 'x'), (2, now()) ON DUPLICATE KEY UPDATE b = VALUES(b)",
		"LOAD DATA LOCAL INFILE '/x' INTO TABLE actas_17.mesas FIELDS TERMINATED BY ','",
		"UPDATE actas_17.mesas SET a = a + 1 WHERE id = 5 LIMIT 1",
		"DELETE FROM actas_17.mesas",
		"SELECT left(a, 2), `from` FROM a_1.`select` WHERE a REGEXP 'x' FOR UPDATE",
		"SELEC a FORM b",
		"SELECT a FROM b WHERE ((((((((((((((((((((((((((c = 1))))))))))))))))))))))))))",
		"SELECT a FROM b WHERE c = 'open",
		"",
	} {
		fmt.Println(show(ReadFeatures([]byte(sql))))
	}
	// Output:
	// select parsed true [actas_17.mesas] clave:equal joins 0 loose 0 sub 0 unions 0 agg 2 groups 1 sorts 0 windows 0 limit -1
	// select parsed true [actas_17.mesas scanned] joins 0 loose 0 sub 0 unions 0 agg 1 groups 1 sorts 0 windows 0 limit -1 FULL mesas
	// select parsed true [actas_17.mesas scanned] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit 10
	// select parsed true [actas_17.mesas scanned] nota:wildcard dia:function a:function joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL mesas
	// select parsed true [a_1.m as m] [a_1.n as n] [a_1.o] id:joined id:joined x:joined x:joined b:equal c:range joins 2 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// select parsed true [a_1.m] [a_1.n scanned] x:range joins 0 loose 1 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL n
	// select parsed true [a_1.m] [.t scanned] b:equal joins 0 loose 0 sub 1 unions 1 agg 0 groups 0 sorts 1 windows 1 limit -1 FULL t
	// select parsed true [a_1.m scanned] [a_1.n] c:equal joins 0 loose 0 sub 1 unions 0 agg 1 groups 0 sorts 0 windows 0 limit -1 FULL m
	// select parsed true [a_1.m] b:equal c:range joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// insert-select parsed true [actas_17.mesas written] [staging.lote_5 scanned] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL lote_5
	// insert parsed true [actas_17.mesas written] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// load parsed true [actas_17.mesas written] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// update parsed true [actas_17.mesas] id:equal joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit 1
	// delete parsed true [actas_17.mesas scanned] joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL mesas
	// select parsed true [a_1.select scanned] a:wildcard joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1 FULL select
	// other parsed false joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// select parsed false [.b] c:equal joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// select parsed false [.b] c:equal joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
	// other parsed false joins 0 loose 0 sub 0 unions 0 agg 0 groups 0 sorts 0 windows 0 limit -1
}

func BenchmarkRead(b *testing.B) { // a shape seen for the first time
	sql := []byte(short)
	ReadFeatures(sql)
	b.ReportAllocs()
	for b.Loop() {
		ReadFeatures(sql)
	}
}

func BenchmarkWarm(b *testing.B) { // a shape that is known, up to its estimate
	book := NewModel(1<<20, 1, nil)
	sql := []byte(short)
	s := book.Inspect(sql, 17, 0)
	book.Observe(&s, 40, 64)
	b.ReportAllocs()
	for b.Loop() {
		s := book.Inspect(sql, 17, 0)
		book.Estimate(&s)
	}
}

func TestWarmAllocatesNothing(t *testing.T) {
	book := NewModel(1<<20, 1, nil)
	sql := []byte(short)
	s := book.Inspect(sql, 17, 0)
	book.Observe(&s, 40, 64)
	if n := testing.AllocsPerRun(100, func() {
		s = book.Inspect(sql, 17, 0)
		book.Estimate(&s)
	}); n != 0 {
		t.Errorf("%.0f allocations", n)
	}
}

// costs draws answers about a mean: lognormal, one in ten a bad plan.
func costs(r *rand.Rand, mean, deviation, bad float64) float64 {
	v := mean * math.Exp(deviation*r.NormFloat64())
	if r.Float64() < bad {
		v *= 15 + 9*r.Float64()
	}
	return v
}

// A cost that is usual one time and bad one time in ten is known by both; a shift of factor three is found within
// twenty answers, and false alarms are rarer than one in ten thousand answers.
func TestAlarms(t *testing.T) {
	found, late, alarms, answers := 0, 0, int64(0), 0
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		book := NewModel(1<<20, 1, nil)
		s := book.Inspect([]byte("SELECT a FROM t_1.m WHERE b = 1"), 1, 0)
		for range 400 {
			book.Observe(&s, costs(r, 100, 0.7, 0.1), 0)
			answers++
		}
		alarms += book.Shifts.Load()
		if e := book.Estimate(&s); seed == 0 && (e.WorkMillis < 70 || e.WorkMillis > 140 || e.BadPlanShare < 0.05 || e.BadPlanShare > 0.18 || e.BadPlanFactor < 8 || e.UpperMillis < 1000) {
			t.Errorf("after 400 answers: %+v", e)
		}
		before := book.Shifts.Load()
		n := 0
		for ; n < 60 && book.Shifts.Load() == before; n++ {
			book.Observe(&s, costs(r, 300, 0.7, 0.1), 0)
		}
		if n <= 20 {
			found++
		} else {
			late++
		}
	}
	t.Logf("%d shifts found within 20 answers, %d later; %d false alarms in %d answers", found, late, alarms, answers)
	if found < 180 || alarms > int64(answers)/10000 {
		t.Errorf("%d shifts found within 20 answers, %d later; %d false alarms in %d answers", found, late, alarms, answers)
	}
}

// First sight: scans and look-ups of one lane are told apart once a few of either have been seen elsewhere.
func TestFirstSight(t *testing.T) {
	r := rand.New(rand.NewSource(3))
	book := NewModel(1<<20, 1, nil)
	for i := range 30 {
		look := fmt.Sprintf("SELECT a FROM t_%d.m WHERE k%d = 1", i%5, i)
		scan := fmt.Sprintf("SELECT k%d, count(*) FROM t_%d.m GROUP BY k%d", i, i%5, i)
		for range 5 {
			s := book.Inspect([]byte(look), i%5, 0)
			book.Observe(&s, costs(r, 50, 0.5, 0), 0)
		}
		if i%5 == 0 {
			s := book.Inspect([]byte(scan), i%5, 0)
			book.Observe(&s, costs(r, 2000, 0.5, 0), 0)
		}
	}
	one := book.Inspect([]byte("SELECT z FROM t_9.other WHERE y = 7"), 9, 0)
	two := book.Inspect([]byte("SELECT z, count(*) FROM t_9.other GROUP BY z"), 9, 0)
	look, scan := book.Estimate(&one), book.Estimate(&two)
	if look.Observations != 0 || look.WorkMillis < 20 || look.WorkMillis > 150 || scan.WorkMillis < 600 || scan.FullScan != "t_9.other" || look.FullScan != "" {
		t.Errorf("look-up %+v\nscan %+v", look, scan)
	}
}

// Loads raise doubt, and a cost that grows with them is followed between them.
func TestLoads(t *testing.T) {
	r := rand.New(rand.NewSource(5))
	book := NewModel(1<<20, 1, nil)
	s := book.Inspect([]byte("SELECT a FROM t_1.m WHERE b > 1"), 1, 0)
	mean := 100.0
	for range 30 {
		for range 10 {
			book.Observe(&s, costs(r, mean, 0.2, 0), 0)
		}
		if e := book.Estimate(&s); e.Uncertain {
			t.Fatal("in doubt after ten answers")
		}
		book.RecordLoad(1)
		if e := book.Estimate(&s); !e.Uncertain {
			t.Fatal("sure after a load")
		}
		mean *= 1.04
	}
	if e := book.Estimate(&s); e.WorkMillis < 0.75*mean || e.WorkMillis > 1.3*mean {
		t.Errorf("estimate %.0f, truth %.0f", e.WorkMillis, mean)
	}
}

func TestSketch(t *testing.T) { // quantiles to a step; merged as if it were one
	r := rand.New(rand.NewSource(1))
	var whole, one, two Sketch
	for i := range 2000 {
		v := costs(r, 50, 1, 0)
		whole.Add(v)
		if i%3 == 0 {
			one.Add(v)
		} else {
			two.Add(v)
		}
	}
	one.Merge(&two)
	if one != whole {
		t.Error("parts merged differ from the whole")
	}
	if q := whole.Quantile(0.5); q < 40 || q > 62 {
		t.Errorf("median %.1f", q)
	}
	for range 100 {
		one.Merge(&whole) // fades and goes on
	}
	if q := one.Quantile(0.5); q < 40 || q > 62 || one.Count() >= 1<<16 {
		t.Errorf("median %.1f of %d", q, one.Count())
	}
}

// lru is the plain cache that ours is measured against.
type lru struct {
	most  int
	order *list.List
	at    map[uint64]*list.Element
}

func (c *lru) hit(key uint64) bool {
	if e, ok := c.at[key]; ok {
		c.order.MoveToFront(e)
		return true
	}
	if c.order.Len() >= c.most {
		last := c.order.Back()
		delete(c.at, last.Value.(uint64))
		c.order.Remove(last)
	}
	c.at[key] = c.order.PushFront(key)
	return false
}

// Hit ratios of ours and of the plain one: Zipf traffic, the same with a scan of keys that come once, with a flood of
// unique keys at twice the rate.
func TestHitRatio(t *testing.T) {
	const most, keys = 1600, 20000
	for _, c := range []struct {
		name  string
		other int // unique keys for each usual one
		gain  float64
	}{{"zipf", 0, 0}, {"scan", 1, 0.03}, {"flood", 2, 0.05}} {
		ours := NewCache[int](most*(8+placeBytes), 8)
		plain := &lru{most, list.New(), map[uint64]*list.Element{}}
		r := rand.New(rand.NewSource(2))
		z := rand.NewZipf(r, 1.1, 1, keys)
		hits, plainHits, n := 0, 0, 0
		unique := uint64(1 << 40)
		ask := func(key uint64, counted bool) {
			_, ok := ours.Get(key)
			if !ok {
				ours.Put(key, 0)
			}
			hit := plain.hit(key)
			if counted {
				n++
				if ok {
					hits++
				}
				if hit {
					plainHits++
				}
			}
		}
		for i := range 200000 {
			ask(z.Uint64(), i > 50000)
			for range c.other {
				unique++
				ask(unique, false)
			}
		}
		a, b := float64(hits)/float64(n), float64(plainHits)/float64(n)
		t.Logf("%s: %.3f ours, %.3f plain LRU", c.name, a, b)
		if a < b+c.gain {
			t.Errorf("%s: %.3f ours, %.3f plain LRU", c.name, a, b)
		}
		if ours.Len() > most {
			t.Errorf("%d entries, %d allowed", ours.Len(), most)
		}
	}
}

func BenchmarkCache(b *testing.B) {
	c := NewCache[int](1<<20, 8)
	z := rand.NewZipf(rand.New(rand.NewSource(2)), 1.1, 1, 20000)
	b.ReportAllocs()
	for b.Loop() {
		k := z.Uint64()
		if _, ok := c.Get(k); !ok {
			c.Put(k, 0)
		}
	}
}

func BenchmarkPlainLRU(b *testing.B) {
	c := &lru{1 << 20 / (8 + placeBytes), list.New(), map[uint64]*list.Element{}}
	z := rand.NewZipf(rand.New(rand.NewSource(2)), 1.1, 1, 20000)
	b.ReportAllocs()
	for b.Loop() {
		c.hit(z.Uint64())
	}
}

// What a book takes stays within its bytes, also when no shape ever repeats.
func TestBytes(t *testing.T) {
	const most = 2 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	book := NewModel(most, 1, nil)
	for i := range 30000 {
		s := book.Inspect([]byte(fmt.Sprintf("SELECT c%d FROM t_%d.m WHERE k%d = 1 GROUP BY c%d", i, i%7, i%11, i)), i%7, 0)
		book.Observe(&s, 50, 64)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if took := int64(after.HeapAlloc) - int64(before.HeapAlloc); took > most*5/4 {
		t.Errorf("%d bytes, %d allowed", took, most)
	} else {
		t.Logf("%d bytes of %d; %d shapes, %d costs", took, most, book.shapes.Len(), book.costs.Len())
	}
	runtime.KeepAlive(book)
}

const short = `SELECT dia, count(*), max(nota) FROM actas_17.mesas WHERE clave = '3f9c2a' AND distrito IN (4, 8, 15, 16) AND nota > 3.5 ` +
	`GROUP BY dia HAVING count(*) > 10 ORDER BY dia DESC LIMIT 20 /* some more words that nobody reads, so that it is as long as three hundred bytes are, as many are */`

// Where one literal of sixteen is dear the shape is split by it, and its group is known by its own answers; bad plans
// alone, or literals that never come again, split nothing.
func TestSkew(t *testing.T) {
	split, falsely := 0, 0
	for seed := range int64(40) {
		r := rand.New(rand.NewSource(seed))
		for _, skewed := range []bool{true, false} {
			book := NewModel(1<<20, 1, nil)
			ask := func(literal int) (s Query, cost float64) {
				s = book.Inspect([]byte(fmt.Sprintf("SELECT a FROM t_1.m WHERE b > 5 AND c = 'v%d'", literal)), 1, 0)
				if cost = costs(r, 100, 0.35, 0.1); skewed && literal == 3 {
					cost *= 25
				}
				return s, cost
			}
			for range 700 {
				literal := r.Intn(16)
				if !skewed {
					literal = r.Int()
				}
				s, cost := ask(literal)
				book.Observe(&s, cost, 0)
			}
			switch {
			case !skewed:
				falsely += int(book.SplitShapes.Load())
			case book.SplitShapes.Load() > 0:
				split++
				dear, _ := ask(3)
				cheap, _ := ask(4)
				if e, f := book.Estimate(&dear), book.Estimate(&cheap); e.WorkMillis < 800 || f.WorkMillis > 250 {
					t.Errorf("seed %d: dear %.0f, cheap %.0f", seed, e.WorkMillis, f.WorkMillis)
				}
			}
			if n := book.watching.Load(); n != 0 {
				t.Errorf("seed %d: %d shapes are still searched", seed, n)
			}
		}
	}
	t.Logf("%d of 40 split, %d falsely", split, falsely)
	if split < 36 || falsely > 0 {
		t.Errorf("%d of 40 split, %d falsely", split, falsely)
	}
}

// learned is a book that has seen some shapes in two lanes.
func learned(seed int64) *Model {
	r := rand.New(rand.NewSource(seed))
	book := NewModel(1<<20, 2, nil)
	for i := range 300 {
		s := book.Inspect([]byte(fmt.Sprintf("SELECT k%d FROM t_%d.m WHERE b = 1 ORDER BY k%d", i%7, i%3, i%7)), i%3, i%2)
		book.Observe(&s, costs(r, 50*float64(1+i%7), 0.3, 0.1), 32)
		if i%50 == 0 {
			book.RecordLoad(i % 3)
		}
	}
	book.AdvanceHours(30)
	return book
}

func TestSnapshot(t *testing.T) {
	lanes := []string{"look", "report"}
	book := learned(1)
	b := book.Snapshot(lanes).Encode()
	s, err := DecodeSnapshot(b)
	if err != nil {
		t.Fatal(err)
	}
	again := NewModel(1<<20, 2, nil)
	again.Restore(s, lanes)
	for i := range 7 {
		sql := []byte(fmt.Sprintf("SELECT k%d FROM t_1.m WHERE b = 1 ORDER BY k%d", i, i))
		one, two := book.Inspect(sql, 1, 1), again.Inspect(sql, 1, 1)
		if e, f := book.Estimate(&one), again.Estimate(&two); e != f || e.Observations == 0 {
			t.Errorf("%+v is not %+v", f, e)
		}
	}
	if string(again.Snapshot(lanes).Encode()) != string(b) {
		t.Error("written again it is another")
	}
	// Cut anywhere, with any bit flipped, or of another version, it is refused as a whole.
	for n := range b {
		if _, err := DecodeSnapshot(b[:n]); err == nil {
			t.Fatalf("cut to %d bytes it is read", n)
		}
		bad := append([]byte(nil), b...)
		bad[n] ^= 1 << (n % 8)
		if _, err := DecodeSnapshot(bad); err == nil {
			t.Fatalf("with byte %d changed it is read", n)
		}
	}
	if _, err := DecodeSnapshot(append(append([]byte(nil), b...), 0)); err == nil {
		t.Error("with a byte more it is read")
	}
	other := append([]byte(nil), b...)
	other[4]++
	if _, err := DecodeSnapshot(other); err == nil || err.Error() != "version 2 of the form, this program knows 1" {
		t.Error(err)
	}
}

// Merged, two gateways' knowledge is as if one had seen all answers: quantiles of each shape, lanes, loads; and the
// regression lies between the two.
func TestMerge(t *testing.T) {
	lanes := []string{"look", "report"}
	one, two := learned(1).Snapshot(lanes), learned(2).Snapshot(lanes)
	m := MergeSnapshots(one, two)
	if r, n := m.CountRecords(); r != 21 || n != 600 {
		t.Errorf("%d shapes, %d answers", r, n)
	}
	for i := range m.records {
		var want Sketch
		want.Merge(&one.records[i].sketch)
		want.Merge(&two.records[i].sketch)
		if m.records[i].sketch != want {
			t.Fatalf("record %d", i)
		}
	}
	if m.groups[1].loads != one.groups[1].loads+two.groups[1].loads {
		t.Errorf("loads %+v", m.groups)
	}
	for i, w := range m.weights {
		lo, hi := min(one.weights[i], two.weights[i], firstWeights[i]), max(one.weights[i], two.weights[i], firstWeights[i])
		if w < lo-0.3 || w > hi+0.3 {
			t.Errorf("weight %d: %.2f of %.2f and %.2f", i, w, one.weights[i], two.weights[i])
		}
	}
	if same := MergeSnapshots(one); same.weights[0]-one.weights[0] > 1e-6 || one.weights[0]-same.weights[0] > 1e-6 {
		t.Errorf("one alone: %v, %v", same.weights, one.weights)
	}
	if _, err := DecodeSnapshot(m.Encode()); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(learned(1).Snapshot([]string{"a", "b"}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 16 { // past the checksum, so that what is behind it is reached
			b = append([]byte(nil), b...)
			copy(b, snapshotMagic)
			binary.LittleEndian.PutUint16(b[4:], snapshotVersion)
			binary.LittleEndian.PutUint32(b[8:], uint32(len(b)-16))
			binary.LittleEndian.PutUint32(b[len(b)-4:], crc32.Checksum(b[:len(b)-4], castagnoli))
		}
		if s, err := DecodeSnapshot(b); err == nil {
			book := NewModel(1<<16, 2, nil)
			book.Restore(s, []string{"a", "b"})
			look := book.Inspect([]byte("SELECT 1"), 0, 0)
			book.Observe(&look, 5, 0)
			if _, err := DecodeSnapshot(MergeSnapshots(s, book.Snapshot([]string{"a", "b"})).Encode()); err != nil {
				t.Log(err) // sums of what was read may leave what can be read, and are refused
			}
		}
	})
}
