//go:build testbed

package counters

import (
	"os"
	"strings"
)

// trustOldCounts is a mutation: the last reported counts are treated as current. Tests enable it to show that their checks find it.
var trustOldCounts = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "trusts-old")
