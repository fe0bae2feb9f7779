package admission

import (
	"math"
	"slices"
)

// pickEngine picks an engine for an attempt at random, with weights that fall with the engines' busy shares. It returns noEngine
// if no engine has free capacity.
func (c *Controller) pickEngine(request *activeRequest) engineIndex {
	if !c.allowsAttempt(request) {
		return noEngine
	}
	total, pick := 0.0, noEngine
	least := c.leastFailureScore(c.pools.numberOf(request, c.now))
	for i := range c.engines.items {
		engine := &c.engines.items[i]
		excess := c.failureScore(engine) - least
		healthFactor := math.Exp2(-excess)
		if excess >= ejectionScore || !c.allowsEngine(request, engine) || !c.hasCapacity(engine, request, healthFactor) {
			continue
		}
		weight := c.engineWeight(request, engineIndex(i), healthFactor)
		total += weight
		if c.random.Float64()*total < weight {
			pick = engineIndex(i)
		}
	}
	return pick
}

// engineWeight returns an engine's weight in the random choice: its cores times the square of its free share, adjusted by its
// failure score and table affinity. The square clearly prefers free engines, but changes little with noise in reports. An engine
// that reports itself full keeps a small weight.
func (c *Controller) engineWeight(request *activeRequest, index engineIndex, healthFactor float64) float64 {
	const exponent, floor = 2, 0.05
	engine := c.engines.at(index)
	weight := engine.cores * math.Pow(max(floor, 1.1-c.busyShare(engine)), exponent) * healthFactor * c.tableAffinity(request, engine)
	if index == request.attempt.engine {
		weight *= floor // a retry should go to another engine
	}
	return weight
}

// allowsEngine checks the rules that depend on the engine: its state, the zones and machine kinds of the class, the pool, the scope
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

// includes reports whether an engine drops a repeat of a request that an earlier attempt may have run.
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

// tableAffinity returns a weight factor for an engine by the group of tables that a request reads or loads, because engines cache
// what they read last, and a load blocks other requests for its tables. All gateways hash the same ids, so they prefer the same
// third of the engines for a group's reads and another third for its loads. Loads avoid the third for reads, and classes that wait
// for loads avoid the third for loads. Drawback: if most of the traffic belongs to one group, it concentrates on a third of the
// engines.
func (c *Controller) tableAffinity(request *activeRequest, engine *engineState) float64 {
	const strong = 4 // with 2 less is cached, with 8 too many requests go to the same few engines
	class := &c.deployment.Classes[request.class]
	hash := (engine.hash ^ uint32(request.tableGroup)*2654435761) * 2246822519
	third := (hash ^ hash>>15) * 3266489917 >> 16 % 3
	switch {
	case third == 0 && !class.LoadsTables, third == 1 && class.LoadsTables:
		return strong
	case third == 1 && class.BlockedByLoads, third == 0 && class.LoadsTables:
		return 1.0 / strong
	}
	return 1
}

// busyShare returns an engine's busy share: the reported share plus the threads that this gateway sent since. For an engine without
// a fresh report, it is the mean of the engines that reported lately plus this gateway's running threads. Those threads alone
// would be no estimate if this gateway's share of an engine is less than one query.
func (c *Controller) busyShare(engine *engineState) float64 {
	if engine.load.report != NoReport && c.now-engine.load.reportAt < staleReportAge {
		return c.estimates.reportedBusyShare(engine.cores, engine.load.report, engine.load.utilization) + engine.load.sentSince/engine.cores
	}
	return c.estimates.meanBusyShare + engine.concurrency.running/engine.cores
}
