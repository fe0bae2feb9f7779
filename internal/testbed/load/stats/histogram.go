package stats

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies are counted in whole microseconds up to the longest wait that a load states, in three digits: a tenth of
// the hundredth that reports promise. A second's histogram takes two digits, because there are many of them.
const (
	maxLatency                 = 10 * time.Minute
	significantDigits          = 3
	significantDigitsPerSecond = 2
	histogramUnit              = time.Microsecond
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/histogramUnit), digits)
}

func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// Values out of the histogram's range are its only error, and these are cut to the range.
	_ = histogram.RecordValue(int64(max(0, min(latency, maxLatency)) / histogramUnit))
}

// quantile returns a quantile (from 0 to 1) of a histogram; 0 where it is empty.
func quantile(histogram *hdrhistogram.Histogram, q float64) time.Duration {
	if histogram == nil || histogram.TotalCount() == 0 {
		return 0
	}
	return time.Duration(histogram.ValueAtPercentile(q*100)) * histogramUnit
}

// encodeHistogram returns the library's compressed form; empty for an empty histogram.
func encodeHistogram(histogram *hdrhistogram.Histogram) string {
	if histogram.TotalCount() == 0 {
		return ""
	}
	encoded, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return "" // not seen, because it writes to memory
	}
	return string(encoded)
}

func decodeHistogram(encoded string, digits int) (*hdrhistogram.Histogram, error) {
	histogram := newHistogram(digits)
	if encoded == "" {
		return histogram, nil
	}
	decoded, err := hdrhistogram.Decode([]byte(encoded))
	if err != nil {
		return nil, fmt.Errorf("histogram: %w", err)
	}
	histogram.Merge(decoded)
	return histogram, nil
}
