//go:build !testbed

package counters

// trustOldCounts is a mutation by which tests prove that their checks find it. An ordinary build has none.
const trustOldCounts = false
