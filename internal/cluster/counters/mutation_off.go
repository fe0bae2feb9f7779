//go:build !testbed

package counters

// trustOldCounts is a mutation. Tests enable it to show that their checks find it. It is off in an ordinary build.
const trustOldCounts = false
