package agent

import (
	"path/filepath"
	"testing"
	"time"

	"magpiebank/internal/cluster/history"
)

// A run of the goroutine that is late adds one event to the history, and one that is in time adds none.
func TestLateWakeIsRecorded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "g0.history")
	writer, err := history.Open(path, "g0", 1)
	if err != nil {
		t.Fatal(err)
	}
	monitor := &wakeMonitor{}
	monitor.recordLateWake(writer)
	monitor.lastHistoryAt -= int64(time.Second)
	monitor.recordLateWake(writer)
	monitor.lastHistoryAt += int64(time.Hour)
	monitor.recordLateWake(writer)
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	events, err := history.MergeFiles(path)
	if err != nil || len(events) != 1 || events[0].Kind != history.LateWake || events[0].AgeNanos < int64(time.Second) {
		t.Errorf("expected one LateWake event of a second or more, found %+v, error %v", events, err)
	}
}
