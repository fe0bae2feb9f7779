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

// The environment variables by which the testbed selects the mutations of a process.
const (
	mutationsVariable  = "MAGPIEBANK_PLANTED" // names of the mutations
	clockVariable      = "MAGPIEBANK_BORN"    // offset of the wall clock when the process starts, for example "-1h"
	crashPointVariable = "MAGPIEBANK_DIE"     // see crashPlan
)

// The names of the mutations of the agent itself; the cores have others.
const (
	ignoresStartMutation = "ignores-start"
	quorumQuotaMutation  = "quorum"
	olderBuildMutation   = "older-build"
)

func init() { mutations = newTestbedMutations() }

// testbedMutations implements mutationHook with the mutations that the process's environment names.
type testbedMutations struct {
	acceptEarlier bool
	crash         crashPlan
}

func newTestbedMutations() *testbedMutations {
	m := &testbedMutations{acceptEarlier: hasMutation(ignoresStartMutation)}
	// If the variable isn't set or has fewer fields, the remaining fields of the plan stay empty.
	_, _ = fmt.Sscan(os.Getenv(crashPointVariable), &m.crash.firstStep, &m.crash.secondStep, &m.crash.messagesLeft, &m.crash.action, &m.crash.marker)
	return m
}

func hasMutation(name string) bool { return strings.Contains(os.Getenv(mutationsVariable), name) }

func (*testbedMutations) names() string { return os.Getenv(mutationsVariable) }

func (m *testbedMutations) acceptsEarlierIncarnations() bool { return m.acceptEarlier }

func (*testbedMutations) startClockOffset() time.Duration {
	offset, err := time.ParseDuration(os.Getenv(clockVariable))
	if err != nil {
		return 0
	}
	return offset
}

// replaceQuotaShares returns the quorum-based quota, the baseline that the agent's own quota is compared with.
func (*testbedMutations) replaceQuotaShares(a *Agent, now admission.Time) quotaShares {
	if !hasMutation(quorumQuotaMutation) {
		return nil
	}
	core := quorumquota.New(now, a.quota.plan, a.name, a.members.Self().Incarnation, quotaHost{a})
	return eagerQuorumQuota{core, a.queue}
}

// eagerQuorumQuota wakes the agent's goroutine after a failed reservation, so that it requests the units at once.
type eagerQuorumQuota struct {
	*quorumquota.Core
	queue *eventqueue.Queue[event]
}

// TryReserve reserves units. If that fails, it wakes the agent's goroutine, which requests them.
func (q eagerQuorumQuota) TryReserve(now admission.Time, budget int, amount int64, useTime admission.Time) bool {
	ok := q.Core.TryReserve(now, budget, amount, useTime)
	if !ok {
		q.queue.Put(quotaDemandChanged{})
	}
	return ok
}

// Release frees units. It always returns true, because other gateways may be waiting for them.
func (q eagerQuorumQuota) Release(now admission.Time, budget int, amount int64) bool {
	q.Core.Release(now, budget, amount)
	return true
}

// rejectPolicy simulates an older build, which doesn't support the field "waiting".
func (*testbedMutations) rejectPolicy(text []byte) error {
	if hasMutation(olderBuildMutation) && strings.Contains(string(text), `"waiting"`) {
		return fmt.Errorf("statements.classes[0].waiting: expected no such field, found \"waiting\"")
	}
	return nil
}

func (m *testbedMutations) crashPoint(step string) { m.crash.recordStep(step) }

// crashPlan defines where a process kills or stops itself: after it has reached the first step, then the second, and has then
// begun to send a number of messages. MAGPIEBANK_DIE="yielding decided 4 kill /tmp/once" is an example. The process creates the
// marker file just before it crashes. If the file exists already, it doesn't crash, so that only one process ever does.
type crashPlan struct {
	lock         sync.Mutex
	firstStep    string // empty: there is no plan, or it has been carried out
	secondStep   string
	messagesLeft int    // messages to send after the second step
	action       string // stop or kill
	marker       string // path of the marker file
	stepsTaken   int    // 0, 1 or 2
}

func (p *crashPlan) recordStep(step string) {
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
		return // the marker exists: another process has crashed already
	}
	marker.Close()
	signal := syscall.SIGKILL
	if p.action == "stop" {
		signal = syscall.SIGSTOP
	}
	_ = syscall.Kill(os.Getpid(), signal) // a process is always allowed to signal itself
}
