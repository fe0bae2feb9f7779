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

// SlowStartRecord is what an engine was sent after it had started, by its own count.
type SlowStartRecord struct {
	Engine string        `json:"engine"`
	At     time.Duration `json:"at"`
	Most   float64       `json:"most"`  // in any time after which it tips over, as a multiple of what tips it over in its first moment
	Tasks  []int         `json:"tasks"` // by second from its start on
}

// coldStarts reads what engines that restarted were sent until they were warm.
func slowStartRecords(s *Scenario, c installation.SlowStart, cores float64, sent []fake.Sent, began time.Time) (out []SlowStartRecord) {
	if c.Warm == 0 {
		return nil
	}
	tips := c.Factor * c.Share * cores * c.Tip.Seconds()
	for _, t := range s.Steps {
		if t.Action != "engine" || t.EngineState != "restarts" {
			continue
		}
		for _, engine := range t.Engines {
			start := SlowStartRecord{Engine: engine, At: t.At, Tasks: make([]int, int(c.Warm/time.Second))}
			var window []fake.Sent
			work := 0.0
			for _, v := range sent {
				at := v.At.Sub(began)
				if v.Engine != engine || at < t.At || at >= t.At+c.Warm {
					continue
				}
				if k := int((at - t.At) / time.Second); k < len(start.Tasks) {
					start.Tasks[k]++
				}
				window = append(window, v)
				for work += v.Work.Seconds(); v.At.Sub(window[0].At) >= c.Tip; window = window[1:] {
					work -= window[0].Work.Seconds()
				}
				start.Most = max(start.Most, work/tips)
			}
			out = append(out, start)
		}
	}
	return out
}

// CompareSlowStart plays a scenario with what engines that are warming up may be sent shared by messages, and by number, one after the other.
func CompareSlowStart(ctx context.Context, s *Scenario, folder, program string) (shared, byNumber *Result, err error) {
	one := *s
	one.SharedSlowStart = true
	if shared, err = Run(ctx, &one, filepath.Join(folder, "shared"), program); err == nil {
		two := *s
		two.SharedSlowStart = false
		byNumber, err = Run(ctx, &two, filepath.Join(folder, "number"), program)
	}
	return shared, byNumber, err
}

// WriteSlowStartComparison writes both side by side.
func WriteSlowStartComparison(out io.Writer, shared, byNumber *Result) {
	s := shared.Scenario
	fmt.Fprintf(out, "%s: %d gateways, %d engines, %.1f tasks a second each; real processes and sockets on loopback, one after the other\n", s.Name, s.Gateways, s.Engines, s.RequestRate)
	fmt.Fprintln(out, "most sent in a second after which an engine tips over (1: what tips it over in its first moment), tasks by second from its start")
	for i, r := range []*Result{shared, byNumber} {
		for _, c := range r.SlowStarts {
			fmt.Fprintf(out, "%-9s %s at %3.0f s  %5.2f  %v\n", []string{"shared", "by number"}[i], c.Engine, c.At.Seconds(), c.Most, c.Tasks)
		}
	}
	for i, r := range []*Result{shared, byNumber} {
		fmt.Fprintf(out, "%-9s %.3f of the worth served, %d tasks, %d datagrams\n", []string{"shared", "by number"}[i], r.Served, len(r.Requests), r.Counts.Datagrams)
		for _, v := range r.Violations {
			fmt.Fprintln(out, "BAD    "+v)
		}
	}
}
