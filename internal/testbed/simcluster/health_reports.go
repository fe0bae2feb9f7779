package simcluster

import (
	"fmt"
	"io"
	"slices"

	"magpiebank/internal/admission"
)

// HealthReportResult is the result of a simulation in which members send requests to random engines and exchange health reports.
type HealthReportResult struct {
	Members, Engines        int
	Loss                    float64 // share of messages that are lost
	Rate                    float64 // requests per second at each member
	DetectTime              Time    // time from the fault until nine of ten members have ejected the faulty engine; below 0: they did not
	FaultyRequests          int     // number of requests sent to the faulty engine during the fault
	RequestsWithoutEjection float64 // expected number of these requests without ejection
	WrongEjections          int     // number of findings that eject a healthy engine, because of its single errors
	Bytes                   float64 // bytes of health reports sent per second and member
}

const (
	faultDelay    = 20 * admission.Second // time from the first requests to the fault
	faultLength   = 30 * admission.Second
	reportPeriod  = 200 // in units of Time: 20 ms
	faultyEngine  = admission.EngineID("e0")
	clockSamples  = 3
	detectedShare = 10 // all members except one in ten have to detect the fault
)

// HealthReportLoad describes the requests and faults of a simulation of health reports.
type HealthReportLoad struct {
	Members, Engines int
	Rate             float64 // requests per second at each member
	Errors           float64 // share of requests that fail at a healthy engine
	Loss             float64 // share of messages that are lost
}

// healthReportRun is a simulation in which members send requests to engines and exchange health reports.
type healthReportRun struct {
	cluster   *Cluster
	load      HealthReportLoad
	endpoints []admission.Endpoint
	faultFrom Time
	faultEnd  Time
	ejected   []map[admission.EngineID]Time // by member: the engines that it has ejected, and the end of each ejection
	detected  []Time                        // by member: time from the fault until it ejected the faulty engine; 0: not yet
	result    HealthReportResult
}

// MeasureHealthReports simulates a cluster whose engines fail single requests. During the fault, which lasts half a minute, one engine
// fails all requests.
func MeasureHealthReports(load HealthReportLoad, seed uint64) HealthReportResult {
	const second = admission.Second
	c := New(load.Members, seed)
	c.Link = func(int, int) Link { return Link{Loss: load.Loss, Delay: 5, Jitter: 20} }
	c.Start(second)
	c.Run(30 * second)
	r := &healthReportRun{
		cluster:   c,
		load:      load,
		faultFrom: c.Now + faultDelay,
		faultEnd:  c.Now + faultDelay + faultLength,
		detected:  make([]Time, load.Members),
		result: HealthReportResult{Members: load.Members, Engines: load.Engines, Loss: load.Loss, Rate: load.Rate, DetectTime: -1,
			RequestsWithoutEjection: 30 * load.Rate * float64(load.Members) / float64(load.Engines)},
	}
	for i := range load.Engines {
		r.endpoints = append(r.endpoints, admission.Endpoint{Engine: admission.EngineID(fmt.Sprint("e", i)), StartedAt: second})
	}
	for _, p := range c.Processes {
		r.startMember(p)
	}
	c.exchangeClocks()
	c.OnChange = func(MembershipChange) {}
	for _, p := range c.Processes {
		p.healthReportBytes = 0
	}
	began := c.Now
	c.Run(r.faultEnd)
	var bytes int64
	for _, p := range c.Processes {
		bytes += p.healthReportBytes
	}
	r.result.Bytes = float64(bytes) / float64(load.Members) / (float64(c.Now-began) / float64(second))
	r.result.DetectTime = detectTime(r.detected)
	return r.result
}

// startMember schedules a member's requests and health reports.
func (r *healthReportRun) startMember(p *Process) {
	c := r.cluster
	r.ejected = append(r.ejected, map[admission.EngineID]Time{})
	p.HealthReports.UpdateEngines(admission.FullUpdate, r.endpoints)
	p.HealthReports.SetPeerCount(len(c.Processes) - 1)
	var request, report func()
	request = func() {
		r.sendRequest(p)
		c.Schedule(c.Now+1+Time(c.random.ExpFloat64()/r.load.Rate*float64(admission.Second)), request)
	}
	report = func() {
		p.HealthReports.VisitChangedFindings(p.clock(), func(finding *admission.PeerReport) { r.recordFinding(p, finding) })
		p.SendHealthReport()
		c.Schedule(c.Now+reportPeriod, report)
	}
	c.Schedule(c.Now+Time(c.random.Int64N(int64(admission.Second))), request)
	c.Schedule(c.Now+Time(c.random.Int64N(reportPeriod)), report)
}

func (r *healthReportRun) isFaulty(engine admission.EngineID) bool {
	return engine == faultyEngine && r.cluster.Now >= r.faultFrom && r.cluster.Now < r.faultEnd
}

// sendRequest sends a member's request to a random engine, unless the member has ejected it.
func (r *healthReportRun) sendRequest(p *Process) {
	c := r.cluster
	engine := r.endpoints[c.random.IntN(len(r.endpoints))].Engine
	if c.Now < r.ejected[p.Index][engine] {
		return
	}
	outcome := admission.Answered
	if r.isFaulty(engine) {
		outcome = admission.Erred
		r.result.FaultyRequests++
	} else if c.random.Float64() < r.load.Errors {
		outcome = admission.Erred
	}
	p.HealthReports.Observe(p.clock(), engine, outcome, admission.NoReport, 1e9)
}

// recordFinding records whether the health reports at a member lead it to eject an engine, and until when.
func (r *healthReportRun) recordFinding(p *Process, finding *admission.PeerReport) {
	c := r.cluster
	ejected := r.ejected[p.Index]
	delete(ejected, finding.Engine)
	if !finding.Ejects() {
		return
	}
	ejected[finding.Engine] = c.Now + finding.ScoreUntil - p.clock()
	if finding.Engine != faultyEngine {
		r.result.WrongEjections++
	} else if r.detected[p.Index] == 0 && c.Now >= r.faultFrom {
		r.detected[p.Index] = c.Now - r.faultFrom
	}
}

// exchangeClocks passes samples of every process's clock to all others. Between gateways the datagrams of membership do this.
func (c *Cluster) exchangeClocks() {
	for _, p := range c.Processes {
		for _, other := range c.Processes {
			if p == other {
				continue
			}
			for range clockSamples {
				p.HealthReports.ObserveClock(p.clock(), sourceOf(other.Core.Self()), uint32(other.clock()))
			}
		}
	}
}

// detectTime returns the time until nine of ten members had detected the fault, or -1 if fewer did. It sorts the times.
func detectTime(detected []Time) Time {
	slices.Sort(detected) // members that did not detect the fault come first, with 0
	n := len(detected)
	never := slices.IndexFunc(detected, func(t Time) bool { return t > 0 })
	if never < 0 || never > n/detectedShare {
		return -1
	}
	return detected[never+(n*9+9)/10-1-min(never, n/detectedShare)]
}

// WriteHealthReports writes a list of results as a table.
func WriteHealthReports(out io.Writer, list []HealthReportResult) {
	fmt.Fprintln(out, "members  engines  tasks/s each  loss  9 of 10 send it nothing after s  tasks to it in 30 s  without sharing  sound ones out  bytes/s a member")
	for _, s := range list {
		fmt.Fprintf(out, "%7d  %7d  %12.1f  %3.0f%%  %30.2f  %19d  %15.0f  %14d  %16.0f\n", s.Members, s.Engines, s.Rate, 100*s.Loss, float64(s.DetectTime)/float64(admission.Second), s.FaultyRequests,
			s.RequestsWithoutEjection, s.WrongEjections, s.Bytes)
	}
}
