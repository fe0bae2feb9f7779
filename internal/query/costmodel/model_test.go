package costmodel

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

func BenchmarkKnownShape(b *testing.B) { // a shape that is known, up to its estimate
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

// drawCost draws answers about a mean: lognormal, one in ten a bad plan.
func drawCost(r *rand.Rand, mean, deviation, bad float64) float64 {
	v := mean * math.Exp(deviation*r.NormFloat64())
	if r.Float64() < bad {
		v *= 15 + 9*r.Float64()
	}
	return v
}

// A cost that is usual one time and bad one time in ten is known by both; a shift of factor three is found within
// twenty answers, and false alarms are rarer than one in ten thousand answers.
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

// Scans and look-ups of one class are told apart once a few of either have been observed elsewhere.
func TestFirstEstimateTellsScansFromLookups(t *testing.T) {
	r := rand.New(rand.NewSource(3))
	model := NewModel(1<<20, 1, nil)
	for i := range 30 {
		look := fmt.Sprintf("SELECT a FROM t_%d.m WHERE k%d = 1", i%5, i)
		scan := fmt.Sprintf("SELECT k%d, count(*) FROM t_%d.m GROUP BY k%d", i, i%5, i)
		for range 5 {
			s := model.Inspect([]byte(look), i%5, 0)
			model.Observe(&s, drawCost(r, 50, 0.5, 0), 0)
		}
		if i%5 == 0 {
			s := model.Inspect([]byte(scan), i%5, 0)
			model.Observe(&s, drawCost(r, 2000, 0.5, 0), 0)
		}
	}
	one := model.Inspect([]byte("SELECT z FROM t_9.other WHERE y = 7"), 9, 0)
	two := model.Inspect([]byte("SELECT z, count(*) FROM t_9.other GROUP BY z"), 9, 0)
	look, scan := model.Estimate(&one), model.Estimate(&two)
	if look.Observations != 0 || look.WorkMillis < 20 || look.WorkMillis > 150 || scan.WorkMillis < 600 || scan.FullScan != "t_9.other" || look.FullScan != "" {
		t.Errorf("look-up %+v\nscan %+v", look, scan)
	}
}

// Loads make estimates uncertain, and a cost that grows with the loads is followed.
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
		t.Errorf("estimate %.0f, truth %.0f", e.WorkMillis, mean)
	}
}

// skewTrial observes statements whose cost may depend on their literal.
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

// run observes 700 statements: with sixteen literals if the trial is skewed, and with literals that never come again
// otherwise.
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

// A shape is split if one literal of sixteen is costly, and then the literal's group is known by its own observations; bad
// plans alone, or literals that never come again, split nothing.
func TestCostlyLiteralSplitsShape(t *testing.T) {
	split, falsely := 0, 0
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		for _, skewed := range []bool{true, false} {
			trial := skewTrial{model: NewModel(1<<20, 1, nil), random: random, skewed: skewed}
			trial.run()
			splits := trial.model.SplitShapes.Load()
			if n := trial.model.skewSearches.Load(); n != 0 {
				t.Errorf("seed %d: %d shapes are still searched", seed, n)
			}
			if !skewed {
				falsely += int(splits)
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
	t.Logf("%d of 40 split, %d falsely", split, falsely)
	if split < 36 || falsely > 0 {
		t.Errorf("%d of 40 split, %d falsely", split, falsely)
	}
}
