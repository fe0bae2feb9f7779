package faulttest

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"magpiebank/internal/testbed/installation"
)

// scenarioWriter writes the fields of a scenario as Jsonnet.
type scenarioWriter struct{ strings.Builder }

// field writes a field with its value as JSON, which is valid Jsonnet.
func (w *scenarioWriter) field(name string, value any) {
	text, _ := json.Marshal(value) // strings, numbers, booleans, and lists and maps of them can always be encoded
	fmt.Fprintf(w, " %s: %s,", name, text)
}

// fieldIf writes a field if the condition is true.
func (w *scenarioWriter) fieldIf(condition bool, name string, value any) {
	if condition {
		w.field(name, value)
	}
}

func (w *scenarioWriter) duration(name string, d time.Duration) { w.field(name, d.String()) }

func (w *scenarioWriter) durationIf(condition bool, name string, d time.Duration) {
	if condition {
		w.duration(name, d)
	}
}

func (w *scenarioWriter) limits(limits installation.ClusterLimits) {
	w.fieldIf(limits.Threads > 0, "threads", limits.Threads)
	w.fieldIf(limits.MaxWaiting > 0, "waiting", limits.MaxWaiting)
	w.durationIf(limits.Work > 0, "work", limits.Work)
}

// Text returns the text of a file from which Parse reads the same scenario.
func (s *Scenario) Text() string {
	w := &scenarioWriter{}
	w.WriteString("{")
	s.writeLoad(w)
	s.writeCluster(w)
	s.writeFaultyParts(w)
	w.WriteString(" steps: [\n")
	for i := range s.Steps {
		s.Steps[i].write(w)
	}
	w.WriteString(" ],")
	s.writeExpectations(w)
	s.writePhases(w)
	w.WriteString(" }\n")
	return w.String()
}

func (s *Scenario) writeLoad(w *scenarioWriter) {
	w.field("name", s.Name)
	w.field("gateways", s.Gateways)
	w.field("engines", s.Engines)
	w.field("zones", s.Zones)
	w.field("seed", s.Seed)
	w.duration("length", s.Length)
	w.duration("settle", s.ConvergeWithin)
	w.field("rate", s.RequestRate)
	w.field("loads", s.LoadShare)
	w.durationIf(s.LoadService > 0, "service", s.LoadService)
	w.durationIf(s.WarmUp > 0, "warm", s.WarmUp)
	w.fieldIf(s.WarmUp > 0, "cold", s.SharedSlowStart)
	w.durationIf(s.MaxWait != defaultMaxWait, "longest", s.MaxWait)
}

func (s *Scenario) writeCluster(w *scenarioWriter) {
	w.limits(s.Limits)
	w.durationIf(s.Limits.Any() || s.SharedSlowStart, "term", s.ShareTerm)
	w.field("sharing", s.HealthReports)
	w.field("counts", s.Counters)
	w.field("state", s.Durable)
	if rollout := s.Rollout; rollout.Voters > 0 {
		w.field("policy", map[string]any{"voters": rollout.Voters, "lease": rollout.Lease.String(), "within": rollout.DecideWithin.String()})
	}
}

// writeFaultyParts writes the faults that processes have from the start: mutations, crash points, clocks and disks. It also writes
// which gateways are not started.
func (s *Scenario) writeFaultyParts(w *scenarioWriter) {
	w.fieldIf(s.Mutation != "", "planted", s.Mutation)
	w.fieldIf(s.CrashPoint != "", "dies", s.CrashPoint)
	var mutations []map[string]any
	for _, gateway := range sortedKeys(s.MutationAt) {
		mutations = append(mutations, map[string]any{"gateway": gateway, "defect": s.MutationAt[gateway]})
	}
	w.fieldIf(mutations != nil, "planted_at", mutations)
	w.fieldIf(len(s.NotStarted) > 0, "down", s.NotStarted)
	var clocks []map[string]any
	for _, gateway := range sortedKeys(s.Clocks) {
		clock := s.clockFields(gateway)
		if offset := s.ClockOffsets[gateway]; offset != "" {
			clock["born"] = offset
		}
		clocks = append(clocks, clock)
	}
	w.fieldIf(clocks != nil, "clocks", clocks)
	var disks []map[string]any
	for _, gateway := range sortedKeys(s.Disks) {
		how, after, _ := strings.Cut(s.Disks[gateway], " ")
		disks = append(disks, map[string]any{"gateway": gateway, "be": how, "after": after})
	}
	w.fieldIf(disks != nil, "disks", disks)
}

// clockFields returns the fields of a gateway's clock, parsed from the format of MAGPIEBANK_CLOCK. If parsing fails, fields are zero,
// and reading them from a file gives an error.
func (s *Scenario) clockFields(gateway string) map[string]any {
	var rate float64
	var jump, after string
	_, _ = fmt.Sscan(s.Clocks[gateway], &rate, &jump, &after) // decode and Draw write all three
	return map[string]any{"gateway": gateway, "rate": rate, "jump": jump, "after": after}
}

func (t *Step) write(w *scenarioWriter) {
	w.WriteString("  {")
	w.duration("at", t.At)
	w.durationIf(t.Until > 0, "until", t.Until)
	w.field("do", t.Action)
	switch t.Action {
	case "link":
		t.writeLink(w)
	case "engine":
		w.field("engines", t.Engines)
		w.field("be", t.EngineState)
	case "list":
		w.field("be", t.EngineState)
	case "limit":
		w.field("gateways", t.Gateways)
		w.limits(t.Limits)
	case "surge":
		w.field("gateways", t.Gateways)
		w.field("more", t.ExtraRate)
	case "propose":
		t.writeProposal(w)
	default:
		w.field("gateways", t.Gateways)
		w.fieldIf(t.Action == "kill", "folder", t.Folder)
	}
	w.WriteString(" },\n")
}

func (t *Step) writeLink(w *scenarioWriter) {
	w.field("from", t.From)
	w.field("to", t.To)
	rule := t.Rule
	w.fieldIf(t.BothWays, "both", true)
	w.fieldIf(rule.Cut, "cut", true)
	w.fieldIf(rule.Refuse, "refuse", true)
	w.fieldIf(rule.Loss > 0, "loss", rule.Loss)
	w.fieldIf(rule.Duplicate > 0, "double", rule.Duplicate)
	w.fieldIf(rule.Reorder > 0, "reorder", rule.Reorder)
	w.fieldIf(rule.Corrupt > 0, "flip", rule.Corrupt)
	w.durationIf(rule.Delay > 0, "delay", rule.Delay)
	w.durationIf(rule.Jitter > 0, "spread", rule.Jitter)
	w.fieldIf(rule.Rate > 0, "rate", fmt.Sprintf("%dB", rule.Rate))
}

func (t *Step) writeProposal(w *scenarioWriter) {
	w.field("gateways", t.Gateways)
	w.field("kind", t.ProposalKind)
	policy := t.Policy
	w.limits(policy.ClusterLimits)
	w.fieldIf(t.PolicyNumber > 0, "number", t.PolicyNumber)
	w.fieldIf(t.ProposalName != "", "as", t.ProposalName)
	w.fieldIf(policy.Refuse, "refuse", true)
	w.fieldIf(policy.LookClass, "looks", true)
	w.fieldIf(len(policy.Zones) > 0, "zones", policy.Zones)
	w.fieldIf(policy.UnknownField != "", "field", policy.UnknownField)
	w.durationIf(policy.BothFor > 0, "both_for", policy.BothFor)
	w.durationIf(policy.Rehearse > 0, "rehearse", policy.Rehearse)
	w.fieldIf(policy.MaxRejectedShare > 0, "guard", policy.MaxRejectedShare)
	w.durationIf(policy.Probation > 0, "probation", policy.Probation)
	w.fieldIf(policy.MaxShedShare > 0, "bound", policy.MaxShedShare)
	w.fieldIf(policy.FillerBytes > 0, "size", fmt.Sprintf("%dB", policy.FillerBytes))
}

func (s *Scenario) writeExpectations(w *scenarioWriter) {
	if len(s.Expectations) == 0 {
		return
	}
	w.WriteString(" expect: [\n")
	for _, expectation := range s.Expectations {
		w.WriteString("  {")
		w.fieldIf(expectation.MinServed > 0, "served", expectation.MinServed)
		w.fieldIf(expectation.Displaced > 0, "displaced", expectation.Displaced)
		if expectation.EjectedEngine != "" {
			w.field("engine", expectation.EjectedEngine)
			w.duration("within", expectation.Within)
		}
		w.fieldIf(expectation.MinDecided > 0, "decided", expectation.MinDecided)
		w.fieldIf(expectation.ProposalEnd != "", "ends", expectation.ProposalEnd)
		w.fieldIf(expectation.ProposalReason != "", "why", expectation.ProposalReason)
		w.fieldIf(len(expectation.Voters) > 0, "voters", expectation.Voters)
		w.WriteString(" },\n")
	}
	w.WriteString(" ],")
}

func (s *Scenario) writePhases(w *scenarioWriter) {
	if len(s.Phases) == 0 {
		return
	}
	w.WriteString(" phases: [\n")
	for _, phase := range s.Phases {
		w.WriteString("  {")
		w.field("name", phase.Name)
		w.duration("at", phase.At)
		w.duration("until", phase.Until)
		w.fieldIf(len(phase.Gateways) > 0, "part", phase.Gateways)
		w.WriteString(" },\n")
	}
	w.WriteString(" ],")
}

func sortedKeys[V any](m map[string]V) (out []string) {
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
