package faulttest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/sqlclient"
)

// Proposed is a proposal that was made, and what became of it.
type Proposed struct {
	At     time.Duration `json:"at"` // from the load's begin
	By     string        `json:"by"`
	Took   time.Duration `json:"took"`
	End    string        `json:"end"` // unknown: nobody could tell
	Number uint64        `json:"number"`
	Why    string        `json:"why,omitempty"`
	id     uint64
	digest string
}

func (p Proposed) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", p.End, p.Number, p.Why))
}

// endsWithin is how long a proposal may take at most, with a majority of the voters there: to take it, three times the longest lease that may
// have to end, an election and some attempts (policy rollout's own limit, and what it takes to be told).
func (s *Scenario) endsWithin() time.Duration {
	longest := s.Rollout.Lease
	for _, t := range s.Steps {
		longest = max(longest, t.Policy.Both)
	}
	return s.Rollout.Within + 4*longest + 20*time.Second
}

// asks has a gateway asked something, and while it is away another.
func (p *run) requestPolicy(ctx context.Context, first *installation.Gateway, q *agent.PolicyRequest, by time.Time) (*agent.PolicyReply, error) {
	turn := slices.Index(p.installation.Gateways, first)
	var last error
	for time.Now().Before(by) {
		all := p.installation.Gateways
		g := all[turn%len(all)]
		turn++
		p.mu.Lock()
		down := p.notRunning[g.Label()]
		p.mu.Unlock()
		if !down && g.IsRunning() {
			until, stop := context.WithDeadline(ctx, by)
			a, err := agent.SendPolicyRequest(until, g.Control, q)
			stop()
			if err == nil && a.Error == "" {
				return a, nil
			}
			if last = err; err == nil {
				last = errors.New(a.Error)
			}
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil, fmt.Errorf("no gateway answered: %w", last)
}

// offer makes a proposal, and waits for its end beside what else happens.
func (p *run) propose(t Step) {
	var first *installation.Gateway
	p.eachGateway(t.Gateways, func(g *installation.Gateway) error {
		if first == nil {
			first = g
		}
		return nil
	})
	if first == nil {
		p.failures = append(p.failures, fmt.Sprintf("step at %v: no gateway is called %v", t.At, t.Gateways))
		return
	}
	if t.Action == "voters" || t.Action == "force" {
		q := &agent.PolicyRequest{Operation: agent.PolicyOperation(t.Action), Voters: t.Gateways}
		if _, err := p.requestPolicy(context.Background(), first, q, time.Now().Add(10*time.Second)); err != nil {
			p.failures = append(p.failures, fmt.Sprintf("step at %v: %s: %v", t.At, t.Action, err))
		}
		return
	}
	if p.proposalIDs == nil {
		p.proposalIDs = map[string]uint64{}
	}
	id := p.proposalIDs[t.ProposalName]
	if id == 0 {
		if id = rand.Uint64() | 1; t.ProposalName != "" {
			p.proposalIDs[t.ProposalName] = id
		}
	}
	t.Policy.Fleet = p.scenario.Limits.Any()
	q := &agent.PolicyRequest{Operation: map[string]agent.PolicyOperation{"change": agent.ProposeOperation, "rollback": agent.RollbackOperation, "rehearse": agent.RehearseOperation}[t.ProposalKind], ID: id, Text: t.Policy.Text(), Number: uint64(t.PolicyNumber),
		DurationMillis: t.Policy.Rehearse.Milliseconds()}
	if t.ProposalKind == "rollback" {
		q.Text = nil
	}
	p.proposals.Add(1)
	go func() {
		defer p.proposals.Done()
		for by := time.Now().Add(p.scenario.endsWithin()); p.tryProposal(first, q) && t.ProposalName == "" && time.Now().Before(by); time.Sleep(100 * time.Millisecond) {
			q.ID = rand.Uint64() | 1 // another one was open: it is proposed again, as its operator would
		}
	}()
}

// attempt makes a proposal and waits for its end; true: another one was open.
func (p *run) tryProposal(first *installation.Gateway, q *agent.PolicyRequest) bool {
	began := time.Now()
	a, err := p.requestPolicy(context.Background(), first, q, began.Add(p.scenario.endsWithin()))
	k := Proposed{At: began.Sub(p.startedAt), By: first.Label(), Took: time.Since(began), End: "unknown", id: q.ID, digest: rollout.DigestOf(q.Text).String()}
	if q.Text == nil { // of one before
		k.digest = ""
	}
	if err == nil && a.Result != nil {
		k.End, k.Number, k.Why = a.Result.Outcome, a.Result.Number, a.Result.Reason
	} else if err != nil {
		k.Why = err.Error()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proposed = append(p.proposed, k)
	return k.End == "refused" && strings.Contains(k.Why, "is open")
}

// firstText is the first policy's: the scenario's limits.
func (p *run) firstPolicyText() []byte {
	return (&installation.Policy{ClusterLimits: p.scenario.Limits, Fleet: p.scenario.Limits.Any()}).Text()
}

// first has the scenario's limits be the first policy, and all go by it.
func (p *run) proposeFirst(ctx context.Context) error {
	q := &agent.PolicyRequest{Operation: agent.ProposeOperation, ID: 1, Text: p.firstPolicyText()}
	by := time.Now().Add(p.scenario.ConvergeWithin + 5*p.scenario.Rollout.Lease)
	a, err := p.requestPolicy(ctx, p.installation.Gateways[len(p.installation.Gateways)-1], q, by)
	if err != nil {
		return fmt.Errorf("eventual: the first policy was not decided: %w", err)
	}
	if a.Result == nil || a.Result.Outcome != "decided" {
		return fmt.Errorf("eventual: the first policy was not decided: %+v", a.Result)
	}
	for time.Now().Before(by) {
		if p.policyDifference() == "" {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("eventual: not all go by the first policy: %s", p.policyDifference())
}

// apartOnPolicy is the first gateway that is there and does not go by what the others do; empty: there is none.
func (p *run) policyDifference() string {
	number, of := uint64(0), ""
	for _, g := range p.installation.Gateways {
		p.mu.Lock()
		down := p.notRunning[g.Label()]
		p.mu.Unlock()
		if down {
			continue
		}
		if s, err := agent.FetchStatus(g.Control); err != nil || s.Displaced {
			continue // another process has its name
		}
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		a, err := agent.SendPolicyRequest(ctx, g.Control, &agent.PolicyRequest{Operation: agent.StatusOperation})
		stop()
		switch {
		case err != nil:
			return g.Label() + ": " + err.Error()
		case a.Status == nil || a.Status.LeaseSeconds == 0:
			return g.Label() + " holds no lease"
		case of != "" && a.Status.Number != number:
			return fmt.Sprintf("%s goes by number %d, %s by %d", g.Label(), a.Status.Number, of, number)
		}
		number, of = a.Status.Number, g.Label()
	}
	return ""
}

// PolicyMetrics are what a run came to as to policies.
type PolicyMetrics struct {
	Decisions int           `json:"decisions"` // that bear a number
	Older     int           `json:"older"`     // by an older one after a newer
	Unsure    int           `json:"unsure"`    // loads turned away as nobody knew what held for them
	Loads     int           `json:"loads"`     // that came
	Highest   int           `json:"highest"`   // number gone by
	Gap50     time.Duration `json:"gap50"`     // between the look whether a attempt may be written, and when it was
	Gap99     time.Duration `json:"gap99"`
	GapMost   time.Duration `json:"gap_most"`
	Took50    time.Duration `json:"took50"` // of proposals that took hold
	Took99    time.Duration `json:"took99"`
}

// CheckPolicies reads a merged history for what must hold of policies: nobody decides by a number after anybody has decided by a later one;
// one number is one policy; who decides by a number has said that it holds a lease on it.
func CheckPolicies(events []history.Event) (f PolicyMetrics, out []string) {
	type process struct {
		name  string
		start uint64
	}
	type hand struct {
		process
		task string
	}
	say := func(e *history.Event, format string, args ...any) {
		out = append(out, fmt.Sprintf("%.3f s, %s: policy: %s", float64(e.At-events[0].At)/1e9, e.Process, fmt.Sprintf(format, args...)))
	}
	digests, holds := map[int]string{}, map[process]int{}
	looked := map[hand]int64{}
	var gaps []time.Duration
	// A number is gone by from the first write that was looked at after it was; so what was looked at earlier may be written down later.
	type first struct {
		at int64
		by string
	}
	begun := map[int]first{} // by number: when one was surely decided by it
	for i := range events {
		e := &events[i]
		if e.Kind != history.RequestDecided || e.Number < 0 || e.Out {
			continue
		}
		if b, ok := begun[e.Number]; !ok || e.At < b.at {
			begun[e.Number] = first{e.At, e.Process}
		}
	}
	for i := range events {
		e := &events[i]
		k := process{e.Process, e.Start}
		switch e.Kind {
		case history.PolicyChanged:
			if d, ok := digests[e.Number]; ok && d != e.Code && e.Success {
				say(e, "number %d is %s here, and %s elsewhere", e.Number, e.Code, d)
			} else if e.Success {
				digests[e.Number] = e.Code
			}
			if e.Success {
				holds[k] = max(holds[k], e.Number+1)
			}
		case history.AttemptWritten:
			if at, ok := looked[hand{k, e.Request}]; ok {
				gaps = append(gaps, time.Duration(e.At-at))
				delete(looked, hand{k, e.Request})
			}
		case history.RequestDecided:
			if e.Code == "unsure" {
				f.Unsure++
				break
			}
			if e.Number < 0 {
				break
			}
			f.Decisions++
			if f.Highest = max(f.Highest, e.Number); e.Code == "sent" {
				looked[hand{k, e.Request}] = e.ObservedAt
			}
			if holds[k] < e.Number+1 {
				say(e, "%s by number %d, without a word that it goes by it", e.Code, e.Number)
			}
			later, by := int64(0), ""
			most := e.Number
			if e.Out {
				most++ // what two allow is good under both
			}
			number := 0
			for n, b := range begun {
				if n > most && b.at < e.ObservedAt && (later == 0 || b.at < later) {
					later, by, number = b.at, b.by, n
				}
			}
			if later > 0 {
				f.Older++
				say(e, "%s of %s by number %d, %.1f ms after %s decided by %d", e.Code, e.Request, e.Number, float64(e.ObservedAt-later)/1e6, by, number)
			}
		}
	}
	slices.Sort(gaps)
	if n := len(gaps); n > 0 {
		f.Gap50, f.Gap99, f.GapMost = gaps[n/2], gaps[n*99/100], gaps[n-1]
	}
	return f, out
}

// judgePolicies holds a run's histories and proposals against what must hold.
func (p *run) checkPolicies(r *Result) {
	f, wrong := CheckPolicies(r.Events)
	r.Proposals = p.proposed
	slices.SortFunc(r.Proposals, func(a, b Proposed) int { return int(a.At - b.At) })
	var took []time.Duration
	ends := map[uint64]Proposed{}
	for _, k := range r.Proposals {
		if k.End == "decided" {
			took = append(took, k.Took)
		}
		if k.End == "unknown" || k.End == "pending" {
			r.addTimedViolations(fmt.Sprintf("eventual: what %s proposed at %v had not ended %v later: %s", k.By, k.At.Round(time.Millisecond), k.Took.Round(time.Millisecond), k.Why))
		}
		if b, ok := ends[k.id]; ok && b.End != k.End {
			wrong = append(wrong, fmt.Sprintf("policy: one proposal is %s and %s", b, k))
		}
		ends[k.id] = k
	}
	decided := map[string]bool{rollout.DigestOf(p.firstPolicyText()).String(): true}
	for _, k := range r.Proposals {
		decided[k.digest] = decided[k.digest] || k.End != "dropped" && k.End != "refused" && k.End != "rehearsed"
	}
	for _, k := range r.Proposals {
		for i := range r.Events {
			if e := &r.Events[i]; !decided[k.digest] && e.Kind == history.PolicyChanged && e.Success && e.Code == k.digest {
				wrong = append(wrong, fmt.Sprintf("policy: %s went by what was %s", e.Process, k))
				break
			}
		}
	}
	slices.Sort(took)
	if n := len(took); n > 0 {
		f.Took50, f.Took99 = took[n/2], took[n*99/100]
	}
	for i := range r.Requests {
		f.Loads += btoi(r.Requests[i].Load)
	}
	r.Policies = &f
	r.addViolations(wrong...)
}

// Text writes them for people.
func (f *PolicyMetrics) Text(out io.Writer, list []Proposed) {
	ends := map[string]int{}
	for _, k := range list {
		ends[k.End]++
	}
	fmt.Fprintf(out, "%d proposals:", len(list))
	for _, e := range sortedKeys(ends) {
		fmt.Fprintf(out, " %d %s", ends[e], e)
	}
	fmt.Fprintf(out, "; number %d at the end; until they took hold %.0f ms at the median, %.0f at p99\n", f.Highest, f.Took50.Seconds()*1000, f.Took99.Seconds()*1000)
	fmt.Fprintf(out, "%d decisions, %d by an older number after a newer; %d of %d loads turned away for want of a lease; %.3f ms from look to write at the median, %.3f at p99, %.3f at most\n",
		f.Decisions, f.Older, f.Unsure, f.Loads, f.Gap50.Seconds()*1000, f.Gap99.Seconds()*1000, f.GapMost.Seconds()*1000)
}

// PolicyMode is one way in which policies change, and what came of a run with it.
type PolicyMode struct {
	Name   string        `json:"name"`
	Result *Result       `json:"result"`
	Phases []PolicyPhase `json:"phases"`
	Older  int           `json:"older"` // uses of what is the fleet's, by an older number after a newer
	Uses   int           `json:"uses"`
}

// PolicyPhase is what changes came to in one phase.
type PolicyPhase struct {
	Phase
	Proposals int           `json:"proposals"`
	Ends      []string      `json:"ends"`
	Took50    time.Duration `json:"took50"` // of those that took hold
	Took99    time.Duration `json:"took99"`
	Loads     int           `json:"loads"`
	Unsure    int           `json:"unsure"` // loads turned away for want of a lease
	Served    float64       `json:"served"` // share of the worth asked for
	Older     int           `json:"older"`
	P50       time.Duration `json:"p50"` // of look-ups that came in it and were served
	P99       time.Duration `json:"p99"`
}

// ComparePolicyModes plays a scenario with a policy rollout, and the same changes from files that gateways read at SIGHUP one after the other.
func ComparePolicyModes(ctx context.Context, s *Scenario, folder, program string) (list []*PolicyMode, err error) {
	files := *s
	files.Rollout, files.Steps = installation.Rollout{}, nil
	number := 1
	const between = 100 * time.Millisecond // as a script would go through them
	for _, t := range s.Steps {
		if t.Action != "propose" {
			files.Steps = append(files.Steps, t)
			continue
		}
		number++
		for k := range s.Gateways {
			files.Steps = append(files.Steps, Step{At: t.At + time.Duration(k)*between, Action: "limit", Gateways: []string{fmt.Sprint("g", k)}, Limits: t.Policy.ClusterLimits, PolicyNumber: number, Folder: "same"})
		}
	}
	for i, w := range []*PolicyMode{{Name: "charter"}, {Name: "files at SIGHUP"}} {
		one := []*Scenario{s, &files}[i]
		if w.Result, err = Run(ctx, one, filepath.Join(folder, fmt.Sprint("way", i)), program); err != nil {
			return nil, fmt.Errorf("%s: %w", w.Name, err)
		}
		older := w.Result.olderUses()
		w.Uses = older.uses
		w.Older = len(older.at)
		for _, p := range s.Phases {
			w.Phases = append(w.Phases, w.Result.policyPhase(p, older.at))
		}
		list = append(list, w)
	}
	return list, nil
}

// olderUses are uses of a budget by a process that goes by an older number than anyone has used one by before.
func (r *Result) olderUses() (out struct {
	uses int
	at   []time.Duration
}) {
	type process struct {
		name  string
		start uint64
	}
	goes := map[process]uint64{}
	highest := uint64(0)
	for i := range r.Events {
		e := &r.Events[i]
		k := process{e.Process, e.Start}
		switch e.Kind {
		case history.TotalChanged:
			goes[k] = max(goes[k], e.Of)
		case history.BudgetUsed:
			out.uses++
			if highest = max(highest, goes[k]); goes[k] < highest {
				out.at = append(out.at, time.Duration(e.At-r.StartMonotonic))
			}
		}
	}
	return out
}

func (r *Result) policyPhase(p Phase, older []time.Duration) PolicyPhase {
	f := PolicyPhase{Phase: p}
	in := func(at time.Duration) bool { return at >= p.At && at < p.Until }
	ends := map[string]int{}
	var took []time.Duration
	for _, k := range r.Proposals {
		if !in(k.At) {
			continue
		}
		f.Proposals++
		if ends[k.End]++; k.End == "decided" {
			took = append(took, k.Took)
		}
	}
	for _, e := range sortedKeys(ends) {
		f.Ends = append(f.Ends, fmt.Sprintf("%d %s", ends[e], e))
	}
	slices.Sort(took)
	if n := len(took); n > 0 {
		f.Took50, f.Took99 = took[n/2], took[n*99/100]
	}
	asked, earned := 0.0, 0.0
	took = took[:0]
	for i := range r.Requests {
		if t := &r.Requests[i]; in(t.At) && t.End != sqlclient.NotConnected {
			f.Loads += btoi(t.Load)
			asked, earned = asked+t.worth(), earned+t.Worth()
			if t.End == sqlclient.Served && !t.Load {
				took = append(took, t.Took)
			}
		}
	}
	slices.Sort(took)
	if n := len(took); n > 0 {
		f.P50, f.P99 = took[n/2], took[n*99/100]
	}
	if asked > 0 {
		f.Served = earned / asked
	}
	for i := range r.Events {
		if e := &r.Events[i]; e.Kind == history.RequestDecided && e.Code == "unsure" && in(time.Duration(e.At-r.StartMonotonic)) {
			f.Unsure++
		}
	}
	for _, at := range older {
		f.Older += btoi(in(at))
	}
	return f
}

// WritePolicyModes writes the ways side by side.
func WritePolicyModes(out io.Writer, list []*PolicyMode) {
	s := list[0].Result.Scenario
	fmt.Fprintf(out, "%s: %d gateways, %d voters, lease %v, %d engines; real processes and sockets on loopback, one way after the other\n", s.Name, s.Gateways, s.Rollout.Voters, s.Rollout.Lease,
		s.Engines)
	for _, w := range list {
		fmt.Fprintf(out, "\n%s\n%-16s %9s %9s %9s %9s %9s %9s %9s %7s  %s\n", w.Name, "phase", "in force", "p99", "no lease", "served", "older", "look p50", "p99", "changes", "")
		for _, p := range w.Phases {
			fmt.Fprintf(out, "%-16s %6.0f ms %6.0f ms %9.4f %9.3f %9d %6.1f ms %6.1f ms %7d  %s\n", p.Name, p.Took50.Seconds()*1000, p.Took99.Seconds()*1000, float64(p.Unsure)/float64(max(1, p.Loads)), p.Served,
				p.Older, p.P50.Seconds()*1000, p.P99.Seconds()*1000, p.Proposals, strings.Join(p.Ends, ", "))
		}
		fmt.Fprintf(out, "%d of %d uses of what is the fleet's were by an older number after a newer\n", w.Older, w.Uses)
		w.Result.Text(out)
	}
}
