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

// judgedQuantile is the quantile of the generator's delays that the bounds hold for.
const judgedQuantile = 0.99

// judge adds the verdicts of a run by its experiment's bounds. log is the fakes' log, or nil where there is none.
func (r *Result) judge(e *Experiment, log *fake.ExecutionLog) {
	r.Metrics.RecordMissing(r.Scheduled - r.NotSent - r.Unknown)
	r.judgeDelays(&e.Bounds)
	r.judgeOffered(&e.Bounds)
	r.judgeRules(&e.Bounds)
	if log != nil && e.Installation != nil {
		r.judgeEffects(e, log)
	}
	for i := range e.Bounds.Goals {
		r.judgeGoal(e, &e.Bounds.Goals[i])
	}
	if e.Bounds.CheckTruth && log != nil {
		r.judgeTruth(e, log)
	}
}

func (r *Result) addVerdict(name string, good bool, format string, args ...any) {
	r.Verdicts = append(r.Verdicts, Verdict{name, good, fmt.Sprintf(format, args...)})
}

// judgeDelays judges what the generator added to the latencies.
func (r *Result) judgeDelays(bounds *Bounds) {
	metrics := r.Metrics
	delay := metrics.GeneratorDelayQuantile(judgedQuantile)
	punctuality := "in time"
	if delay > bounds.GeneratorDelay {
		punctuality = "late"
	}
	r.addVerdict("generator", delay <= bounds.GeneratorDelay, "%s: its own delay is %v at p99 and %v at most; the bound is %v at p99; "+
		"waits for a connection under its limit %v at p99", punctuality, delay, metrics.GeneratorDelayQuantile(1), bounds.GeneratorDelay,
		metrics.QueueDelayQuantile(judgedQuantile))
	if bounds.QueueDelay > 0 {
		queueDelay := metrics.QueueDelayQuantile(judgedQuantile)
		r.addVerdict("connections", queueDelay <= bounds.QueueDelay, "waits for a connection under the limit are %v at p99, the bound is %v",
			queueDelay, bounds.QueueDelay)
	}
}

// judgeOffered judges whether the schedule's requests were offered, in all and in each second.
func (r *Result) judgeOffered(bounds *Bounds) {
	metrics := r.Metrics
	worstMiss, worstSecond := 0.0, 0
	for second, expected := range r.bySecond {
		var offered int64
		if second < len(metrics.Seconds) {
			offered = metrics.Seconds[second].Offered
		}
		if expected <= 0 {
			continue
		}
		miss := math.Abs(float64(offered-expected)) / float64(expected)
		if miss > worstMiss {
			worstMiss, worstSecond = miss, second
		}
	}
	offered := metrics.Total()
	miss := math.Abs(float64(offered-r.Scheduled)) / math.Max(1, float64(r.Scheduled))
	r.addVerdict("offered", miss <= bounds.OfferedTolerance && worstMiss <= bounds.OfferedTolerance, "%d of %d tasks of the schedule were offered; the worst second "+
		"(%d) misses by %.3f%%; %d not offered and %d unknown by the loss of workers", offered, r.Scheduled, worstSecond, 100*worstMiss,
		r.NotSent, r.Unknown)
}

// violationsOf maps the outcomes that an experiment may allow to the violations that they count as.
var violationsOf = map[client.Outcome]string{
	client.ConnectionLost:  stats.ViolationConnectionLost,
	client.TimedOut:        stats.ViolationNoAnswer,
	client.MalformedAnswer: stats.ViolationIncompleteRows,
}

// judgeRules judges whether each request had one complete answer, but for what the experiment allows.
func (r *Result) judgeRules(bounds *Bounds) {
	metrics := r.Metrics
	allowed := map[string]bool{}
	for _, outcome := range bounds.AllowedOutcomes {
		if violation, ok := violationsOf[outcome]; ok {
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

// judgeEffects judges whether attempts at requests that are not idempotent began to run at most once.
func (r *Result) judgeEffects(e *Experiment, log *fake.ExecutionLog) {
	twice := 0
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
				twice++
			}
		}
	})
	r.addVerdict("effects", twice == 0, "%d tries of unrepeatable tasks began to run more than once", twice)
}

func (r *Result) judgeGoal(e *Experiment, goal *Goal) {
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

func wireID(seed int64, request uint64, attempt int) string {
	var buffer [16]byte
	return string(mysql.AppendID(buffer[:0], client.ID(seed, request, attempt)))
}

// eachRequest calls a function with each request of the schedule.
func (e *Experiment) eachRequest(visit func(*arrival.Request)) {
	schedule, err := arrival.NewSchedule(&e.Shape, e.Classes, e.Seed, e.Length)
	if err != nil {
		return // the run has made the same schedule before
	}
	for request, ok := schedule.Next(); ok; request, ok = schedule.Next() {
		visit(&request)
	}
}
