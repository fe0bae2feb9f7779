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

// Request is one request of the load, with its outcome as the client observed it.
type Request struct {
	Gateway string        `json:"gateway"`
	At      time.Duration `json:"at"` // time since the start of the load
	Took    time.Duration `json:"took"`
	Load    bool          `json:"load"`
	End     string        `json:"end"` // one of the outcomes of package sqlclient, or the text of an error
	id      string
}

// EarnedWeight returns the priority weight that the request earned: its whole weight if it was served within the latency objective,
// otherwise 0.
func (r *Request) EarnedWeight() float64 {
	if r.End != sqlclient.Served || r.Took > latencyObjective {
		return 0
	}
	return r.weight()
}

// weight returns the priority weight of the request.
func (r *Request) weight() float64 {
	if r.Load {
		return loadWeight
	}
	return lookWeight
}

// Result holds the records, measurements and violations of a run.
type Result struct {
	Scenario         *Scenario            `json:"-"`
	Folder           string               `json:"folder"`
	ConvergedAtStart time.Duration        `json:"joined"`  // time until all gateways knew each other after the start
	ConvergedAgain   time.Duration        `json:"settled"` // time until all gateways knew each other after the end of the load and all faults
	Violations       []string             `json:"violations"`
	WakeDelay        time.Duration        `json:"wake_delay"` // longest delay with which the testbed or a gateway was woken; see Disturbed
	Requests         []Request            `json:"-"`
	Ends             map[string]int       `json:"ends"`
	Served           float64              `json:"served"` // share of the requests' priority weight that was served within the latency objective
	Counts           faultproxy.Counts    `json:"counts"`
	Events           []history.Event      `json:"-"`
	StartMonotonic   int64                `json:"-"` // CLOCK_MONOTONIC at the start of the load
	Processes        []string             `json:"-"`
	Displaced        int                  `json:"displaced"` // number of processes that found their name taken by a later process
	PlayTime         time.Duration        `json:"played"`    // time during which datagrams were counted
	SlowStarts       []SlowStartRecord    `json:"colds,omitempty"`
	RunningChanges   []fake.RunningChange `json:"-"` // changes in the number of running loads and look-ups, as the engines count them
	StartedAt        time.Time            `json:"-"` // start of the load
	Proposals        []ProposalResult     `json:"proposals,omitempty"`
	Policies         *PolicyMetrics       `json:"policies,omitempty"`
	Voters           []string             `json:"voters,omitempty"` // gateways that vote on policies at the end
	timedViolations  int                  // number of the violations that depend on time; see addTimedViolations
}

// Good reports whether the run has no violations.
func (r *Result) Good() bool { return len(r.Violations) == 0 }

// missedExpectations describes the expectations that were not met.
func (r *Result) missedExpectations() (missed []string) {
	for _, expectation := range r.Scenario.Expectations {
		if r.Served < expectation.MinServed {
			missed = append(missed, fmt.Sprintf("expected: %.3f of the priority weight served, found %.3f", expectation.MinServed, r.Served))
		}
		if expectation.Displaced > 0 && r.Displaced != expectation.Displaced {
			missed = append(missed, fmt.Sprintf("expected: %d processes displaced, found %d", expectation.Displaced, r.Displaced))
		}
		if len(expectation.Voters) > 0 && !slices.Equal(expectation.Voters, r.Voters) {
			missed = append(missed, fmt.Sprintf("expected: voters %v at the end, found %v", expectation.Voters, r.Voters))
		}
		missed = append(missed, r.missedProposals(&expectation)...)
		missed = append(missed, r.missedEjections(&expectation)...)
	}
	return missed
}

func (r *Result) missedProposals(expectation *Expectation) (missed []string) {
	decided := 0
	found := expectation.ProposalEnd+expectation.ProposalReason == ""
	for _, proposal := range r.Proposals {
		decided += btoi(proposal.End == "decided")
		if (expectation.ProposalEnd == "" || proposal.End == expectation.ProposalEnd) && strings.Contains(proposal.Why, expectation.ProposalReason) {
			found = true
		}
	}
	if decided < expectation.MinDecided {
		missed = append(missed, fmt.Sprintf("expected: %d proposals that are decided, found %d: %v", expectation.MinDecided, decided, r.Proposals))
	}
	if !found {
		missed = append(missed, fmt.Sprintf("expected: a proposal with the outcome %q and a reason that contains %q; found %v", expectation.ProposalEnd, expectation.ProposalReason, r.Proposals))
	}
	return missed
}

func (r *Result) missedEjections(expectation *Expectation) (missed []string) {
	for _, outage := range r.Outages() {
		if expectation.EjectedEngine == outage.Engine && outage.T95 > expectation.Within {
			missed = append(missed, fmt.Sprintf("expected: %s, which %s from %v on, is left alone by 95%% of the gateways within %v, found %v", outage.Engine, outage.EngineState, outage.At, expectation.Within,
				outage.T95.Round(time.Millisecond)))
		}
	}
	return missed
}

// maxPrintedViolations is the largest number of violations that Text prints.
const maxPrintedViolations = 12

// Text writes the result in readable form.
func (r *Result) Text(out io.Writer) {
	fmt.Fprintf(out, "%s: %d gateways, %d engines, real processes and sockets on loopback; %d steps in %v\n", r.Scenario.Name, r.Scenario.Gateways, r.Scenario.Engines,
		len(r.Scenario.Steps), r.Scenario.Length)
	fmt.Fprintf(out, "all knew each other after %.1f s, and %.1f s after the last fault; %d processes displaced\n", r.ConvergedAtStart.Seconds(), r.ConvergedAgain.Seconds(), r.Displaced)
	fmt.Fprintf(out, "%d tasks:", len(r.Requests))
	for _, end := range sortedKeys(r.Ends) {
		fmt.Fprintf(out, " %d %s", r.Ends[end], end)
	}
	fmt.Fprintf(out, "; %.3f of the worth served within its time\n", r.Served)
	if r.Policies != nil {
		r.Policies.Text(out, r.Proposals)
	}
	for _, record := range r.SlowStarts {
		fmt.Fprintf(out, "%s, cold from %v on, was sent %.2f of what tips it over at most; tasks by second %v\n", record.Engine, record.At, record.MaxOverload, record.Requests)
	}
	fmt.Fprintf(out, "%d datagrams of %d bytes in the mean, %d dropped, %d doubled, %d with a bit turned; %d events of history\n", r.Counts.Datagrams,
		r.Counts.Bytes/max(1, r.Counts.Datagrams), r.Counts.Dropped, r.Counts.Duplicated, r.Counts.Corrupted, len(r.Events))
	if r.Disturbed() {
		fmt.Fprintf(out, "disturbed: processes were woken up to %v late, so times of this run mean little\n", r.WakeDelay.Round(time.Millisecond))
	}
	if r.Good() {
		fmt.Fprintln(out, "good   nothing was violated")
	}
	for i, violation := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(out, "BAD    and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(out, "BAD    "+violation)
	}
}
