//go:build !testbed

package counters

// A defect that the laboratory plants to see that its checkers find it; none in an ordinary build.
const trustOldCounts = false
