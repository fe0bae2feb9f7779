//go:build race

package modelcheck

// RaceEnabled reports a build with the race detector, in which explorations take ten times as long and have a single
// goroutine. .ci/run runs them without it.
const RaceEnabled = true
