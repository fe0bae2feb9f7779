package config

import (
	"strconv"
	"strings"

	"magpiebank/internal/admission"
)

// maxReportValue is larger than any valid value: a report contains numbers of queries, and shares near 0 to 1 with some noise.
const maxReportValue = 1e6

// ParseReport parses an engine's load report: pairs name:value, divided by separator. It reads the fields inflight, util, x0 and
// x1, which are the names that the settings use, and ignores valid pairs with other names. ok reports whether the value of every
// pair is a number from 0 to 1e6. A pair without such a value is left out of the report.
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
