//go:build !race

package modelcheck

// RaceEnabled reports whether this is a build with the race detector. In such a build an exploration takes ten times as long, and the race
// detector can't find anything in it, because an exploration has a single goroutine. The script .ci/run explores without the race detector.
const RaceEnabled = false
