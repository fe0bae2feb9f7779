//go:build testbed

package counters

import (
	"os"
	"strings"
)

// trustOldCounts is a mutation by which tests prove that their checks find it: what was reported last is taken for what is.
var trustOldCounts = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "trusts-old")
