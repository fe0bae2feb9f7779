package admission

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Snapshot is the state of a controller that a later process can use. Times are those of the controller's clock. Stored files use
// the field names in the tags.
type Snapshot struct {
	Version       int
	At            Time
	Classes       []ClassSnapshot       `json:"Lanes"`
	RunTime       float64               `json:"Ran"`   // estimator.threadTime: thread time of the attempts that ended lately
	RequestedWork float64               `json:"Asked"` // estimator.requestedWork: their work
	MeanWork      float64               `json:"Usual"`
	MeanBusyShare float64               `json:"Busy"`
	MinPrice      float64               `json:"Bar"`
	Engines       []EngineSnapshot      // sorted by engine ID
	RetrySpans    []RetrySpanSnapshot   `json:"Takes"`
	KeyCooldowns  []KeyCooldownSnapshot `json:"Rests"` // sorted by key
}

// ClassSnapshot is the stored state of a class.
type ClassSnapshot struct {
	RunTime          float64 `json:"Run"`
	Work             float64
	Memory           float64
	Answers          float64
	Requests         float64 `json:"Tasks"`
	CorrectionFactor float64 `json:"Ease"`
}

// EngineSnapshot is the stored state of an engine. A different StartedAt shows that the engine has been restarted.
type EngineSnapshot struct {
	Engine         EngineID
	StartedAt      Time    `json:"Since"`
	Limit          float64 `json:"Bound"`
	Utilization    float64 `json:"Util"`
	Report         Report
	ReportAt       Time
	FailureScore   float64 `json:"Distrust"`
	FailureScoreAt Time    `json:"DistrustAt"`
}

// RetrySpanSnapshot is the stored state of one span of the retry budget's window.
type RetrySpanSnapshot struct {
	Index    Time
	Requests float64 `json:"Taken"`
	Retries  float64 `json:"Extra"`
}

// KeyCooldownSnapshot is the stored cooldown of a key.
type KeyCooldownSnapshot struct {
	Key   string
	Until Time `json:"Rest"`
}

// snapshotVersion must be incremented with every change of the stored format.
const snapshotVersion = 1

// TakeSnapshot returns the controller's present state.
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
	return EngineSnapshot{Engine: e.Engine, StartedAt: e.StartedAt, Limit: e.concurrency.limit, Utilization: e.load.utilization,
		Report: e.load.report, ReportAt: e.load.reportAt, FailureScore: e.failures.points, FailureScoreAt: e.failures.addedAt}
}

// RestoreSnapshot initializes the controller from a snapshot of an earlier process. It must be called before the first update of
// the engine list. Old values have less weight. What that process did after the snapshot is unknown, and two processes together
// must not do what one alone may not do. Therefore the retry budget counts as used up if the snapshot is younger than twice the
// retry window, and so does the current span's slow-start budget of the engines that are warming up.
func (c *Controller) RestoreSnapshot(now Time, s *Snapshot) {
	const halfLife = 60 * Second // weights halve in this time because the mix of requests changes within minutes
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

// restore sets the estimates from a snapshot. The estimates of classes are used only if the snapshot has the same number of
// classes; weight, 0 to 1, is the weight of their answers and requests.
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

// restoreEngine sets an engine's state from the snapshot if the engine has not been restarted since. The concurrency limit moves
// towards the stored one, by less the older the snapshot is. The load report and the failure score keep their age.
func (c *Controller) restoreEngine(engine *engineState) {
	const limitLifetime = 10 * Second // after this time, the limit would have been stepped to another value
	for i := range c.snapshot.Engines {
		stored := &c.snapshot.Engines[i]
		if stored.Engine != engine.Engine || stored.StartedAt != engine.StartedAt {
			continue
		}
		engine.concurrency.limit += (stored.Limit - engine.concurrency.limit) * max(0, 1-float64(c.now-c.snapshot.At)/float64(limitLifetime))
		engine.load.utilization, engine.load.report, engine.load.reportAt = stored.Utilization, stored.Report, stored.ReportAt
		engine.failures.points, engine.failures.addedAt = stored.FailureScore, stored.FailureScoreAt
		if c.slowStart.isWarmingUp(engine, c.now) {
			engine.slowStartUse = slowStartUse{span: c.slowStart.spanOf(c.now), work: math.Inf(1)}
		}
	}
}

// Encode returns the stored format of a snapshot, or nil if it contains a value that JSON can't represent, such as NaN.
func (s *Snapshot) Encode() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return b
}

// DecodeSnapshot parses the stored format of a snapshot. It returns an error if the version is not the current one.
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
