//go:build testbed

package membership

import (
	"os"
	"strings"
)

// Defects that the laboratory plants to see that its checkers find them.
var ignoresStart = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "ignores-start")
