package admission

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Snapshot is what a router knows that is worth keeping when its process dies. Times are those of its clock.
type Snapshot struct {
	Version       int
	At            Time
	Classes       []ClassSnapshot     `json:"Lanes"`
	RunTime       float64             `json:"Ran"` // as in Router
	RequestedWork float64             `json:"Asked"`
	MeanWork      float64             `json:"Usual"`
	MeanBusyShare float64             `json:"Busy"`
	MinPrice      float64             `json:"Bar"`
	Engines       []EngineSnapshot    // by id
	RetrySpans    []RetrySpanSnapshot `json:"Takes"`
	RestingKeys   []KeySnapshot       `json:"Rests"` // by key
}

// ClassSnapshot is what was learned of a class.
type ClassSnapshot struct {
	RunTime          float64 `json:"Run"`
	Work             float64
	Memory           float64
	Answers          float64
	Requests         float64 `json:"Tasks"`
	CorrectionFactor float64 `json:"Ease"`
}

// EngineSnapshot is what was seen of an engine; by its last start one that began anew is told.
type EngineSnapshot struct {
	Engine         EngineID
	Since          Time
	Bound          float64
	Utilization    float64 `json:"Util"`
	Report         Report
	ReportAt       Time
	FailureScore   float64 `json:"Distrust"`
	FailureScoreAt Time    `json:"DistrustAt"`
}

// RetrySpanSnapshot is a part of the retry budget's window.
type RetrySpanSnapshot struct {
	Index    Time
	Requests float64 `json:"Taken"`
	Retries  float64 `json:"Extra"`
}

// KeySnapshot is a key that rests.
type KeySnapshot struct {
	Key        string
	RestsUntil Time `json:"Rest"`
}

// snapshotVersion is raised with every change of the form.
const snapshotVersion = 1

// TakeSnapshot is what the router knows now.
func (r *Controller) TakeSnapshot(now Time) *Snapshot {
	m := &Snapshot{Version: snapshotVersion, At: now, RunTime: r.ran, RequestedWork: r.asked, MeanWork: r.usual, MeanBusyShare: r.busy, MinPrice: r.pools[0].bar}
	for _, l := range r.classes {
		m.Classes = append(m.Classes, ClassSnapshot{l.run, l.work, l.memory, l.answers, l.requests, l.ease})
	}
	for i := range r.engines {
		if e := &r.engines[i]; e.State != Gone {
			m.Engines = append(m.Engines, EngineSnapshot{e.Engine, e.Since, e.bound, e.util, e.report, e.reportAt, e.failures, e.failuresAt})
		}
	}
	slices.SortFunc(m.Engines, func(a, b EngineSnapshot) int { return compare(a.Engine, b.Engine) })
	for _, s := range r.retries {
		if s.taken > 0 || s.extra > 0 {
			m.RetrySpans = append(m.RetrySpans, RetrySpanSnapshot{s.index, s.taken, s.extra})
		}
	}
	for key, turn := range r.turns {
		if turn.rest > now {
			m.RestingKeys = append(m.RestingKeys, KeySnapshot{key, turn.rest})
		}
	}
	slices.SortFunc(m.RestingKeys, func(a, b KeySnapshot) int { return compare(a.Key, b.Key) })
	return m
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Encode writes a memory.
func (m *Snapshot) Encode() []byte {
	b, err := json.Marshal(m)
	if err != nil { // figures that are no numbers
		return nil
	}
	return b
}

// DecodeSnapshot reads one; another version's is refused.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	m := &Snapshot{}
	if err := json.Unmarshal(b, m); err != nil {
		return nil, err
	}
	if m.Version != snapshotVersion {
		return nil, fmt.Errorf("version %d of the form, this program knows %d", m.Version, snapshotVersion)
	}
	return m, nil
}
