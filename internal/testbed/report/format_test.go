package report

import (
	"encoding/json"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"magpiebank/internal/testbed/golden"
	"magpiebank/internal/testbed/load/experiment"
)

// encodedHistogram matches an encoded histogram in JSON. Its bytes are compressed and may differ between versions of Go, so tests
// don't compare them.
var encodedHistogram = regexp.MustCompile(`"HIST[^"]*"`)

// The result is in the format that `run --json` prints. Package stats tests the values of the metrics.
func TestResultOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	result, err := golden.DecodeJSON[experiment.Result](golden.Read(t, "result.form"))
	if err != nil {
		t.Fatal(err)
	}
	checkResult(t, result)
}

func TestArchiveOfEarlierVersionIsRead(t *testing.T) {
	archive, err := OpenArchive(filepath.Join(golden.CopyFolder(t, "."), "runs.form")) // a copy, because opening an archive may write to it
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = archive.Close() })
	run, err := archive.Get(2)
	if err != nil {
		t.Fatal(err)
	}
	if run.ID != 2 || run.Note != "second note" {
		t.Errorf("expected run 2 with the second note, found %d, %q", run.ID, run.Note)
	}
	checkResult(t, run.Result)
	count := 0
	if err := archive.Each(func(*ArchivedRun) error { count++; return nil }); err != nil || count != 1 {
		t.Errorf("expected one run, found %d, error %v", count, err)
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(golden.EncodeJSON(run), &keys); err != nil || len(keys) != 3 || keys["id"] == nil || keys["note"] == nil || keys["result"] == nil {
		t.Errorf("expected id, note and result, found %d keys, error %v", len(keys), err)
	}
}

// checkResult checks that a result equals the one that the earlier version wrote.
func checkResult(t *testing.T, result *experiment.Result) {
	t.Helper()
	expected := encodedHistogram.ReplaceAllString(string(golden.Read(t, "result.form")), `"histogram"`)
	found := encodedHistogram.ReplaceAllString(string(golden.EncodeJSON(result)), `"histogram"`)
	if found != expected {
		t.Errorf("expected %s\nfound    %s", expected, found)
	}
	if began := time.Date(2025, 12, 1, 2, 3, 4, 5, time.UTC); !result.Began.Equal(began) {
		t.Errorf("expected a run that began at %v, found %v", began, result.Began)
	}
	without := *result
	without.Began, without.Metrics = time.Time{}, nil
	golden.CheckValues(t, "result", without)
}
