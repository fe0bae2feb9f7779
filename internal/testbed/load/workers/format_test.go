package workers

import (
	"testing"
	"time"

	"magpiebank/internal/testbed/golden"
	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
)

func TestMessagesOfEarlierVersionAreReadAndWrittenAlike(t *testing.T) {
	t.Run("hello", func(t *testing.T) {
		golden.CheckRoundTrip(t, "hello", golden.DecodeJSON[hello], golden.EncodeJSON)
	})
	t.Run("beat", func(t *testing.T) {
		golden.CheckRoundTrip(t, "beat", golden.DecodeJSON[heartbeat], golden.EncodeJSON)
	})
	t.Run("losses", func(t *testing.T) {
		golden.CheckRoundTrip(t, "losses", golden.DecodeJSON[[]Loss], golden.EncodeJSON)
	})
	t.Run("run", func(t *testing.T) {
		form := golden.Read(t, "run.form")
		message, err := golden.DecodeJSON[loadMessage](form)
		if err != nil {
			t.Fatal(err)
		}
		if again := golden.EncodeJSON(message); string(again) != string(form) {
			t.Errorf("expected %s\nfound    %s", form, again)
		}
		if start := time.Date(2025, 12, 1, 2, 3, 4, 5, time.UTC); !message.Start.Equal(start) {
			t.Errorf("expected a run that starts at %v, found %v", start, message.Start)
		}
		message.Start = time.Time{}
		golden.CheckValues(t, "run", message)
	})
}

func TestReportOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	form := golden.Read(t, "report.form")
	var report client.Report
	var request arrival.Request
	unpackReport(form, &report, &request)
	golden.CheckValues(t, "report", []any{request.Number, request.At, request.Class, report.Outcome, report.FinishedAt, report.GeneratorDelay, report.QueueDelay, report.SentAt,
		report.Attempts, report.Misbehaving})
	if again := packReport(nil, &report); string(again) != string(form) {
		t.Errorf("expected %x\nfound    %x", form, again)
	}
	expected := golden.Read(t, "report-skipped.form")
	if skipped := packSkipped(nil, &request); string(skipped) != string(expected) {
		t.Errorf("skipped: expected %x\nfound    %x", expected, skipped)
	}
}

func TestFrameKindsAreThoseOfEarlierVersion(t *testing.T) {
	golden.CheckValues(t, "kinds", []int{frameHello, frameLoad, frameGrant, frameLosses, frameTakeovers, frameHeartbeat, frameReports, frameEnd})
}
