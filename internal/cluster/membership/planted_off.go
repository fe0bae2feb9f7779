//go:build !testbed

package membership

// Defects that the laboratory plants to see that its checkers find them; none in an ordinary build.
const ignoresStart = false
