package admission

import (
	"math"
	"slices"
)

// pickEngine picks an engine for an attempt at random, weighted down by its busy share; it returns noEngine if none
// has room.
func (c *Controller) pickEngine(request *activeRequest) engineIndex {
	if !c.allowsAttempt(request) {
		return noEngine
	}
	total, pick := 0.0, noEngine
	least := c.leastFailureScore(c.pools.numberOf(request, c.now))
	for i := range c.engines.items {
		engine := &c.engines.items[i]
		excess := c.failureScore(engine) - least
		trust := math.Exp2(-excess)
		if excess >= ejectionScore || !c.allowsEngine(request, engine) || !c.hasRoom(engine, request, trust) {
			continue
		}
		weight := c.engineWeight(request, engineIndex(i), trust)
		total += weight
		if c.random.Float64()*total < weight {
			pick = engineIndex(i)
		}
	}
	return pick
}

// engineWeight returns an engine's weight in the draw: its cores times the square of its free share. The square prefers free
// engines clearly, but isn't moved much by noise in reports. An engine that reports itself full keeps a small weight.
func (c *Controller) engineWeight(request *activeRequest, index engineIndex, trust float64) float64 {
	const exponent, floor = 2, 0.05
	engine := c.engines.at(index)
	weight := engine.cores * math.Pow(max(floor, 1.1-c.busyShare(engine)), exponent) * trust * c.tableAffinity(request, engine)
	if index == request.attempt.engine {
		weight *= floor // a retry should go to another engine
	}
	return weight
}

// allowsEngine checks the rules that depend on the engine: its state, the class's zones and machine kinds, the pool, the scope
// of deduplication, and slow start.
func (c *Controller) allowsEngine(request *activeRequest, engine *engineState) bool {
	class := &c.deployment.Classes[request.class]
	if engine.State != Live || class.Zones != nil && !slices.Contains(class.Zones, engine.Zone) ||
		class.Kinds != nil && !slices.Contains(class.Kinds, engine.Kind) || !c.pools.contains(c.pools.numberOf(request, c.now), engine) {
		return false
	}
	if request.prior.MayHaveRun && class.RepeatEffect == Deduplicated && !class.DedupScope.includes(&request.prior, &engine.Endpoint) {
		return false
	}
	return !c.slowStart.isWarmingUp(engine, c.now) || c.hasSlowStartCapacity(engine, request)
}

// includes tells whether an engine drops a repeat of what an attempt before it may have run elsewhere.
func (s DedupScope) includes(prior *PriorAttempt, e *Endpoint) bool {
	switch s {
	case SameZone:
		return e.Zone == prior.Zone
	case SameGroup:
		return e.Zone == prior.Zone && e.Group == prior.Group
	default:
		return true
	}
}

// tableAffinity weighs an engine by the group of tables that a request reads or loads, because engines cache what they read
// last, and a load blocks other requests for its tables. Every gateway finds, by hashing the ids, the same third of engines for
// a group's reads and another third for its loads. Harm: where one group is most of the traffic.
func (c *Controller) tableAffinity(request *activeRequest, engine *engineState) float64 {
	const strong = 4 // 2 keeps less cached, 8 crowds the same few engines
	class := &c.deployment.Classes[request.class]
	hash := (engine.hash ^ uint32(request.tables)*2654435761) * 2246822519
	third := (hash ^ hash>>15) * 3266489917 >> 16 % 3
	switch {
	case third == 0 && !class.LoadsTables, third == 1 && class.LoadsTables:
		return strong
	case third == 1 && class.BlockedByLoads, third == 0 && class.LoadsTables:
		return 1.0 / strong
	}
	return 1
}

// busyShare returns an engine's busy share: as it reported, plus what we sent since. An engine without a fresh report is taken
// to be as busy as those that reported last, plus our own threads; these alone would tell nothing where this gateway's part of
// an engine is below one query.
func (c *Controller) busyShare(engine *engineState) float64 {
	if engine.load.report != NoReport && c.now-engine.load.reportAt < staleReportAge {
		return c.estimates.reportedBusyShare(engine.cores, engine.load.report, engine.load.utilization) + engine.load.sentSince/engine.cores
	}
	return c.estimates.meanBusyShare + engine.limit.running/engine.cores
}
