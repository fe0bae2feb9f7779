package cli

import (
	"bytes"
	"io"
	"log/slog"
	"testing"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
	"magpiebank/internal/storage/requestjournal"
	"magpiebank/internal/testbed/golden"
)

// The folder in testdata contains a request that was pending, one with an attempt in flight, one per final outcome, and a snapshot of
// the admission controller.
func TestRecoverStateFolderOfEarlierVersion(t *testing.T) {
	start := &config.Config{
		Name:       "gateway-a",
		Deployment: &admission.Deployment{Classes: make([]admission.Class, 2)},
		Network:    &config.Network{LongestWaits: []time.Duration{time.Second, time.Minute}},
	}
	start.Deployment.Classes[1].RepeatEffect = admission.NonIdempotent
	journal, closeState, err := openState(golden.CopyFolder(t, "state"), 64, start, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = closeState() })
	if journal.Snapshot == nil {
		t.Fatal("expected a snapshot of the admission controller, found none")
	}
	golden.CheckValues(t, "snapshot", journal.Snapshot)
	for id, outcome := range map[admission.RequestID]requestjournal.Outcome{
		"request-open-001": requestjournal.Rejected, // its deadline has passed, and no attempt was sent
		"request-out-0001": requestjournal.Failed,   // an attempt was in flight, so the request may have run
		"request-done-001": requestjournal.Served,
		"request-nack-001": requestjournal.Rejected,
		"request-lost-001": requestjournal.Failed,
		"request-left-001": requestjournal.Abandoned,
	} {
		status, entry := journal.Requests.Lookup(id)
		if status != requestjournal.Answered || entry.Outcome != outcome {
			t.Errorf("%s: expected %v, found %+v", id, outcome, entry)
		}
	}
	if _, entry := journal.Requests.Lookup("request-done-001"); len(entry.Pages) != 1 || string(entry.Pages[0]) != "a page" || entry.Zone != 7 || entry.Group != 8 {
		t.Errorf("expected one page from zone 7, group 8, found %+v", entry)
	}
}

// The documented subcommands of "store" print the same text for a folder as in earlier versions.
func TestStoreCommandsPrintAsInEarlierVersion(t *testing.T) {
	for _, name := range []string{"inspect", "verify", "dump"} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			command := storeCommand(&out)
			command.SetArgs([]string{name, golden.CopyFolder(t, "state")})
			if err := command.Execute(); err != nil {
				t.Fatal(err)
			}
			if expected := golden.Read(t, "store-"+name+".txt"); out.String() != string(expected) {
				t.Errorf("expected %s\nfound    %s", expected, out.String())
			}
		})
	}
}
