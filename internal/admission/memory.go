package admission

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Snapshot is what a router knows that is worth keeping when its process dies. Times are those of its clock.
type Snapshot struct {
	Version int
	At      Time
	Lanes   []LaneMemory
	Ran     float64 // as in Router
	Asked   float64
	Usual   float64
	Busy    float64
	Bar     float64
	Engines []EngineMemory // by id
	Takes   []SpanMemory
	Rests   []RestMemory // by key
}

// LaneMemory is what was learned of a class.
type LaneMemory struct{ Run, Work, Memory, Answers, Tasks, Ease float64 }

// EngineMemory is what was seen of an engine; by its last start one that began anew is told.
type EngineMemory struct {
	Engine     EngineID
	Since      Time
	Bound      float64
	Util       float64
	Report     Report
	ReportAt   Time
	Distrust   float64
	DistrustAt Time
}

// SpanMemory is a part of the retry budget's window.
type SpanMemory struct {
	Index        Time
	Taken, Extra float64
}

// RestMemory is a key that rests.
type RestMemory struct {
	Key  string
	Rest Time
}

// memoryVersion is raised with every change of the form.
const memoryVersion = 1

// Memory is what the router knows now.
func (r *Router) Memory(now Time) *Snapshot {
	m := &Snapshot{Version: memoryVersion, At: now, Ran: r.ran, Asked: r.asked, Usual: r.usual, Busy: r.busy, Bar: r.pools[0].bar}
	for _, l := range r.classes {
		m.Lanes = append(m.Lanes, LaneMemory{l.run, l.work, l.memory, l.answers, l.requests, l.ease})
	}
	for i := range r.engines {
		if e := &r.engines[i]; e.State != Gone {
			m.Engines = append(m.Engines, EngineMemory{e.Engine, e.Since, e.bound, e.util, e.report, e.reportAt, e.failures, e.failuresAt})
		}
	}
	slices.SortFunc(m.Engines, func(a, b EngineMemory) int { return compare(a.Engine, b.Engine) })
	for _, s := range r.retries {
		if s.taken > 0 || s.extra > 0 {
			m.Takes = append(m.Takes, SpanMemory{s.index, s.taken, s.extra})
		}
	}
	for key, turn := range r.turns {
		if turn.rest > now {
			m.Rests = append(m.Rests, RestMemory{key, turn.rest})
		}
	}
	slices.SortFunc(m.Rests, func(a, b RestMemory) int { return compare(a.Key, b.Key) })
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

// DecodeMemory reads one; another version's is refused.
func DecodeMemory(b []byte) (*Snapshot, error) {
	m := &Snapshot{}
	if err := json.Unmarshal(b, m); err != nil {
		return nil, err
	}
	if m.Version != memoryVersion {
		return nil, fmt.Errorf("version %d of the form, this program knows %d", m.Version, memoryVersion)
	}
	return m, nil
}
