package stats

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms count latencies in whole microseconds up to the longest wait that a load specifies. Three significant digits
// give a precision of 0.1 %, a tenth of the 1 % that reports promise. The histograms by second have two digits,
// because there are many of them.
const (
	maxLatency                 = 10 * time.Minute
	significantDigits          = 3
	significantDigitsPerSecond = 2
	histogramUnit              = time.Microsecond
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/histogramUnit), digits)
}

// record adds a latency to a histogram.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// RecordValue fails only for values outside the range of the histogram, and the latency is limited to that range.
	_ = histogram.RecordValue(int64(max(0, min(latency, maxLatency)) / histogramUnit))
}

// quantile returns a quantile (q from 0 to 1) of a histogram; 0 if the histogram is empty.
func quantile(histogram *hdrhistogram.Histogram, q float64) time.Duration {
	if histogram == nil || histogram.TotalCount() == 0 {
		return 0
	}
	return time.Duration(histogram.ValueAtPercentile(q*100)) * histogramUnit
}

// encodeHistogram returns a histogram in the library's compressed encoding, or an empty string for an empty histogram.
func encodeHistogram(histogram *hdrhistogram.Histogram) string {
	if histogram.TotalCount() == 0 {
		return ""
	}
	encoded, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return "" // can't happen, because Encode writes to memory
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
