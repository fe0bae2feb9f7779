//go:build !race

package modelcheck

// Raced tells of a build under the race detector, in which walks take ten times as long, and have one goroutine. .ci/run makes them without it.
const Raced = false
