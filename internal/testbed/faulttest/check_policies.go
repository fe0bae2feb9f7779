package faulttest

import (
	"fmt"
	"io"
	"slices"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/rollout"
)

// PolicyMetrics summarizes the policy changes and the decisions under policies in a run.
type PolicyMetrics struct {
	Decisions      int           `json:"decisions"` // decisions on requests that name a policy revision
	OlderDecisions int           `json:"older"`     // decisions that rest on an older revision after a decision rested on a newer one
	RejectedUnsure int           `json:"unsure"`    // loads rejected because the gateway did not know which policy is in force
	Loads          int           `json:"loads"`     // all loads that clients sent
	Highest        int           `json:"highest"`   // highest policy revision that a decision rests on
	WriteGapP50    time.Duration `json:"gap50"`     // time from the check whether an attempt may be sent to its write
	WriteGapP99    time.Duration `json:"gap99"`
	WriteGapMax    time.Duration `json:"gap_most"`
	DecisionP50    time.Duration `json:"took50"` // time that decided proposals took
	DecisionP99    time.Duration `json:"took99"`
}

// CheckPolicies checks a merged history for the rules of policies. No process makes a decision with a policy revision after any process
// has made one with a later revision. Each revision is one policy. A process that makes a decision with a revision has recorded that it
// holds a lease on that revision.
func CheckPolicies(events []history.Event) (PolicyMetrics, []string) {
	c := &policyChecker{
		digests:     map[int]string{},
		leases:      map[incarnation]int{},
		checkedAt:   map[requestKey]int64{},
		firstUsedAt: firstPolicyUses(events),
	}
	if len(events) > 0 {
		c.startedAt = events[0].At
	}
	for i := range events {
		e := &events[i]
		switch e.Kind {
		case history.PolicyChanged:
			c.checkChange(e)
		case history.AttemptWritten:
			c.recordWrite(e)
		case history.RequestDecided:
			c.checkDecision(e)
		}
	}
	slices.Sort(c.gaps)
	if n := len(c.gaps); n > 0 {
		c.metrics.WriteGapP50 = c.gaps[n/2]
		c.metrics.WriteGapP99 = c.gaps[n*99/100]
		c.metrics.WriteGapMax = c.gaps[n-1]
	}
	return c.metrics, c.violations
}

// policyChecker tracks which policy each incarnation of a process applies, and collects the violations.
type policyChecker struct {
	startedAt   int64
	digests     map[int]string       // by policy revision
	leases      map[incarnation]int  // highest revision that it held a lease on, plus one; 0: none
	checkedAt   map[requestKey]int64 // time of the check that allowed a request, until the request is written
	firstUsedAt map[int]policyUse    // by policy revision
	gaps        []time.Duration      // times from the check of a request to its write
	metrics     PolicyMetrics
	violations  []string
}

// requestKey is a request at one incarnation of a gateway.
type requestKey struct {
	incarnation
	request string
}

// policyUse is a decision on a request with a policy revision.
type policyUse struct {
	at      int64
	process string
}

// firstPolicyUses returns, by policy revision, the first decision that was recorded with this revision alone. Decisions that also rest on
// a proposed policy don't count. The revision is in force from then on. Decisions that were checked earlier may be recorded later.
func firstPolicyUses(events []history.Event) map[int]policyUse {
	uses := map[int]policyUse{}
	for i := range events {
		e := &events[i]
		if e.Kind != history.RequestDecided || e.Number < 0 || e.Ejects {
			continue
		}
		if first, ok := uses[e.Number]; !ok || e.At < first.at {
			uses[e.Number] = policyUse{e.At, e.Process}
		}
	}
	return uses
}

func (c *policyChecker) addViolation(e *history.Event, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%.3f s, %s: policy: %s", float64(e.At-c.startedAt)/1e9, e.Process, fmt.Sprintf(format, args...)))
}

func (c *policyChecker) checkChange(e *history.Event) {
	if !e.Success {
		return
	}
	if digest, ok := c.digests[e.Number]; ok && digest != e.Code {
		c.addViolation(e, "number %d is %s here, and %s elsewhere", e.Number, e.Code, digest)
	} else {
		c.digests[e.Number] = e.Code
	}
	holder := incarnationOf(e)
	c.leases[holder] = max(c.leases[holder], e.Number+1)
}

func (c *policyChecker) recordWrite(e *history.Event) {
	request := requestKey{incarnationOf(e), e.Request}
	if at, ok := c.checkedAt[request]; ok {
		c.gaps = append(c.gaps, time.Duration(e.At-at))
		delete(c.checkedAt, request)
	}
}

func (c *policyChecker) checkDecision(e *history.Event) {
	if e.Code == "unsure" {
		c.metrics.RejectedUnsure++
		return
	}
	if e.Number < 0 {
		return
	}
	c.metrics.Decisions++
	c.metrics.Highest = max(c.metrics.Highest, e.Number)
	if e.Code == "sent" {
		c.checkedAt[requestKey{incarnationOf(e), e.Request}] = e.ObservedAt
	}
	if c.leases[incarnationOf(e)] < e.Number+1 {
		c.addViolation(e, "%s by number %d, without a word that it goes by it", e.Code, e.Number)
	}
	if number, first, found := c.laterUse(e); found {
		c.metrics.OlderDecisions++
		c.addViolation(e, "%s of %s by number %d, %.1f ms after %s decided by %d", e.Code, e.Request, e.Number, float64(e.ObservedAt-first.at)/1e6, first.process, number)
	}
}

// laterUse returns the earliest use of a later policy revision, if there is one before the check of the decision.
func (c *policyChecker) laterUse(decision *history.Event) (number int, first policyUse, found bool) {
	newest := decision.Number
	if decision.Ejects {
		newest++ // a decision that rests on two policies is valid under both
	}
	for n, use := range c.firstUsedAt {
		if n > newest && use.at < decision.ObservedAt && (!found || use.at < first.at) {
			number, first, found = n, use, true
		}
	}
	return number, first, found
}

// checkPolicies checks a run's histories and proposals, and adds the violations and metrics to the result.
func (p *run) checkPolicies(r *Result) {
	metrics, violations := CheckPolicies(r.Events)
	r.Proposals = p.proposalResults
	slices.SortFunc(r.Proposals, func(a, b ProposalResult) int { return int(a.At - b.At) })
	violations = append(violations, r.checkProposalEnds()...)
	violations = append(violations, p.checkProposalsInForce(r)...)
	metrics.DecisionP50, metrics.DecisionP99 = percentiles(decidedTimes(r.Proposals))
	for i := range r.Requests {
		metrics.Loads += btoi(r.Requests[i].Load)
	}
	r.Policies = &metrics
	r.addViolations(violations...)
}

// checkProposalEnds adds a timed violation for each proposal that did not end, and returns a violation for each proposal that ended in
// two different ways.
func (r *Result) checkProposalEnds() (violations []string) {
	ends := map[uint64]ProposalResult{}
	for _, proposal := range r.Proposals {
		if proposal.End == "unknown" || proposal.End == "pending" {
			r.addTimedViolations(fmt.Sprintf("eventual: the proposal made by %s at %v had not ended %v later: %s", proposal.By, proposal.At.Round(time.Millisecond), proposal.Took.Round(time.Millisecond), proposal.Why))
		}
		if earlier, ok := ends[proposal.id]; ok && earlier.End != proposal.End {
			violations = append(violations, fmt.Sprintf("policy: one proposal has two outcomes: %s and %s", earlier, proposal))
		}
		ends[proposal.id] = proposal
	}
	return violations
}

// checkProposalsInForce returns a violation for each proposal that a process applied although it was not decided.
func (p *run) checkProposalsInForce(r *Result) (violations []string) {
	decided := map[string]bool{rollout.DigestOf(p.firstPolicyText()).String(): true}
	for _, proposal := range r.Proposals {
		mayBeInForce := proposal.End != "dropped" && proposal.End != "refused" && proposal.End != "rehearsed"
		decided[proposal.digest] = decided[proposal.digest] || mayBeInForce
	}
	for _, proposal := range r.Proposals {
		if decided[proposal.digest] {
			continue
		}
		i := slices.IndexFunc(r.Events, func(e history.Event) bool {
			return e.Kind == history.PolicyChanged && e.Success && e.Code == proposal.digest
		})
		if i >= 0 {
			violations = append(violations, fmt.Sprintf("policy: %s applied a proposal with the outcome %s", r.Events[i].Process, proposal))
		}
	}
	return violations
}

// decidedTimes returns the times that decided proposals took.
func decidedTimes(proposals []ProposalResult) (took []time.Duration) {
	for _, proposal := range proposals {
		if proposal.End == "decided" {
			took = append(took, proposal.Took)
		}
	}
	return took
}

// percentiles sorts times in place, and returns their median and 99th percentile. Without times, it returns zeros.
func percentiles(times []time.Duration) (p50, p99 time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100]
}

// Text writes the metrics in readable form.
func (m *PolicyMetrics) Text(out io.Writer, proposals []ProposalResult) {
	fmt.Fprintf(out, "%d proposals:", len(proposals))
	for _, end := range countEnds(proposals) {
		fmt.Fprint(out, " ", end)
	}
	fmt.Fprintf(out, "; number %d at the end; until they took hold %.0f ms at the median, %.0f at p99\n", m.Highest, m.DecisionP50.Seconds()*1000, m.DecisionP99.Seconds()*1000)
	fmt.Fprintf(out, "%d decisions, %d by an older number after a newer; %d of %d loads turned away for want of a lease; %.3f ms from look to write at the median, %.3f at p99, %.3f at most\n",
		m.Decisions, m.OlderDecisions, m.RejectedUnsure, m.Loads, m.WriteGapP50.Seconds()*1000, m.WriteGapP99.Seconds()*1000, m.WriteGapMax.Seconds()*1000)
}

// countEnds returns the number of proposals with each outcome, as in "3 decided", sorted by outcome.
func countEnds(proposals []ProposalResult) (counts []string) {
	ends := map[string]int{}
	for _, proposal := range proposals {
		ends[proposal.End]++
	}
	for _, end := range sortedKeys(ends) {
		counts = append(counts, fmt.Sprintf("%d %s", ends[end], end))
	}
	return counts
}
