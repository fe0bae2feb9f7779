package importer

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// parseTimestamp reads a time: RFC 3339, MySQL's own form, or a number of seconds, milliseconds, micro- or nanoseconds since
// 1970, told apart by its size.
func parseTimestamp(text string) (time.Time, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return time.Time{}, nil
	}
	if v, err := strconv.ParseFloat(text, 64); err == nil {
		if v < 0 || math.IsNaN(v) || v > 1e20 {
			return time.Time{}, fmt.Errorf("time %q can't be", text)
		}
		whole, err := strconv.ParseInt(text, 10, 64)
		switch {
		case err == nil && v >= 1e17:
			return time.Unix(0, whole), nil
		case err == nil && v >= 1e14:
			return time.UnixMicro(whole), nil
		case err == nil && v >= 1e11:
			return time.UnixMilli(whole), nil
		}
		for v >= 1e11 {
			v /= 1000
		}
		seconds, rest := math.Modf(v)
		return time.Unix(int64(seconds), int64(rest*1e9)), nil
	}
	for _, form := range []string{time.RFC3339Nano, "2006-01-02T15:04:05.999999", "2006-01-02 15:04:05.999999",
		"060102 15:04:05"} {
		if t, err := time.Parse(form, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, fmt.Errorf("time %q: expected RFC 3339 or a number since 1970", text)
}
