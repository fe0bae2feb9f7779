package admission

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Snapshot is what a controller knows that is worth keeping when its process dies. Times are those of its clock.
// Stored files have the names of the tags.
type Snapshot struct {
	Version       int
	At            Time
	Classes       []ClassSnapshot       `json:"Lanes"`
	RunTime       float64               `json:"Ran"` // as in estimator: thread time and work of the attempts that ended lately
	RequestedWork float64               `json:"Asked"`
	MeanWork      float64               `json:"Usual"`
	MeanBusyShare float64               `json:"Busy"`
	MinPrice      float64               `json:"Bar"`
	Engines       []EngineSnapshot      // by id
	RetrySpans    []RetrySpanSnapshot   `json:"Takes"`
	KeyCooldowns  []KeyCooldownSnapshot `json:"Rests"` // by key
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

// EngineSnapshot is what was known of an engine. Since tells whether it has been started again.
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

// KeyCooldownSnapshot is the cooldown of a key.
type KeyCooldownSnapshot struct {
	Key   string
	Until Time `json:"Rest"`
}

// snapshotVersion is raised with every change of the stored form.
const snapshotVersion = 1

// TakeSnapshot returns what the controller knows now.
func (c *Controller) TakeSnapshot(now Time) *Snapshot {
	s := &Snapshot{Version: snapshotVersion, At: now, RunTime: c.estimates.threadTime, RequestedWork: c.estimates.requestedWork,
		MeanWork: c.estimates.meanWork, MeanBusyShare: c.estimates.meanBusyShare, MinPrice: c.pools.list[0].minPrice}
	for _, class := range c.estimates.classes {
		s.Classes = append(s.Classes, ClassSnapshot{RunTime: class.runTime, Work: class.work, Memory: class.memory,
			Answers: class.answers, Requests: class.requests, CorrectionFactor: class.correctionFactor})
	}
	for i := range c.engines.items {
		if engine := &c.engines.items[i]; engine.State != Gone {
			s.Engines = append(s.Engines, engine.snapshot())
		}
	}
	slices.SortFunc(s.Engines, func(a, b EngineSnapshot) int { return cmp.Compare(a.Engine, b.Engine) })
	for _, span := range c.retries.spans {
		if span.requests > 0 || span.retries > 0 {
			s.RetrySpans = append(s.RetrySpans, RetrySpanSnapshot{Index: span.index, Requests: span.requests, Retries: span.retries})
		}
	}
	for key, queue := range c.keys.queues {
		if queue.cooldownUntil > now {
			s.KeyCooldowns = append(s.KeyCooldowns, KeyCooldownSnapshot{Key: key, Until: queue.cooldownUntil})
		}
	}
	slices.SortFunc(s.KeyCooldowns, func(a, b KeyCooldownSnapshot) int { return cmp.Compare(a.Key, b.Key) })
	return s
}

func (e *engineState) snapshot() EngineSnapshot {
	return EngineSnapshot{Engine: e.Engine, Since: e.StartedAt, Bound: e.limit.bound, Utilization: e.load.utilization,
		Report: e.load.report, ReportAt: e.load.reportAt, FailureScore: e.failures.points, FailureScoreAt: e.failures.addedAt}
}

// RestoreSnapshot has the controller go on from what a process before it knew; it is called before the first update of the
// engine list. Old figures count for less. What that process did after it took the snapshot is not known, so within twice the
// window the retry budget counts as used up, and so does this turn at engines that warm up: two processes must not
// do together what one may not.
func (c *Controller) RestoreSnapshot(now Time, s *Snapshot) {
	const halfLife = 60 * Second // after which what was learned of classes counts half: mixes change by the minute
	c.now = now
	c.snapshot = s
	weight := math.Exp2(-float64(max(0, now-s.At)) / float64(halfLife))
	c.estimates.restore(s, weight)
	c.pools.list[0].minPrice = s.MinPrice * weight
	for _, span := range s.RetrySpans {
		c.retries.restore(retrySpan{index: span.Index, requests: span.Requests, retries: span.Retries})
	}
	if now-s.At < 2*c.retries.window {
		c.retries.exhaust(now)
	}
	for _, key := range s.KeyCooldowns {
		c.keys.queues[key.Key] = keyQueue{cooldownUntil: key.Until}
	}
}

// restore takes over what was learned, if the classes are as many; weight is what it counts for, 0 to 1.
func (s *estimator) restore(from *Snapshot, weight float64) {
	if len(from.Classes) == len(s.classes) {
		for i := range from.Classes {
			class := &from.Classes[i]
			if class.Work <= 0 || class.RunTime <= 0 || class.CorrectionFactor <= 0 {
				continue
			}
			s.classes[i] = classEstimate{runTime: class.RunTime, work: class.Work, memory: class.Memory,
				answers: class.Answers * weight, requests: class.Requests * weight,
				correctionFactor: class.CorrectionFactor, rank: initialRank}
		}
	}
	if from.RunTime > 0 && from.RequestedWork > 0 && from.MeanWork > 0 {
		s.runTime = s.runTime * from.RunTime / s.threadTime
		s.threadTime, s.requestedWork = from.RunTime, from.RequestedWork
		s.meanWork, s.meanBusyShare = from.MeanWork, from.MeanBusyShare
	}
}

// restoreEngine has an engine begin as it was last known, if it has not been started again since: its bound near the last one,
// the less the longer ago that was; its report and its failure score with their age.
func (c *Controller) restoreEngine(engine *engineState) {
	const boundLifetime = 10 * Second // by then a bound has been stepped to somewhere else
	for i := range c.snapshot.Engines {
		known := &c.snapshot.Engines[i]
		if known.Engine != engine.Engine || known.Since != engine.StartedAt {
			continue
		}
		engine.limit.bound += (known.Bound - engine.limit.bound) * max(0, 1-float64(c.now-c.snapshot.At)/float64(boundLifetime))
		engine.load.utilization, engine.load.report, engine.load.reportAt = known.Utilization, known.Report, known.ReportAt
		engine.failures.points, engine.failures.addedAt = known.FailureScore, known.FailureScoreAt
		if c.slowStart.isWarmingUp(engine, c.now) {
			engine.slowStartUse = slowStartUse{span: c.slowStart.spanOf(c.now), work: math.Inf(1)}
		}
	}
}

// Encode returns a snapshot's stored form, or nil if a figure of it can't be written because it is no number.
func (s *Snapshot) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return b
}

// DecodeSnapshot reads a snapshot's stored form. Another version is an error.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	s := &Snapshot{}
	if err := json.Unmarshal(b, s); err != nil {
		return nil, err
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("version %d of the form, this program knows %d", s.Version, snapshotVersion)
	}
	return s, nil
}
