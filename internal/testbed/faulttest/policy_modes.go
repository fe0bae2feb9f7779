package faulttest

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/sqlclient"
)

// PolicyMode is one way of changing policies, with the result of a run that uses it.
type PolicyMode struct {
	Name      string        `json:"name"`
	Result    *Result       `json:"result"`
	Phases    []PolicyPhase `json:"phases"`
	OlderUses int           `json:"older"` // uses of shared quotas under an older policy revision after a use under a newer one
	Uses      int           `json:"uses"`  // all uses of shared quotas
}

// PolicyPhase summarizes the policy changes and requests of one phase.
type PolicyPhase struct {
	Phase
	Proposals      int           `json:"proposals"`
	Ends           []string      `json:"ends"`
	DecisionP50    time.Duration `json:"took50"` // time that decided proposals took
	DecisionP99    time.Duration `json:"took99"`
	Loads          int           `json:"loads"`
	RejectedUnsure int           `json:"unsure"` // loads rejected because the gateway held no lease on a policy
	Served         float64       `json:"served"` // share of the requests' priority weight that was served within the latency objective
	OlderUses      int           `json:"older"`
	P50            time.Duration `json:"p50"` // latency of look-ups that were sent in the phase and served
	P99            time.Duration `json:"p99"`
}

// pauseBetweenFiles is the time between the new files of two gateways, as in a script that updates one gateway after the other.
const pauseBetweenFiles = 100 * time.Millisecond

// ComparePolicyModes runs a scenario twice: with a policy rollout, and with the same changes in operator files that the gateways read at
// SIGHUP, one gateway after the other.
func ComparePolicyModes(ctx context.Context, s *Scenario, folder, program string) (list []*PolicyMode, err error) {
	scenarios := []*Scenario{s, s.withPolicyFiles()}
	for i, mode := range []*PolicyMode{{Name: "charter"}, {Name: "files at SIGHUP"}} {
		mode.Result, err = Run(ctx, scenarios[i], filepath.Join(folder, fmt.Sprint("way", i)), program)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", mode.Name, err)
		}
		uses, olderUses := mode.Result.countUses()
		mode.Uses = uses
		mode.OlderUses = len(olderUses)
		for _, phase := range s.Phases {
			mode.Phases = append(mode.Phases, mode.Result.policyPhase(phase, olderUses))
		}
		list = append(list, mode)
	}
	return list, nil
}

// withPolicyFiles returns the scenario without a rollout. Each proposal is replaced by new operator files, for one gateway after the
// other.
func (s *Scenario) withPolicyFiles() *Scenario {
	files := *s
	files.Rollout, files.Steps = installation.Rollout{}, nil
	number := 1
	for _, step := range s.Steps {
		if step.Action != "propose" {
			files.Steps = append(files.Steps, step)
			continue
		}
		number++
		for i := range s.Gateways {
			files.Steps = append(files.Steps, Step{
				At:           step.At + time.Duration(i)*pauseBetweenFiles,
				Action:       "limit",
				Gateways:     []string{fmt.Sprint("g", i)},
				Limits:       step.Policy.ClusterLimits,
				PolicyNumber: number,
				Folder:       "same",
			})
		}
	}
	return &files
}

// countUses counts the uses of quotas. olderUses has the times of those under an older policy revision than an earlier use by any
// process.
func (r *Result) countUses() (uses int, olderUses []time.Duration) {
	numbers := map[incarnation]uint64{}
	highest := uint64(0)
	for i := range r.Events {
		e := &r.Events[i]
		user := incarnationOf(e)
		switch e.Kind {
		case history.TotalChanged:
			numbers[user] = max(numbers[user], e.Detail)
		case history.BudgetUsed:
			uses++
			highest = max(highest, numbers[user])
			if numbers[user] < highest {
				olderUses = append(olderUses, time.Duration(e.At-r.StartMonotonic))
			}
		}
	}
	return uses, olderUses
}

// contains reports whether a time since the start of the load is in the phase.
func (p *Phase) contains(at time.Duration) bool { return at >= p.At && at < p.Until }

func (r *Result) policyPhase(phase Phase, olderUses []time.Duration) PolicyPhase {
	metrics := PolicyPhase{Phase: phase}
	var proposals []ProposalResult
	for _, proposal := range r.Proposals {
		if phase.contains(proposal.At) {
			proposals = append(proposals, proposal)
		}
	}
	metrics.Proposals = len(proposals)
	metrics.Ends = countEnds(proposals)
	metrics.DecisionP50, metrics.DecisionP99 = percentiles(decidedTimes(proposals))
	metrics.measureRequests(r.Requests)
	for i := range r.Events {
		e := &r.Events[i]
		if e.Kind == history.RequestDecided && e.Code == "unsure" && phase.contains(time.Duration(e.At-r.StartMonotonic)) {
			metrics.RejectedUnsure++
		}
	}
	for _, at := range olderUses {
		metrics.OlderUses += btoi(phase.contains(at))
	}
	return metrics
}

// measureRequests computes the metrics of the requests that were sent in the phase.
func (p *PolicyPhase) measureRequests(requests []Request) {
	requested, earned := 0.0, 0.0
	var took []time.Duration
	for i := range requests {
		request := &requests[i]
		if !p.contains(request.At) || request.End == sqlclient.NotConnected {
			continue
		}
		p.Loads += btoi(request.Load)
		requested += request.weight()
		earned += request.EarnedWeight()
		if request.End == sqlclient.Served && !request.Load {
			took = append(took, request.Took)
		}
	}
	p.P50, p.P99 = percentiles(took)
	if requested > 0 {
		p.Served = earned / requested
	}
}

// WritePolicyModes writes a table for each mode.
func WritePolicyModes(out io.Writer, list []*PolicyMode) {
	s := list[0].Result.Scenario
	fmt.Fprintf(out, "%s: %d gateways, %d voters, lease %v, %d engines; real processes and sockets on loopback, one way after the other\n", s.Name, s.Gateways, s.Rollout.Voters, s.Rollout.Lease,
		s.Engines)
	for _, mode := range list {
		fmt.Fprintf(out, "\n%s\n%-16s %9s %9s %9s %9s %9s %9s %9s %7s  %s\n", mode.Name, "phase", "in force", "p99", "no lease", "served", "older", "look p50", "p99", "changes", "")
		for _, p := range mode.Phases {
			fmt.Fprintf(out, "%-16s %6.0f ms %6.0f ms %9.4f %9.3f %9d %6.1f ms %6.1f ms %7d  %s\n", p.Name, p.DecisionP50.Seconds()*1000, p.DecisionP99.Seconds()*1000, float64(p.RejectedUnsure)/float64(max(1, p.Loads)), p.Served,
				p.OlderUses, p.P50.Seconds()*1000, p.P99.Seconds()*1000, p.Proposals, strings.Join(p.Ends, ", "))
		}
		fmt.Fprintf(out, "%d of %d uses of what is the fleet's were by an older number after a newer\n", mode.OlderUses, mode.Uses)
		mode.Result.Text(out)
	}
}
