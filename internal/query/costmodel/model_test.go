package costmodel

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// BenchmarkKnownShape measures Inspect and Estimate for a known shape.
func BenchmarkKnownShape(b *testing.B) {
	model := NewModel(1<<20, 1, nil)
	sql := []byte(shortStatement)
	s := model.Inspect(sql, 17, 0)
	model.Observe(&s, 40, 64)
	b.ReportAllocs()
	for b.Loop() {
		s := model.Inspect(sql, 17, 0)
		model.Estimate(&s)
	}
}

func TestKnownShapeAllocatesNothing(t *testing.T) {
	model := NewModel(1<<20, 1, nil)
	sql := []byte(shortStatement)
	s := model.Inspect(sql, 17, 0)
	model.Observe(&s, 40, 64)
	if n := testing.AllocsPerRun(100, func() {
		s = model.Inspect(sql, 17, 0)
		model.Estimate(&s)
	}); n != 0 {
		t.Errorf("%.0f allocations", n)
	}
}

// drawCost draws a cost from a lognormal distribution. With the probability bad, the cost is that of a bad plan, 15
// to 24 times as high.
func drawCost(r *rand.Rand, mean, deviation, bad float64) float64 {
	v := mean * math.Exp(deviation*r.NormFloat64())
	if r.Float64() < bad {
		v *= 15 + 9*r.Float64()
	}
	return v
}

// If one plan in ten is bad, the estimate has both the usual cost and the bad plans. A shift by a factor of three is
// detected within twenty answers, and there is less than one false alarm in ten thousand answers.
func TestShiftIsDetected(t *testing.T) {
	found, late, alarms, answers := 0, 0, int64(0), 0
	for seed := range int64(200) {
		r := rand.New(rand.NewSource(seed))
		model := NewModel(1<<20, 1, nil)
		s := model.Inspect([]byte("SELECT a FROM t_1.m WHERE b = 1"), 1, 0)
		for range 400 {
			model.Observe(&s, drawCost(r, 100, 0.7, 0.1), 0)
			answers++
		}
		alarms += model.Shifts.Load()
		if e := model.Estimate(&s); seed == 0 && (e.WorkMillis < 70 || e.WorkMillis > 140 || e.BadPlanShare < 0.05 || e.BadPlanShare > 0.18 || e.BadPlanFactor < 8 || e.UpperMillis < 1000) {
			t.Errorf("after 400 answers: %+v", e)
		}
		before := model.Shifts.Load()
		n := 0
		for ; n < 60 && model.Shifts.Load() == before; n++ {
			model.Observe(&s, drawCost(r, 300, 0.7, 0.1), 0)
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

// The first estimates of a scan and of a lookup in the same class differ, after the costs of other scans and lookups
// have been observed.
func TestFirstEstimateSeparatesScansFromLookups(t *testing.T) {
	r := rand.New(rand.NewSource(3))
	model := NewModel(1<<20, 1, nil)
	for i := range 30 {
		lookup := fmt.Sprintf("SELECT a FROM t_%d.m WHERE k%d = 1", i%5, i)
		scan := fmt.Sprintf("SELECT k%d, count(*) FROM t_%d.m GROUP BY k%d", i, i%5, i)
		for range 5 {
			s := model.Inspect([]byte(lookup), i%5, 0)
			model.Observe(&s, drawCost(r, 50, 0.5, 0), 0)
		}
		if i%5 == 0 {
			s := model.Inspect([]byte(scan), i%5, 0)
			model.Observe(&s, drawCost(r, 2000, 0.5, 0), 0)
		}
	}
	lookupQuery := model.Inspect([]byte("SELECT z FROM t_9.other WHERE y = 7"), 9, 0)
	scanQuery := model.Inspect([]byte("SELECT z, count(*) FROM t_9.other GROUP BY z"), 9, 0)
	lookup, scan := model.Estimate(&lookupQuery), model.Estimate(&scanQuery)
	if lookup.Observations != 0 || lookup.WorkMillis < 20 || lookup.WorkMillis > 150 || scan.WorkMillis < 600 || scan.FullScan != "t_9.other" || lookup.FullScan != "" {
		t.Errorf("lookup %+v\nscan %+v", lookup, scan)
	}
}

// A load makes estimates uncertain, and the estimate follows a cost that grows with the loads.
func TestLoadMakesEstimateUncertain(t *testing.T) {
	r := rand.New(rand.NewSource(5))
	model := NewModel(1<<20, 1, nil)
	s := model.Inspect([]byte("SELECT a FROM t_1.m WHERE b > 1"), 1, 0)
	mean := 100.0
	for range 30 {
		for range 10 {
			model.Observe(&s, drawCost(r, mean, 0.2, 0), 0)
		}
		if e := model.Estimate(&s); e.Uncertain {
			t.Fatal("uncertain after ten observations")
		}
		model.RecordLoad(1)
		if e := model.Estimate(&s); !e.Uncertain {
			t.Fatal("certain after a load")
		}
		mean *= 1.04
	}
	if e := model.Estimate(&s); e.WorkMillis < 0.75*mean || e.WorkMillis > 1.3*mean {
		t.Errorf("estimate %.0f, actual mean %.0f", e.WorkMillis, mean)
	}
}

// skewTrial observes statements whose cost may depend on a literal.
type skewTrial struct {
	model  *Model
	random *rand.Rand
	skewed bool // the statements with costlyLiteral take 25 times as long
}

const costlyLiteral = 3

func (s *skewTrial) query(literal int) (q Query, cost float64) {
	q = s.model.Inspect([]byte(fmt.Sprintf("SELECT a FROM t_1.m WHERE b > 5 AND c = 'v%d'", literal)), 1, 0)
	cost = drawCost(s.random, 100, 0.35, 0.1)
	if s.skewed && literal == costlyLiteral {
		cost *= 25
	}
	return q, cost
}

// run observes 700 statements. If the trial is skewed, they have sixteen different literals, and otherwise literals
// that never repeat.
func (s *skewTrial) run() {
	for range 700 {
		literal := s.random.Intn(16)
		if !s.skewed {
			literal = s.random.Int()
		}
		q, cost := s.query(literal)
		s.model.Observe(&q, cost, 0)
	}
}

// A shape is split if one literal of sixteen is costly, and the estimate of the literal's group then comes from its
// own observations. Bad plans alone, or literals that never repeat, do not split a shape.
func TestCostlyLiteralSplitsShape(t *testing.T) {
	split, falseSplits := 0, 0
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		for _, skewed := range []bool{true, false} {
			trial := skewTrial{model: NewModel(1<<20, 1, nil), random: random, skewed: skewed}
			trial.run()
			splits := trial.model.SplitShapes.Load()
			if n := trial.model.skewSearches.Load(); n != 0 {
				t.Errorf("seed %d: %d searches have not ended", seed, n)
			}
			if !skewed {
				falseSplits += int(splits)
				continue
			}
			if splits == 0 {
				continue
			}
			split++
			costly, _ := trial.query(costlyLiteral)
			cheap, _ := trial.query(costlyLiteral + 1)
			if e, f := trial.model.Estimate(&costly), trial.model.Estimate(&cheap); e.WorkMillis < 800 || f.WorkMillis > 250 {
				t.Errorf("seed %d: costly %.0f, cheap %.0f", seed, e.WorkMillis, f.WorkMillis)
			}
		}
	}
	t.Logf("%d of 40 skewed shapes split, %d splits of other shapes", split, falseSplits)
	if split < 36 || falseSplits > 0 {
		t.Errorf("%d of 40 skewed shapes split, %d splits of other shapes", split, falseSplits)
	}
}
