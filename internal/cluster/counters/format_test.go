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
	golden.CheckValues(t, "counts", []any{m.until, m.length, m.maxInFlight, m.complete, m.counts, m.echoedClock, m.echoReceivedAt})
}

// The earlier version produced the file by exactly these steps.
func TestMessageIsWrittenAsByEarlierVersion(t *testing.T) {
	f := newTestCluster(2)
	at := Time(0)
	a, b := f.cores[0], f.cores[1]
	for k := range int64(40) {
		at += roundInterval / 2
		a.ApplyChanges(at, Change{Key{KindClass, "dashboards"}, [metricCount]int64{k%5 + 1}}, Change{Key{KindPolicyClass, "reports"}, [metricCount]int64{0, 3}},
			Change{Key{KindEngine, "engine-7"}, [metricCount]int64{Attempted: k}}, Change{Key{}, [metricCount]int64{2, k % 3, 1}})
		b.ApplyChanges(at + 7)
		a.Tick(at)
		b.Tick(at + 7)
		if m, ok := f.hosts[0].sent["g1"]; ok {
			receive(t, b, at+9, "g0", 5, m)
		}
		if m, ok := f.hosts[1].sent["g0"]; ok {
			receive(t, a, at+11, "g1", 6, m)
		}
	}
	expected, found := golden.Read(t, "counts.form"), f.hosts[0].sent["g1"]
	if string(found) != string(expected) {
		t.Errorf("expected %x\nfound    %x", expected, found)
	}
}
