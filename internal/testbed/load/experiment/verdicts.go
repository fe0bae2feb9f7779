package experiment

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/stats"
)

// checkedQuantile is the quantile of the generator's and queue delays that is compared with the bounds.
const checkedQuantile = 0.99

// checkBounds checks the result against the experiment's bounds and adds the verdicts. log is the fakes' log, or nil.
func (r *Result) checkBounds(e *Experiment, log *fake.ExecutionLog) {
	r.Metrics.RecordMissing(r.Scheduled - r.NotSent - r.Unknown)
	r.checkDelays(&e.Bounds)
	r.checkOffered(&e.Bounds)
	r.checkRules(&e.Bounds)
	if log != nil && e.Installation != nil {
		r.checkEffects(e, log)
	}
	for i := range e.Bounds.Goals {
		r.checkGoal(e, &e.Bounds.Goals[i])
	}
	if e.Bounds.CheckTruth && log != nil {
		r.checkTruth(e, log)
	}
}

func (r *Result) addVerdict(name string, good bool, format string, args ...any) {
	r.Verdicts = append(r.Verdicts, Verdict{name, good, fmt.Sprintf(format, args...)})
}

// checkDelays checks the delays that the generator and the limit of connections added to the latencies.
func (r *Result) checkDelays(bounds *Bounds) {
	metrics := r.Metrics
	delay := metrics.GeneratorDelayQuantile(checkedQuantile)
	punctuality := "in time"
	if delay > bounds.GeneratorDelay {
		punctuality = "late"
	}
	r.addVerdict("generator", delay <= bounds.GeneratorDelay, "%s: its own delay is %v at p99 and %v at most; the bound is %v at p99; "+
		"waits for a connection under its limit %v at p99", punctuality, delay, metrics.GeneratorDelayQuantile(1), bounds.GeneratorDelay,
		metrics.QueueDelayQuantile(checkedQuantile))
	if bounds.QueueDelay > 0 {
		queueDelay := metrics.QueueDelayQuantile(checkedQuantile)
		r.addVerdict("connections", queueDelay <= bounds.QueueDelay, "waits for a connection under the limit are %v at p99, the bound is %v",
			queueDelay, bounds.QueueDelay)
	}
}

// checkOffered checks that the schedule's requests were offered, in all and in each second.
func (r *Result) checkOffered(bounds *Bounds) {
	metrics := r.Metrics
	worstDeviation, worstSecond := 0.0, 0
	for second, expected := range r.scheduledBySecond {
		var offered int64
		if second < len(metrics.Seconds) {
			offered = metrics.Seconds[second].Offered
		}
		if expected <= 0 {
			continue
		}
		deviation := math.Abs(float64(offered-expected)) / float64(expected)
		if deviation > worstDeviation {
			worstDeviation, worstSecond = deviation, second
		}
	}
	offered := metrics.Total()
	deviation := math.Abs(float64(offered-r.Scheduled)) / math.Max(1, float64(r.Scheduled))
	r.addVerdict("offered", deviation <= bounds.OfferedTolerance && worstDeviation <= bounds.OfferedTolerance, "%d of %d tasks of the schedule were offered; the worst second "+
		"(%d) misses by %.3f%%; %d not offered and %d unknown by the loss of workers", offered, r.Scheduled, worstSecond, 100*worstDeviation,
		r.NotSent, r.Unknown)
}

// violationsByOutcome maps the outcomes that an experiment may allow to the violations as which they otherwise count.
var violationsByOutcome = map[client.Outcome]string{
	client.ConnectionLost:  stats.ViolationConnectionLost,
	client.TimedOut:        stats.ViolationNoAnswer,
	client.MalformedAnswer: stats.ViolationIncompleteRows,
}

// checkRules checks that each request had one complete answer, except for the outcomes that the experiment allows.
func (r *Result) checkRules(bounds *Bounds) {
	metrics := r.Metrics
	allowed := map[string]bool{}
	for _, outcome := range bounds.AllowedOutcomes {
		if violation, ok := violationsByOutcome[outcome]; ok {
			allowed[violation] = true
		}
	}
	broken := ""
	for _, violation := range slices.Sorted(maps.Keys(metrics.Violations)) {
		if !allowed[violation] {
			broken += fmt.Sprintf("; %s: %d (task %d first)", violation, metrics.Violations[violation], metrics.Examples[violation])
		}
	}
	r.addVerdict("rules", broken == "", "one whole answer a task%s", broken)
}

// checkEffects checks that no attempt of a non-idempotent request started to run more than once.
func (r *Result) checkEffects(e *Experiment, log *fake.ExecutionLog) {
	startedTwice := 0
	nonIdempotent := map[string]bool{}
	for index, class := range e.Installation.Classes {
		nonIdempotent[e.Classes[index].Name] = class.Effect == "unrepeatable"
	}
	e.eachRequest(func(request *arrival.Request) {
		if !nonIdempotent[e.Classes[request.Class].Name] {
			return
		}
		for attempt := 1; attempt <= e.Behavior.MaxAttempts; attempt++ {
			record, ok := log.Find(wireID(e.Seed, request.Number, attempt))
			if ok && record.Starts > 1 {
				startedTwice++
			}
		}
	})
	r.addVerdict("effects", startedTwice == 0, "%d tries of unrepeatable tasks began to run more than once", startedTwice)
}

func (r *Result) checkGoal(e *Experiment, goal *Goal) {
	class := &r.Metrics.Classes[e.classIndex(goal.Class)]
	if goal.Quantile > 0 {
		found := class.Quantile(client.Served, goal.Quantile)
		r.addVerdict("goal "+goal.Class, found <= goal.Within, "p%g is %v, the goal %v", 100*goal.Quantile, found, goal.Within)
	}
	if goal.Share > 0 {
		served := float64(class.Outcomes[client.Served].TotalCount()) / math.Max(1, float64(class.Offered))
		r.addVerdict("goal "+goal.Class, served >= goal.Share, "%.2f%% delivered, the goal %.2f%%", 100*served, 100*goal.Share)
	}
}

// wireID returns the id under which an attempt of a request is in the fakes' log.
func wireID(seed int64, request uint64, attempt int) string {
	var buffer [16]byte
	return string(mysql.AppendID(buffer[:0], client.ID(seed, request, attempt)))
}

// eachRequest calls a function with each request of the schedule.
func (e *Experiment) eachRequest(visit func(*arrival.Request)) {
	schedule, err := arrival.NewSchedule(&e.Shape, e.Classes, e.Seed, e.Length)
	if err != nil {
		return // can't happen: the run has created the same schedule before
	}
	for request, ok := schedule.Next(); ok; request, ok = schedule.Next() {
		visit(&request)
	}
}
