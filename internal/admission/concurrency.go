package admission

import (
	"math"
	"math/rand"
)

// loadThreshold is the load signal's threshold: queries in flight a core, times the threads of one (estimator.querySlots).
const loadThreshold = 2

// concurrencyLimit holds how many threads of this gateway may run on an engine at a time, and how many do.
type concurrencyLimit struct {
	bound        float64 // slots, in threads
	running      float64 // threads of our attempts in flight
	memoryMB     float64 // memory that our attempts in flight usually need
	steppedAt    Time
	randomFactor float64 // random factor, drawn each tick, for the one query that a bound of zero allows; a small one lets it in
}

// take counts an attempt as running.
func (l *concurrencyLimit) take(threads, memoryMB float64) {
	l.memoryMB += memoryMB
	l.running += threads
	l.randomFactor = math.Inf(1)
}

// giveBack counts an attempt as ended.
func (l *concurrencyLimit) giveBack(threads, memoryMB float64) {
	l.running -= threads
	l.memoryMB -= memoryMB
}

// slotAdjuster moves the bounds by the step rule of CockroachDB's kvSlotAdjuster (docs/design.md), one query at a time.
type slotAdjuster struct {
	deployment *Deployment
	random     *rand.Rand
}

// adjust steps a bound: down at the threshold unless no slot is in use, up at half of it or less with every slot in
// use, and not between. The floor is zero. Many gateways hear the same report, so each takes a step up with a probability of one
// over the gateways that hear the engine within the second that a step takes to show; together they add about one query.
// Each assumes that the others hear it as often as it does itself. Harm: a lone busy gateway climbs more slowly.
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

// adjustSlots steps an engine's bound; interval is the time since the signal before this one.
func (c *Controller) adjustSlots(engine *engineState, signal float64, interval Time) {
	c.slots.adjust(&engine.limit, signal, c.estimates.querySlots(), interval, c.now)
}

// loadSignal is how loaded an engine is, in units of the threshold. Where it reports no queries in flight, its
// utilization stands in. Where neither this gateway nor a peer has a fresh report, our own threads there stand in, times the
// gateways.
func (c *Controller) loadSignal(engine *engineState) float64 {
	const highUtilization, lowUtilization, stillSignal, maxMemoryPart = 0.9, 0.45, 0.75 * loadThreshold, 0.5
	gateways := float64(c.deployment.Gateways)
	if c.now-max(engine.load.reportAt, engine.peers.reportAt) >= staleReportAge {
		return engine.limit.running * gateways / engine.cores
	}
	report, utilization := engine.load.report, engine.load.utilization
	if c.now-engine.load.reportAt >= staleReportAge { // a peer's fresh report stands in for our stale one
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
		// The engine has no room either, though cores idle: our attempts there need half of our equal part of its memory. That
		// counts as full because needs scatter; a greater part stepped too late, a smaller one held back sound engines.
		return stillSignal
	case utilization <= lowUtilization:
		return 0
	}
	part := loadThreshold * engine.cores / gateways
	if signal < loadThreshold && c.pools.shortOfRoom(engine, c.now) && engine.limit.running-engine.load.sentSince < part {
		// An exception to the band in which bounds stay: while queued requests are given up for want of room, and our own
		// threads there are under our equal part of the threshold, the bound may step up. The band is wide, and a bound that
		// was stepped down in a burst, or a gateway that has less than its part, would stay there. Harm: overload that the
		// report doesn't show grows.
		return 0
	}
	return signal
}

// hasRoom tells whether an engine has room under its bound, which its failure score narrows (trust: 1 at a score of 0). At
// a bound of zero one query may be sent if none of ours runs there, with a probability of one over the gateways in each period;
// the period is the time that the engine needs for the work of a request like those sent lately, shorter the less of
// the engine is busy. So all gateways together let in what it can take, however many they are, and the order of release
// says which request is sent. In its turn at an engine that warms up, a gateway may use the whole bound of all.
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
		c.probeEngine(engine) // a query of several threads that is placed wrongly costs more than a probe first
	}
	return !engine.probe.inFlight && need < admissionPace(engine.load.report, c.busyShare(engine))
}

// admissionPace is how many times what an engine can work all gateways together may let in at a bound of zero, by its busy
// share (0 to 1): about what it can do at three quarters busy, and still some on one that reports itself full, because reports
// grow old. Where memory and disks are reported too, less load hides behind idle cores: a pace of 3 there kept long requests
// waiting, and 8 elsewhere filled engines before a report showed it. Where queries in flight are reported, the next report shows
// a fill, so there is no limit while it shows room: paces of 8, 14 and 30 held requests back, the lower the more.
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

// drawRandomFactor draws the random factor for the query that a bound of zero allows. It is the smaller the longer the tick that
// ended was, so a gateway that stood still has the chance of all ticks that it missed.
func (c *Controller) drawRandomFactor(engine *engineState) {
	engine.limit.randomFactor = c.random.Float64() * float64(c.deployment.Gateways) / float64(c.now-c.tickedAt)
}
