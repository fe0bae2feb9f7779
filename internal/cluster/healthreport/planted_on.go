//go:build testbed

package healthreport

import (
	"os"
	"strings"
)

// Defects that the laboratory plants to see that its checkers find them.
var (
	relaysHearsay = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "relays-hearsay")
	agesNothing   = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "ages-nothing")
)
