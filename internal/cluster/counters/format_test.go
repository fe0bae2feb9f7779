package counters

import (
	"testing"

	"magpiebank/internal/testbed/golden"
)

func TestMessageOfEarlierVersionIsRead(t *testing.T) {
	m, err := decode(golden.Read(t, "counts.form"))
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckValues(t, "counts", []any{m.at, m.length, m.most, m.whole, m.rows, m.theirs, m.ours})
}

// The earlier version wrote the message with these very steps.
func TestMessageIsWrittenAsByEarlierVersion(t *testing.T) {
	f := newFleet(2)
	at := Time(0)
	a, b := f.cores[0], f.cores[1]
	for k := range int64(40) {
		at += every / 2
		a.ApplyChanges(at, Change{Key{KindClass, "dashboards"}, [figures]int64{k%5 + 1}}, Change{Key{KindPolicyClass, "reports"}, [figures]int64{0, 3}},
			Change{Key{KindEngine, "engine-7"}, [figures]int64{Attempted: k}}, Change{Key{}, [figures]int64{2, k % 3, 1}})
		b.ApplyChanges(at + 7)
		a.Tick(at)
		b.Tick(at + 7)
		if m, ok := f.posts[0].sent["g1"]; ok {
			b.HandleMessage(at+9, "g0", 5, m)
		}
		if m, ok := f.posts[1].sent["g0"]; ok {
			a.HandleMessage(at+11, "g1", 6, m)
		}
	}
	expected, found := golden.Read(t, "counts.form"), f.posts[0].sent["g1"]
	if string(found) != string(expected) {
		t.Errorf("expected %x\nfound    %x", expected, found)
	}
}
