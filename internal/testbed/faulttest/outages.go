package faulttest

import (
	"fmt"
	"io"
	"slices"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/load/sqlclient"
)

// Outage is what became of one engine's bad time.
type Outage struct {
	Engine string        `json:"engine"`
	Be     string        `json:"be"`
	At     time.Duration `json:"at"`
	Length time.Duration `json:"length"`
	T95    time.Duration `json:"t95"`    // after which 95% of the gateways sent it nothing new, to the end of the bad time
	Sent   int           `json:"sent"`   // attempts to it in that time
	Others int           `json:"others"` // and to all other engines
	Served float64       `json:"served"` // share of the worth asked for in that time, served within its time
}

// Outages are the bad times of engines in a run.
func (r *Result) Outages() (out []Outage) {
	for _, t := range r.Scenario.Steps {
		if t.Action != "engine" || t.Until == 0 {
			continue
		}
		for _, engine := range t.Engines {
			o := Outage{Engine: engine, Be: t.EngineState, At: t.At, Length: t.Until - t.At}
			last := map[string]time.Duration{}
			for _, e := range r.Events {
				at := time.Duration(e.At - r.StartMonotonic)
				if e.Kind != history.AttemptSent || at < t.At || at >= t.Until {
					continue
				}
				if e.Engine != engine {
					o.Others++
					continue
				}
				o.Sent++
				last[e.Process] = at - t.At
			}
			var all []time.Duration
			for _, p := range r.Processes {
				all = append(all, last[p])
			}
			slices.Sort(all)
			if len(all) > 0 {
				o.T95 = all[min(len(all)-1, len(all)*95/100)]
			}
			asked, earned := 0.0, 0.0
			for i := range r.Requests {
				if k := &r.Requests[i]; k.At >= t.At && k.At < t.Until && k.End != sqlclient.NotConnected {
					asked += k.worth()
					earned += k.Worth()
				}
			}
			o.Served = earned / max(1, asked)
			out = append(out, o)
		}
	}
	return out
}

// Compare writes the bad times of a run with sharing beside those of one without.
func Compare(out io.Writer, with, without *Result) {
	a, b := with.Outages(), without.Outages()
	fmt.Fprintf(out, "%s: %d gateways, %d engines, %.1f tasks a second each; real processes and sockets on loopback, both at the same time\n", with.Scenario.Name,
		with.Scenario.Gateways, with.Scenario.Engines, with.Scenario.RequestRate)
	fmt.Fprintln(out, "                            with sharing                           without")
	fmt.Fprintln(out, "engine   is        for s    t95 s  hand-offs there  worth served   t95 s  hand-offs there  worth served")
	for i := range a {
		fmt.Fprintf(out, "%-8s %-8s %6.0f   %6.1f  %15d  %12.3f  %6.1f  %15d  %12.3f\n", a[i].Engine, a[i].Be, a[i].Length.Seconds(), a[i].T95.Seconds(), a[i].Sent, a[i].Served,
			b[i].T95.Seconds(), b[i].Sent, b[i].Served)
	}
	fmt.Fprintf(out, "whole run: worth served %.3f with, %.3f without; %d and %d tasks\n", with.Served, without.Served, len(with.Requests), len(without.Requests))
	fmt.Fprintf(out, "messages: %d datagrams, %.0f bytes a second at each gateway; without sharing %.0f\n", with.Counts.Datagrams, rate(with), rate(without))
	for _, r := range []*Result{with, without} {
		for _, v := range r.Violations {
			fmt.Fprintln(out, "BAD    "+v)
		}
	}
}

func rate(r *Result) float64 {
	return float64(r.Counts.Bytes) / r.Scenario.Length.Seconds() / float64(r.Scenario.Gateways)
}
