//go:build lab

package fleet

import (
	"os"
	"strings"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/inbox"
	"magpiebank/internal/quorum"
)

// A defect that the laboratory plants to see that its checkers find it.
var ignoresStart = strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "ignores-start")

// born is how far the wall clock is off at a process's start: MAGPIEBANK_BORN="-1h".
func born() time.Duration {
	d, err := time.ParseDuration(os.Getenv("MAGPIEBANK_BORN"))
	if err != nil {
		return 0
	}
	return d
}

// beside is another way to share budgets, which ours is measured against.
func (f *Fleet) beside(now admission.Time) shares {
	if !strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "quorum") {
		return nil
	}
	return asking{quorum.New(now, f.rights, f.name, f.core.Self().Start, lender{f}), f.box}
}

// asking has what the owner's calls lead to be sent at once, by the fleet's goroutine.
type asking struct {
	*quorum.Core
	box *inbox.Box
}

func (a asking) Open(now admission.Time, b int, amount int64, length admission.Time) bool {
	ok := a.Core.Open(now, b, amount, length)
	if !ok {
		a.box.Put(func() {})
	}
	return ok
}

func (a asking) Done(now admission.Time, b int, amount int64) bool {
	a.Core.Done(now, b, amount)
	return true
}
