//go:build testbed

package membership

import (
	"os"
	"strings"
)

// ignoreIncarnations is a mutation: processes with the same name are not distinguished. Tests enable it to show that their checks find it.
var ignoreIncarnations = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "ignores-start")
