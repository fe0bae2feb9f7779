//go:build testbed

package router

import (
	"fmt"
	"os"
	"time"
)

// The skew of the clock, set by MAGPIEBANK_CLOCK in builds for the testbed: the clock runs at a constant rate and jumps once.
// With MAGPIEBANK_CLOCK="1.05 -60s 5s" it runs 5 % fast, and jumps back by 60 s when 5 s have passed since the start. The
// owner's time never goes backwards, so after a jump back it stands still until the clock has caught up.
var rate, jump, jumpAt = func() (rate float64, jump, at time.Duration) {
	var jumpText, jumpAtText string
	rate = 1
	if _, err := fmt.Sscan(os.Getenv("MAGPIEBANK_CLOCK"), &rate, &jumpText, &jumpAtText); err == nil {
		jump, _ = time.ParseDuration(jumpText)
		at, _ = time.ParseDuration(jumpAtText)
	}
	return rate, jump, at
}()

// skewElapsed applies the configured skew to a duration since the start.
func skewElapsed(since time.Duration) time.Duration {
	skewed := time.Duration(float64(since) * rate)
	if jump != 0 && since >= jumpAt {
		skewed += jump
	}
	return skewed
}
