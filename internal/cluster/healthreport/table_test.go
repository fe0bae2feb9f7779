package healthreport

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"magpiebank/internal/admission"

	"pgregory.net/rapid"
)

var overwriteTraces = flag.Bool("keep", false, "overwrite the stored traces with the current ones")

const (
	millisecond = admission.Millisecond
	second      = admission.Second
)

func newEndpoints(n int) (out []admission.Endpoint) {
	for i := range n {
		out = append(out, admission.Endpoint{Engine: engineName(i), StartedAt: 5 * second})
	}
	return out
}

func engineName(i int) admission.EngineID { return admission.EngineID(fmt.Sprint("e", i)) }

// newTestTable returns a table that lists n engines.
func newTestTable(n int) *Table {
	b := New(1, 0.25, 0)
	b.UpdateEngines(admission.FullUpdate, newEndpoints(n))
	return b
}

// testGateway is a peer that has its own table.
type testGateway struct {
	*Table
	Source
}

func newTestGateway(n int, who string) *testGateway {
	return &testGateway{newTestTable(n), Source{who, 1}}
}

const sufficientBudget = 1e6

// mustHandleMessage makes a table process a message that must be valid.
func (b *Table) mustHandleMessage(now Time, from Source, message []byte) {
	if err := b.HandleMessage(now, from, message); err != nil {
		panic(err)
	}
}

// sendEmptyMessages sends enough messages without entries that the receiver accepts the sender's observations.
func (g *testGateway) sendEmptyMessages(now Time, to *Table) {
	for k := range 3 {
		to.mustHandleMessage(now+Time(k), g.Source, newWriter(now+Time(k)).bytes())
	}
}

// sendMessages delivers all messages that a gateway has to send.
func (g *testGateway) sendMessages(now Time, to ...*Table) {
	g.Observe(now, "", admission.Reported, admission.NoReport, sufficientBudget)
	for m := g.NextMessage(now); m != nil; m = g.NextMessage(now) {
		for _, b := range to {
			b.mustHandleMessage(now, g.Source, m)
		}
	}
}

func (b *Table) failureScore(now Time, i int) (score float64, witnesses int) {
	f := b.findingOf(now, b.byName[engineName(i)])
	return f.FailureScore, f.Witnesses
}

// Each failure and each answer changes the findings in the expected way. The findings are compared with a stored, readable trace.
func TestFindingsFollowObservations(t *testing.T) {
	var out strings.Builder
	now := 100 * second
	receiver := newTestTable(12)
	var peers []*testGateway
	for i := range 4 {
		peers = append(peers, newTestGateway(12, fmt.Sprint("g", i)))
	}
	all := []*Table{receiver}
	for _, p := range peers {
		all = append(all, p.Table)
	}
	for _, p := range peers {
		for _, b := range all {
			p.sendEmptyMessages(now, b)
		}
	}
	others := func(p int) []*Table { return append(slices.Clone(all[:p+1]), all[p+2:]...) }
	writeChanges := func(what string) {
		for _, p := range peers {
			p.VisitChangedFindings(now, func(*Finding) {})
		}
		receiver.VisitChangedFindings(now, func(f *Finding) {
			fmt.Fprintf(&out, "%7.1f s  %-52s %s: against %.2f of %d, report %v\n", float64(now)/float64(second), what, f.Engine, f.FailureScore, f.Witnesses, f.Report.Utilization)
		})
	}
	observeFailure := func(p int, e int, what string) {
		now += 10 * millisecond
		peers[p].Observe(now, engineName(e), admission.Erred, admission.NoReport, sufficientBudget)
		peers[p].sendMessages(now, others(p)...)
		writeChanges(what)
	}
	observeFailure(0, 3, "g0 fails at e3")
	observeFailure(0, 3, "again: still one witness")
	observeFailure(1, 3, "g1 too")
	observeFailure(2, 3, "g2 too")
	now += second
	peers[3].Observe(now, engineName(3), admission.Answered, admission.NoReport, sufficientBudget)
	observeFailure(3, 4, "g3 has an answer from e3, and fails at e4")
	now += 200 * millisecond
	peers[1].Observe(now, engineName(3), admission.Reported, admission.Report{InFlight: 3, Utilization: 0.5, Memory: -1, Disks: -1}, sufficientBudget)
	now += 200 * millisecond
	peers[1].sendMessages(now, others(1)...)
	writeChanges("g1 tells a report of e3")
	for e := range 12 {
		now += 10 * millisecond
		peers[0].Observe(now, engineName(e), admission.Erred, admission.NoReport, sufficientBudget)
	}
	peers[0].sendMessages(now, others(0)...)
	writeChanges("g0 accuses all twelve: one voice over them")
	now += OutcomeLifetime
	receiver.changed = []int{3, 4}
	writeChanges("ten seconds later")
	checkTrace(t, out.String())
}

// checkTrace compares a trace with the stored one.
func checkTrace(t *testing.T, found string) {
	t.Helper()
	const file = "testdata/evidence.txt"
	if *overwriteTraces {
		if err := os.WriteFile(file, []byte(found), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if found != string(stored) {
		t.Errorf("found:\n%s\nstored:\n%s", found, stored)
	}
}

// sentMessage is a message that a gateway sent.
type sentMessage struct {
	from  Source
	bytes []byte
	at    Time
}

// drawMessages draws observations of four engines by three gateways, and returns the messages that these send.
func drawMessages(t *rapid.T) (messages []sentMessage) {
	for g := range 3 {
		p := newTestGateway(4, fmt.Sprint("g", g))
		for k := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			at := testTime + Time(k)*200*millisecond
			for range 2 {
				saw := admission.Observation(rapid.IntRange(0, 2).Draw(t, "saw"))
				p.Observe(at, engineName(rapid.IntRange(0, 3).Draw(t, "engine")), saw, admission.Report{InFlight: float64(rapid.IntRange(0, 3).Draw(t, "in flight")), Utilization: 0.5, Memory: -1, Disks: -1}, sufficientBudget)
			}
			if m := p.NextMessage(at + 150*millisecond); m != nil {
				messages = append(messages, sentMessage{p.Source, m, at + 150*millisecond})
			}
		}
	}
	return messages
}

// findingsAfter returns a text of a table's findings after it has processed the messages.
func findingsAfter(messages []sentMessage) string {
	h := newTestTable(4)
	for g := range 3 {
		newTestGateway(4, fmt.Sprint("g", g)).sendEmptyMessages(testTime, h)
	}
	for _, m := range messages {
		h.mustHandleMessage(m.at, m.from, m.bytes) // each message arrives without delay, so its ages are exact
	}
	var out []string
	for i := range h.engines {
		out = append(out, fmt.Sprintf("%+v", h.findingOf(testTime+2*second, i)))
	}
	return strings.Join(out, "\n")
}

// Findings do not depend on the order in which messages arrive, nor on how often each one arrives.
func TestFindingsDoNotDependOnOrderOrDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		messages := drawMessages(t)
		candidates := append(messages, sentMessage{Source{"g0", 1}, newWriter(testTime).bytes(), testTime})
		more := slices.Concat(messages, rapid.SliceOf(rapid.SampledFrom(candidates)).Draw(t, "again"))
		order := rapid.Permutation(more).Draw(t, "order")
		if a, b := findingsAfter(messages), findingsAfter(order); a != b {
			t.Fatalf("in order:\n%s\nanother order:\n%s", a, b)
		}
	})
}

func TestMergeIsIdempotentAndOrderIndependent(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) observations {
		times := func(n string) Time {
			return rapid.SampledFrom([]Time{never, 1, 2, 3}).Draw(t, n)
		}
		o := observations{times("good"), times("bad"), times("report"), admission.Observation(rapid.IntRange(2, 4).Draw(t, "how")), admission.NoReport}
		if o.reportedAt != never {
			o.report = admission.Report{InFlight: float64(rapid.IntRange(0, 2).Draw(t, "held")), Utilization: -1, Memory: -1, Disks: -1}
		}
		return o
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		if merge(a, b) != merge(b, a) || merge(a, merge(b, c)) != merge(merge(a, b), c) || merge(a, a) != a {
			t.Fatal("the result of merge depends on order or duplicates")
		}
	})
}

func FuzzHandleMessage(f *testing.F) {
	p := newTestGateway(3, "g")
	p.Observe(100, engineName(1), admission.Erred, admission.Report{InFlight: 3, Utilization: 0.5, Memory: 0.25, Disks: 0.1}, sufficientBudget)
	f.Add(p.NextMessage(200))
	f.Add([]byte{version, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, m []byte) {
		h := newTestTable(3)
		newTestGateway(3, "g").sendEmptyMessages(100*second, h)
		if err := h.HandleMessage(100*second, Source{"g", 1}, m); err != nil && len(h.changed) > 0 {
			t.Fatal("part of an invalid message was applied")
		}
		h.VisitChangedFindings(100*second, func(f *Finding) {
			if f.FailureScore > 1 || f.ReportAt > 100*second {
				t.Fatalf("finding with a score above 1 or a report from the future: %+v", f)
			}
		})
	})
}

func BenchmarkNextMessage(b *testing.B) {
	p := newTestTable(40)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now := Time(n+10) * second
		for e := range 12 {
			p.Observe(now, engineName(e), admission.Reported, admission.Report{InFlight: -1, Utilization: float64(n%10) / 10, Memory: 0.5, Disks: 0.25}, sufficientBudget)
		}
		if p.NextMessage(now+second/2) == nil {
			b.Fatal("no message to send")
		}
	}
}

func BenchmarkHandleMessage(b *testing.B) {
	h := newTestTable(40)
	for g := range 40 {
		newTestGateway(40, fmt.Sprint("g", g)).sendEmptyMessages(0, h)
	}
	p := newTestTable(40)
	for e := range 12 {
		p.Observe(second, engineName(e), admission.Reported, admission.Report{InFlight: -1, Utilization: 0.5, Memory: 0.5, Disks: 0.25}, sufficientBudget)
	}
	m := p.NextMessage(second + second/2)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		h.mustHandleMessage(Time(n%1000)*second/100, Source{fmt.Sprint("g", n%40), 1}, m)
		h.VisitChangedFindings(Time(n%1000)*second/100, func(*Finding) {})
	}
}
