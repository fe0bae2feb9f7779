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

var keep = flag.Bool("keep", false, "keep the traces as they come out now")

const (
	millisecond = admission.Millisecond
	second      = admission.Second
)

func newEndpoints(n int) (out []admission.Endpoint) {
	for i := range n {
		out = append(out, admission.Endpoint{Engine: engineName(i), Since: 5 * second})
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

// testGateway is a peer with a table of its own.
type testGateway struct {
	*Table
	Source
}

func newTestGateway(n int, who string) *testGateway {
	return &testGateway{newTestTable(n), Source{who, 1}}
}

const ampleBytes = 1e6

// mustHandleMessage takes in a message that must be readable.
func (b *Table) mustHandleMessage(now Time, from Source, message []byte) {
	if err := b.HandleMessage(now, from, message); err != nil {
		panic(err)
	}
}

// sendEmptyMessages sends messages with nothing new, so that the hearer trusts the clock.
func (g *testGateway) sendEmptyMessages(now Time, to *Table) {
	for k := range 3 {
		to.mustHandleMessage(now+Time(k), g.Source, newWriter(now+Time(k)).bytes())
	}
}

// sendMessages delivers all that a gateway has to send.
func (g *testGateway) sendMessages(now Time, to ...*Table) {
	g.Observe(now, "", admission.Reported, admission.NoReport, ampleBytes)
	for m := g.NextMessage(now); m != nil; m = g.NextMessage(now) {
		for _, b := range to {
			b.mustHandleMessage(now, g.Source, m)
		}
	}
}

func (b *Table) failureScore(now Time, i int) (against float64, witnesses int) {
	f := b.findingOf(now, b.byName[engineName(i)])
	return f.FailureScore, f.Witnesses
}

// Each failure and answer moves what is found as a person would expect; a trace that people read.
func TestFindingsFollowObservations(t *testing.T) {
	var out strings.Builder
	now := 100 * second
	hearer := newTestTable(12)
	var peers []*testGateway
	for i := range 4 {
		peers = append(peers, newTestGateway(12, fmt.Sprint("g", i)))
	}
	all := []*Table{hearer}
	for _, p := range peers {
		all = append(all, p.Table)
	}
	for _, p := range peers {
		for _, b := range all {
			p.sendEmptyMessages(now, b)
		}
	}
	others := func(p int) []*Table { return append(slices.Clone(all[:p+1]), all[p+2:]...) }
	line := func(what string) {
		for _, p := range peers {
			p.VisitChangedFindings(now, func(*Finding) {})
		}
		hearer.VisitChangedFindings(now, func(f *Finding) {
			fmt.Fprintf(&out, "%7.1f s  %-52s %s: against %.2f of %d, report %v\n", float64(now)/float64(second), what, f.Engine, f.FailureScore, f.Witnesses, f.Report.Utilization)
		})
	}
	fail := func(p int, e int, what string) {
		now += 10 * millisecond
		peers[p].Observe(now, engineName(e), admission.Erred, admission.NoReport, ampleBytes)
		peers[p].sendMessages(now, others(p)...)
		line(what)
	}
	fail(0, 3, "g0 fails at e3")
	fail(0, 3, "again: still one witness")
	fail(1, 3, "g1 too")
	fail(2, 3, "g2 too")
	now += second
	peers[3].Observe(now, engineName(3), admission.Answered, admission.NoReport, ampleBytes)
	fail(3, 4, "g3 has an answer from e3, and fails at e4")
	now += 200 * millisecond
	peers[1].Observe(now, engineName(3), admission.Reported, admission.Report{InFlight: 3, Utilization: 0.5, Memory: -1, Disks: -1}, ampleBytes)
	now += 200 * millisecond
	peers[1].sendMessages(now, others(1)...)
	line("g1 tells a report of e3")
	for e := range 12 {
		now += 10 * millisecond
		peers[0].Observe(now, engineName(e), admission.Erred, admission.NoReport, ampleBytes)
	}
	peers[0].sendMessages(now, others(0)...)
	line("g0 accuses all twelve: one voice over them")
	now += OutcomeLifetime
	hearer.changed = []int{3, 4}
	line("ten seconds later")
	checkTrace(t, out.String())
}

// checkTrace compares a trace with the one that is kept.
func checkTrace(t *testing.T, found string) {
	t.Helper()
	const file = "testdata/evidence.txt"
	if *keep {
		if err := os.WriteFile(file, []byte(found), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	kept, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if found != string(kept) {
		t.Errorf("found:\n%s\nkept:\n%s", found, kept)
	}
}

// newTestPeers returns a table and three gateways that it trusts.
func newTestPeers(t *testing.T) (*Table, []*testGateway) {
	t.Helper()
	h := newTestTable(12)
	var peers []*testGateway
	for i := range 3 {
		p := newTestGateway(12, fmt.Sprint("g", i))
		p.sendEmptyMessages(testTime, h)
		peers = append(peers, p)
	}
	return h, peers
}

// checkScore checks the failure score of engine e1.
func checkScore(t *testing.T, h *Table, at Time, expected float64) {
	t.Helper()
	if score, _ := h.failureScore(at, 1); score != expected {
		t.Errorf("failure score: %.2f, expected %.2f", score, expected)
	}
}

// testTime is when the hard cases begin.
const testTime = 100 * second

func TestFindingsInHardCases(t *testing.T) {
	t.Run("own answer counts against what others saw before it", testOwnAnswerOutweighsEarlierFailures)
	t.Run("a restart ends evidence, and what is under way about the start before it", testRestartEndsObservations)
	t.Run("a peer whose list has a later start ends what was heard of the one before", testPeerWithLaterStartEndsObservations)
	t.Run("how it failed is told", testKindOfFailureIsSent)
	t.Run("a message a minute late counts by its age", testLateMessageCountsByItsAge)
	t.Run("a first message of a process is not believed, as it may be old", testFirstMessageIsNotTaken)
	t.Run("a later process under the name takes the place of the one before", testLaterIncarnationReplacesEarlier)
	t.Run("a fresh failure bears out those before it, but not for ever", testFreshFailureConfirmsEarlier)
	t.Run("at most a part of the fleet is out by hearsay", testPartOfFleetIsEjected)
	t.Run("after this process stood still what comes first is what is oldest", testFirstMessageAfterStallIsOldest)
	t.Run("clocks a twentieth fast and slow", testClocksMayDrift)
	t.Run("what is heard is never told on", testReceivedIsNotSentOn)
	t.Run("no message beyond what is paid for", testBudgetBoundsMessages)
}

func testOwnAnswerOutweighsEarlierFailures(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for _, p := range peers {
		p.Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
		p.sendMessages(now, h)
	}
	checkScore(t, h, now, 3)
	h.Observe(now+1, engineName(1), admission.Answered, admission.NoReport, 0)
	checkScore(t, h, now+1, 0)
}

func testRestartEndsObservations(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	peers[0].Observe(now, engineName(1), admission.Erred, admission.NoReport, ampleBytes)
	old := peers[0].NextMessage(now)
	h.mustHandleMessage(now, peers[0].Source, old)
	for _, since := range []Time{now + 100*millisecond, now + 600*millisecond} { // twice in a second
		h.UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: engineName(1), Since: since}})
		checkScore(t, h, now+second, 0)
		h.mustHandleMessage(now+second, peers[0].Source, old)
		checkScore(t, h, now+second, 0)
	}
}

func testPeerWithLaterStartEndsObservations(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for _, p := range peers[:2] {
		p.Observe(now, engineName(1), admission.Unreached, admission.NoReport, 0)
		p.sendMessages(now, h)
	}
	checkScore(t, h, now, 2)
	peers[2].UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: engineName(1), Since: now}})
	peers[2].Observe(now+1, engineName(1), admission.Erred, admission.NoReport, 0)
	peers[2].sendMessages(now+1, h)
	checkScore(t, h, now+1, 0)
	peers[0].UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: engineName(1), Since: now}})
	h.UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: engineName(1), Since: now}})
	peers[1].Observe(now+2, engineName(1), admission.Erred, admission.NoReport, 0) // whose list is behind
	peers[1].sendMessages(now+2, h)
	checkScore(t, h, now+2, 0)
}

func testKindOfFailureIsSent(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for i, saw := range []admission.Observation{admission.Erred, admission.Unanswered, admission.Unreached} {
		peers[i].Observe(now, engineName(1), saw, admission.NoReport, 0)
		peers[i].sendMessages(now, h)
	}
	if got := fmt.Sprintf("%v", h.Status(now)[1].PeerFailures); got != "[erred unanswered unreached]" {
		t.Error(got)
	}
}

func testLateMessageCountsByItsAge(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	peers[0].Observe(now, engineName(1), admission.Erred, admission.NoReport, ampleBytes)
	old := peers[0].NextMessage(now)
	for at := now; at < now+60*second; at += second {
		h.mustHandleMessage(at, peers[0].Source, newWriter(at).bytes())
	}
	h.mustHandleMessage(now+60*second, peers[0].Source, old)
	checkScore(t, h, now+60*second, 0)
}

func testFirstMessageIsNotTaken(t *testing.T) {
	const now = testTime
	h, _ := newTestPeers(t)
	p := newTestGateway(12, "new")
	p.Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
	p.sendMessages(now, h)
	checkScore(t, h, now, 0)
}

func testLaterIncarnationReplacesEarlier(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	peers[0].Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
	peers[0].sendMessages(now, h)
	next := &testGateway{newTestTable(12), Source{"g0", 2}}
	next.sendEmptyMessages(now, h)
	checkScore(t, h, now, 0)
	peers[0].Observe(now+1, engineName(1), admission.Erred, admission.NoReport, 0)
	peers[0].sendMessages(now+1, h) // the earlier one still speaks
	checkScore(t, h, now+1, 0)
}

func testFreshFailureConfirmsEarlier(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for _, p := range peers {
		p.Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
		p.sendMessages(now, h)
	}
	checkScore(t, h, now+OutcomeLifetime, 0) // nobody has tried
	for at := now + OutcomeLifetime; at < now+5*OutcomeLifetime; at += OutcomeLifetime {
		h.peers[0].observations[1].failedAt = at // g0 alone goes on failing there
		want := 3.0
		if at >= now+ConfirmedFailureLifetime {
			want = 1
		}
		checkScore(t, h, at, want)
	}
}

func testPartOfFleetIsEjected(t *testing.T) {
	const now = testTime
	h, _ := newTestPeers(t)
	out := 0
	for i := range 40 {
		p := newTestGateway(12, fmt.Sprint("h", i))
		p.sendEmptyMessages(now, h)
		for _, e := range []int{i % 5, (i + 1) % 5} {
			p.Observe(now+1, engineName(e), admission.Erred, admission.NoReport, ampleBytes)
		}
		p.sendMessages(now+1, h)
		h.VisitChangedFindings(now+1, func(*Finding) {})
	}
	for e := range 12 {
		if h.engines[e].published.FailureScore > 0 {
			out++
		}
	}
	if out != 3 {
		t.Errorf("%d engines of 12 have hearsay against them, expected a quarter", out)
	}
}

func testFirstMessageAfterStallIsOldest(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	peers[0].Observe(now, engineName(1), admission.Erred, admission.NoReport, ampleBytes)
	old := peers[0].NextMessage(now + second)
	h.mustHandleMessage(now+21*second, peers[0].Source, old)
	checkScore(t, h, now+21*second, 0)
}

func testClocksMayDrift(t *testing.T) {
	const now = testTime
	for _, rate := range []float64{0.95, 1.05} {
		h := newTestTable(12)
		p := newTestGateway(12, "g")
		at := func(now Time) Time { return Time(float64(now) * rate) }
		for when := now; when < now+100*second; when += second / 2 {
			h.mustHandleMessage(when, p.Source, newWriter(at(when)).bytes())
		}
		when := now + 100*second
		p.Observe(at(when), engineName(1), admission.Erred, admission.NoReport, ampleBytes)
		h.mustHandleMessage(when, p.Source, p.NextMessage(at(when)))
		checkScore(t, h, when+OutcomeLifetime/2, 1)
		checkScore(t, h, when+OutcomeLifetime, 0)
	}
}

func testReceivedIsNotSentOn(t *testing.T) {
	const now = testTime
	h, peers := newTestPeers(t)
	for _, p := range peers {
		p.Observe(now, engineName(1), admission.Erred, admission.NoReport, 0)
		p.sendMessages(now, h)
	}
	h.Observe(now, engineName(2), admission.Answered, admission.Report{InFlight: -1, Utilization: 0.3, Memory: -1, Disks: -1}, ampleBytes)
	m := h.NextMessage(now + second)
	r, err := newReader(m)
	if err != nil {
		t.Fatal(err)
	}
	for e, ok := r.next(); ok; e, ok = r.next() {
		if e.hash == hashName(engineName(1)) {
			t.Error("it tells what it heard")
		}
	}
}

func testBudgetBoundsMessages(t *testing.T) {
	const now = testTime
	b := New(39, 0.25, 0)
	b.UpdateEngines(admission.FullUpdate, newEndpoints(12))
	b.Observe(now, engineName(1), admission.Erred, admission.NoReport, 39*10)
	if b.NextMessage(now+second) != nil {
		t.Error("it speaks")
	}
	b.Observe(now, engineName(1), admission.Erred, admission.NoReport, 39*30)
	if b.NextMessage(now+second) == nil {
		t.Error("it is silent")
	}
}

// sentMessage is a message that a gateway sent.
type sentMessage struct {
	from  Source
	bytes []byte
	at    Time
}

// drawMessages draws what three gateways send of four engines.
func drawMessages(t *rapid.T) (messages []sentMessage) {
	for g := range 3 {
		p := newTestGateway(4, fmt.Sprint("g", g))
		for k := range rapid.IntRange(1, 6).Draw(t, "rounds") {
			at := testTime + Time(k)*200*millisecond
			for range 2 {
				saw := admission.Observation(rapid.IntRange(0, 2).Draw(t, "saw"))
				p.Observe(at, engineName(rapid.IntRange(0, 3).Draw(t, "engine")), saw, admission.Report{InFlight: float64(rapid.IntRange(0, 3).Draw(t, "in flight")), Utilization: 0.5, Memory: -1, Disks: -1}, ampleBytes)
			}
			if m := p.NextMessage(at + 150*millisecond); m != nil {
				messages = append(messages, sentMessage{p.Source, m, at + 150*millisecond})
			}
		}
	}
	return messages
}

// findingsAfter writes what a table finds after some messages.
func findingsAfter(messages []sentMessage) string {
	h := newTestTable(4)
	for g := range 3 {
		newTestGateway(4, fmt.Sprint("g", g)).sendEmptyMessages(testTime, h)
	}
	for _, m := range messages {
		h.mustHandleMessage(m.at, m.from, m.bytes) // each arrives when it was sent, so its ages are exact
	}
	var out []string
	for i := range h.engines {
		out = append(out, fmt.Sprintf("%+v", h.findingOf(testTime+2*second, i)))
	}
	return strings.Join(out, "\n")
}

// Findings don't depend on the order in which messages arrive, on how often each does, nor on those lost before a later
// one of the same gateway on the same engine.
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

func TestMergeIsIdempotentAndOrderFree(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) observations {
		times := func(n string) Time {
			return rapid.SampledFrom([]Time{never, 1, 2, 3}).Draw(t, n)
		}
		r := observations{times("good"), times("bad"), times("report"), admission.Observation(rapid.IntRange(2, 4).Draw(t, "how")), admission.NoReport}
		if r.reportedAt != never {
			r.report = admission.Report{InFlight: float64(rapid.IntRange(0, 2).Draw(t, "held")), Utilization: -1, Memory: -1, Disks: -1}
		}
		return r
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		if merge(a, b) != merge(b, a) || merge(a, merge(b, c)) != merge(merge(a, b), c) || merge(a, a) != a {
			t.Fatal("order or doubling matters")
		}
	})
}

func FuzzHandleMessage(f *testing.F) {
	p := newTestGateway(3, "g")
	p.Observe(100, engineName(1), admission.Erred, admission.Report{InFlight: 3, Utilization: 0.5, Memory: 0.25, Disks: 0.1}, ampleBytes)
	f.Add(p.NextMessage(200))
	f.Add([]byte{version, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, m []byte) {
		h := newTestTable(3)
		newTestGateway(3, "g").sendEmptyMessages(100*second, h)
		if err := h.HandleMessage(100*second, Source{"g", 1}, m); err != nil && len(h.changed) > 0 {
			t.Fatal("part of a message that can't be read was used")
		}
		h.VisitChangedFindings(100*second, func(f *Finding) {
			if f.FailureScore > 1 || f.ReportAt > 100*second {
				t.Fatalf("%+v", f)
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
			p.Observe(now, engineName(e), admission.Reported, admission.Report{InFlight: -1, Utilization: float64(n%10) / 10, Memory: 0.5, Disks: 0.25}, ampleBytes)
		}
		if p.NextMessage(now+second/2) == nil {
			b.Fatal("nothing to say")
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
		p.Observe(second, engineName(e), admission.Reported, admission.Report{InFlight: -1, Utilization: 0.5, Memory: 0.5, Disks: 0.25}, ampleBytes)
	}
	m := p.NextMessage(second + second/2)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		h.mustHandleMessage(Time(n%1000)*second/100, Source{fmt.Sprint("g", n%40), 1}, m)
		h.VisitChangedFindings(Time(n%1000)*second/100, func(*Finding) {})
	}
}
