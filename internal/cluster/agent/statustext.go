package agent

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteText writes the status as text tables.
func (s *Status) WriteText(out io.Writer) {
	displaced := ""
	if s.Displaced {
		displaced = "; displaced: a later process has its name, so it doesn't take part in the cluster"
	}
	fmt.Fprintf(out, "%s at %s, start %d: %d members known, %d of them lost; suspects others %d times slower than usual%s\n", s.Name, s.Address, s.Start, len(s.Members), s.Lost,
		s.SuspicionMultiplier, displaced)
	fmt.Fprintf(out, "%d datagrams sent, %d received; dropped since the last log line on them: %v\n\n", s.Sent, s.Received, s.Dropped)
	fmt.Fprintf(out, "%-20s %-8s %10s  %s\n", "member", "state", "since s", "address")
	for _, m := range s.Members {
		fmt.Fprintf(out, "%-20s %-8s %10.1f  %s\n", m.Name, m.State, m.StateSeconds, m.Address)
	}
	if len(s.Budgets) > 0 {
		fmt.Fprintln(out)
		s.writeBudgetTable(out)
	}
	if s.Counts != nil {
		s.Counts.writeText(out)
	}
	fmt.Fprintf(out, "\n%-20s %12s %24s %8s %10s %14s  %s\n", "engine", "answered s", "failed s", "against", "witnesses", "report heard s", "failed for others")
	for _, e := range s.Engines {
		failed := strings.TrimSpace(e.Failure + " " + formatAge(e.FailedSeconds))
		fmt.Fprintf(out, "%-20s %12s %24s %8.2f %10d %14s  %s\n", e.Engine, formatAge(e.AnsweredSeconds), failed, e.FailureScore, e.Witnesses, formatAge(e.ReportSeconds), e.ReportedFailures)
	}
}

// formatAge formats an age in seconds. A negative age stands for none and becomes "-".
func formatAge(seconds float64) string {
	if seconds < 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", seconds)
}

// WriteBudgets writes the budgets, for each of them what every other member has lent and borrowed, and the counts of requests at
// all gateways.
func (s *Status) WriteBudgets(out io.Writer) {
	if len(s.Budgets) == 0 {
		fmt.Fprintf(out, "%s shares no budgets\n", s.Name)
		return
	}
	s.writeBudgetTable(out)
	for _, b := range s.Budgets {
		fmt.Fprintf(out, "\n%s, %s with\n%-20s %6s %9s %7s %10s %8s\n", b.Budget, s.Name, "member", "lent", "borrowed", "ends s", "could lend", "told s")
		for _, p := range b.Peers {
			fmt.Fprintf(out, "%-20s %6d %9d %7.1f %10d %8.1f\n", p.Member, p.Lent, p.Borrowed, p.LeaseSeconds, p.Lendable, p.ReportSeconds)
		}
	}
	if s.Counts != nil {
		s.Counts.writeText(out)
	}
}

func (s *Status) writeBudgetTable(out io.Writer) {
	fmt.Fprintf(out, "%-20s %6s %6s %6s %9s %6s %7s %12s\n", "budget", "total", "own", "lent", "borrowed", "used", "wanted", "seat held s")
	for _, b := range s.Budgets {
		fmt.Fprintf(out, "%-20s %6d %6d %6d %9d %6d %7d %12.1f\n", b.Budget, b.Total, b.LocalShare, b.Lent, b.Borrowed, b.Used, b.Wanted, b.ShareSeconds)
	}
}

func (c *CountStatus) writeText(out io.Writer) {
	fmt.Fprintf(out, "\ncounts of the fleet as of %.1f s ago: %d gateways known, %d unknown\n", c.AgeSeconds, c.KnownGateways, c.SilentGateways)
	fmt.Fprintf(out, "%-28s %12s %12s %16s\n", "of", "waits", "runs", "handed off")
	for _, l := range c.Lines {
		fmt.Fprintf(out, "%-28s %12s %12s %16s\n", l.Subject, formatInterval(l.Waiting), formatInterval(l.Running), formatInterval(l.Attempts))
	}
}

// formatInterval formats an interval of a low and a high value. A negative high value means that there is no upper limit.
func formatInterval(bounds [2]int64) string {
	low, high := bounds[0], bounds[1]
	switch {
	case high < 0:
		return fmt.Sprintf("%d or more", low)
	case low == high:
		return fmt.Sprint(low)
	}
	return fmt.Sprintf("%d to %d", low, high)
}

// WriteText writes the gateway's state of the policy rollout as text.
func (s *PolicyStatus) WriteText(out io.Writer) {
	lease := fmt.Sprintf("lease for %.1f s", s.LeaseSeconds)
	if s.LeaseSeconds == 0 {
		lease = "NO LEASE: requests to which a class of any policy applies are rejected"
	}
	fmt.Fprintf(out, "%s has policy %d, %s; %s\n", s.Name, s.Number, s.Digest, lease)
	if s.DecidedNumber != s.Number {
		fmt.Fprintf(out, "policy %d is decided\n", s.DecidedNumber)
	}
	if s.UnusableDigest != "" {
		fmt.Fprintf(out, "it can't apply policy %s: its log has the reason\n", s.UnusableDigest)
	}
	role := ""
	if s.IsVoter {
		role = "; it is one of them"
	} else if s.IsLearner {
		role = "; it is becoming one of them"
	}
	leader := s.Leader
	if leader == "" {
		leader = "not known"
	}
	fmt.Fprintf(out, "voters %s, leader %s, era %d%s\n", strings.Join(s.Voters, " "), leader, s.Era, role)
	if s.Proposal != "" {
		fmt.Fprintf(out, "proposal %s, %s, is open; %s\n", s.Proposal, s.ProposalDigest, s.formatReadiness())
	}
	if s.VoterChange != "" {
		fmt.Fprintln(out, s.VoterChange)
	}
	if len(s.Members) > 0 {
		s.writeMembers(out)
	}
}

// formatReadiness describes whether the gateway is ready for the open proposal.
func (s *PolicyStatus) formatReadiness() string {
	switch {
	case s.Ready:
		return "ready for it"
	case s.Reason != "":
		return "rejects it: " + s.Reason
	}
	return "not ready for it"
}

func (s *PolicyStatus) writeMembers(out io.Writer) {
	fmt.Fprintf(out, "\n%-20s %8s %8s %6s  %s\n", "member", "heard s", "lease s", "ready", "")
	for _, m := range s.Members {
		remark := m.Reason
		if m.Excluded {
			remark = strings.TrimSpace("left out " + remark)
		}
		fmt.Fprintf(out, "%-20s %8.1f %8.1f %6t  %s\n", m.Name, m.ContactSeconds, m.LeaseSeconds, m.Ready, remark)
	}
}

// WriteHistory writes the policies that were in force and the outcomes of proposals.
func (s *PolicyStatus) WriteHistory(out io.Writer) {
	fmt.Fprintf(out, "%7s  %-12s %8s  %-9s %-20s %s\n", "number", "digest", "bytes", "kind", "by", "at")
	for _, r := range s.Records {
		kind := r.Kind
		if r.SourceNumber > 0 {
			kind = fmt.Sprintf("%s %d", r.Kind, r.SourceNumber)
		}
		fmt.Fprintf(out, "%7d  %-12s %8d  %-9s %-20s %s\n", r.Number, r.Digest, r.Size, kind, r.Proposer, time.Unix(r.UnixSeconds, 0).UTC().Format(time.RFC3339))
	}
	for _, r := range s.Results {
		fmt.Fprintf(out, "proposal %08x: %s %s\n", uint32(r.ID>>32), r.Outcome, r.Reason)
	}
}
