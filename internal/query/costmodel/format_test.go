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
	for _, l := range s.classes {
		values = append(values, l.name, l.mean, l.count)
	}
	values = append(values, s.weights, s.covariance)
	for _, g := range s.groups {
		values = append(values, g.group, g.loads)
	}
	for _, r := range s.records {
		values = append(values, r.key, r.hoursToDecay, r.observations, r.uncertainFor, r.loads, r.skewGrouping, r.memory, r.memoryPeak, r.shiftUp, r.shiftDown, r.baseline, r.deviation, r.recent,
			r.trend.count, r.trend.sumX, r.trend.sumY, r.trend.sumXX, r.trend.sumXY, r.sketch.counts, r.sketch.total)
	}
	return values
}
