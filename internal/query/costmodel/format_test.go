package costmodel

import (
	"testing"

	"magpiebank/internal/testbed/golden"
)

func TestSnapshotOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	stored := golden.Read(t, "snapshot.form")
	snapshot, err := DecodeSnapshot(stored)
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckValues(t, "snapshot", snapshotValues(snapshot))
	if encoded := snapshot.Encode(); string(encoded) != string(stored) {
		t.Errorf("the snapshot is encoded differently:\nexpected %x\nfound    %x", stored, encoded)
	}
}

// snapshotValues lists all values in a snapshot, in the order in which the earlier version listed them.
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
