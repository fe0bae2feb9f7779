//go:build !testbed

package cli

// versionSuffix is appended to the version and marks a special build; it is empty in releases.
const versionSuffix = ""
