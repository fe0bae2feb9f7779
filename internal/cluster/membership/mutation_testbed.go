//go:build testbed

package membership

import (
	"os"
	"strings"
)

// ignoreIncarnations is a mutation by which tests prove that their checks find it: processes under one name are not told apart.
var ignoreIncarnations = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "ignores-start")
