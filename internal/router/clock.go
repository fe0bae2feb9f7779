package router

import (
	"time"

	"magpiebank/internal/admission"
)

// Clock provides the owner's time and timers.
type Clock interface {
	Now() admission.Time
	// After calls f once, from any goroutine, after the duration d. stop cancels the call.
	After(d admission.Time, f func()) (stop func())
}

// timeUnit is the unit of admission.Time.
const timeUnit = 100 * time.Microsecond

// wallClock is a Clock whose time is the Unix time at its creation plus the monotonic time since then, so that it never goes backwards.
type wallClock struct{ start time.Time }

func newWallClock() wallClock { return wallClock{time.Now()} }

func (c wallClock) Now() admission.Time {
	return admission.Time((c.start.UnixNano() + int64(skewElapsed(time.Since(c.start)))) / int64(timeUnit))
}

func (c wallClock) After(d admission.Time, f func()) func() {
	t := time.AfterFunc(time.Duration(max(0, d))*timeUnit, f)
	return func() { t.Stop() }
}
