package workload

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/cluster/rollout"
	"magpiebank/internal/config"
	"magpiebank/internal/protocol/mysql"
	"magpiebank/internal/resourcegroup"
)

// fakeCluster is a PolicySource whose policies the test sets.
type fakeCluster struct{ active *agent.ActivePolicy }

func (c *fakeCluster) ActivePolicy() *agent.ActivePolicy { return c.active }
func (c *fakeCluster) TryBeginWrite(policyRevision uint64, _ admission.RequestID) bool {
	return policyRevision == c.active.PolicyRevisionAt(0)
}
func (c *fakeCluster) EndWrite(uint64, admission.RequestID)                      {}
func (c *fakeCluster) RecordDecision(string, uint64, admission.RequestID, int64) {}
func (c *fakeCluster) HistoryNow() int64                                         { return 0 }
func (c *fakeCluster) putInForce(number uint64, p agent.Policy)                  { c.active = activePolicy(number, p) }

func activePolicy(number uint64, p agent.Policy) *agent.ActivePolicy {
	active := &agent.ActivePolicy{InForce: rollout.InForce{Number: number, LeaseUntil: 1 << 50, KnowsDecidedPolicy: true}, Current: p}
	if p != nil {
		active.Parsed = []agent.Policy{p}
	}
	return active
}

func newPolicyManager(tb testing.TB) (*Manager, *fakeCluster, func(classes string) agent.Policy) {
	tb.Helper()
	start := &config.Config{Deployment: &admission.Deployment{Classes: make([]admission.Class, 2), CoresByKind: []float64{8}}, Network: &config.Network{Classes: []string{"look", "load"}, Zones: []string{"norte", "sur"}, Kinds: []string{"std"}}}
	manager, err := NewManager(&StatementConfig{MemoryBytes: 1 << 20, LogInterval: time.Hour}, start, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		tb.Fatal(err)
	}
	cluster := &fakeCluster{activePolicy(0, nil)}
	texts := map[string]*Policy{}
	manager.UseClusterPolicy(cluster, func(text []byte) (*Policy, error) { return texts[string(text)], nil }, 4)
	manager.HandleEndpoints(0, admission.FullUpdate, []admission.Endpoint{{Engine: "n", Zone: 0}, {Engine: "s", Zone: 1}})
	return manager, cluster, func(classes string) agent.Policy {
		policy := &Policy{}
		for _, text := range strings.Fields(classes) { // each is name:requestClass:threads or name:requestClass:refuse
			fields := strings.Split(text, ":")
			class := resourcegroup.Class{Name: fields[0], Conditions: resourcegroup.Conditions{RequestClasses: []string{fields[1]}}}
			if fields[2] == "refuse" {
				class.RejectText = "no " + fields[0]
			} else if _, err := fmt.Sscan(fields[2], &class.MaxThreads); err != nil {
				tb.Fatal(err)
			}
			policy.Plan.Classes = append(policy.Plan.Classes, class)
		}
		texts[classes] = policy
		read, err := manager.ReadPolicy([]byte(classes))
		if err != nil {
			tb.Fatal(err)
		}
		return read
	}
}

// describeDecision classifies a request and, if it may be sent, records an attempt and its end. It returns a description of the
// decisions.
func describeDecision(manager *Manager, cluster *fakeCluster, reader *StatementReader) string {
	estimate, overCapacity, rejectText := manager.Classify(10, reader)
	switch {
	case rejectText != "":
		return rejectText
	case overCapacity:
		return "rejected"
	case estimate.PolicyClass == 0:
		return "free"
	}
	name := manager.ClassName(estimate.PolicyClass)
	if !manager.AllowsAttempt(10, estimate.PolicyClass, 2) {
		manager.RecordQueueExit(estimate)
		return name + ", waits"
	}
	charged, policyRevision := manager.RecordAttempt(estimate, 2)
	out := fmt.Sprintf("%s, decided by %d", name, policyRevision&^(1<<63))
	if cluster.TryBeginWrite(policyRevision, "") {
		out += ", is written"
	}
	if agent.CoversBothPolicies(policyRevision) {
		out += " by both"
	}
	manager.RecordAttemptEnd(estimate, 2, charged, 0, false)
	estimate.PolicyClass = 0
	manager.RecordQueueExit(estimate)
	return out
}

// Checks the decisions on a lookup and on a load while the policies in force change.
func TestPolicyInForceDecidesOnRequests(t *testing.T) {
	manager, cluster, policy := newPolicyManager(t)
	reader := manager.newReader()
	var out strings.Builder
	try := func(what string) {
		fmt.Fprintf(&out, "%s:", what)
		for class, name := range []string{"look", "load"} {
			reader.ReadStatement([]byte("SELECT nota FROM actas.mesas WHERE clave = 'a'"), class, mysql.TableGroup([]byte("SELECT nota FROM actas.mesas")))
			fmt.Fprintf(&out, "  %s %s", name, describeDecision(manager, cluster, reader))
		}
		out.WriteByte('\n')
	}
	first, second, third := policy("loads:load:4"), policy("loads:load:2 looks:look:3"), policy("loads:load:refuse")
	cluster.active.KnowsDecidedPolicy, cluster.active.LeaseUntil = false, 0
	try("nothing was heard")
	cluster.putInForce(0, nil)
	try("no policy")
	cluster.putInForce(1, first)
	try("the first")
	cluster.active.Parsed = append(cluster.active.Parsed, second)
	try("the second is proposed")
	cluster.active.LeaseUntil = 0
	try("the lease is over")
	cluster.active.Proposed, cluster.active.OverlapUntil = second, 1<<50
	try("what both allow")
	cluster.active.Proposed = third
	try("what the first and the third allow")
	cluster.putInForce(2, second)
	try("the second")
	cluster.putInForce(3, third)
	try("the third")
	want := `nothing was heard:  look rejected  load rejected
no policy:  look free  load free
the first:  look free  load loads, decided by 2, is written
the second is proposed:  look (rest), decided by 2, is written  load loads, decided by 2, is written
the lease is over:  look rejected  load rejected
what both allow:  look rejected  load loads, decided by 2, is written by both
what the first and the third allow:  look (rest), decided by 2, is written by both  load class loads: no loads
the second:  look looks, decided by 3, is written  load loads, decided by 3, is written
the third:  look free  load class loads: no loads
`
	if out.String() != want {
		t.Errorf("found\n%s\nexpected\n%s", out.String(), want)
	}
}

// A request that was admitted under one policy keeps its class until it ends. Its running attempt counts against the next policy's limits.
func TestRequestsEndUnderThePolicyThatAdmittedThem(t *testing.T) {
	manager, cluster, policy := newPolicyManager(t)
	first, second := policy("loads:load:4 old:look:1"), policy("loads:load:2")
	cluster.putInForce(1, first)
	arrive := func(class int) admission.Estimate {
		reader := manager.newReader()
		reader.ReadStatement([]byte("SELECT 1"), class, 0)
		estimate, overCapacity, rejectText := manager.Classify(20, reader)
		if overCapacity || rejectText != "" {
			t.Fatalf("over capacity %t, rejected with %q; want it admitted", overCapacity, rejectText)
		}
		return estimate
	}
	a, b, old := arrive(1), arrive(1), arrive(0)
	if !manager.AllowsAttempt(20, a.PolicyClass, 2) {
		t.Fatal("an attempt of 2 threads is not allowed under a limit of 4")
	}
	charged, _ := manager.RecordAttempt(a, 2)
	cluster.putInForce(2, second)
	if manager.AllowsAttempt(30, b.PolicyClass, 2) {
		t.Error("an attempt is allowed though the limit of 2 threads is in use")
	}
	if name := manager.ClassName(old.PolicyClass); name != "old" || !manager.AllowsAttempt(30, old.PolicyClass, 1) {
		t.Errorf("an attempt of a class that the new policy lacks is not allowed: class %q, want \"old\"", name)
	}
	manager.RecordAttemptEnd(a, 2, charged, 0, false)
	if !manager.AllowsAttempt(40, b.PolicyClass, 2) {
		t.Error("an attempt is not allowed though the running one has ended")
	}
}

// A rehearsal counts the requests that the rehearsed policy would treat differently, and doesn't affect their treatment.
func TestRehearsalCountsAndDecidesNothing(t *testing.T) {
	manager, cluster, policy := newPolicyManager(t)
	cluster.putInForce(1, policy("loads:load:4"))
	cluster.active.Rehearsed, cluster.active.RehearsalID = policy("loads:load:2 looks:look:refuse"), 7
	reader := manager.newReader()
	var admitted []admission.Estimate
	for n := range 4 {
		reader.ReadStatement([]byte("SELECT 1"), n%2, 0)
		estimate, overCapacity, rejectText := manager.Classify(20, reader)
		if overCapacity || rejectText != "" {
			t.Fatal("the rehearsed policy rejects a request")
		}
		if estimate.PolicyClass > 0 && !manager.AllowsAttempt(20, estimate.PolicyClass, 2) {
			t.Fatal("the rehearsed policy holds back an attempt")
		}
		manager.RecordAttempt(estimate, 2)
		admitted = append(admitted, estimate)
	}
	manager.Tick(30)
	if got := manager.RequestCounts(); got != (rollout.RequestCounts{Subject: 7, Requests: 4, Classified: 4, Rejected: 2, Shed: 1}) {
		t.Errorf("%+v", got)
	}
	cluster.active = activePolicy(1, cluster.active.Current)
	for _, estimate := range admitted { // these end after their rehearsal
		manager.RecordAttemptEnd(estimate, 2, 0, 0, false)
	}
	manager.Tick(40)
	if got := manager.RequestCounts(); got.Subject != 1 || got.Requests != 4 || got.Rejected+got.Shed > 0 {
		t.Errorf("%+v", got)
	}
}

// BenchmarkRequest measures a request from its arrival to the end of its attempt, with the plan of the operator's file and with a policy
// of the cluster.
func BenchmarkRequest(b *testing.B) {
	for _, inForce := range []string{"file", "fleet"} {
		b.Run(inForce, func(b *testing.B) {
			manager, cluster, policy := newPolicyManager(b)
			cluster.putInForce(1, policy("loads:load:4"))
			if inForce == "file" {
				manager.policySource = nil
				plan := &policyOf(cluster.active.Current).Plan
				manager.plan.Store(plan)
				if err := manager.limiter.ReplacePlan(0, plan); err != nil {
					b.Fatal(err)
				}
			}
			reader := manager.newReader()
			reader.ReadStatement([]byte("SELECT 1"), 1, 0)
			b.ReportAllocs()
			for b.Loop() {
				estimate, _, _ := manager.Classify(20, reader)
				manager.AllowsAttempt(20, estimate.PolicyClass, 2)
				charged, policyRevision := manager.RecordAttempt(estimate, 2)
				manager.BeginWrite(policyRevision, "")
				manager.EndWrite(policyRevision, "")
				manager.RecordAttemptEnd(estimate, 2, charged, 0, false)
			}
		})
	}
}
