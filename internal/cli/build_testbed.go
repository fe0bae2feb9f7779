//go:build testbed

package cli

// versionSuffix is appended to the version and marks a build for the testbed, in which clocks can be skewed and mutations switched on.
// Such a build must never run in production.
const versionSuffix = " (laboratory)"
