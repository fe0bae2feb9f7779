package faulttest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"sync"
)

// Outcome holds the results of a scenario: of one run, or of several runs that are compared, with the most relevant one first.
type Outcome struct {
	Results []*Result
	Text    func(out io.Writer)
	Data    any // the values that Text prints, to be encoded as JSON
}

// Good reports whether no run has violations.
func (o *Outcome) Good() bool {
	for _, r := range o.Results {
		if !r.Good() {
			return false
		}
	}
	return true
}

// RunScenario runs a scenario in all variants that it is meant to compare. Scenarios that measure health reports, or all scenarios with
// compareSharing, run with and without shared health reports. Scenarios with engines that warm up run with slow-start quotas that are
// shared by messages, and with gateways that take turns by their numbers. Scenarios with phases and voters run with a policy rollout and
// with policy files. Other scenarios with phases run with each way of sharing a quota; if maxModes is above 0, only with the first
// maxModes ways and without a limit. Any other scenario runs once.
func RunScenario(ctx context.Context, s *Scenario, folder, program string, compareSharing bool, maxModes int) (*Outcome, error) {
	switch {
	case compareSharing || strings.HasPrefix(s.Name, "judgement"):
		with, without, err := RunWithAndWithoutSharing(ctx, s, folder, program)
		if err != nil {
			return nil, err
		}
		return &Outcome{[]*Result{with, without}, func(out io.Writer) { Compare(out, with, without) },
			map[string]any{"with": with, "without": without, "outages_with": with.Outages(), "outages_without": without.Outages()}}, nil
	case s.WarmUp > 0:
		shared, byNumber, err := CompareSlowStart(ctx, s, folder, program)
		if err != nil {
			return nil, err
		}
		return &Outcome{[]*Result{shared, byNumber}, func(out io.Writer) { WriteSlowStartComparison(out, shared, byNumber) }, map[string]any{"shared": shared, "by_number": byNumber}}, nil
	case len(s.Phases) > 0 && s.Rollout.Voters > 0:
		list, err := ComparePolicyModes(ctx, s, folder, program)
		if err != nil {
			return nil, err
		}
		return &Outcome{[]*Result{list[0].Result}, func(out io.Writer) { WritePolicyModes(out, list) }, list}, nil
	case len(s.Phases) > 0:
		list, err := CompareQuotaModes(ctx, s, folder, program, maxModes)
		if err != nil {
			return nil, err
		}
		outcome := &Outcome{Text: func(out io.Writer) { WriteQuotaModes(out, list) }, Data: list}
		for _, mode := range list {
			outcome.Results = append(outcome.Results, mode.Result)
		}
		return outcome, nil
	}
	r, err := Run(ctx, s, folder, program)
	if err != nil {
		return nil, err
	}
	return &Outcome{[]*Result{r}, func(out io.Writer) {
		r.Text(out)
		fmt.Fprintln(out, "logs and histories in", folder)
	}, r}, nil
}

// RunWithAndWithoutSharing runs a scenario with and without shared health reports. Both runs take place at the same time on the same
// machine, so that their conditions are the same.
func RunWithAndWithoutSharing(ctx context.Context, s *Scenario, folder, program string) (with, without *Result, err error) {
	var all sync.WaitGroup
	var errs [2]error
	var results [2]*Result
	for i, sharing := range []bool{true, false} {
		variant := *s
		variant.HealthReports = sharing
		all.Add(1)
		go func() {
			defer all.Done()
			results[i], errs[i] = Run(ctx, &variant, filepath.Join(folder, []string{"with", "without"}[i]), program)
		}()
	}
	all.Wait()
	return results[0], results[1], errors.Join(errs[:]...)
}
