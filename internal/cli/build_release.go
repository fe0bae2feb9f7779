//go:build !testbed

package cli

// build is the part of the version that tells a special build; empty for releases.
const build = ""
