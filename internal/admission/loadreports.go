package admission

// staleReportAge is the age from which on an unchanged report tells nothing of the present load.
const staleReportAge = 3 * Second

// Report is an engine's load report: queries in flight, and the shares of its cores, memory and disks that are in use, 0 to
// 1. A value below 0 is absent. Stored snapshots have the names of the tags.
type Report struct {
	InFlight    float64 `json:"Held"`
	Utilization float64 `json:"Util"`
	Memory      float64
	Disks       float64
}

// NoReport is a report in which every value is absent.
var NoReport = Report{-1, -1, -1, -1}

// scarcest returns the share of the resource that is used most.
func (r Report) scarcest() float64 { return max(r.Utilization, r.Memory, r.Disks) }

// loadReport is an engine's latest report, and the threads sent since then, which it doesn't have yet.
type loadReport struct {
	report      Report
	utilization float64 // the scarcest share, smoothed
	reportAt    Time    // when the report last changed
	sentSince   float64 // threads sent from sentSinceAt on that are still running
	sentSinceAt Time
}

// update takes in a new report, and returns the time since the one before it. The utilization is smoothed over some three
// reports, because one is noisy; a report that comes after a long time replaces it.
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

// applyReport takes in an engine's report, and steps the bound if the report has changed. A step on an unchanged one would
// count one measurement twice.
func (c *Controller) applyReport(index engineIndex, report Report) {
	engine := c.engines.at(index)
	if report == NoReport || report == engine.load.report {
		return
	}
	interval := engine.load.update(report, c.now)
	c.estimates.learnBusyShare(engine.cores, report, engine.load.utilization)
	const reportAge = 400 * Millisecond // typical age of what a report tells: engines make it now and then, and it takes time to arrive
	engine.load.sentSinceAt = c.now - reportAge
	engine.load.sentSince = c.requests.threadsSentTo(index, engine.load.sentSinceAt, c.deployment.Classes)
	c.adjustSlots(engine, c.loadSignal(engine), interval)
	c.reportObservation(engine, Reported)
}
