package importer

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// The values from which a number since 1970 is in milliseconds, microseconds or nanoseconds and not in seconds, and
// the highest accepted value.
const (
	fromMillis = 1e11
	fromMicros = 1e14
	fromNanos  = 1e17
	maxEpoch   = 1e20
)

// timestampLayouts are the layouts of timestamps that are not numbers: RFC 3339, and those of MySQL.
var timestampLayouts = []string{time.RFC3339Nano, "2006-01-02T15:04:05.999999", "2006-01-02 15:04:05.999999", "060102 15:04:05"}

// parseTimestamp parses a time in one of the layouts, or as a number of seconds, milliseconds, microseconds or
// nanoseconds since 1970, depending on its size. An empty text is the zero time.
func parseTimestamp(text string) (time.Time, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return time.Time{}, nil
	}
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return parseEpoch(text, number)
	}
	for _, layout := range timestampLayouts {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("time %q: expected RFC 3339 or a number since 1970", text)
}

func parseEpoch(text string, number float64) (time.Time, error) {
	if number < 0 || math.IsNaN(number) || number > maxEpoch {
		return time.Time{}, fmt.Errorf("time %q: number out of range", text)
	}
	if whole, err := strconv.ParseInt(text, 10, 64); err == nil {
		switch {
		case number >= fromNanos:
			return time.Unix(0, whole), nil
		case number >= fromMicros:
			return time.UnixMicro(whole), nil
		case number >= fromMillis:
			return time.UnixMilli(whole), nil
		}
	}
	for number >= fromMillis {
		number /= 1000
	}
	seconds, fraction := math.Modf(number)
	return time.Unix(int64(seconds), int64(fraction*1e9)), nil
}
