package config

import (
	"strconv"
	"strings"

	"magpiebank/internal/admission"
)

// maxReportValue is above any value that a report can hold: queries, or shares with some noise.
const maxReportValue = 1e6

// ParseReport parses an engine's load report, pairs name:value with a separator between them, under the names that the
// settings give its fields. Other fields are ignored. ok tells whether all of it was pairs with a number from 0 to 1e6.
func ParseReport(text, separator string) (report admission.Report, ok bool) {
	report, ok = admission.NoReport, true
	for rest := text; rest != ""; {
		var pair string
		pair, rest, _ = strings.Cut(rest, separator)
		name, number, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(number, 64)
		valid := err == nil && value >= 0 && value <= maxReportValue
		if !valid {
			ok = false
			continue
		}
		switch name {
		case "inflight":
			report.InFlight = value
		case "util":
			report.Utilization = value
		case "x0":
			report.Memory = value
		case "x1":
			report.Disks = value
		}
	}
	return report, ok
}
