package faulttest

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/faultproxy"
	"magpiebank/internal/testbed/load/sqlclient"
)

// Request is one request of the load as its client saw it.
type Request struct {
	Gateway string        `json:"gateway"`
	At      time.Duration `json:"at"` // from the load's begin
	Took    time.Duration `json:"took"`
	Load    bool          `json:"load"`
	End     string        `json:"end"` // served, rejected, failed, or what was wrong
	id      string
}

// Worth is what it earns.
func (t *Request) Worth() float64 {
	if t.End != sqlclient.Served || t.Took > latencyObjective {
		return 0
	}
	return t.worth()
}

func (t *Request) worth() float64 {
	if t.Load {
		return loadWeight
	}
	return lookWeight
}

// Result is what came of a run.
type Result struct {
	Scenario       *Scenario            `json:"-"`
	Folder         string               `json:"folder"`
	Joined         time.Duration        `json:"joined"`  // until all had found each other at first
	ConvergedAgain time.Duration        `json:"settled"` // and again, after the last fault
	Violations     []string             `json:"violations"`
	WakeDelay      time.Duration        `json:"wake_delay"` // the longest of the testbed and of gateways: see Disturbed
	Requests       []Request            `json:"-"`
	Ends           map[string]int       `json:"ends"`
	Served         float64              `json:"served"` // share of the worth asked for
	Counts         faultproxy.Counts    `json:"counts"`
	Events         []history.Event      `json:"-"`
	StartMonotonic int64                `json:"-"` // CLOCK_MONOTONIC of the load's begin
	Processes      []string             `json:"-"`
	StepsDone      []Step               `json:"-"`
	Displaced      int                  `json:"displaced"` // processes that found their name taken by a later one
	PlayTime       time.Duration        `json:"played"`    // while datagrams were counted
	SlowStarts     []SlowStartRecord    `json:"colds,omitempty"`
	Runs           []fake.RunningChange `json:"-"` // loads and look-ups, as the engines have them
	Began          time.Time            `json:"-"` // of the load
	Proposals      []Proposed           `json:"proposals,omitempty"`
	Policies       *PolicyMetrics       `json:"policies,omitempty"`
	Voters         []string             `json:"voters,omitempty"` // of policies, at the end
	timely         int                  // how many of the violations rest on time
}

// Good tells whether all held.
func (r *Result) Good() bool { return len(r.Violations) == 0 }

// missed tells which expectations did not come about.
func (r *Result) missedExpectations() (out []string) {
	for _, x := range r.Scenario.Expectations {
		if r.Served < x.MinServed {
			out = append(out, fmt.Sprintf("expected: %.3f of the worth served, found %.3f", x.MinServed, r.Served))
		}
		if x.Displaced > 0 && r.Displaced != x.Displaced {
			out = append(out, fmt.Sprintf("expected: %d processes displaced, found %d", x.Displaced, r.Displaced))
		}
		decided, found := 0, x.ProposalEnd+x.ProposalReason == ""
		for _, k := range r.Proposals {
			decided += btoi(k.End == "decided")
			found = found || (x.ProposalEnd == "" || k.End == x.ProposalEnd) && strings.Contains(k.Why, x.ProposalReason)
		}
		if len(x.Voters) > 0 && !slices.Equal(x.Voters, r.Voters) {
			out = append(out, fmt.Sprintf("expected: voters %v at the end, found %v", x.Voters, r.Voters))
		}
		if decided < x.MinDecided {
			out = append(out, fmt.Sprintf("expected: %d proposals that take hold, found %d: %v", x.MinDecided, decided, r.Proposals))
		}
		if !found {
			out = append(out, fmt.Sprintf("expected: a proposal that is %s, with %q; found %v", x.ProposalEnd, x.ProposalReason, r.Proposals))
		}
		for _, o := range r.Outages() {
			if x.EjectedEngine == o.Engine && o.T95 > x.Within {
				out = append(out, fmt.Sprintf("expected: %s, which %s from %v on, is left alone by 95%% of the gateways within %v, found %v", o.Engine, o.Be, o.At, x.Within,
					o.T95.Round(time.Millisecond)))
			}
		}
	}
	return out
}

// Text writes a result for people.
func (r *Result) Text(out io.Writer) {
	fmt.Fprintf(out, "%s: %d gateways, %d engines, real processes and sockets on loopback; %d steps in %v\n", r.Scenario.Name, r.Scenario.Gateways, r.Scenario.Engines,
		len(r.Scenario.Steps), r.Scenario.Length)
	fmt.Fprintf(out, "all knew each other after %.1f s, and %.1f s after the last fault; %d processes displaced\n", r.Joined.Seconds(), r.ConvergedAgain.Seconds(), r.Displaced)
	fmt.Fprintf(out, "%d tasks:", len(r.Requests))
	for _, end := range sortedKeys(r.Ends) {
		fmt.Fprintf(out, " %d %s", r.Ends[end], end)
	}
	fmt.Fprintf(out, "; %.3f of the worth served within its time\n", r.Served)
	if r.Policies != nil {
		r.Policies.Text(out, r.Proposals)
	}
	for _, c := range r.SlowStarts {
		fmt.Fprintf(out, "%s, cold from %v on, was sent %.2f of what tips it over at most; tasks by second %v\n", c.Engine, c.At, c.Most, c.Tasks)
	}
	fmt.Fprintf(out, "%d datagrams of %d bytes in the mean, %d dropped, %d doubled, %d with a bit turned; %d events of history\n", r.Counts.Datagrams,
		r.Counts.Bytes/max(1, r.Counts.Datagrams), r.Counts.Dropped, r.Counts.Duplicated, r.Counts.Corrupted, len(r.Events))
	if r.Disturbed() {
		fmt.Fprintf(out, "disturbed: processes were woken up to %v late, so times of this run mean little\n", r.WakeDelay.Round(time.Millisecond))
	}
	if r.Good() {
		fmt.Fprintln(out, "good   nothing was violated")
	}
	for i, v := range r.Violations {
		if i == 12 {
			fmt.Fprintf(out, "BAD    and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(out, "BAD    "+v)
	}
}
