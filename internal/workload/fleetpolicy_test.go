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

// court stands for the fleet: what it has decided is set by hand.
type court struct{ ruling *agent.ActivePolicy }

func (c *court) ActivePolicy() *agent.ActivePolicy { return c.ruling }
func (c *court) TryBeginWrite(by uint64, _ admission.RequestID) bool {
	return by == c.ruling.BasisAt(0)
}
func (c *court) EndWrite(uint64, admission.RequestID)                      {}
func (c *court) RecordDecision(string, uint64, admission.RequestID, int64) {}
func (c *court) HistoryNow() int64                                         { return 0 }
func (c *court) hold(number uint64, p agent.Policy)                        { c.ruling = held(number, p) }

func held(number uint64, p agent.Policy) *agent.ActivePolicy {
	r := &agent.ActivePolicy{InForce: rollout.InForce{Number: number, LeaseUntil: 1 << 50, Informed: true}, Current: p}
	if p != nil {
		r.Parsed = []agent.Policy{p}
	}
	return r
}

func judged(t testing.TB) (*Manager, *court, func(classes string) agent.Policy) {
	start := &config.Config{Deployment: &admission.Deployment{Classes: make([]admission.Class, 2), CoresByKind: []float64{8}}, Network: &config.Network{Classes: []string{"look", "load"}, Zones: []string{"norte", "sur"}, Kinds: []string{"std"}}}
	d, err := NewManager(&Statements{MemoryBytes: 1 << 20, LogInterval: time.Hour}, start, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	c := &court{held(0, nil)}
	texts := map[string]*Policy{}
	d.FollowFleetPolicy(c, func(text []byte) (*Policy, error) { return texts[string(text)], nil }, 4)
	d.HandleEndpoints(0, admission.FullUpdate, []admission.Endpoint{{Engine: "n", Zone: 0}, {Engine: "s", Zone: 1}})
	return d, c, func(classes string) agent.Policy {
		p := &Policy{}
		for _, k := range strings.Fields(classes) { // name:lane:threads, or name:lane:refuse
			f := strings.Split(k, ":")
			class := resourcegroup.Class{Name: f[0], Conditions: resourcegroup.Conditions{RequestClasses: []string{f[1]}}}
			if f[2] == "refuse" {
				class.RejectText = "no " + f[0]
			} else {
				fmt.Sscan(f[2], &class.MaxThreads)
			}
			p.Plan.Classes = append(p.Plan.Classes, class)
		}
		texts[classes] = p
		read, err := d.ReadPolicy([]byte(classes))
		if err != nil {
			t.Fatal(err)
		}
		return read
	}
}

// What becomes of a look-up and a load, as policies change.
func TestByWhat(t *testing.T) {
	d, c, policy := judged(t)
	reader := d.NewStatementReader().(*StatementReader)
	var out strings.Builder
	try := func(what string) {
		fmt.Fprintf(&out, "%s:", what)
		for lane, name := range []string{"look", "load"} {
			reader.ReadStatement([]byte("SELECT nota FROM actas.mesas WHERE clave = 'a'"), lane, mysql.TableGroup([]byte("SELECT nota FROM actas.mesas")))
			f, crowded, refuse := d.Classify(10, reader)
			fmt.Fprintf(&out, "  %s ", name)
			switch {
			case refuse != "":
				fmt.Fprint(&out, refuse)
			case crowded:
				fmt.Fprint(&out, "nacked")
			case f.PolicyClass == 0:
				fmt.Fprint(&out, "free")
			default:
				if fmt.Fprint(&out, d.ClassName(f.PolicyClass)); !d.AllowsAttempt(10, f.PolicyClass, 2) {
					fmt.Fprint(&out, ", waits")
				} else {
					charged, by := d.RecordAttempt(f, 2)
					fmt.Fprintf(&out, ", goes by %d", by&^(1<<63))
					if c.TryBeginWrite(by, "") {
						fmt.Fprint(&out, ", is written")
					}
					if agent.CoversBoth(by) {
						fmt.Fprint(&out, " by both")
					}
					d.RecordAttemptEnd(f, 2, charged, 0, false)
					f.PolicyClass = 0
				}
				d.RecordDeparture(f)
			}
		}
		out.WriteByte('\n')
	}
	one, two, three := policy("loads:load:4"), policy("loads:load:2 looks:look:3"), policy("loads:load:refuse")
	c.ruling.Informed, c.ruling.LeaseUntil = false, 0
	try("nothing was heard")
	c.hold(0, nil)
	try("no policy")
	c.hold(1, one)
	try("the first")
	c.ruling.Parsed = append(c.ruling.Parsed, two)
	try("the second is proposed")
	c.ruling.LeaseUntil = 0
	try("the lease is over")
	c.ruling.Proposed, c.ruling.OverlapUntil = two, 1<<50
	try("what both allow")
	c.ruling.Proposed = three
	try("what the first and the third allow")
	c.hold(2, two)
	try("the second")
	c.hold(3, three)
	try("the third")
	want := `nothing was heard:  look nacked  load nacked
no policy:  look free  load free
the first:  look free  load loads, goes by 2, is written
the second is proposed:  look (rest), goes by 2, is written  load loads, goes by 2, is written
the lease is over:  look nacked  load nacked
what both allow:  look nacked  load loads, goes by 2, is written by both
what the first and the third allow:  look (rest), goes by 2, is written by both  load class loads: no loads
the second:  look looks, goes by 3, is written  load loads, goes by 3, is written
the third:  look free  load class loads: no loads
`
	if out.String() != want {
		t.Errorf("found\n%s\nexpected\n%s", out.String(), want)
	}
}

// A task that was taken under one policy ends by it; what runs counts under the next one's limits.
func TestAcross(t *testing.T) {
	d, c, policy := judged(t)
	one, two := policy("loads:load:4 old:look:1"), policy("loads:load:2")
	c.hold(1, one)
	arrive := func(lane int) admission.Estimate {
		reader := d.NewStatementReader().(*StatementReader)
		reader.ReadStatement([]byte("SELECT 1"), lane, 0)
		f, crowded, refuse := d.Classify(20, reader)
		if crowded || refuse != "" {
			t.Fatalf("crowded %t, refused %q", crowded, refuse)
		}
		return f
	}
	a, b, old := arrive(1), arrive(1), arrive(0)
	if !d.AllowsAttempt(20, a.PolicyClass, 2) {
		t.Fatal("two of four threads are not free")
	}
	charged, _ := d.RecordAttempt(a, 2)
	c.hold(2, two)
	if d.AllowsAttempt(30, b.PolicyClass, 2) {
		t.Error("two threads more go out, where two of two run")
	}
	if name := d.ClassName(old.PolicyClass); name != "old" || !d.AllowsAttempt(30, old.PolicyClass, 1) {
		t.Errorf("a task of a class that is gone can't end: %s", name)
	}
	d.RecordAttemptEnd(a, 2, charged, 0, false)
	if !d.AllowsAttempt(40, b.PolicyClass, 2) {
		t.Error("what ended is not free")
	}
}

// A rehearsal counts what would be otherwise, and decides nothing.
func TestTrial(t *testing.T) {
	d, c, policy := judged(t)
	c.hold(1, policy("loads:load:4"))
	c.ruling.Rehearsed, c.ruling.InForce.RehearsalID = policy("loads:load:2 looks:look:refuse"), 7
	reader := d.NewStatementReader().(*StatementReader)
	var out []admission.Estimate
	for n := range 4 {
		reader.ReadStatement([]byte("SELECT 1"), n%2, 0)
		f, crowded, refuse := d.Classify(20, reader)
		if crowded || refuse != "" {
			t.Fatal("the rehearsal decides")
		}
		if f.PolicyClass > 0 && !d.AllowsAttempt(20, f.PolicyClass, 2) {
			t.Fatal("the rehearsal holds")
		}
		d.RecordAttempt(f, 2)
		out = append(out, f)
	}
	d.Tick(30)
	if got := d.RequestCounts(); got != (rollout.RequestCounts{Subject: 7, Requests: 4, Classified: 4, Rejected: 2, Shed: 1}) {
		t.Errorf("%+v", got)
	}
	c.ruling = held(1, c.ruling.Current)
	for _, f := range out { // of a rehearsal that is over
		d.RecordAttemptEnd(f, 2, 0, 0, false)
	}
	d.Tick(40)
	if got := d.RequestCounts(); got.Subject != 1 || got.Requests != 4 || got.Rejected+got.Shed > 0 {
		t.Errorf("%+v", got)
	}
}

// BenchmarkArrived is what a task costs here, by the file and by what the fleet decides.
func BenchmarkArrived(b *testing.B) {
	for _, by := range []string{"file", "fleet"} {
		b.Run(by, func(b *testing.B) {
			d, c, policy := judged(b)
			c.hold(1, policy("loads:load:4"))
			if by == "file" {
				d.inForce = nil
				plan := &c.ruling.Current.(*Policy).Plan
				d.plan.Store(plan)
				if err := d.limiter.ReplacePlan(0, plan); err != nil {
					b.Fatal(err)
				}
			}
			reader := d.NewStatementReader().(*StatementReader)
			reader.ReadStatement([]byte("SELECT 1"), 1, 0)
			b.ReportAllocs()
			for b.Loop() {
				f, _, _ := d.Classify(20, reader)
				d.AllowsAttempt(20, f.PolicyClass, 2)
				charged, number := d.RecordAttempt(f, 2)
				d.BeginWrite(number, "")
				d.EndWrite(number, "")
				d.RecordAttemptEnd(f, 2, charged, 0, false)
			}
		})
	}
}
