package admission

import (
	"hash/fnv"
	"math"
	"slices"
)

// EndpointState is the state of an engine according to the engine list.
type EndpointState uint8

// The states of a listed engine.
const (
	Live EndpointState = iota
	Draining
	Gone
)

// UpdateKind is the kind of an update of the engine list.
type UpdateKind uint8

// The kinds of updates.
const (
	PartialUpdate UpdateKind = iota // contains only the changed entries
	FullUpdate                      // contains all entries
	CachedUpdate                    // contains all entries as last known; they may be outdated
	FailedPoll                      // contains nothing: a poll failed, and the previous list stays valid
)

// Endpoint is one entry of the engine list.
type Endpoint struct {
	Engine            EngineID
	Zone, Kind, Group int
	State             EndpointState
	StartedAt         Time // time of the last start; 0: long ago
}

// pollRetryDelay is the time between a failed poll of the engine list and the next poll. It limits the load on a discovery
// service that fails, and is well below the time within which a gateway is expected to know of a change.
const pollRetryDelay = Second

// engineIndex is an engine's index in engineTable.items.
type engineIndex int32

const noEngine = engineIndex(-1)

// engineState is an entry of the engine list, and what this gateway knows of the engine.
type engineState struct {
	Endpoint
	listed       bool // the latest full update or a later update contained the engine
	hash         uint32
	cores        float64
	memoryMB     float64 // +Inf: unknown
	concurrency  concurrencyState
	load         loadReport
	probe        probeState
	failures     failureScore
	peers        peerView
	slowStartUse slowStartUse
}

// engineTable holds the engines. It reuses the entries of engines that are gone.
type engineTable struct {
	items  []engineState
	byName map[EngineID]engineIndex
}

func newEngineTable() engineTable { return engineTable{byName: map[EngineID]engineIndex{}} }

// at returns the engine at an index. The pointer is valid until the next call of add.
func (t *engineTable) at(index engineIndex) *engineState { return &t.items[index] }

// add creates an entry for a new engine. It reuses the entry of an engine that is gone and has neither attempts nor a probe in
// flight.
func (t *engineTable) add(name EngineID) engineIndex {
	i := slices.IndexFunc(t.items, func(e engineState) bool {
		return e.State == Gone && e.concurrency.running == 0 && !e.probe.inFlight
	})
	if i < 0 {
		i = len(t.items)
		t.items = append(t.items, engineState{})
	} else {
		delete(t.byName, t.items[i].Engine)
		t.items[i] = engineState{}
	}
	t.byName[name] = engineIndex(i)
	hash := fnv.New32a()
	hash.Write([]byte(name))
	t.items[i].hash = hash.Sum32()
	return engineIndex(i)
}

// markAllUnlisted prepares the table for an update with all entries.
func (t *engineTable) markAllUnlisted() {
	for i := range t.items {
		t.items[i].listed = false
	}
}

// markUnlistedGone sets the state of engines that the list no longer contains to Gone.
func (t *engineTable) markUnlistedGone() {
	for i := range t.items {
		if !t.items[i].listed {
			t.items[i].State = Gone
		}
	}
}

// UpdateEndpoints processes an update of the engine list.
func (c *Controller) UpdateEndpoints(now Time, kind UpdateKind, list []Endpoint) {
	c.now = now
	if kind == FailedPoll {
		c.pollAt = now + pollRetryDelay
		return
	}
	if kind != PartialUpdate {
		c.engines.markAllUnlisted()
	}
	for _, endpoint := range list {
		c.updateEndpoint(endpoint)
	}
	c.engines.markUnlistedGone()
	c.releaseQueued()
}

func (c *Controller) updateEndpoint(endpoint Endpoint) {
	index, known := c.engines.byName[endpoint.Engine]
	if !known {
		index = c.engines.add(endpoint.Engine)
	}
	engine := c.engines.at(index)
	started := !known || endpoint.StartedAt > engine.StartedAt
	engine.Endpoint = endpoint
	engine.listed = true
	if started {
		c.resetEngine(engine, !known)
	}
}

// resetEngine sets the initial state of an engine that has started. If the engine is new to this process, an earlier process's
// snapshot of it is restored.
func (c *Controller) resetEngine(engine *engineState, isNew bool) {
	engine.cores = max(1, valueOfKind(c.deployment.CoresByKind, engine.Kind, 1))
	engine.memoryMB = valueOfKind(c.deployment.MemoryByKind, engine.Kind, math.Inf(1))
	// The threshold of the load signal, two threads per core, divided by the number of gateways. In a large cluster this is less
	// than one query.
	engine.concurrency.limit = loadThreshold * engine.cores / float64(c.deployment.Gateways)
	engine.failures.points = 0
	engine.load.report, engine.load.reportAt = NoReport, c.now
	engine.peers.reportAt, engine.peers.scoreUntil = 0, 0
	if c.snapshot != nil && isNew {
		c.restoreEngine(engine)
	}
	engine.probe.sentAt = c.now - minProbeGap - Time(c.random.Int63n(int64(Second))) // so gateways probe in different orders
}

// valueOfKind returns the value for a machine kind, or fallback if the deployment has none.
func valueOfKind(values []float64, kind int, fallback float64) float64 {
	if kind < 0 || kind >= len(values) {
		return fallback
	}
	return values[kind]
}

// pollEndpoints requests the engine list again some time after a failed poll.
func (c *Controller) pollEndpoints() {
	if c.deployment.PollsEndpoints && c.pollAt > 0 && c.now >= c.pollAt {
		c.pollAt = 0
		c.host.SubscribeEndpoints()
	}
}
