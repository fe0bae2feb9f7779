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
	ms     = admission.Millisecond
	second = admission.Second
)

func engines(n int) (out []admission.Endpoint) {
	for i := range n {
		out = append(out, admission.Endpoint{Engine: name(i), Since: 5 * second})
	}
	return out
}

func name(i int) admission.EngineID { return admission.EngineID(fmt.Sprint("e", i)) }

// book is one that knows n engines.
func book(n int) *Table {
	b := New(1, 0.25, 0)
	b.UpdateEngines(admission.FullUpdate, engines(n))
	return b
}

// gateway is a peer with a book of its own, whose words reach a hearer.
type gateway struct {
	*Table
	Source
}

func peer(n int, who string) *gateway { return &gateway{book(n), Source{who, 1}} }

const plenty = 1e6

// greet sends messages with nothing new, so that the hearer trusts the clock.
func (g *gateway) greet(now Time, to *Table) {
	for k := range 3 {
		to.HandleMessage(now+Time(k), g.Source, begin(now+Time(k)).bytes())
	}
}

// say carries what a gateway has to say.
func (g *gateway) say(now Time, to ...*Table) {
	g.Observe(now, "", admission.Reported, admission.NoReport, plenty)
	for m := g.NextMessage(now); m != nil; m = g.NextMessage(now) {
		for _, b := range to {
			b.HandleMessage(now, g.Source, m)
		}
	}
}

func (b *Table) against(now Time, i int) (against float64, witnesses int) {
	f := b.find(now, b.named[name(i)])
	return f.FailureScore, f.Witnesses
}

// Each failure and answer moves what is found as a person would expect; a trace that people read.
func TestEvidence(t *testing.T) {
	var out strings.Builder
	now := 100 * second
	hearer := book(12)
	var peers []*gateway
	for i := range 4 {
		peers = append(peers, peer(12, fmt.Sprint("g", i)))
	}
	all := []*Table{hearer}
	for _, p := range peers {
		all = append(all, p.Table)
	}
	for _, p := range peers {
		for _, b := range all {
			p.greet(now, b)
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
		now += 10 * ms
		peers[p].Observe(now, name(e), admission.Erred, admission.NoReport, plenty)
		peers[p].say(now, others(p)...)
		line(what)
	}
	fail(0, 3, "g0 fails at e3")
	fail(0, 3, "again: still one witness")
	fail(1, 3, "g1 too")
	fail(2, 3, "g2 too")
	now += second
	peers[3].Observe(now, name(3), admission.Answered, admission.NoReport, plenty)
	fail(3, 4, "g3 has an answer from e3, and fails at e4")
	now += 200 * ms
	peers[1].Observe(now, name(3), admission.Reported, admission.Report{InFlight: 3, Utilization: 0.5, Memory: -1, Disks: -1}, plenty)
	now += 200 * ms
	peers[1].say(now, others(1)...)
	line("g1 tells a report of e3")
	for e := range 12 {
		now += 10 * ms
		peers[0].Observe(now, name(e), admission.Erred, admission.NoReport, plenty)
	}
	peers[0].say(now, others(0)...)
	line("g0 accuses all twelve: one voice over them")
	now += OutcomeLifetime
	hearer.touched = []int{3, 4}
	line("ten seconds later")
	if *keep {
		os.WriteFile("testdata/evidence.txt", []byte(out.String()), 0o644)
	}
	want, _ := os.ReadFile("testdata/evidence.txt")
	if out.String() != string(want) {
		t.Errorf("got:\n%s\nkept:\n%s", &out, want)
	}
}

// The hard cases, each told by what is found.
func TestHardCases(t *testing.T) {
	const now = 100 * second
	three := func() (*Table, []*gateway) {
		h := book(12)
		var peers []*gateway
		for i := range 3 {
			p := peer(12, fmt.Sprint("g", i))
			p.greet(now, h)
			peers = append(peers, p)
		}
		return h, peers
	}
	check := func(t *testing.T, h *Table, at Time, e int, want float64) {
		t.Helper()
		if got, _ := h.against(at, e); got != want {
			t.Errorf("against e%d: %.2f, expected %.2f", e, got, want)
		}
	}
	t.Run("own answer counts against what others saw before it", func(t *testing.T) {
		h, peers := three()
		for _, p := range peers {
			p.Observe(now, name(1), admission.Erred, admission.NoReport, 0)
			p.say(now, h)
		}
		check(t, h, now, 1, 3)
		h.Observe(now+1, name(1), admission.Answered, admission.NoReport, 0)
		check(t, h, now+1, 1, 0)
	})
	t.Run("a restart ends evidence, and what is under way about the start before it", func(t *testing.T) {
		h, peers := three()
		peers[0].Observe(now, name(1), admission.Erred, admission.NoReport, plenty)
		old := peers[0].NextMessage(now)
		h.HandleMessage(now, peers[0].Source, old)
		for _, since := range []Time{now + 100*ms, now + 600*ms} { // twice in a second
			h.UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: name(1), Since: since}})
			check(t, h, now+second, 1, 0)
			h.HandleMessage(now+second, peers[0].Source, old)
			check(t, h, now+second, 1, 0)
		}
	})
	t.Run("a peer whose list has a later start ends what was heard of the one before", func(t *testing.T) {
		h, peers := three()
		for _, p := range peers[:2] {
			p.Observe(now, name(1), admission.Unreached, admission.NoReport, 0)
			p.say(now, h)
		}
		check(t, h, now, 1, 2)
		peers[2].UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: name(1), Since: now}})
		peers[2].Observe(now+1, name(1), admission.Erred, admission.NoReport, 0)
		peers[2].say(now+1, h)
		check(t, h, now+1, 1, 0)
		peers[0].UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: name(1), Since: now}})
		h.UpdateEngines(admission.PartialUpdate, []admission.Endpoint{{Engine: name(1), Since: now}})
		peers[1].Observe(now+2, name(1), admission.Erred, admission.NoReport, 0) // whose list is behind
		peers[1].say(now+2, h)
		check(t, h, now+2, 1, 0)
	})
	t.Run("how it failed is told", func(t *testing.T) {
		h, peers := three()
		for i, saw := range []admission.Observation{admission.Erred, admission.Unanswered, admission.Unreached} {
			peers[i].Observe(now, name(1), saw, admission.NoReport, 0)
			peers[i].say(now, h)
		}
		if got := fmt.Sprint(h.Status(now)[1].PeerFailures); got != "[erred unanswered unreached]" {
			t.Error(got)
		}
	})
	t.Run("a message a minute late counts by its age", func(t *testing.T) {
		h, peers := three()
		peers[0].Observe(now, name(1), admission.Erred, admission.NoReport, plenty)
		old := peers[0].NextMessage(now)
		for at := now; at < now+60*second; at += second {
			h.HandleMessage(at, peers[0].Source, begin(at).bytes())
		}
		h.HandleMessage(now+60*second, peers[0].Source, old)
		check(t, h, now+60*second, 1, 0)
	})
	t.Run("a first message of a process is not believed, as it may be old", func(t *testing.T) {
		h, _ := three()
		p := peer(12, "new")
		p.Observe(now, name(1), admission.Erred, admission.NoReport, 0)
		p.say(now, h)
		check(t, h, now, 1, 0)
	})
	t.Run("a later process under the name takes the place of the one before", func(t *testing.T) {
		h, peers := three()
		peers[0].Observe(now, name(1), admission.Erred, admission.NoReport, 0)
		peers[0].say(now, h)
		next := &gateway{book(12), Source{"g0", 2}}
		next.greet(now, h)
		check(t, h, now, 1, 0)
		peers[0].Observe(now+1, name(1), admission.Erred, admission.NoReport, 0)
		peers[0].say(now+1, h) // the earlier one still speaks
		check(t, h, now+1, 1, 0)
	})
	t.Run("a fresh failure bears out those before it, but not for ever", func(t *testing.T) {
		h, peers := three()
		for _, p := range peers {
			p.Observe(now, name(1), admission.Erred, admission.NoReport, 0)
			p.say(now, h)
		}
		check(t, h, now+OutcomeLifetime, 1, 0) // nobody has tried
		for at := now + OutcomeLifetime; at < now+5*OutcomeLifetime; at += OutcomeLifetime {
			h.sources[0].records[1].badAt = at // g0 alone goes on failing there
			want := 3.0
			if at >= now+ConfirmedFailureLifetime {
				want = 1
			}
			check(t, h, at, 1, want)
		}
	})
	t.Run("at most a part of the fleet is out by hearsay", func(t *testing.T) {
		h, _ := three()
		out := 0
		for i := range 40 {
			p := peer(12, fmt.Sprint("h", i))
			p.greet(now, h)
			for _, e := range []int{i % 5, (i + 1) % 5} {
				p.Observe(now+1, name(e), admission.Erred, admission.NoReport, plenty)
			}
			p.say(now+1, h)
			h.VisitChangedFindings(now+1, func(*Finding) {})
		}
		for e := range 12 {
			if h.engines[e].gave.FailureScore > 0 {
				out++
			}
		}
		if out != 3 {
			t.Errorf("%d engines of 12 have hearsay against them, expected a quarter", out)
		}
	})
	t.Run("after this process stood still what comes first is what is oldest", func(t *testing.T) {
		h, peers := three()
		peers[0].Observe(now, name(1), admission.Erred, admission.NoReport, plenty)
		old := peers[0].NextMessage(now + second)
		h.HandleMessage(now+21*second, peers[0].Source, old)
		check(t, h, now+21*second, 1, 0)
	})
	t.Run("clocks a twentieth fast and slow", func(t *testing.T) {
		for _, rate := range []float64{0.95, 1.05} {
			h := book(12)
			p := peer(12, "g")
			at := func(now Time) Time { return Time(float64(now) * rate) }
			for when := now; when < now+100*second; when += second / 2 {
				h.HandleMessage(when, p.Source, begin(at(when)).bytes())
			}
			when := now + 100*second
			p.Observe(at(when), name(1), admission.Erred, admission.NoReport, plenty)
			h.HandleMessage(when, p.Source, p.NextMessage(at(when)))
			check(t, h, when+OutcomeLifetime/2, 1, 1)
			check(t, h, when+OutcomeLifetime, 1, 0)
		}
	})
	t.Run("what is heard is never told on", func(t *testing.T) {
		h, peers := three()
		for _, p := range peers {
			p.Observe(now, name(1), admission.Erred, admission.NoReport, 0)
			p.say(now, h)
		}
		h.Observe(now, name(2), admission.Answered, admission.Report{InFlight: -1, Utilization: 0.3, Memory: -1, Disks: -1}, plenty)
		m := h.NextMessage(now + second)
		r, err := read(m)
		if err != nil {
			t.Fatal(err)
		}
		for e, ok := r.next(); ok; e, ok = r.next() {
			if e.hash == hash(name(1)) {
				t.Error("it tells what it heard")
			}
		}
	})
	t.Run("no message beyond what is paid for", func(t *testing.T) {
		b := New(39, 0.25, 0)
		b.UpdateEngines(admission.FullUpdate, engines(12))
		b.Observe(now, name(1), admission.Erred, admission.NoReport, 39*10)
		if b.NextMessage(now+second) != nil {
			t.Error("it speaks")
		}
		b.Observe(now, name(1), admission.Erred, admission.NoReport, 39*30)
		if b.NextMessage(now+second) == nil {
			t.Error("it is silent")
		}
	})
}

// What is found doesn't depend on the order in which messages come, on how often each comes, nor on those lost before a later
// one of the same gateway on the same engine.
func TestLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 100 * second
		type word struct {
			from  Source
			bytes []byte
			at    Time
		}
		var words []word
		for g := range 3 {
			p := peer(4, fmt.Sprint("g", g))
			for k := range rapid.IntRange(1, 6).Draw(t, "sights") {
				at := now + Time(k)*200*ms
				for range 2 {
					saw := admission.Observation(rapid.IntRange(0, 2).Draw(t, "saw"))
					p.Observe(at, name(rapid.IntRange(0, 3).Draw(t, "engine")), saw, admission.Report{InFlight: float64(rapid.IntRange(0, 3).Draw(t, "held")), Utilization: 0.5, Memory: -1, Disks: -1}, plenty)
				}
				if m := p.NextMessage(at + 150*ms); m != nil {
					words = append(words, word{p.Source, m, at + 150*ms})
				}
			}
		}
		play := func(list []word) string {
			h := book(4)
			for g := range 3 {
				peer(4, fmt.Sprint("g", g)).greet(now, h)
			}
			for _, w := range list {
				h.HandleMessage(w.at, w.from, w.bytes) // each comes when it was sent, so its ages are exact
			}
			var out []string
			for i := range h.engines {
				out = append(out, fmt.Sprintf("%+v", h.find(now+2*second, i)))
			}
			return strings.Join(out, "\n")
		}
		more := slices.Concat(words, rapid.SliceOf(rapid.SampledFrom(append(words, word{Source{"g0", 1}, begin(now).bytes(), now}))).Draw(t, "again"))
		order := rapid.Permutation(more).Draw(t, "order")
		if a, b := play(words), play(order); a != b {
			t.Fatalf("in order:\n%s\nanother order:\n%s", a, b)
		}
	})
}

func TestJoin(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) record {
		times := func(n string) Time {
			return rapid.SampledFrom([]Time{never, 1, 2, 3}).Draw(t, n)
		}
		r := record{times("good"), times("bad"), times("report"), admission.Observation(rapid.IntRange(2, 4).Draw(t, "how")), admission.NoReport}
		if r.reportAt != never {
			r.report = admission.Report{InFlight: float64(rapid.IntRange(0, 2).Draw(t, "held")), Utilization: -1, Memory: -1, Disks: -1}
		}
		return r
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := draw.Draw(t, "a"), draw.Draw(t, "b"), draw.Draw(t, "c")
		if join(a, b) != join(b, a) || join(a, join(b, c)) != join(join(a, b), c) || join(a, a) != a {
			t.Fatal("order or doubling matters")
		}
	})
}

func FuzzHeard(f *testing.F) {
	p := peer(3, "g")
	p.Observe(100, name(1), admission.Erred, admission.Report{InFlight: 3, Utilization: 0.5, Memory: 0.25, Disks: 0.1}, plenty)
	f.Add(p.NextMessage(200))
	f.Add([]byte{version, 0, 0, 0, 1})
	f.Fuzz(func(t *testing.T, m []byte) {
		h := book(3)
		peer(3, "g").greet(100*second, h)
		if err := h.HandleMessage(100*second, Source{"g", 1}, m); err != nil && len(h.touched) > 0 {
			t.Fatal("part of a message that can't be read was used")
		}
		h.VisitChangedFindings(100*second, func(f *Finding) {
			if f.FailureScore > 1 || f.ReportAt > 100*second {
				t.Fatalf("%+v", f)
			}
		})
	})
}

func BenchmarkMessage(b *testing.B) {
	p := book(40)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now := Time(n+10) * second
		for e := range 12 {
			p.Observe(now, name(e), admission.Reported, admission.Report{InFlight: -1, Utilization: float64(n%10) / 10, Memory: 0.5, Disks: 0.25}, plenty)
		}
		if p.NextMessage(now+second/2) == nil {
			b.Fatal("nothing to say")
		}
	}
}

func BenchmarkHeard(b *testing.B) {
	h := book(40)
	for g := range 40 {
		peer(40, fmt.Sprint("g", g)).greet(0, h)
	}
	p := book(40)
	for e := range 12 {
		p.Observe(second, name(e), admission.Reported, admission.Report{InFlight: -1, Utilization: 0.5, Memory: 0.5, Disks: 0.25}, plenty)
	}
	m := p.NextMessage(second + second/2)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		h.HandleMessage(Time(n%1000)*second/100, Source{fmt.Sprint("g", n%40), 1}, m)
		h.VisitChangedFindings(Time(n%1000)*second/100, func(*Finding) {})
	}
}
