package config

import (
	"strconv"
	"strings"

	"magpiebank/internal/admission"
)

// mostHeld is above any value that a report can hold: queries, or shares with some noise.
const mostHeld = 1e6

// Report reads an engine's load report, pairs name:value with a mark between them, under the names that the
// settings give its fields; ok tells whether all of it was such pairs. Others are passed over.
func ParseReport(text, between string) (r admission.Report, ok bool) {
	r, ok = admission.NoReport, true
	for rest := text; rest != ""; {
		var pair string
		pair, rest, _ = strings.Cut(rest, between)
		name, value, _ := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= mostHeld) {
			ok = false
			continue
		}
		switch name {
		case "inflight":
			r.InFlight = v
		case "util":
			r.Utilization = v
		case "x0":
			r.Memory = v
		case "x1":
			r.Disks = v
		}
	}
	return r, ok
}
