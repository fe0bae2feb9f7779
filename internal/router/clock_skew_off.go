//go:build !testbed

package router

import "time"

// skewElapsed returns a duration unchanged. Builds with the tag testbed replace it by a version that skews the clock.
func skewElapsed(since time.Duration) time.Duration { return since }
