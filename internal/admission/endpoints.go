package admission

import (
	"hash/fnv"
	"math"
	"slices"
)

// EndpointState is what the engine list says of an engine.
type EndpointState uint8

// The states of a listed engine.
const (
	Live EndpointState = iota
	Draining
	Gone
)

// UpdateKind tells what an update of the engine list holds.
type UpdateKind uint8

// The kinds of updates.
const (
	PartialUpdate UpdateKind = iota // the changed entries only
	FullUpdate                      // all entries
	CachedUpdate                    // all entries as last known; may be old
	FailedPoll                      // nothing: a call failed, the old list stays
)

// Endpoint is one entry of the engine list.
type Endpoint struct {
	Engine            EngineID
	Zone, Kind, Group int
	State             EndpointState
	StartedAt         Time // last start; 0: long ago
}

// pollRetryDelay is how long after a failed poll the list is asked for again: a list service that fails is asked no faster,
// and well within the time after which a gateway is expected to know of a change.
const pollRetryDelay = Second

// engineIndex is an engine's place in the table.
type engineIndex int32

const noEngine = engineIndex(-1)

// engineState is an entry of the engine list with what this gateway knows of it.
type engineState struct {
	Endpoint
	listed       bool // the latest full update had it, or one since
	hash         uint32
	cores        float64
	memoryMB     float64 // +Inf: not known
	limit        concurrencyLimit
	load         loadReport
	probe        probeState
	failures     failureScore
	peers        peerView
	slowStartUse slowStartUse
}

// engineTable holds the engines. Places of engines that are gone are used again.
type engineTable struct {
	items  []engineState
	byName map[EngineID]engineIndex
}

func newEngineTable() engineTable { return engineTable{byName: map[EngineID]engineIndex{}} }

// at returns the engine at a place. The pointer holds until the next add.
func (t *engineTable) at(index engineIndex) *engineState { return &t.items[index] }

// add finds a place for a new engine; that of one which is gone and has nothing in flight is used again.
func (t *engineTable) add(name EngineID) engineIndex {
	i := slices.IndexFunc(t.items, func(e engineState) bool {
		return e.State == Gone && e.limit.running == 0 && !e.probe.inFlight
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

// markAllUnlisted begins a full update.
func (t *engineTable) markAllUnlisted() {
	for i := range t.items {
		t.items[i].listed = false
	}
}

// endUnlisted counts engines that the list doesn't have any more as gone.
func (t *engineTable) endUnlisted() {
	for i := range t.items {
		if !t.items[i].listed {
			t.items[i].State = Gone
		}
	}
}

// UpdateEndpoints takes in an update of the engine list.
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
	c.engines.endUnlisted()
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
		c.startEngine(engine, !known)
	}
}

// startEngine has an engine begin anew, or where a process before this one left it if it is new to this one.
func (c *Controller) startEngine(engine *engineState, isNew bool) {
	engine.cores = max(1, ofKind(c.deployment.CoresByKind, engine.Kind, 1))
	engine.memoryMB = ofKind(c.deployment.MemoryByKind, engine.Kind, math.Inf(1))
	// Two threads a core over the gateways, the signal's own threshold: in a large fleet below a query.
	engine.limit.bound = loadThreshold * engine.cores / float64(c.deployment.Gateways)
	engine.failures.points = 0
	engine.load.report, engine.load.reportAt = NoReport, c.now
	engine.peers.reportAt, engine.peers.scoreUntil = 0, 0
	if c.snapshot != nil && isNew {
		c.restoreEngine(engine)
	}
	engine.probe.sentAt = c.now - minProbeGap - Time(c.random.Int63n(int64(Second))) // each gateway in its own order
}

// ofKind is a machine kind's figure, unknown where the deployment doesn't have it.
func ofKind(figures []float64, kind int, unknown float64) float64 {
	if kind < 0 || kind >= len(figures) {
		return unknown
	}
	return figures[kind]
}

// pollEndpoints asks for the engine list again, where a poll failed a while ago.
func (c *Controller) pollEndpoints() {
	if c.deployment.PollsEndpoints && c.pollAt > 0 && c.now >= c.pollAt {
		c.pollAt = 0
		c.host.SubscribeEndpoints()
	}
}
