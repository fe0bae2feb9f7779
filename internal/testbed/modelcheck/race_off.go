//go:build !race

package modelcheck

// RaceEnabled tells of a build under the race detector, in which walks take ten times as long, and have one goroutine. .ci/run makes them without it.
const RaceEnabled = false
