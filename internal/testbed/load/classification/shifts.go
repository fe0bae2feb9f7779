package classification

import (
	"math"
	"math/rand"

	"magpiebank/internal/query/costmodel"
)

// The measurement of shifts: in each run a cost is steady for steadyAnswers and then grows by a factor of three.
const (
	shiftRuns       = 200
	steadyAnswers   = 500
	detectionBound  = 20 // number of answers within which a shift counts as detected
	maxShiftAnswers = 100
	steadyMillis    = 100
	shiftedMillis   = 300
	costScatter     = 0.5 // standard deviation of the cost's logarithm
	badPlanShare    = 0.1
	shiftModelBytes = 1 << 20
	seedStride      = 1000 // distance between the random seeds of consecutive measurements; at least shiftRuns, so that no seed is used twice
)

// shiftRun is one run of the measurement: a cost model that observes a single statement.
type shiftRun struct {
	random    *rand.Rand
	model     *costmodel.Model
	statement costmodel.Query
}

// observe draws a cost around a mean, with the scatter and the bad plans of a real planner, and lets the model observe it.
func (s *shiftRun) observe(meanMillis float64) {
	workMillis := meanMillis * math.Exp(costScatter*s.random.NormFloat64())
	if s.random.Float64() < badPlanShare {
		workMillis *= 10 + 10*s.random.Float64()
	}
	s.model.Observe(&s.statement, workMillis, 0)
}

// measureShifts adds to the result how soon the model detects that a cost has grown by a factor of three.
func (r *Result) measureShifts(seed int64) {
	sum := 0
	for number := range shiftRuns {
		run := &shiftRun{random: rand.New(rand.NewSource(seed*seedStride + int64(number))), model: costmodel.NewModel(shiftModelBytes, 1, nil)}
		run.statement = run.model.Inspect([]byte("SELECT a FROM t_1.m WHERE b = 1"), 1, 0)
		for range steadyAnswers {
			run.observe(steadyMillis)
		}
		r.SteadyAnswers += steadyAnswers
		falseAlarms := run.model.Shifts.Load()
		r.FalseAlarms += falseAlarms
		run.model.RecordLoad(1)
		r.Shifts++
		answers := 0
		for answers < maxShiftAnswers && run.model.Shifts.Load() == falseAlarms {
			run.observe(shiftedMillis)
			answers++
		}
		sum += answers
		if answers <= detectionBound {
			r.DetectedShifts++
		}
	}
	r.MeanAnswersToDetection = float64(sum) / shiftRuns
}
