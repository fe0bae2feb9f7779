// Package stats counts what became of a load: latencies from the intended times, outcomes by class and second, what
// of the delay was the generator's own, and whether each request had one complete answer.
package stats

import (
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magpiebank/internal/testbed/load/client"
)

// Second is what was intended within one second, and what became of it.
type Second struct {
	Offered      int64
	Outcomes     [client.OutcomeCount]int64
	Worst        time.Duration // latency of an answer
	WorstRequest uint64        // and the request's number
	latency      *hdrhistogram.Histogram
}

// Quantile is the latency of the second's served requests.
func (s *Second) Quantile(q float64) time.Duration { return quantile(s.latency, q) }

// ClassMetrics is the metrics of one class.
type ClassMetrics struct {
	Name             string
	LatencyObjective time.Duration
	Offered          int64
	WithinObjective  int64 // served within the latency objective
	Attempts         int64
	Outcomes         [client.OutcomeCount]*hdrhistogram.Histogram
	ClosedLoop       *hdrhistogram.Histogram // served ones as a closed loop would count them: from when they were sent
}

// Quantile is the latency of a class's requests of one outcome.
func (c *ClassMetrics) Quantile(outcome client.Outcome, q float64) time.Duration {
	return quantile(c.Outcomes[outcome], q)
}

// Metrics are those of one run, or of a shard of it; shards are merged.
type Metrics struct {
	Classes        []ClassMetrics
	Misbehaving    ClassMetrics // of clients that are slow, leave or are silent
	Seconds        []Second
	GeneratorDelay *hdrhistogram.Histogram // the generator's own share of each latency
	QueueDelay     *hdrhistogram.Histogram // the share that was spent waiting for a connection under the limit
	Violations     map[string]int64        // broken rules by kind
	Examples       map[string]uint64       // and a request for each

	finishedRequests map[uint64]uint64 // a bit for each request that has its outcome
}

// misbehavingName names the metrics of misbehaving clients in tables.
const misbehavingName = "odd clients"

// New returns empty metrics for classes with these names and latency objectives.
func New(names []string, objectives []time.Duration) *Metrics {
	metrics := &Metrics{GeneratorDelay: newHistogram(significantDigits), QueueDelay: newHistogram(significantDigits), Violations: map[string]int64{},
		Examples: map[string]uint64{}, finishedRequests: map[uint64]uint64{}}
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

// maxSeconds bounds the metrics by second: a day.
const maxSeconds = 86400

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

// RecordOffered counts a request that was handed to a client.
func (m *Metrics) RecordOffered(at time.Duration) { m.second(at).Offered++ }

// The kinds of broken rules.
const (
	ViolationTwoOutcomes      = "a task had two outcomes"
	ViolationUnexpectedAnswer = "an answer that nobody asked for, or a second one"
	ViolationIncompleteRows   = "an answer whose rows are not whole"
	ViolationNoOutcome        = "a task had no outcome"
	ViolationConnectionLost   = "a connection ended without the answer"
	ViolationNoAnswer         = "no answer while the client waited"
)

// RecordViolation counts a broken rule, with the number of the request that broke it.
func (m *Metrics) RecordViolation(kind string, request uint64) {
	m.Violations[kind]++
	if m.Violations[kind] == 1 {
		m.Examples[kind] = request
	}
}

// violationOf returns the rule that an outcome breaks; empty: none.
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

// RecordFinished counts a request's outcome. A second outcome of the same request counts as a violation alone.
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

// HasOutcome tells whether a request has its outcome.
func (m *Metrics) HasOutcome(request uint64) bool {
	return m.finishedRequests[request/64]&(1<<(request%64)) != 0
}

// RecordMissing counts the requests of a schedule that have no outcome.
func (m *Metrics) RecordMissing(offered int64) {
	finished := int64(0)
	for _, bitmap := range m.finishedRequests {
		finished += int64(bits.OnesCount64(bitmap))
	}
	if missing := offered - finished; missing > 0 {
		m.Violations[ViolationNoOutcome] += missing
	}
}

// Total is how many requests have an outcome.
func (m *Metrics) Total() (total int64) {
	for i := range m.Classes {
		total += m.Classes[i].Offered
	}
	return total + m.Misbehaving.Offered
}

// Count is how many requests of well-behaved clients had an outcome.
func (m *Metrics) Count(outcome client.Outcome) (count int64) {
	for i := range m.Classes {
		count += m.Classes[i].Outcomes[outcome].TotalCount()
	}
	return count
}

// GeneratorDelayQuantile is a quantile of the delays that are the generator's own.
func (m *Metrics) GeneratorDelayQuantile(q float64) time.Duration {
	return quantile(m.GeneratorDelay, q)
}

// QueueDelayQuantile is a quantile of the waits for a connection.
func (m *Metrics) QueueDelayQuantile(q float64) time.Duration { return quantile(m.QueueDelay, q) }
