package history

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"magpiebank/internal/testbed/golden"
)

func TestHistoryOfEarlierVersionRoundTrips(t *testing.T) {
	events, err := MergeFiles(filepath.Join("testdata", "format", "history.form"))
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckValues(t, "history", events)
	var again []byte
	for _, e := range events {
		line, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		again = append(append(again, line...), '\n')
	}
	if expected := golden.Read(t, "history.form"); string(again) != string(expected) {
		t.Errorf("expected %s\nfound    %s", expected, again)
	}
}

// Tools search for kinds in files of any version, so the values must not change.
func TestKindsAreThoseOfEarlierVersion(t *testing.T) {
	kinds := []Kind{ProcessStarted, StartChanged, MemberChanged, EngineListed, OutcomeObserved, PeerOutcomeReceived, EngineAssessed, AttemptSent, RateGranted, TotalChanged, BudgetUsed,
		BudgetReleased, RequestsCounted, CountersRead, PolicyChanged, RequestDecided, AttemptWritten, LateWake, ProcessStopped}
	golden.CheckValues(t, "kinds", kinds)
}
