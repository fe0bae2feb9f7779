package history

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// writeEvents writes events of a process. After Close it writes one more event, which must not reach the file.
func writeEvents(t *testing.T, path string, incarnation uint64, kinds ...Kind) {
	t.Helper()
	writer, err := Open(path, "g0", incarnation)
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range kinds {
		writer.Write(Event{Kind: kind})
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	writer.Write(Event{Kind: AttemptSent})
}

// appendText appends text to a history, as left by a process that was killed while it wrote.
func appendText(t *testing.T, path, text string) {
	t.Helper()
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := file.WriteString(text); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestMergeFilesSkipsLinesTruncatedByAKill(t *testing.T) {
	path := filepath.Join(t.TempDir(), "g0.history")
	writeEvents(t, path, 1, ProcessStarted, AttemptSent)
	appendText(t, path, `{"at":12,"pro`)
	writeEvents(t, path, 2, ProcessStarted, OutcomeObserved)
	appendText(t, path, `{"at":`)
	events, err := MergeFiles(path, path+".none")
	if err != nil {
		t.Fatal(err)
	}
	var kinds []Kind
	for _, e := range events {
		kinds = append(kinds, e.Kind)
	}
	if expected := []Kind{"began", "sent", "began", "saw"}; !slices.Equal(kinds, expected) {
		t.Fatalf("expected %q, found %q", expected, kinds)
	}
	if events[2].Start != 2 || events[3].Label != "g0" {
		t.Errorf("expected start 2 and label g0, found %d and %q", events[2].Start, events[3].Label)
	}
}

func TestMergeFilesRejectsMalformedLineInTheMiddle(t *testing.T) {
	path := filepath.Join(t.TempDir(), "g0.history")
	writeEvents(t, path, 1, ProcessStarted)
	appendText(t, path, `{"at":`)
	writeEvents(t, path, 2, OutcomeObserved) // the history of a process begins with ProcessStarted, so the incomplete line is in the middle
	if _, err := MergeFiles(path); err == nil || !strings.Contains(err.Error(), "g0.history:") {
		t.Errorf("expected an error with the file's name, found %v", err)
	}
}
