package admission

// staleReportAge is from when on a report that has not changed says nothing of now.
const staleReportAge = 3 * Second

// Report is an engine's load report: queries in flight, and the shares of its cores, memory and disks that are in use, 0 to
// 1. A value below 0 is absent. Stored snapshots have the names of the tags.
type Report struct {
	InFlight    float64 `json:"Held"`
	Utilization float64 `json:"Util"`
	Memory      float64
	Disks       float64
}

// NoReport has no value at all.
var NoReport = Report{-1, -1, -1, -1}

// scarcest is the share of what is used most.
func (r Report) scarcest() float64 { return max(r.Utilization, r.Memory, r.Disks) }

// loadReport is an engine's latest report, and what was sent since that it can't tell yet.
type loadReport struct {
	report      Report
	utilization float64 // the scarcest share, smoothed
	reportAt    Time    // when the report last changed
	sentSince   float64 // threads sent from sentSinceAt on that are still running
	sentSinceAt Time
}

// update takes in a new report, and returns how long after the one before it came. Some three reports make the
// utilization, as one is noisy; one that comes after a long time stands alone.
func (l *loadReport) update(report Report, now Time) (interval Time) {
	const weight = 0.3
	interval = now - l.reportAt
	utilization := report.scarcest()
	if l.report == NoReport {
		interval = Second
		l.utilization = utilization
	}
	l.utilization += min(1, max(weight, float64(interval)/float64(staleReportAge))) * (utilization - l.utilization)
	l.report = report
	l.reportAt = now
	return interval
}

// applyReport takes in an engine's report, and steps the bound if it is a new one: a step on the one we had
// would count one sight twice.
func (c *Controller) applyReport(index engineIndex, report Report) {
	engine := c.engines.at(index)
	if report == NoReport || report == engine.load.report {
		return
	}
	interval := engine.load.update(report, c.now)
	c.estimates.learnBusyShare(engine.cores, report, engine.load.utilization)
	const reportAge = 400 * Millisecond // of what a report tells, by and large: made now and then, and under way
	engine.load.sentSinceAt = c.now - reportAge
	engine.load.sentSince = c.requests.threadsSentTo(index, engine.load.sentSinceAt, c.deployment.Classes)
	c.adjustSlots(engine, c.loadSignal(engine), interval)
	c.reportObservation(engine, Reported)
}
