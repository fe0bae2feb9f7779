//go:build !testbed

package cli

// build names what is special of this program; nothing.
const build = ""
