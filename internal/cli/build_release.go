//go:build !testbed

package cli

// build is appended to the version and marks a special build; it is empty in releases.
const build = ""
