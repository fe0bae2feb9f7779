//go:build testbed

package healthreport

import (
	"os"
	"strings"
)

// Mutations by which tests prove that their checks find them.
var (
	// What peers observed is sent as if this gateway had.
	relayPeerReports = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "relays-hearsay")
	// Messages are taken to have had no delay.
	ignoreDelay = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "ages-nothing")
)
