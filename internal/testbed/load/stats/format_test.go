package stats

import (
	"regexp"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"

	"magpiebank/internal/testbed/golden"
)

// encodedHistogram matches a histogram in JSON. Its bytes come from a compressor whose output may change with the Go
// version.
var encodedHistogram = regexp.MustCompile(`"HIST[^"]*"`)

func TestMetricsOfEarlierVersionAreReadAndWrittenAlike(t *testing.T) {
	encoded := golden.Read(t, "metrics.form")
	metrics := decodeMetrics(t, encoded)
	golden.CheckValues(t, "metrics", metricsValues(metrics))
	reencoded := golden.EncodeJSON(metrics)
	golden.CheckValues(t, "metrics", metricsValues(decodeMetrics(t, reencoded)))
	expected, found := encodedHistogram.ReplaceAllString(string(encoded), `"histogram"`),
		encodedHistogram.ReplaceAllString(string(reencoded), `"histogram"`)
	if found != expected {
		t.Errorf("expected %s\nfound    %s", expected, found)
	}
}

func decodeMetrics(t *testing.T, content []byte) *Metrics {
	t.Helper()
	metrics, err := golden.DecodeJSON[Metrics](content)
	if err != nil {
		t.Fatal(err)
	}
	return metrics
}

// metricsValues lists all values in metrics, in the order of the earlier version's fields. For a histogram, it lists
// the count and the maximum.
func metricsValues(m *Metrics) (values []any) {
	addHistogram := func(h *hdrhistogram.Histogram) { values = append(values, h.TotalCount(), h.Max()) }
	for _, c := range append(m.Classes, m.Misbehaving) {
		values = append(values, c.Name, c.LatencyObjective, c.Offered, c.WithinObjective, c.Attempts)
		for _, h := range c.Outcomes {
			addHistogram(h)
		}
		addHistogram(c.ClosedLoop)
	}
	for _, s := range m.Seconds {
		values = append(values, s.Offered, s.Outcomes, s.Worst, s.WorstRequest)
		addHistogram(s.latency)
	}
	addHistogram(m.GeneratorDelay)
	addHistogram(m.QueueDelay)
	return append(values, m.Violations, m.Examples, m.finishedRequests)
}
