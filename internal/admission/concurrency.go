package admission

import (
	"math"
	"math/rand"
)

// loadThreshold is the threshold of the load signal: queries in flight per core, times the threads of one query
// (estimator.querySlots).
const loadThreshold = 2

// concurrencyLimit holds how many threads of this gateway may run on an engine at a time, and how many do.
type concurrencyLimit struct {
	bound        float64 // slots, in threads
	running      float64 // threads of this gateway's attempts in flight
	memoryMB     float64 // memory that these attempts are expected to need
	steppedAt    Time    // when the limit was last stepped, or a step was considered
	randomFactor float64 // drawn each tick; while the limit is below 1, a small factor lets one query in
}

// take adds a started attempt to the running threads. It prevents another query at a limit below 1 until the next draw.
func (l *concurrencyLimit) take(threads, memoryMB float64) {
	l.memoryMB += memoryMB
	l.running += threads
	l.randomFactor = math.Inf(1)
}

// giveBack removes an ended attempt from the running threads.
func (l *concurrencyLimit) giveBack(threads, memoryMB float64) {
	l.running -= threads
	l.memoryMB -= memoryMB
}

// slotAdjuster steps concurrency limits by the rule of CockroachDB's kvSlotAdjuster (docs/design.md), by the slots of one query
// at a time.
type slotAdjuster struct {
	deployment *Deployment
	random     *rand.Rand
}

// adjust steps a limit down if the signal has reached the threshold, unless no slot is in use, and up if the signal is at most
// half of the threshold and every slot is in use. In between, the limit stays. The lowest limit is zero. Many gateways receive
// the same report, and a step takes about a second to show in reports. Each gateway therefore steps up with a probability of one
// over the number of gateways that receive a report within that second, so all together add about one query. Each assumes that
// the others receive reports as often as it does itself. Drawback: if only one gateway is busy, its limit rises more slowly.
func (a *slotAdjuster) adjust(l *concurrencyLimit, signal, querySlots float64, interval, now Time) {
	if signal >= loadThreshold {
		if l.running > 0 {
			l.bound = max(0, l.bound-querySlots)
		}
	} else if signal <= loadThreshold/2.0 && l.running >= l.bound &&
		a.random.Float64()*float64(a.deployment.Gateways)*min(1, float64(Second)/float64(interval)) < 1 {
		l.bound += querySlots
	}
	l.steppedAt = now
}

// adjustSlots steps an engine's limit; interval is the time since the previous signal.
func (c *Controller) adjustSlots(engine *engineState, signal float64, interval Time) {
	c.slots.adjust(&engine.limit, signal, c.estimates.querySlots(), interval, c.now)
}

// loadSignal returns the load of an engine, on the scale of loadThreshold. If the engine doesn't report queries in flight, the
// signal is derived from its utilization. If neither this gateway nor a peer has a fresh report, it is this gateway's threads
// per core times the number of gateways.
func (c *Controller) loadSignal(engine *engineState) float64 {
	const highUtilization, lowUtilization, stillSignal, maxMemoryPart = 0.9, 0.45, 0.75 * loadThreshold, 0.5
	gateways := float64(c.deployment.Gateways)
	if c.now-max(engine.load.reportAt, engine.peers.reportAt) >= staleReportAge {
		return engine.limit.running * gateways / engine.cores
	}
	report, utilization := engine.load.report, engine.load.utilization
	if c.now-engine.load.reportAt >= staleReportAge { // use a peer's fresh report instead of the gateway's own stale one
		report = engine.peers.report
		utilization = report.scarcest()
	}
	signal := stillSignal
	switch {
	case report.InFlight >= 0:
		signal = report.InFlight / engine.cores * c.estimates.querySlots()
	case utilization > highUtilization:
		return loadThreshold
	case engine.limit.memoryMB*gateways > maxMemoryPart*engine.memoryMB:
		// The engine is full although its cores are idle: this gateway's attempts need more than half of its equal share of the
		// engine's memory. Half already counts as full because memory needs vary widely: a larger share changed the signal too
		// late, a smaller one held back healthy engines.
		return stillSignal
	case utilization <= lowUtilization:
		return 0
	}
	part := loadThreshold * engine.cores / gateways
	if signal < loadThreshold && c.pools.shortOfRoom(engine, c.now) && engine.limit.running-engine.load.sentSince < part {
		// This is an exception to the range of signals in which limits stay. It applies while queued requests are abandoned for
		// lack of capacity and this gateway's threads at the engine, as of the last report, are below its equal share of the
		// threshold. The limit may then step up. The range is wide, and without the exception a limit that was stepped down in a
		// burst, or that gives the gateway less than its share, would stay there. Drawback: overload that the report doesn't show
		// gets worse.
		return 0
	}
	return signal
}

// hasRoom reports whether an engine has free capacity for a request under its concurrency limit, which the failure score reduces
// (trust: 1 at a score of 0). At a limit below 1, it allows one query if none of this gateway's queries runs there, with a
// probability of one over the number of gateways in each period. The period is the time that the engine needs for the work of a
// request like those sent lately, and it shortens as the engine becomes less busy. All gateways together, however many they are,
// thus let in what the engine can process, and the order of release determines which request that is. At an engine that is
// warming up, a gateway whose turn it is (slowStart.parts) may use the limit of all gateways together. For a request with several
// threads, it may first send a probe; it then returns false until the result arrives.
func (c *Controller) hasRoom(engine *engineState, request *activeRequest, trust float64) bool {
	if engine.limit.bound >= 1 {
		return engine.limit.running < engine.limit.bound*trust
	}
	if c.slowStart.isWarmingUp(engine, c.now) {
		return engine.limit.running < loadThreshold*engine.cores*c.deployment.WarmUpCapacityShare*trust
	}
	if engine.limit.running > 0 {
		return false
	}
	need := engine.limit.randomFactor * c.estimates.meanWork / (engine.cores * trust * c.tableAffinity(request, engine))
	if c.probes.affordsOne() && c.deployment.Classes[request.class].Threads > 1 && c.now-engine.probe.sentAt >= minProbeGap &&
		need < 2*admissionPace(engine.load.report, c.estimates.meanBusyShare) {
		c.probeEngine(engine) // placing a query of several threads wrongly costs more than probing first
	}
	return !engine.probe.inFlight && need < admissionPace(engine.load.report, c.busyShare(engine))
}

// admissionPace returns the rate at which all gateways together may send queries to an engine whose limit is below 1, as a
// multiple of what the engine can process. It depends on the engine's busy share (0 to 1). At a factor of 3, the rate is about 1 for
// a busy share of three quarters. It stays above 0 even if the engine reports itself full, because reports become outdated. If
// the engine reports memory and disks too, idle cores hide less load, and the factor is 8: a factor of 3 kept long requests waiting
// there, and a factor of 8 filled other engines before a report showed it. If the engine reports queries in flight, the next
// report shows when it is full, so there is no limit while a report shows free capacity: factors of 8, 14 and 30 held requests
// back, the lower the more.
func admissionPace(report Report, busyShare float64) float64 {
	if report.InFlight >= 0 && busyShare < 1 {
		return math.Inf(1)
	}
	pace := 3.0
	if report.Memory >= 0 && report.Disks >= 0 {
		pace = 8
	}
	return max(0.06, pace*(1-busyShare)/(0.1+busyShare))
}

// drawRandomFactor draws the random factor for the query that a limit below 1 allows. A longer time since the previous tick
// makes the factor smaller, so after a stall the gateway has the probability of all the ticks that it missed.
func (c *Controller) drawRandomFactor(engine *engineState) {
	engine.limit.randomFactor = c.random.Float64() * float64(c.deployment.Gateways) / float64(c.now-c.tickedAt)
}
