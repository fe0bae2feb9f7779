package experiment

import (
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/stats"
)

// ScriptEvent is a step of the script as it was carried out.
type ScriptEvent struct {
	At   time.Duration `json:"at_ns"`
	What string        `json:"what"`
}

// Result is the outcome of a run.
type Result struct {
	Name      string           `json:"name"`
	Seed      int64            `json:"seed"`
	Began     time.Time        `json:"began"`
	Length    time.Duration    `json:"length_ns"`
	Took      time.Duration    `json:"took_ns"`
	Scheduled int64            `json:"scheduled"`
	NotSent   int64            `json:"not_offered"` // counted as such when a worker was lost
	Unknown   int64            `json:"unknown"`     // of a lost worker: whether they were sent can't be told
	Metrics   *stats.Metrics   `json:"figures"`
	Script    []ScriptEvent    `json:"script"`
	Verdicts  []Verdict        `json:"verdicts"`
	Truth     []Comparison     `json:"truth,omitempty"`
	Gateways  []GatewayMetrics `json:"gateways,omitempty"`
	Swapped   int              `json:"swapped,omitempty"` // requests that began while their engine was short of memory
	Process   ProcessUsage     `json:"process"`

	bySecond      []int64               // requests of the schedule, by second
	trueLatencies map[int][]trueLatency // by class
}

// GatewayMetrics are those of one gateway's process.
type GatewayMetrics struct {
	Name   string `json:"name"`
	PeakKB int64  `json:"peak_kb"`
}

// Verdict is whether a run kept one bound.
type Verdict struct {
	Name string `json:"name"`
	Good bool   `json:"good"`
	Text string `json:"text"`
}

// Good tells whether all bounds were kept.
func (r *Result) Good() bool {
	for _, verdict := range r.Verdicts {
		if !verdict.Good {
			return false
		}
	}
	return true
}

// countSchedule counts the schedule's requests, second by second.
func (r *Result) countSchedule(e *Experiment) error {
	schedule, err := arrival.NewSchedule(&e.Shape, e.Classes, e.Seed, e.Length)
	if err != nil {
		return err
	}
	for request, ok := schedule.Next(); ok; request, ok = schedule.Next() {
		r.Scheduled++
		for len(r.bySecond) <= int(request.At/time.Second) {
			r.bySecond = append(r.bySecond, 0)
		}
		r.bySecond[request.At/time.Second]++
	}
	return nil
}
