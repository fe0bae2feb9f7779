//go:build testbed

package cli

// build marks a build for the testbed, in which clocks can be skewed and mutations switched on. It must never serve.
const build = " (laboratory)"
