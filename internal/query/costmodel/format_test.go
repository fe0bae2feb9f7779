package costmodel

import (
	"testing"

	"magpiebank/internal/testbed/golden"
)

func TestSnapshotOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	form := golden.Read(t, "snapshot.form")
	snapshot, err := DecodeSnapshot(form)
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckValues(t, "snapshot", snapshotValues(snapshot))
	if again := snapshot.Encode(); string(again) != string(form) {
		t.Errorf("encoding again gives other bytes:\nexpected %x\nfound    %x", form, again)
	}
}

// snapshotValues lists all that a snapshot holds, in the order in which the earlier version had it.
func snapshotValues(s *Snapshot) (values []any) {
	for _, l := range s.lanes {
		values = append(values, l.name, l.mean, l.n)
	}
	values = append(values, s.weights, s.scatter)
	for _, g := range s.groups {
		values = append(values, g.group, g.loads)
	}
	for _, r := range s.records {
		values = append(values, r.key, r.age, r.n, r.doubt, r.loads, r.place, r.memory, r.most, r.up, r.down, r.base, r.dev, r.recent,
			r.trend.n, r.trend.x, r.trend.y, r.trend.xx, r.trend.xy, r.sketch.counts, r.sketch.total)
	}
	return values
}
