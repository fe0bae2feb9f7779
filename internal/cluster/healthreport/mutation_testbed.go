//go:build testbed

package healthreport

import (
	"os"
	"strings"
)

// Mutations. Tests enable them to show that their checks find them.
var (
	// The observations of peers are sent as if this gateway had made them.
	relayPeerReports = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "relays-hearsay")
	// Messages are treated as if they had no delay.
	ignoreDelay = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "ages-nothing")
)
