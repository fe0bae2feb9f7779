// Package stats counts what became of a load: latencies from the intended times, outcomes by class and second, what
// of the delay was the generator's own, and whether each request had one whole answer.
package stats

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magpiebank/internal/testbed/load/client"
)

// Latencies are counted in whole microseconds up to the longest wait that a load states, in three digits: a tenth of
// the hundredth part that reports promise. A second's take two, as there are many of them.
const (
	longest       = 10 * time.Minute
	digits        = 3
	digitsBySec   = 2
	histogramUnit = time.Microsecond
)

func histogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longest/histogramUnit), digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(int64(max(0, min(d, longest)) / histogramUnit))
}

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

// ClassMetrics is one class's figures.
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
func (l *ClassMetrics) Quantile(o client.Outcome, q float64) time.Duration {
	return quantile(l.Outcomes[o], q)
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	if h == nil || h.TotalCount() == 0 {
		return 0
	}
	return time.Duration(h.ValueAtPercentile(q*100)) * histogramUnit
}

// Metrics are those of one run, or of a part of it; parts are merged.
type Metrics struct {
	Classes        []ClassMetrics
	Misbehaving    ClassMetrics // of clients that are slow, leave or are mute
	Seconds        []Second
	GeneratorDelay *hdrhistogram.Histogram // the generator's own part of each latency
	QueueDelay     *hdrhistogram.Histogram // and what was spent waiting for a connection under the limit
	Violations     map[string]int64        // broken rules by kind
	Examples       map[string]uint64       // and a request for each

	seen map[uint64]uint64 // a bit for each request that has its outcome
}

// New is empty figures for classes with these names and quoted times.
func New(names []string, quoted []time.Duration) *Metrics {
	f := &Metrics{GeneratorDelay: histogram(digits), QueueDelay: histogram(digits), Violations: map[string]int64{}, Examples: map[string]uint64{},
		seen: map[uint64]uint64{}}
	for i, name := range names {
		f.Classes = append(f.Classes, newLane(name, quoted[i]))
	}
	f.Misbehaving = newLane("odd clients", 0)
	return f
}

func newLane(name string, quoted time.Duration) ClassMetrics {
	l := ClassMetrics{Name: name, LatencyObjective: quoted, ClosedLoop: histogram(digits)}
	for o := range l.Outcomes {
		l.Outcomes[o] = histogram(digits)
	}
	return l
}

// mostSeconds bounds what is kept by second: a day.
const mostSeconds = 86400

func (f *Metrics) second(at time.Duration) *Second {
	n := min(max(0, int(at/time.Second)), mostSeconds)
	for len(f.Seconds) <= n {
		f.Seconds = append(f.Seconds, Second{latency: histogram(digitsBySec)})
	}
	return &f.Seconds[n]
}

func (f *Metrics) lane(lane int, odd bool) *ClassMetrics {
	if odd {
		return &f.Misbehaving
	}
	return &f.Classes[lane]
}

// RecordOffered counts a request that was handed to a client.
func (f *Metrics) RecordOffered(at time.Duration) { f.second(at).Offered++ }

// The kinds of broken rules.
const (
	ViolationTwoOutcomes      = "a task had two outcomes"
	ViolationUnexpectedAnswer = "an answer that nobody asked for, or a second one"
	ViolationIncompleteRows   = "an answer whose rows are not whole"
	ViolationNoOutcome        = "a task had no outcome"
	ViolationConnectionLost   = "a connection ended without the answer"
	ViolationNoAnswer         = "no answer while the client waited"
)

// RecordViolation counts a broken rule.
func (f *Metrics) RecordViolation(kind string, n uint64) {
	if f.Violations[kind]++; f.Violations[kind] == 1 {
		f.Examples[kind] = n
	}
}

// RecordFinished counts a request's outcome. sent is when its last attempt was written, for the closed-loop reading.
func (f *Metrics) RecordFinished(r *client.Report) {
	n := r.Request.Number
	if f.HasOutcome(n) {
		f.RecordViolation(ViolationTwoOutcomes, n)
		return
	}
	f.seen[n/64] |= 1 << (n % 64)
	latency := r.FinishedAt - r.Request.At
	l := f.lane(r.Request.Class, r.Misbehaving)
	l.Offered++
	l.Attempts += int64(r.Attempts)
	record(l.Outcomes[r.Outcome], latency)
	record(f.GeneratorDelay, r.GeneratorDelay)
	record(f.QueueDelay, r.QueueDelay)
	if r.Misbehaving {
		return
	}
	switch r.Outcome {
	case client.MalformedAnswer:
		f.RecordViolation(ViolationIncompleteRows, n)
	case client.ConnectionLost:
		f.RecordViolation(ViolationConnectionLost, n)
	case client.TimedOut:
		f.RecordViolation(ViolationNoAnswer, n)
	}
	s := f.second(r.Request.At)
	s.Outcomes[r.Outcome]++
	if r.Outcome == client.Served {
		if latency <= l.LatencyObjective {
			l.WithinObjective++
		}
		record(l.ClosedLoop, r.FinishedAt-r.SentAt)
		record(s.latency, latency)
		if latency > s.Worst {
			s.Worst, s.WorstRequest = latency, n
		}
	}
}

// HasOutcome tells whether a request has its outcome.
func (f *Metrics) HasOutcome(n uint64) bool { return f.seen[n/64]&(1<<(n%64)) != 0 }

// RecordMissing counts the requests of a schedule that nobody gave an outcome.
func (f *Metrics) RecordMissing(offered int64) {
	have := int64(0)
	for _, word := range f.seen {
		have += int64(bits.OnesCount64(word))
	}
	if missing := offered - have; missing > 0 {
		f.Violations[ViolationNoOutcome] += missing
	}
}

// Total is how many requests have an outcome.
func (f *Metrics) Total() (n int64) {
	for i := range f.Classes {
		n += f.Classes[i].Offered
	}
	return n + f.Misbehaving.Offered
}

// Count is how many requests of the usual clients had an outcome.
func (f *Metrics) Count(o client.Outcome) (n int64) {
	for i := range f.Classes {
		n += f.Classes[i].Outcomes[o].TotalCount()
	}
	return n
}

// Merge adds the figures of another part. A request that both have counts as one with two outcomes.
func (f *Metrics) Merge(g *Metrics) error {
	if len(f.Classes) != len(g.Classes) {
		return fmt.Errorf("figures of %d lanes and of %d can't be merged", len(f.Classes), len(g.Classes))
	}
	for i := range f.Classes {
		if f.Classes[i].Name != g.Classes[i].Name {
			return fmt.Errorf("figures of lanes %q and %q can't be merged", f.Classes[i].Name, g.Classes[i].Name)
		}
		f.Classes[i].merge(&g.Classes[i])
	}
	f.Misbehaving.merge(&g.Misbehaving)
	for i := range g.Seconds {
		s, t := f.second(time.Duration(i)*time.Second), &g.Seconds[i]
		s.Offered += t.Offered
		for o := range s.Outcomes {
			s.Outcomes[o] += t.Outcomes[o]
		}
		if t.Worst > s.Worst {
			s.Worst, s.WorstRequest = t.Worst, t.WorstRequest
		}
		s.latency.Merge(t.latency)
	}
	f.GeneratorDelay.Merge(g.GeneratorDelay)
	f.QueueDelay.Merge(g.QueueDelay)
	for kind, n := range g.Violations {
		if f.Violations[kind] == 0 {
			f.Examples[kind] = g.Examples[kind]
		}
		f.Violations[kind] += n
	}
	for word, set := range g.seen {
		both := f.seen[word] & set
		for i := range uint64(64) {
			if both&(1<<i) != 0 {
				f.RecordViolation(ViolationTwoOutcomes, word*64+i)
			}
		}
		f.seen[word] |= set
	}
	return nil
}

func (l *ClassMetrics) merge(m *ClassMetrics) {
	l.Offered += m.Offered
	l.WithinObjective += m.WithinObjective
	l.Attempts += m.Attempts
	for o := range l.Outcomes {
		l.Outcomes[o].Merge(m.Outcomes[o])
	}
	l.ClosedLoop.Merge(m.ClosedLoop)
}

// GeneratorDelayQuantile is a quantile of the generator's own delay.
func (f *Metrics) GeneratorDelayQuantile(q float64) time.Duration {
	return quantile(f.GeneratorDelay, q)
}

// QueueDelayQuantile is one of waits for a connection.
func (f *Metrics) QueueDelayQuantile(q float64) time.Duration { return quantile(f.QueueDelay, q) }

// The form in which figures are sent and kept: JSON, with histograms in the library's own compressed form.
type (
	formFigures struct {
		V       int               `json:"v"`
		Lanes   []formLane        `json:"lanes"`
		Odd     formLane          `json:"odd"`
		Seconds []formSecond      `json:"seconds"`
		Own     string            `json:"own"`
		Queued  string            `json:"queued"`
		Breach  map[string]int64  `json:"breach"`
		Example map[string]uint64 `json:"example"`
		Seen    map[uint64]uint64 `json:"seen,omitempty"`
	}
	formLane struct {
		Name     string        `json:"name"`
		Quoted   time.Duration `json:"quoted_ns"`
		Offered  int64         `json:"offered"`
		Quick    int64         `json:"quick"`
		Tries    int64         `json:"tries"`
		Outcomes []string      `json:"outcomes"`
		Closed   string        `json:"closed"`
	}
	formSecond struct {
		Offered  int64         `json:"offered"`
		Outcomes []int64       `json:"outcomes"`
		Worst    time.Duration `json:"worst_ns"`
		WorstN   uint64        `json:"worst_task"`
		Latency  string        `json:"latency"`
	}
)

const formVersion = 1

func packed(h *hdrhistogram.Histogram) string {
	if h.TotalCount() == 0 {
		return ""
	}
	b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return "" // not seen: it writes to memory
	}
	return string(b)
}

func unpacked(text string, digits int) (*hdrhistogram.Histogram, error) {
	h := histogram(digits)
	if text == "" {
		return h, nil
	}
	got, err := hdrhistogram.Decode([]byte(text))
	if err != nil {
		return nil, fmt.Errorf("histogram: %w", err)
	}
	h.Merge(got)
	return h, nil
}

func (l *ClassMetrics) form() formLane {
	out := formLane{Name: l.Name, Quoted: l.LatencyObjective, Offered: l.Offered, Quick: l.WithinObjective, Tries: l.Attempts, Closed: packed(l.ClosedLoop)}
	for _, h := range l.Outcomes {
		out.Outcomes = append(out.Outcomes, packed(h))
	}
	return out
}

func (l *ClassMetrics) read(f formLane) (err error) {
	*l = newLane(f.Name, f.Quoted)
	l.Offered, l.WithinObjective, l.Attempts = f.Offered, f.Quick, f.Tries
	if len(f.Outcomes) != len(l.Outcomes) {
		return fmt.Errorf("lane %q: expected %d outcomes, found %d", f.Name, len(l.Outcomes), len(f.Outcomes))
	}
	for o := range l.Outcomes {
		if l.Outcomes[o], err = unpacked(f.Outcomes[o], digits); err != nil {
			return err
		}
	}
	l.ClosedLoop, err = unpacked(f.Closed, digits)
	return err
}

// MarshalJSON writes figures in the form in which they are sent and kept.
func (f *Metrics) MarshalJSON() ([]byte, error) {
	out := formFigures{V: formVersion, Odd: f.Misbehaving.form(), Own: packed(f.GeneratorDelay), Queued: packed(f.QueueDelay), Breach: f.Violations,
		Example: f.Examples, Seen: f.seen}
	for i := range f.Classes {
		out.Lanes = append(out.Lanes, f.Classes[i].form())
	}
	for i := range f.Seconds {
		s := &f.Seconds[i]
		out.Seconds = append(out.Seconds, formSecond{s.Offered, s.Outcomes[:], s.Worst, s.WorstRequest, packed(s.latency)})
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads that form.
func (f *Metrics) UnmarshalJSON(b []byte) (err error) {
	var in formFigures
	if err := json.Unmarshal(b, &in); err != nil {
		return err
	}
	if in.V != formVersion {
		return fmt.Errorf("figures of form %d: expected form %d", in.V, formVersion)
	}
	*f = *New(nil, nil)
	f.Classes = make([]ClassMetrics, len(in.Lanes))
	for i := range in.Lanes {
		if err := f.Classes[i].read(in.Lanes[i]); err != nil {
			return err
		}
	}
	if err := f.Misbehaving.read(in.Odd); err != nil {
		return err
	}
	for i := range in.Seconds {
		g := in.Seconds[i]
		if len(g.Outcomes) != client.OutcomeCount {
			return fmt.Errorf("second %d: expected %d outcomes, found %d", i, client.OutcomeCount, len(g.Outcomes))
		}
		s := Second{Offered: g.Offered, Worst: g.Worst, WorstRequest: g.WorstN}
		copy(s.Outcomes[:], g.Outcomes)
		if s.latency, err = unpacked(g.Latency, digitsBySec); err != nil {
			return err
		}
		f.Seconds = append(f.Seconds, s)
	}
	if f.GeneratorDelay, err = unpacked(in.Own, digits); err != nil {
		return err
	}
	if f.QueueDelay, err = unpacked(in.Queued, digits); err != nil {
		return err
	}
	if in.Breach != nil {
		f.Violations, f.Examples = in.Breach, in.Example
	}
	if in.Seen != nil {
		f.seen = in.Seen
	}
	return nil
}
