//go:build !testbed

package healthreport

// Defects that the laboratory plants to see that its checkers find them; none in an ordinary build.
const relaysHearsay, agesNothing = false, false
