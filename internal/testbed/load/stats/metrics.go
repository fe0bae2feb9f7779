// Package stats aggregates the results of a load: latencies, which count from the intended times, outcomes by class and
// second, delays that the load generator caused, and whether each request had one complete answer.
package stats

import (
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magpiebank/internal/testbed/load/client"
)

// Second holds the metrics of the requests whose intended time is in one second.
type Second struct {
	Offered      int64
	Outcomes     [client.OutcomeCount]int64
	Worst        time.Duration           // longest latency of a served request
	WorstRequest uint64                  // number of that request
	latency      *hdrhistogram.Histogram // of served requests
}

// Quantile returns a latency quantile (q from 0 to 1) of the second's served requests.
func (s *Second) Quantile(q float64) time.Duration { return quantile(s.latency, q) }

// ClassMetrics holds the metrics of one class.
type ClassMetrics struct {
	Name             string
	LatencyObjective time.Duration
	Offered          int64
	WithinObjective  int64 // served within the latency objective
	Attempts         int64
	Outcomes         [client.OutcomeCount]*hdrhistogram.Histogram // latencies by outcome
	// ClosedLoop holds the latencies of served requests as a closed loop would measure them: from the time of sending.
	ClosedLoop *hdrhistogram.Histogram
}

// Quantile returns a latency quantile (q from 0 to 1) of the class's requests with an outcome.
func (c *ClassMetrics) Quantile(outcome client.Outcome, q float64) time.Duration {
	return quantile(c.Outcomes[outcome], q)
}

// Metrics holds the metrics of one run or of a shard of it. Merge combines shards.
type Metrics struct {
	Classes        []ClassMetrics
	Misbehaving    ClassMetrics // of slow, leaving and silent clients
	Seconds        []Second
	GeneratorDelay *hdrhistogram.Histogram // part of each latency that the load generator caused
	QueueDelay     *hdrhistogram.Histogram // part of each latency spent waiting for a connection under the limit
	Violations     map[string]int64        // number of violations by kind
	Examples       map[string]uint64       // by kind of violation: number of a request that caused it

	finishedRequests map[uint64]uint64 // bitmap of the requests with an outcome: request n is bit n%64 of entry n/64
}

// misbehavingName is the name of the misbehaving clients' metrics in tables.
const misbehavingName = "odd clients"

// New returns empty metrics for classes with these names and latency objectives.
func New(names []string, objectives []time.Duration) *Metrics {
	metrics := &Metrics{GeneratorDelay: newHistogram(significantDigits), QueueDelay: newHistogram(significantDigits),
		Violations: map[string]int64{}, Examples: map[string]uint64{}, finishedRequests: map[uint64]uint64{}}
	for i, name := range names {
		metrics.Classes = append(metrics.Classes, newClassMetrics(name, objectives[i]))
	}
	metrics.Misbehaving = newClassMetrics(misbehavingName, 0)
	return metrics
}

func newClassMetrics(name string, objective time.Duration) ClassMetrics {
	class := ClassMetrics{Name: name, LatencyObjective: objective, ClosedLoop: newHistogram(significantDigits)}
	for outcome := range class.Outcomes {
		class.Outcomes[outcome] = newHistogram(significantDigits)
	}
	return class
}

// maxSeconds limits the metrics by second to a day; later requests count in the last entry.
const maxSeconds = 86400

// second returns the metrics for the second that contains a time.
func (m *Metrics) second(at time.Duration) *Second {
	index := min(max(0, int(at/time.Second)), maxSeconds)
	for len(m.Seconds) <= index {
		m.Seconds = append(m.Seconds, Second{latency: newHistogram(significantDigitsPerSecond)})
	}
	return &m.Seconds[index]
}

func (m *Metrics) class(index int, misbehaving bool) *ClassMetrics {
	if misbehaving {
		return &m.Misbehaving
	}
	return &m.Classes[index]
}

// RecordOffered counts a request that was handed to the clients, by its intended time.
func (m *Metrics) RecordOffered(at time.Duration) { m.second(at).Offered++ }

// The kinds of violations.
const (
	ViolationTwoOutcomes      = "a task had two outcomes"
	ViolationUnexpectedAnswer = "an answer that nobody asked for, or a second one"
	ViolationIncompleteRows   = "an answer whose rows are not whole"
	ViolationNoOutcome        = "a task had no outcome"
	ViolationConnectionLost   = "a connection ended without the answer"
	ViolationNoAnswer         = "no answer while the client waited"
)

// RecordViolation counts a violation. It stores the number of the request if the violation is the first of its kind.
func (m *Metrics) RecordViolation(kind string, request uint64) {
	m.Violations[kind]++
	if m.Violations[kind] == 1 {
		m.Examples[kind] = request
	}
}

// violationOf returns the kind of violation that an outcome is; empty: none.
func violationOf(outcome client.Outcome) string {
	switch outcome {
	case client.MalformedAnswer:
		return ViolationIncompleteRows
	case client.ConnectionLost:
		return ViolationConnectionLost
	case client.TimedOut:
		return ViolationNoAnswer
	default:
		return ""
	}
}

// RecordFinished counts the outcome of a request. A second outcome of the same request counts only as a violation.
func (m *Metrics) RecordFinished(report *client.Report) {
	number := report.Request.Number
	if m.HasOutcome(number) {
		m.RecordViolation(ViolationTwoOutcomes, number)
		return
	}
	m.finishedRequests[number/64] |= 1 << (number % 64)
	latency := report.FinishedAt - report.Request.At
	class := m.class(report.Request.Class, report.Misbehaving)
	class.Offered++
	class.Attempts += int64(report.Attempts)
	record(class.Outcomes[report.Outcome], latency)
	record(m.GeneratorDelay, report.GeneratorDelay)
	record(m.QueueDelay, report.QueueDelay)
	if report.Misbehaving {
		return
	}
	if violation := violationOf(report.Outcome); violation != "" {
		m.RecordViolation(violation, number)
	}
	second := m.second(report.Request.At)
	second.Outcomes[report.Outcome]++
	if report.Outcome != client.Served {
		return
	}
	if latency <= class.LatencyObjective {
		class.WithinObjective++
	}
	record(class.ClosedLoop, report.FinishedAt-report.SentAt)
	record(second.latency, latency)
	if latency > second.Worst {
		second.Worst, second.WorstRequest = latency, number
	}
}

// HasOutcome reports whether a request has an outcome.
func (m *Metrics) HasOutcome(request uint64) bool {
	return m.finishedRequests[request/64]&(1<<(request%64)) != 0
}

// RecordMissing counts the offered requests that have no outcome as violations. offered is the number of offered
// requests.
func (m *Metrics) RecordMissing(offered int64) {
	finished := int64(0)
	for _, bitmap := range m.finishedRequests {
		finished += int64(bits.OnesCount64(bitmap))
	}
	if missing := offered - finished; missing > 0 {
		m.Violations[ViolationNoOutcome] += missing
	}
}

// Total returns the number of requests with an outcome.
func (m *Metrics) Total() (total int64) {
	for i := range m.Classes {
		total += m.Classes[i].Offered
	}
	return total + m.Misbehaving.Offered
}

// Count returns the number of requests from well-behaved clients that had an outcome.
func (m *Metrics) Count(outcome client.Outcome) (count int64) {
	for i := range m.Classes {
		count += m.Classes[i].Outcomes[outcome].TotalCount()
	}
	return count
}

// GeneratorDelayQuantile returns a quantile (q from 0 to 1) of the delays that the load generator caused.
func (m *Metrics) GeneratorDelayQuantile(q float64) time.Duration {
	return quantile(m.GeneratorDelay, q)
}

// QueueDelayQuantile returns a quantile (q from 0 to 1) of the times that requests waited for a connection.
func (m *Metrics) QueueDelayQuantile(q float64) time.Duration { return quantile(m.QueueDelay, q) }
