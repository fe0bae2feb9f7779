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

// The environment variables by which the testbed mutates a process.
const (
	mutationsVariable  = "MAGPIEBANK_PLANTED" // names of mutations
	clockVariable      = "MAGPIEBANK_BORN"    // how far the wall clock is off at the process's start, as "-1h"
	crashPointVariable = "MAGPIEBANK_DIE"     // see crashPlan
)

// The names of the mutations that the agent has itself.
const (
	ignoresStartMutation = "ignores-start"
	quorumQuotaMutation  = "quorum"
	olderBuildMutation   = "older-build"
)

func init() { mutations = newTestbedMutations() }

// testbedMutations are those that the process's environment names.
type testbedMutations struct {
	ignoresEarlierStart bool
	crash               crashPlan
}

func newTestbedMutations() *testbedMutations {
	m := &testbedMutations{ignoresEarlierStart: hasMutation(ignoresStartMutation)}
	// A variable that isn't set, or is cut short, leaves the plan's fields empty.
	_, _ = fmt.Sscan(os.Getenv(crashPointVariable), &m.crash.firstStep, &m.crash.secondStep, &m.crash.messagesLeft, &m.crash.action, &m.crash.marker)
	return m
}

func hasMutation(name string) bool { return strings.Contains(os.Getenv(mutationsVariable), name) }

func (*testbedMutations) names() string { return os.Getenv(mutationsVariable) }

func (m *testbedMutations) ignoresStart() bool { return m.ignoresEarlierStart }

func (*testbedMutations) startClockOffset() time.Duration {
	offset, err := time.ParseDuration(os.Getenv(clockVariable))
	if err != nil {
		return 0
	}
	return offset
}

// replaceQuotaShares returns the quota by quorum, which the agent's own is measured against.
func (*testbedMutations) replaceQuotaShares(a *Agent, now admission.Time) quotaShares {
	if !hasMutation(quorumQuotaMutation) {
		return nil
	}
	core := quorumquota.New(now, a.quota.plan, a.name, a.members.Self().Incarnation, quotaHost{a})
	return eagerQuorumQuota{core, a.queue}
}

// eagerQuorumQuota has the agent's goroutine send at once what the owner's calls led to.
type eagerQuorumQuota struct {
	*quorumquota.Core
	queue *eventqueue.Queue[event]
}

// TryReserve reserves units, or has them asked for.
func (q eagerQuorumQuota) TryReserve(now admission.Time, budget int, amount int64, length admission.Time) bool {
	ok := q.Core.TryReserve(now, budget, amount, length)
	if !ok {
		q.queue.Put(quotaDemandChanged{})
	}
	return ok
}

// Release frees units, which may always be awaited.
func (q eagerQuorumQuota) Release(now admission.Time, budget int, amount int64) bool {
	q.Core.Release(now, budget, amount)
	return true
}

// rejectPolicy has a process stand for one of a build that doesn't know the field "waiting".
func (*testbedMutations) rejectPolicy(text []byte) error {
	if hasMutation(olderBuildMutation) && strings.Contains(string(text), `"waiting"`) {
		return fmt.Errorf("statements.classes[0].waiting: expected no such field, found \"waiting\"")
	}
	return nil
}

func (m *testbedMutations) crashPoint(step string) { m.crash.take(step) }

// crashPlan says where a process ends itself or stands still, as MAGPIEBANK_DIE="yielding decided 4 kill /tmp/once"
// does: once it has taken the first step, then the second, and then sent so many messages. The marker file is created
// then, and where it exists no process does so any more.
type crashPlan struct {
	lock         sync.Mutex
	firstStep    string // empty: there is no plan
	secondStep   string
	messagesLeft int
	action       string // stop, or kill
	marker       string // path
	stepsTaken   int
}

func (p *crashPlan) take(step string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.firstStep == "" {
		return
	}
	switch {
	case p.stepsTaken == 0 && step == p.firstStep:
		p.stepsTaken = 1
	case p.stepsTaken == 1 && step == p.secondStep:
		p.stepsTaken = 2
	case p.stepsTaken == 2 && step == "sent":
		p.messagesLeft--
	}
	if p.stepsTaken < 2 || p.messagesLeft > 0 {
		return
	}
	p.firstStep = ""
	marker, err := os.OpenFile(p.marker, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return // another process was first
	}
	marker.Close()
	signal := syscall.SIGKILL
	if p.action == "stop" {
		signal = syscall.SIGSTOP
	}
	_ = syscall.Kill(os.Getpid(), signal) // a process may always signal itself
}
