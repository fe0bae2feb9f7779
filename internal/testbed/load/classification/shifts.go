package classification

import (
	"math"
	"math/rand"

	"magpiebank/internal/query/costmodel"
)

// The measurement of shifts: in each run a cost is steady for a while and then grows by a factor of three.
const (
	shiftRuns       = 200
	steadyAnswers   = 500
	detectionBound  = 20 // answers within which a shift should be detected
	maxShiftAnswers = 100
	steadyMillis    = 100
	shiftedMillis   = 300
	costScatter     = 0.5 // of the logarithm
	badPlanShare    = 0.1
	shiftModelBytes = 1 << 20
	seedStride      = 1000
)

// shiftRun is a cost model that observes one statement.
type shiftRun struct {
	random    *rand.Rand
	model     *costmodel.Model
	statement costmodel.Query
}

// observe draws a cost around a mean, with bad plans and scatter as planners have.
func (s *shiftRun) observe(meanMillis float64) {
	workMillis := meanMillis * math.Exp(costScatter*s.random.NormFloat64())
	if s.random.Float64() < badPlanShare {
		workMillis *= 10 + 10*s.random.Float64()
	}
	s.model.Observe(&s.statement, workMillis, 0)
}

// measureShifts has costs grow by a factor of three after some hundred answers, and counts how soon that is detected.
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
