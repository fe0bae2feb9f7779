package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// eventRecorder is a host that records events and sends nothing.
type eventRecorder struct{ events []EventCode }

func (m *eventRecorder) Send(string, []byte)                    {}
func (m *eventRecorder) MemberChanged(code EventCode, _ Member) { m.events = append(m.events, code) }

func newTestCore(name string) *Core {
	return New(0, Member{Name: name, Incarnation: 1, Address: name}, nil, rand.New(rand.NewPCG(1, 1)), &eventRecorder{})
}

func drawMember(t *rapid.T) Member {
	m := Member{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "start"),
		Refutations: rapid.Uint32Range(0, 2).Draw(t, "refuted"), State: State(rapid.IntRange(0, 3).Draw(t, "state")), Address: "x"}
	if m.State == Suspect {
		m.Accuser = "z"
	}
	return m
}

// The member records after a number of received records do not depend on the order of these, nor on how often each is received.
func TestRecordsCountAlikeInAnyOrderAndNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(drawMember), 1, 12).Draw(t, "said")
		repeated := slices.Clone(records)
		repeated = append(repeated, rapid.SliceOf(rapid.SampledFrom(records)).Draw(t, "again")...)
		order := rapid.Permutation(repeated).Draw(t, "order")
		membersAfter := func(list []Member) string {
			c := newTestCore("self")
			for _, m := range list {
				c.applyRecord(m)
			}
			return fmt.Sprint(c.Members())
		}
		if a, b := membersAfter(records), membersAfter(order); a != b {
			t.Fatalf("members in the first order:\n%s\nin another order and with duplicates:\n%s", a, b)
		}
	})
}

func TestMessagesAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{kind: kind(rapid.IntRange(1, 3).Draw(t, "kind")), sequence: rapid.Uint32().Draw(t, "seq"), from: drawMember(t),
			about: rapid.StringN(0, 8, maxNameBytes).Draw(t, "about"), target: rapid.StringN(0, 8, maxAddressBytes).Draw(t, "target"),
			full: rapid.Bool().Draw(t, "full")}
		w := newWriter(m)
		for _, s := range rapid.SliceOfNDistinct(rapid.Custom(drawMember), 0, 3, func(m Member) string { return m.Name }).Draw(t, "said") {
			if w.add(&s) {
				m.records = append(m.records, s)
			}
		}
		got, err := decode(w.bytes())
		if err != nil || fmt.Sprint(got) != fmt.Sprint(m) {
			t.Fatalf("error %v\nencoded %v\ndecoded %v", err, m, got)
		}
	})
}

// Guards against invalid messages that are applied in part, and against messages that add more members than fit into one message.
func FuzzHandleMessage(f *testing.F) {
	w := newWriter(message{kind: kindPing, sequence: 7, from: Member{Name: "b", Incarnation: 3, Address: "x:1"}, about: "a"})
	w.add(&Member{Name: "c", Incarnation: 9, State: Suspect, Accuser: "b", Address: "y:1"})
	f.Add(w.bytes())
	f.Add([]byte{version, 1, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		c := newTestCore("a")
		err := c.HandleMessage(1, b)
		if n := len(c.Members()); err != nil && n > 0 || n > 256 {
			t.Fatalf("error %v, but %d members", err, n)
		}
		c.Tick(ProbeInterval)
	})
}

// The number of members stays limited, however many names are received.
func TestTableStaysBounded(t *testing.T) {
	c := newTestCore("self")
	for i := range 5000 {
		c.applyRecord(Member{Name: fmt.Sprint("m", i), Incarnation: 1, State: Dead, Address: "x"})
	}
	c.Tick(1)
	if n := len(c.Members()); n > maxMembers {
		t.Errorf("%d members are stored, more than the limit", n)
	}
}

func BenchmarkHandleMessage(b *testing.B) {
	c := newTestCore("self")
	w := newWriter(message{kind: kindPing, from: Member{Name: "m0", Incarnation: 1, Address: "127.0.0.1:1000"}})
	for i := range 20 {
		w.add(&Member{Name: fmt.Sprint("m", i), Incarnation: 1, Address: "127.0.0.1:1000"})
	}
	m := w.bytes()
	b.ReportAllocs()
	for b.Loop() {
		if err := c.HandleMessage(1, m); err != nil {
			b.Fatal(err)
		}
	}
}
