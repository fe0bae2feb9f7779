package router

import (
	"time"

	"magpiebank/internal/admission"
)

// Clock tells the time to the owner loop and sets its timers.
type Clock interface {
	Now() admission.Time
	// After calls f once, later, from any goroutine; stop calls it off.
	After(d admission.Time, f func()) (stop func())
}

// tenth is the project's unit of time.
const timeUnit = 100 * time.Microsecond

// wallClock is Unix time as it was at start, moved on by the monotonic clock: it never goes back.
type wallClock struct{ start time.Time }

func newWallClock() wallClock { return wallClock{time.Now()} }

func (c wallClock) Now() admission.Time {
	return admission.Time((c.start.UnixNano() + int64(skewElapsed(time.Since(c.start)))) / int64(timeUnit))
}

func (c wallClock) After(d admission.Time, f func()) func() {
	t := time.AfterFunc(time.Duration(max(0, d))*timeUnit, f)
	return func() { t.Stop() }
}
