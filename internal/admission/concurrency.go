package admission

import (
	"math"
	"math/rand"
)

// loadThreshold is the threshold of the load signal: queries in flight per core, times the threads of one query
// (estimator.querySlots).
const loadThreshold = 2

// concurrencyState holds how many threads of this gateway may run on an engine at a time, and how many do.
type concurrencyState struct {
	limit        float64 // slots, in threads
	running      float64 // threads of this gateway's attempts in flight
	memoryMB     float64 // memory that these attempts are expected to need
	steppedAt    Time    // when the limit was last stepped, or a step was considered
	randomFactor float64 // drawn each tick; while the limit is below 1, a small factor lets one query in
}

// acquire adds a started attempt to the running threads. It prevents another query at a limit below 1 until the next draw.
func (l *concurrencyState) acquire(threads, memoryMB float64) {
	l.memoryMB += memoryMB
	l.running += threads
	l.randomFactor = math.Inf(1)
}

// release removes an ended attempt from the running threads.
func (l *concurrencyState) release(threads, memoryMB float64) {
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
func (a *slotAdjuster) adjust(l *concurrencyState, signal, querySlots float64, interval, now Time) {
	if signal >= loadThreshold {
		if l.running > 0 {
			l.limit = max(0, l.limit-querySlots)
		}
	} else if signal <= loadThreshold/2.0 && l.running >= l.limit &&
		a.random.Float64()*float64(a.deployment.Gateways)*min(1, float64(Second)/float64(interval)) < 1 {
		l.limit += querySlots
	}
	l.steppedAt = now
}

// adjustSlots steps an engine's limit; interval is the time since the previous signal.
func (c *Controller) adjustSlots(engine *engineState, signal float64, interval Time) {
	c.slots.adjust(&engine.concurrency, signal, c.estimates.querySlots(), interval, c.now)
}

// loadSignal returns the load of an engine, on the scale of loadThreshold. If the engine doesn't report queries in flight, the
// signal is derived from its utilization. If neither this gateway nor a peer has a fresh report, it is this gateway's threads
// per core times the number of gateways.
func (c *Controller) loadSignal(engine *engineState) float64 {
	const highUtilization, lowUtilization, neutralSignal, maxMemoryShare = 0.9, 0.45, 0.75 * loadThreshold, 0.5
	gateways := float64(c.deployment.Gateways)
	if c.now-max(engine.load.reportAt, engine.peers.reportAt) >= staleReportAge {
		return engine.concurrency.running * gateways / engine.cores
	}
	report, utilization := engine.load.report, engine.load.utilization
	if c.now-engine.load.reportAt >= staleReportAge { // use a peer's fresh report instead of the gateway's own stale one
		report = engine.peers.report
		utilization = report.scarcest()
	}
	signal := neutralSignal
	switch {
	case report.InFlight >= 0:
		signal = report.InFlight / engine.cores * c.estimates.querySlots()
	case utilization > highUtilization:
		return loadThreshold
	case engine.concurrency.memoryMB*gateways > maxMemoryShare*engine.memoryMB:
		// The engine is full although its cores are idle: this gateway's attempts need more than half of its equal share of the
		// engine's memory. Half already counts as full because memory needs vary widely: a larger share changed the signal too
		// late, a smaller one held back healthy engines.
		return neutralSignal
	case utilization <= lowUtilization:
		return 0
	}
	equalShare := loadThreshold * engine.cores / gateways
	if signal < loadThreshold && c.pools.hadRecentShortage(engine, c.now) && engine.concurrency.running-engine.load.sentSince < equalShare {
		// This is an exception to the range of signals in which limits stay. It applies while queued requests are abandoned for
		// lack of capacity and this gateway's threads at the engine, as of the last report, are below its equal share of the
		// threshold. The limit may then step up. The range is wide, and without the exception a limit that was stepped down in a
		// burst, or that gives the gateway less than its share, would stay there. Drawback: overload that the report doesn't show
		// gets worse.
		return 0
	}
	return signal
}

// hasCapacity reports whether an engine has free capacity for a request under its concurrency limit, which the failure score reduces
// (healthFactor: 1 at a score of 0). At a limit below 1, it allows one query if none of this gateway's queries runs there, with a
// probability of one over the number of gateways in each period. The period is the time that the engine needs for the work of a
// request like those sent lately, and it shortens as the engine becomes less busy. All gateways together, however many they are,
// thus let in what the engine can process, and the order of release determines which request that is. At an engine that is
// warming up, a gateway whose turn it is (slowStart.shares) may use the limit of all gateways together. For a request with several
// threads, it may first send a probe; it then returns false until the result arrives.
func (c *Controller) hasCapacity(engine *engineState, request *activeRequest, healthFactor float64) bool {
	if engine.concurrency.limit >= 1 {
		return engine.concurrency.running < engine.concurrency.limit*healthFactor
	}
	if c.slowStart.isWarmingUp(engine, c.now) {
		return engine.concurrency.running < loadThreshold*engine.cores*c.deployment.WarmUpCapacityShare*healthFactor
	}
	if engine.concurrency.running > 0 {
		return false
	}
	requiredRate := engine.concurrency.randomFactor * c.estimates.meanWork / (engine.cores * healthFactor * c.tableAffinity(request, engine))
	if c.probes.affordsOne() && c.deployment.Classes[request.class].Threads > 1 && c.now-engine.probe.sentAt >= minProbeGap &&
		requiredRate < 2*admissionRate(engine.load.report, c.estimates.meanBusyShare) {
		c.probeEngine(engine) // placing a query of several threads wrongly costs more than probing first
	}
	return !engine.probe.inFlight && requiredRate < admissionRate(engine.load.report, c.busyShare(engine))
}

// admissionRate returns the rate at which all gateways together may send queries to an engine whose limit is below 1, as a
// multiple of what the engine can process. It depends on the engine's busy share (0 to 1). At a factor of 3, the rate is about 1 for
// a busy share of three quarters. It stays above 0 even if the engine reports itself full, because reports become outdated. If
// the engine reports memory and disks too, idle cores hide less load, and the factor is 8: a factor of 3 kept long requests waiting
// there, and a factor of 8 filled other engines before a report showed it. If the engine reports queries in flight, the next
// report shows when it is full, so there is no limit while a report shows free capacity: factors of 8, 14 and 30 held requests
// back, the lower the more.
func admissionRate(report Report, busyShare float64) float64 {
	if report.InFlight >= 0 && busyShare < 1 {
		return math.Inf(1)
	}
	factor := 3.0
	if report.Memory >= 0 && report.Disks >= 0 {
		factor = 8
	}
	return max(0.06, factor*(1-busyShare)/(0.1+busyShare))
}

// drawRandomFactor draws the random factor for the query that a limit below 1 allows. A longer time since the previous tick
// makes the factor smaller, so after a stall the gateway has the probability of all the ticks that it missed.
func (c *Controller) drawRandomFactor(engine *engineState) {
	engine.concurrency.randomFactor = c.random.Float64() * float64(c.deployment.Gateways) / float64(c.now-c.tickedAt)
}
