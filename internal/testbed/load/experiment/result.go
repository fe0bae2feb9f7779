package experiment

import (
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/stats"
)

// ScriptEvent records that a step of the script was carried out.
type ScriptEvent struct {
	At   time.Duration `json:"at_ns"`
	What string        `json:"what"`
}

// Result is the outcome of a run.
type Result struct {
	Name      string           `json:"name"`
	Seed      int64            `json:"seed"`
	Began     time.Time        `json:"began"` // start of the load
	Length    time.Duration    `json:"length_ns"`
	Took      time.Duration    `json:"took_ns"`
	Scheduled int64            `json:"scheduled"`
	NotSent   int64            `json:"not_offered"` // requests that were not sent because a worker was lost
	Unknown   int64            `json:"unknown"`     // requests that a lost worker may have sent
	Metrics   *stats.Metrics   `json:"figures"`
	Script    []ScriptEvent    `json:"script"`
	Verdicts  []Verdict        `json:"verdicts"`
	Truth     []Comparison     `json:"truth,omitempty"`
	Gateways  []GatewayMetrics `json:"gateways,omitempty"`
	Swapped   int              `json:"swapped,omitempty"` // requests that started while their engine was short of memory
	Process   ProcessUsage     `json:"process"`

	scheduledBySecond []int64               // number of scheduled requests in each second
	trueLatencies     map[int][]trueLatency // by class
}

// GatewayMetrics describes one gateway's process.
type GatewayMetrics struct {
	Name   string `json:"name"`
	PeakKB int64  `json:"peak_kb"`
}

// Verdict reports whether a run met one of its bounds.
type Verdict struct {
	Name string `json:"name"`
	Good bool   `json:"good"`
	Text string `json:"text"`
}

// Good reports whether all bounds were met.
func (r *Result) Good() bool {
	for _, verdict := range r.Verdicts {
		if !verdict.Good {
			return false
		}
	}
	return true
}

// countSchedule counts the schedule's requests, in all and in each second.
func (r *Result) countSchedule(e *Experiment) error {
	schedule, err := arrival.NewSchedule(&e.Shape, e.Classes, e.Seed, e.Length)
	if err != nil {
		return err
	}
	for request, ok := schedule.Next(); ok; request, ok = schedule.Next() {
		r.Scheduled++
		for len(r.scheduledBySecond) <= int(request.At/time.Second) {
			r.scheduledBySecond = append(r.scheduledBySecond, 0)
		}
		r.scheduledBySecond[request.At/time.Second]++
	}
	return nil
}
