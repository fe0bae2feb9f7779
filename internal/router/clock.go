package router

import (
	"time"

	"magpiebank/internal/admission"
)

// Clock tells the owner the time and sets its timers.
type Clock interface {
	Now() admission.Time
	// After calls f once, from any goroutine, when d has passed. stop cancels the call.
	After(d admission.Time, f func()) (stop func())
}

// timeUnit is the unit of admission.Time.
const timeUnit = 100 * time.Microsecond

// wallClock is the Unix time at the start, advanced by the monotonic clock, so that it never goes back.
type wallClock struct{ start time.Time }

func newWallClock() wallClock { return wallClock{time.Now()} }

func (c wallClock) Now() admission.Time {
	return admission.Time((c.start.UnixNano() + int64(skewElapsed(time.Since(c.start)))) / int64(timeUnit))
}

func (c wallClock) After(d admission.Time, f func()) func() {
	t := time.AfterFunc(time.Duration(max(0, d))*timeUnit, f)
	return func() { t.Stop() }
}
