//go:build testbed

package counters

import (
	"os"
	"strings"
)

// A defect that the laboratory plants to see that its checkers find it: what was told last is taken for what is.
var trustOldCounts = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "trusts-old")
