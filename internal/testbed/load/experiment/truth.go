package experiment

import (
	"math"
	"slices"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/stats"
)

// Comparison compares one class's reported latencies with the true ones.
type Comparison struct {
	Class    string `json:"lane"`
	Requests int    `json:"tasks"`  // requests that have a true latency
	Hidden   int    `json:"hidden"` // requests that the closed loop would not have sent
	Users    int    `json:"closed_loop_users"`
	Rows     []Row  `json:"rows"`
	Good     bool   `json:"good"`
}

// Row is one quantile of a comparison.
type Row struct {
	Quantile float64       `json:"quantile"` // 1: the maximum
	Reported time.Duration `json:"reported_ns"`
	True     time.Duration `json:"true_ns"`
	Closed   time.Duration `json:"closed_loop_ns"` // the quantile that the closed loop would have reported
	Good     bool          `json:"good"`
}

// trueLatency is a request's intended time, and its latency by the fakes' log.
type trueLatency struct{ at, latency time.Duration }

// checkTruth compares the reported latencies with those in the fakes' log. A true latency lasts from the request's intended
// time until the fake has sent the last byte of the answer.
func (r *Result) checkTruth(e *Experiment, log *fake.ExecutionLog) {
	r.trueLatencies = map[int][]trueLatency{}
	unanswered := 0
	e.eachRequest(func(request *arrival.Request) {
		answeredAt, ok := findAnswer(e, log, request)
		if !ok {
			unanswered++
			return
		}
		latency := answeredAt.Sub(r.Began) - request.At
		r.trueLatencies[request.Class] = append(r.trueLatencies[request.Class], trueLatency{request.At, latency})
	})
	good := true
	for class := range e.Classes {
		comparison := compareClass(&r.Metrics.Classes[class], r.trueLatencies[class], &e.Bounds)
		good = good && comparison.Good
		r.Truth = append(r.Truth, comparison)
	}
	r.addVerdict("truth", good, "reported quantiles against the true ones, within %g%% or %v; %d tasks have no true answer",
		100*e.Bounds.TruthTolerance, e.Bounds.MinTruthTolerance, unanswered)
}

// findAnswer returns the time of the answer to the request's last attempt that was answered with data.
func findAnswer(e *Experiment, log *fake.ExecutionLog, request *arrival.Request) (answeredAt time.Time, ok bool) {
	for attempt := max(1, e.Behavior.MaxAttempts); attempt >= 1; attempt-- {
		record, ok := log.Find(wireID(e.Seed, request.Number, attempt))
		if ok && !record.AnsweredAt.IsZero() && record.Answer == "data" {
			return record.AnsweredAt, true
		}
	}
	return time.Time{}, false
}

var comparedQuantiles = []float64{0.5, 0.9, 0.99, 0.999, 1}

func compareClass(class *stats.ClassMetrics, truths []trueLatency, bounds *Bounds) Comparison {
	comparison := Comparison{Class: class.Name, Requests: len(truths),
		Good: int64(len(truths)) == class.Outcomes[client.Served].TotalCount()}
	latencies := make([]time.Duration, len(truths))
	for i, truth := range truths {
		latencies[i] = truth.latency
	}
	slices.Sort(latencies)
	comparison.Users = closedLoopUsers(truths, latencies, bounds)
	closedLoop := closedLoopLatencies(truths, comparison.Users)
	comparison.Hidden = len(truths) - len(closedLoop)
	slices.Sort(closedLoop)
	for _, quantile := range comparedQuantiles {
		row := Row{Quantile: quantile, Reported: class.Quantile(client.Served, quantile), True: exactQuantile(latencies, quantile),
			Closed: exactQuantile(closedLoop, quantile)}
		tolerance := max(bounds.MinTruthTolerance, time.Duration(bounds.TruthTolerance*float64(row.True)))
		row.Good = (row.Reported - row.True).Abs() <= tolerance
		comparison.Good = comparison.Good && row.Good
		comparison.Rows = append(comparison.Rows, row)
	}
	return comparison
}

// closedLoopUsers returns the number of users of the closed loop. If the bounds give none, it is the mean number of
// requests in progress that follows from the run's rate and median latency.
func closedLoopUsers(truths []trueLatency, sorted []time.Duration, bounds *Bounds) int {
	if bounds.ClosedUsers != 0 || len(truths) <= 1 {
		return bounds.ClosedUsers
	}
	span := truths[len(truths)-1].at - truths[0].at
	return max(1, int(math.Ceil(float64(len(truths))/span.Seconds()*exactQuantile(sorted, 0.5).Seconds())))
}

// closedLoopLatencies returns the latencies that a closed loop would measure. Each user sends the next request only after the
// previous one is answered, so requests that are due while all users wait are not sent.
func closedLoopLatencies(truths []trueLatency, users int) (seen []time.Duration) {
	busyUntil := make([]time.Duration, max(1, users))
	for _, truth := range truths {
		for user := range busyUntil {
			if busyUntil[user] <= truth.at {
				busyUntil[user] = truth.at + truth.latency
				seen = append(seen, truth.latency)
				break
			}
		}
	}
	return seen
}

// exactQuantile returns a quantile of sorted times: the time whose rank is the quantile times the number of times, rounded,
// as in histograms.
func exactQuantile(sorted []time.Duration, quantile float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, max(0, int(quantile*float64(len(sorted))+0.5)-1))]
}
