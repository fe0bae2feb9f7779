package simcluster

import (
	"fmt"
	"io"
	"slices"

	"magpiebank/internal/admission"
)

// HealthReportResult is what health reports came to in a fleet where each member sends requests to engines drawn at random.
type HealthReportResult struct {
	Members, Engines int
	Loss             float64
	Rate             float64 // requests a second at each member
	Detect           Time    // until nine of ten members hold enough against the bad engine to send it nothing; below 0: they did not
	Sent             int     // requests that went there in the half minute that it was bad
	Alone            float64 // and how many would have, by the rate alone
	Wrong            int     // times that enough was held against a sound engine, by its share of single errors
	Bytes            float64 // a second a member, of health reports alone
}

// MeasureHealthReports plays a fleet whose engines have some single errors, and of which one fails all that comes for half a minute.
func MeasureHealthReports(n, engines int, rate, errors, loss float64, seed uint64) HealthReportResult {
	const second = admission.Second
	c := New(n, seed)
	c.Link = func(int, int) Link { return Link{Loss: loss, Delay: 5, Jitter: 20} }
	c.Start(second)
	c.Run(30 * second)
	s := HealthReportResult{Members: n, Engines: engines, Loss: loss, Rate: rate, Detect: -1, Alone: 30 * rate * float64(n) / float64(engines)}
	var list []admission.Endpoint
	for i := range engines {
		list = append(list, admission.Endpoint{Engine: admission.EngineID(fmt.Sprint("e", i)), Since: second})
	}
	bad, from := admission.EngineID("e0"), c.Now+20*second
	until := from + 30*second
	out := make([]map[admission.EngineID]Time, n) // until when a member sends it nothing
	detected := make([]Time, n)
	for i, p := range c.Processes {
		out[i] = map[admission.EngineID]Time{}
		p.HealthReports.UpdateEngines(admission.FullUpdate, list)
		p.HealthReports.SetPeerCount(n - 1)
		converse := func() {
			p.HealthReports.VisitChangedFindings(p.clock(), func(f *admission.PeerReport) {
				if delete(out[i], f.Engine); f.Ejects() {
					out[i][f.Engine] = c.Now + f.ScoreUntil - p.clock()
					if f.Engine != bad {
						s.Wrong++
					} else if detected[i] == 0 && c.Now >= from {
						detected[i] = c.Now - from
					}
				}
			})
		}
		var task func()
		task = func() {
			e := list[c.random.IntN(engines)].Engine
			if c.Now >= out[i][e] {
				saw := admission.Answered
				if e == bad && c.Now >= from && c.Now < until || c.random.Float64() < errors {
					saw = admission.Erred
				}
				if e == bad && c.Now >= from && c.Now < until {
					s.Sent++
				}
				p.HealthReports.Observe(p.clock(), e, saw, admission.NoReport, 1e9)
			}
			c.Schedule(c.Now+1+Time(c.random.ExpFloat64()/rate*float64(second)), task)
		}
		var tick func()
		tick = func() {
			converse()
			p.SendHealthReport()
			c.Schedule(c.Now+200, tick)
		}
		c.Schedule(c.Now+Time(c.random.Int64N(int64(second))), task)
		c.Schedule(c.Now+Time(c.random.Int64N(200)), tick)
	}
	for _, p := range c.Processes { // as datagrams of members do between gateways
		for _, q := range c.Processes {
			if p != q {
				for range 3 {
					self := q.Core.Self()
					p.HealthReports.ObserveClock(p.clock(), sourceOf(self), uint32(q.clock()))
				}
			}
		}
	}
	c.OnChange = func(MembershipChange) {}
	for _, p := range c.Processes {
		p.healthReportBytes = 0
	}
	began := c.Now
	c.Run(until)
	var bytes int64
	for _, p := range c.Processes {
		bytes += p.healthReportBytes
	}
	s.Bytes = float64(bytes) / float64(n) / (float64(c.Now-began) / float64(second))
	slices.Sort(detected) // who never found it out stands first, with 0
	if never := slices.IndexFunc(detected, func(t Time) bool { return t > 0 }); never >= 0 && never <= n/10 {
		s.Detect = detected[never+(n*9+9)/10-1-min(never, n/10)]
	}
	return s
}

// WriteHealthReports writes figures as a table.
func WriteHealthReports(out io.Writer, list []HealthReportResult) {
	fmt.Fprintln(out, "members  engines  tasks/s each  loss  9 of 10 send it nothing after s  tasks to it in 30 s  without sharing  sound ones out  bytes/s a member")
	for _, s := range list {
		fmt.Fprintf(out, "%7d  %7d  %12.1f  %3.0f%%  %30.2f  %19d  %15.0f  %14d  %16.0f\n", s.Members, s.Engines, s.Rate, 100*s.Loss, float64(s.Detect)/float64(admission.Second), s.Sent,
			s.Alone, s.Wrong, s.Bytes)
	}
}
