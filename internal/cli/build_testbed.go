//go:build testbed

package cli

// build tells that clocks may run off and defects may be planted here: never for a gateway that serves.
const build = " (laboratory)"
