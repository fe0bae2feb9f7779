package history

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A history goes on after a kill in the middle of a line; what is spoilt elsewhere is told with its place.
func TestMerge(t *testing.T) {
	path := filepath.Join(t.TempDir(), "g0.history")
	write := func(start uint64, kinds ...Kind) {
		w, err := Open(path, "g0", start)
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range kinds {
			w.Write(Event{Kind: k})
		}
		w.Close()
		w.Write(Event{Kind: AttemptSent}) // after its end: nowhere
	}
	spoil := func(text string) {
		f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.WriteString(text)
		f.Close()
	}
	write(1, ProcessStarted, AttemptSent)
	spoil(`{"at":12,"pro`)
	write(2, ProcessStarted, OutcomeObserved)
	spoil(`{"at":`)
	got := ""
	events, err := MergeFiles(path, path+".none")
	for _, e := range events {
		got += string(e.Kind) + " "
	}
	if got != "began sent began saw " || err != nil || events[2].Start != 2 || events[3].Label != "g0" {
		t.Errorf("%q, %v", got, err)
	}
	spoil("\n")
	w, _ := Open(path, "g0", 2)
	w.Write(Event{Kind: OutcomeObserved}) // no process begins with that
	w.Close()
	if _, err := MergeFiles(path); err == nil || !strings.Contains(err.Error(), "g0.history:") {
		t.Errorf("a line spoilt in the middle: %v", err)
	}
}
