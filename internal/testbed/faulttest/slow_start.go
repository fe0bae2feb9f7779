package faulttest

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
)

// SlowStartRecord describes the work that an engine received while it warmed up, by the engine's own records.
type SlowStartRecord struct {
	Engine      string        `json:"engine"`
	At          time.Duration `json:"at"`
	MaxOverload float64       `json:"most"`  // most work within SlowStart.OverloadAfter, relative to what overloads an engine just started
	Requests    []int         `json:"tasks"` // number of requests in each second since its start
}

// slowStartRecords returns a record for each restart of an engine. It returns none if engines don't warm up.
func slowStartRecords(s *Scenario, plan installation.SlowStart, cores float64, sent []fake.AcceptedRequest, began time.Time) (records []SlowStartRecord) {
	if plan.WarmUp == 0 {
		return nil
	}
	for _, step := range s.Steps {
		if step.Action != "engine" || step.EngineState != "restarts" {
			continue
		}
		for _, engine := range step.Engines {
			records = append(records, slowStartRecord(engine, step.At, plan, cores, sent, began))
		}
	}
	return records
}

// slowStartRecord returns the record of one engine that started at a time since the start of the load, until it was warm.
func slowStartRecord(engine string, startedAt time.Duration, plan installation.SlowStart, cores float64, sent []fake.AcceptedRequest, began time.Time) SlowStartRecord {
	record := SlowStartRecord{Engine: engine, At: startedAt, Requests: make([]int, int(plan.WarmUp/time.Second))}
	overloadWork := plan.OverloadFactor * plan.Share * cores * plan.OverloadAfter.Seconds()
	var window []fake.AcceptedRequest
	work := 0.0
	for _, attempt := range sent {
		at := attempt.At.Sub(began)
		if attempt.Engine != engine || at < startedAt || at >= startedAt+plan.WarmUp {
			continue
		}
		if second := int((at - startedAt) / time.Second); second < len(record.Requests) {
			record.Requests[second]++
		}
		window = append(window, attempt)
		work += attempt.Work.Seconds()
		for attempt.At.Sub(window[0].At) >= plan.OverloadAfter {
			work -= window[0].Work.Seconds()
			window = window[1:]
		}
		record.MaxOverload = max(record.MaxOverload, work/overloadWork)
	}
	return record
}

// CompareSlowStart runs a scenario twice, one run after the other. In the first run the gateways share, by messages, what may be sent to
// engines that are warming up. In the second run they exchange no such messages and take turns, by their numbers and their clocks.
func CompareSlowStart(ctx context.Context, s *Scenario, folder, program string) (shared, byNumber *Result, err error) {
	withSharing, withoutSharing := *s, *s
	withSharing.SharedSlowStart, withoutSharing.SharedSlowStart = true, false
	shared, err = Run(ctx, &withSharing, filepath.Join(folder, "shared"), program)
	if err != nil {
		return nil, nil, err
	}
	byNumber, err = Run(ctx, &withoutSharing, filepath.Join(folder, "number"), program)
	return shared, byNumber, err
}

// WriteSlowStartComparison writes the records and metrics of both runs.
func WriteSlowStartComparison(out io.Writer, shared, byNumber *Result) {
	s := shared.Scenario
	names := []string{"shared", "by number"}
	fmt.Fprintf(out, "%s: %d gateways, %d engines, %.1f tasks a second each; real processes and sockets on loopback, one after the other\n", s.Name, s.Gateways, s.Engines, s.RequestRate)
	fmt.Fprintln(out, "most sent in a second after which an engine tips over (1: what tips it over in its first moment), tasks by second from its start")
	for i, r := range []*Result{shared, byNumber} {
		for _, record := range r.SlowStarts {
			fmt.Fprintf(out, "%-9s %s at %3.0f s  %5.2f  %v\n", names[i], record.Engine, record.At.Seconds(), record.MaxOverload, record.Requests)
		}
	}
	for i, r := range []*Result{shared, byNumber} {
		fmt.Fprintf(out, "%-9s %.3f of the worth served, %d tasks, %d datagrams\n", names[i], r.Served, len(r.Requests), r.Counts.Datagrams)
		for _, v := range r.Violations {
			fmt.Fprintln(out, "BAD    "+v)
		}
	}
}
