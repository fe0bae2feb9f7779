package faulttest

import (
	"fmt"
	"io"
	"slices"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/load/sqlclient"
)

// Outage is a period in which an engine was faulty, with measurements of how the gateways reacted.
type Outage struct {
	Engine      string        `json:"engine"`
	EngineState string        `json:"be"`
	At          time.Duration `json:"at"`
	Length      time.Duration `json:"length"`
	T95         time.Duration `json:"t95"`    // time after which 95 % of the gateways sent no more attempts to it until the outage ended
	Sent        int           `json:"sent"`   // attempts sent to the engine during the outage
	Others      int           `json:"others"` // attempts sent to all other engines during the outage
	Served      float64       `json:"served"` // share of the requests' priority weight, during the outage, that was served within the latency objective
}

// Outages returns the outages of engines in a run.
func (r *Result) Outages() (outages []Outage) {
	for _, step := range r.Scenario.Steps {
		if step.Action != "engine" || step.Until == 0 {
			continue
		}
		for _, engine := range step.Engines {
			outages = append(outages, r.outage(engine, step))
		}
	}
	return outages
}

func (r *Result) outage(engine string, step Step) Outage {
	outage := Outage{Engine: engine, EngineState: step.EngineState, At: step.At, Length: step.Until - step.At}
	lastSent := map[string]time.Duration{} // by gateway: time of its last attempt, since the start of the outage
	for _, e := range r.Events {
		at := time.Duration(e.At - r.StartMonotonic)
		if e.Kind != history.AttemptSent || at < step.At || at >= step.Until {
			continue
		}
		if e.Engine != engine {
			outage.Others++
			continue
		}
		outage.Sent++
		lastSent[e.Process] = at - step.At
	}
	var times []time.Duration
	for _, gateway := range r.Processes {
		times = append(times, lastSent[gateway])
	}
	slices.Sort(times)
	if len(times) > 0 {
		outage.T95 = times[min(len(times)-1, len(times)*95/100)]
	}
	requested, earned := 0.0, 0.0
	for i := range r.Requests {
		request := &r.Requests[i]
		if request.At >= step.At && request.At < step.Until && request.End != sqlclient.NotConnected {
			requested += request.weight()
			earned += request.EarnedWeight()
		}
	}
	outage.Served = earned / max(1, requested)
	return outage
}

// Compare writes a table with the outages of a run with shared health reports and of one without.
func Compare(out io.Writer, with, without *Result) {
	shared, unshared := with.Outages(), without.Outages()
	fmt.Fprintf(out, "%s: %d gateways, %d engines, %.1f tasks a second each; real processes and sockets on loopback, both at the same time\n", with.Scenario.Name,
		with.Scenario.Gateways, with.Scenario.Engines, with.Scenario.RequestRate)
	fmt.Fprintln(out, "                            with sharing                           without")
	fmt.Fprintln(out, "engine   is        for s    t95 s  hand-offs there  worth served   t95 s  hand-offs there  worth served")
	for i := range shared {
		fmt.Fprintf(out, "%-8s %-8s %6.0f   %6.1f  %15d  %12.3f  %6.1f  %15d  %12.3f\n", shared[i].Engine, shared[i].EngineState, shared[i].Length.Seconds(), shared[i].T95.Seconds(), shared[i].Sent, shared[i].Served,
			unshared[i].T95.Seconds(), unshared[i].Sent, unshared[i].Served)
	}
	fmt.Fprintf(out, "whole run: worth served %.3f with, %.3f without; %d and %d tasks\n", with.Served, without.Served, len(with.Requests), len(without.Requests))
	fmt.Fprintf(out, "messages: %d datagrams, %.0f bytes a second at each gateway; without sharing %.0f\n", with.Counts.Datagrams, bytesPerSecond(with), bytesPerSecond(without))
	for _, r := range []*Result{with, without} {
		for _, v := range r.Violations {
			fmt.Fprintln(out, "BAD    "+v)
		}
	}
}

// bytesPerSecond returns the mean rate of bytes that a gateway sent in datagrams.
func bytesPerSecond(r *Result) float64 {
	return float64(r.Counts.Bytes) / r.Scenario.Length.Seconds() / float64(r.Scenario.Gateways)
}
