package faulttest

import (
	"fmt"
	"io"
	"slices"
	"time"

	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/rollout"
)

// PolicyMetrics are what a run came to as to policies.
type PolicyMetrics struct {
	Decisions      int           `json:"decisions"` // that bear a number
	OlderDecisions int           `json:"older"`     // by an older number after a newer one
	RejectedUnsure int           `json:"unsure"`    // loads rejected as no policy was known to be in force
	Loads          int           `json:"loads"`     // that came
	Highest        int           `json:"highest"`   // number in force
	WriteGapP50    time.Duration `json:"gap50"`     // between the check whether an attempt may be written, and the write
	WriteGapP99    time.Duration `json:"gap99"`
	WriteGapMax    time.Duration `json:"gap_most"`
	DecisionP50    time.Duration `json:"took50"` // of proposals that were decided
	DecisionP99    time.Duration `json:"took99"`
}

// CheckPolicies reads a merged history for what must hold of policies: nobody decides by a number after anybody has decided by a later one;
// one number is one policy; who decides by a number has written down that it holds a lease on it.
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

// policyChecker follows which policy each incarnation of a process goes by, and collects the violations.
type policyChecker struct {
	startedAt   int64
	digests     map[int]string       // by number
	leases      map[incarnation]int  // the highest number that it holds a lease on, plus one
	checkedAt   map[requestKey]int64 // when a request was found to be allowed, until it is written
	firstUsedAt map[int]policyUse    // by number
	gaps        []time.Duration      // from check to write
	metrics     PolicyMetrics
	violations  []string
}

// requestKey is a request at one incarnation of a gateway.
type requestKey struct {
	incarnation
	request string
}

// policyUse is when and by whom a request was decided by a number.
type policyUse struct {
	at      int64
	process string
}

// firstPolicyUses are, by number, when a request was first surely decided by it. A number is in force from the first write whose check
// came after it was; so what was checked earlier may be written down later.
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

// laterUse is the first use of a later number before the check that a decision rests on.
func (c *policyChecker) laterUse(decision *history.Event) (number int, first policyUse, found bool) {
	newest := decision.Number
	if decision.Ejects {
		newest++ // what two policies allow holds under both
	}
	for n, use := range c.firstUsedAt {
		if n > newest && use.at < decision.ObservedAt && (!found || use.at < first.at) {
			number, first, found = n, use, true
		}
	}
	return number, first, found
}

// checkPolicies holds a run's histories and proposals against what must hold.
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

// checkProposalEnds takes down proposals that did not end, and returns those that ended in two ways.
func (r *Result) checkProposalEnds() (violations []string) {
	ends := map[uint64]ProposalResult{}
	for _, proposal := range r.Proposals {
		if proposal.End == "unknown" || proposal.End == "pending" {
			r.addTimedViolations(fmt.Sprintf("eventual: what %s proposed at %v had not ended %v later: %s", proposal.By, proposal.At.Round(time.Millisecond), proposal.Took.Round(time.Millisecond), proposal.Why))
		}
		if earlier, ok := ends[proposal.id]; ok && earlier.End != proposal.End {
			violations = append(violations, fmt.Sprintf("policy: one proposal is %s and %s", earlier, proposal))
		}
		ends[proposal.id] = proposal
	}
	return violations
}

// checkProposalsInForce returns the proposals that a process went by though they were not decided.
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
			violations = append(violations, fmt.Sprintf("policy: %s went by what was %s", r.Events[i].Process, proposal))
		}
	}
	return violations
}

// decidedTimes are how long proposals took that were decided.
func decidedTimes(proposals []ProposalResult) (took []time.Duration) {
	for _, proposal := range proposals {
		if proposal.End == "decided" {
			took = append(took, proposal.Took)
		}
	}
	return took
}

// percentiles sorts times in place, and returns their median and 99th percentile; zeros where there are none.
func percentiles(times []time.Duration) (p50, p99 time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100]
}

// Text writes the metrics for people.
func (m *PolicyMetrics) Text(out io.Writer, proposals []ProposalResult) {
	fmt.Fprintf(out, "%d proposals:", len(proposals))
	for _, end := range countEnds(proposals) {
		fmt.Fprint(out, " ", end)
	}
	fmt.Fprintf(out, "; number %d at the end; until they took hold %.0f ms at the median, %.0f at p99\n", m.Highest, m.DecisionP50.Seconds()*1000, m.DecisionP99.Seconds()*1000)
	fmt.Fprintf(out, "%d decisions, %d by an older number after a newer; %d of %d loads turned away for want of a lease; %.3f ms from look to write at the median, %.3f at p99, %.3f at most\n",
		m.Decisions, m.OlderDecisions, m.RejectedUnsure, m.Loads, m.WriteGapP50.Seconds()*1000, m.WriteGapP99.Seconds()*1000, m.WriteGapMax.Seconds()*1000)
}

// countEnds is how many proposals ended in each way, as in "3 decided", sorted by the way.
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
