//go:build testbed

package agent

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/eventqueue"
	"magpiebank/internal/testbed/quorumquota"
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
func (f *Agent) beside(now admission.Time) shares {
	if !strings.Contains(os.Getenv("MAGPIEBANK_PLANTED"), "quorum") {
		return nil
	}
	return asking{quorumquota.New(now, f.rights, f.name, f.core.Self().Incarnation, lender{f}), f.box}
}

// asking has what the owner's calls lead to be sent at once, by the fleet's goroutine.
type asking struct {
	*quorumquota.Core
	box *eventqueue.Queue[func()]
}

func (a asking) TryReserve(now admission.Time, b int, amount int64, length admission.Time) bool {
	ok := a.Core.TryReserve(now, b, amount, length)
	if !ok {
		a.box.Put(func() {})
	}
	return ok
}

func (a asking) Release(now admission.Time, b int, amount int64) bool {
	a.Core.Release(now, b, amount)
	return true
}

// planted are the names of defects that the laboratory plants.
func planted() string { return os.Getenv("MAGPIEBANK_PLANTED") }

// dies is where a process ends itself or stands still, as MAGPIEBANK_DIE="yielding decided 4 kill /tmp/once" says: once it has said the first
// word, then the second, and then sent so many messages; the file is made then, and where it is there nobody does so any more.
var dies struct {
	sync.Mutex
	first, then, how, once string
	left, at               int
}

func init() {
	d := &dies
	fmt.Sscan(os.Getenv("MAGPIEBANK_DIE"), &d.first, &d.then, &d.left, &d.how, &d.once)
}

// moment is told what a process says of policies, and "sent" for each message.
func moment(word string) {
	d := &dies
	if d.first == "" {
		return
	}
	d.Lock()
	defer d.Unlock()
	switch {
	case d.at == 0 && word == d.first:
		d.at = 1
	case d.at == 1 && word == d.then:
		d.at = 2
	case d.at == 2 && word == "sent":
		d.left--
	}
	if d.at < 2 || d.left > 0 {
		return
	}
	d.first = ""
	f, err := os.OpenFile(d.once, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return // another has
	}
	f.Close()
	if d.how == "stop" {
		syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	} else {
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
}

// olderBuild has a process planted so not know of "waiting".
func olderBuild(text []byte) error {
	if strings.Contains(planted(), "older-build") && strings.Contains(string(text), `"waiting"`) {
		return fmt.Errorf("statements.classes[0].waiting: expected no such field, found \"waiting\"")
	}
	return nil
}
