package admission

import (
	"math"
	"math/rand"
)

// loadThreshold is the load signal's threshold: queries in flight a core, times the threads of one (estimator.querySlots).
const loadThreshold = 2

// concurrencyLimit is how much of this gateway's work may run on an engine at a time, and does.
type concurrencyLimit struct {
	bound     float64 // slots: threads
	running   float64 // threads of our attempts in flight
	memoryMB  float64 // that our attempts in flight usually need
	steppedAt Time
	chance    float64 // drawn each tick, for the one query that a bound of zero allows; small lets it in
}

// take counts an attempt as running.
func (l *concurrencyLimit) take(threads, memoryMB float64) {
	l.memoryMB += memoryMB
	l.running += threads
	l.chance = math.Inf(1)
}

// giveBack counts an attempt as ended.
func (l *concurrencyLimit) giveBack(threads, memoryMB float64) {
	l.running -= threads
	l.memoryMB -= memoryMB
}

// slotAdjuster moves the bounds by the step rule of the write-up on admission control (CPULoad), one query at a time.
type slotAdjuster struct {
	deployment *Deployment
	random     *rand.Rand
}

// adjust steps a bound: down at the threshold unless no slot is in use, up at half of it or less with every slot in
// use, and not between. The floor is zero. A step up is taken with chance one over the gateways that hear the engine in
// the second that a step takes to show, each as often as we: together they add about one query. Harm: a lone busy gateway
// climbs more slowly.
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

// adjustSlots steps an engine's bound; interval: since its signal was heard before.
func (c *Controller) adjustSlots(e *engine, signal float64, interval Time) {
	c.slots.adjust(&e.limit, signal, c.estimates.querySlots(), interval, c.now)
}

// loadSignal is how loaded an engine is, in units of the threshold. Where it reports no queries in flight, its
// utilization stands in; where nobody hears a report, our own count there does, for all gateways.
func (c *Controller) loadSignal(e *engine) float64 {
	const highUtilization, lowUtilization, stillSignal, maxMemoryPart = 0.9, 0.45, 0.75 * loadThreshold, 0.5
	gateways := float64(c.deployment.Gateways)
	if c.now-max(e.load.reportAt, e.peers.reportAt) >= staleReportAge {
		return e.limit.running * gateways / e.cores
	}
	report, utilization := e.load.report, e.load.utilization
	if c.now-e.load.reportAt >= staleReportAge { // a peer's report stands in for ours while it is fresh
		report = e.peers.report
		utilization = report.scarcest()
	}
	signal := stillSignal
	switch {
	case report.InFlight >= 0:
		signal = report.InFlight / e.cores * c.estimates.querySlots()
	case utilization > highUtilization:
		return loadThreshold
	case e.limit.memoryMB*gateways > maxMemoryPart*e.memoryMB:
		// No room either, though cores idle: what our attempts there need is half of our equal part of the
		// memory, which is taken for full as needs scatter: more came too late, less held back sound engines.
		return stillSignal
	case utilization <= lowUtilization:
		return 0
	}
	part := loadThreshold * e.cores / gateways
	if signal < loadThreshold && c.pools.shortOfRoom(e, c.now) && e.limit.running-e.load.sentSince < part {
		// An exception to the still band: while queued requests are given up for want of room and our own count is
		// under our part of the threshold, room is taken: the band is wide, and a bound stepped down in a burst,
		// or a gateway that came to less than its part, would stay there. Harm: where a shortage hides.
		return 0
	}
	return signal
}

// hasRoom tells whether an engine has room under its bound, which its failure score narrows (trust: 1 at a score of 0). At
// zero one query may go if none of ours runs there, with a chance of one over the gateways each tick. This tick is the time
// that the engine needs for the work of a request like those sent lately, shorter the less of the engine is
// busy: all gateways together let in what it can take, however many they are, and the order says which goes.
// In its turn at a cold engine a gateway has all parts of its bound.
func (c *Controller) hasRoom(e *engine, r *activeRequest, trust float64) bool {
	if e.limit.bound >= 1 {
		return e.limit.running < e.limit.bound*trust
	}
	if c.slowStart.isWarmingUp(e, c.now) {
		return e.limit.running < loadThreshold*e.cores*c.deployment.WarmUpCapacityShare*trust
	}
	if e.limit.running > 0 {
		return false
	}
	need := e.limit.chance * c.estimates.meanWork / (e.cores * trust * c.tableAffinity(r, e))
	if c.probes.affordsOne() && c.deployment.Classes[r.class].Threads > 1 && c.now-e.probe.sentAt >= minProbeGap &&
		need < 2*admissionPace(e.load.report, c.estimates.meanBusyShare) {
		c.probeEngine(e) // one of several threads placed wrongly costs more than a look first
	}
	return !e.probe.inFlight && need < admissionPace(e.load.report, c.busyShare(e))
}

// admissionPace is how many times an engine's work all gateways together may let in at a bound of zero by its busy share: about
// as much as it can do at three quarters, and still some on one that reports itself full, as reports grow
// old. Where memory and disks are told too, less hides behind idle cores: 3 there kept long requests waiting,
// 8 elsewhere filled engines before it showed. Where queries in flight are told, a fill shows in the next report:
// no pace while it tells room, as 8, 14 and 30 held back the more, the lower they were.
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

// drawChance draws the chance of the tick that ended, for the query that a bound of zero allows. All gateways together
// let in what the engine can take, however long the tick was.
func (c *Controller) drawChance(e *engine) {
	e.limit.chance = c.random.Float64() * float64(c.deployment.Gateways) / float64(c.now-c.tickedAt)
}
