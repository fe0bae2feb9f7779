//go:build testbed

package router

import (
	"fmt"
	"os"
	"time"
)

// In a build for the testbed the clock runs at a rate and jumps once: MAGPIEBANK_CLOCK="1.05 -60s 5s" is a twentieth fast, and
// jumps a minute back five seconds after the start. A jump back holds the clock where it was, because the owner's time never
// goes back.
var rate, jump, jumpAt = func() (rate float64, jump, at time.Duration) {
	var by, when string
	rate = 1
	if _, err := fmt.Sscan(os.Getenv("MAGPIEBANK_CLOCK"), &rate, &by, &when); err == nil {
		jump, _ = time.ParseDuration(by)
		at, _ = time.ParseDuration(when)
	}
	return rate, jump, at
}()

func skewElapsed(since time.Duration) time.Duration {
	off := time.Duration(float64(since) * rate)
	if jump != 0 && since >= jumpAt {
		off += jump
	}
	return off
}
