package healthreport

import (
	"testing"

	"magpiebank/internal/testbed/golden"
)

// decodedReport is a decoded message. sent is the sender's clock.
type decodedReport struct {
	sent    uint32
	entries []entry
}

func TestReportOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	golden.CheckRoundTrip(t, "report", decodeReport, encodeReport)
}

func decodeReport(b []byte) (decodedReport, error) {
	r, err := newReader(b)
	if err != nil {
		return decodedReport{}, err
	}
	report := decodedReport{sent: r.sent}
	for len(r.b) > 0 {
		e, ok := r.next()
		if !ok {
			return decodedReport{}, ErrInvalidMessage
		}
		report.entries = append(report.entries, e)
	}
	return report, nil
}

func encodeReport(report decodedReport) []byte {
	now := Time(report.sent)
	w := newWriter(now)
	for _, e := range report.entries {
		w.add(now, e.hash, Time(e.start), e.observationsAt(now, 0))
	}
	return w.bytes()
}
