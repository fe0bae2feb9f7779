package admission

// staleReportAge is the age at which an unchanged report no longer describes the present load.
const staleReportAge = 3 * Second

// Report is an engine's load report: its queries in flight, and the shares of its cores, memory and disks in use, 0 to 1. A
// value below 0 is absent. Stored snapshots use the field names in the tags.
type Report struct {
	InFlight    float64 `json:"Held"`
	Utilization float64 `json:"Util"`
	Memory      float64
	Disks       float64
}

// NoReport is a report in which every value is absent.
var NoReport = Report{-1, -1, -1, -1}

// scarcest returns the highest of the shares in use.
func (r Report) scarcest() float64 { return max(r.Utilization, r.Memory, r.Disks) }

// loadReport is an engine's latest report, and the threads sent to the engine that the report doesn't include yet.
type loadReport struct {
	report      Report
	utilization float64 // highest share in use, smoothed
	reportAt    Time    // when the report last changed
	sentSince   float64 // running threads that were sent at sentSinceAt or later
	sentSinceAt Time    // when the values of the report were measured, approximately
}

// update stores a new report and returns the time since the previous one. It smooths the utilization over about three reports,
// because single reports are noisy; a report that follows after staleReportAge or more replaces it.
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

// applyReport stores an engine's report and steps the concurrency limit if the report has changed. A step for an unchanged report
// would count one measurement twice.
func (c *Controller) applyReport(index engineIndex, report Report) {
	engine := c.engines.at(index)
	if report == NoReport || report == engine.load.report {
		return
	}
	interval := engine.load.update(report, c.now)
	c.estimates.learnBusyShare(engine.cores, report, engine.load.utilization)
	const reportAge = 400 * Millisecond // a report's typical age: engines create it periodically, and it takes time to arrive
	engine.load.sentSinceAt = c.now - reportAge
	engine.load.sentSince = c.requests.threadsSentTo(index, engine.load.sentSinceAt, c.deployment.Classes)
	c.adjustSlots(engine, c.loadSignal(engine), interval)
	c.reportObservation(engine, Reported)
}
