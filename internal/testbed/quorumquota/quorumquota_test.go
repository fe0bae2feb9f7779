package quorumquota

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/quota"
)

// lossyCluster is a set of cores whose messages may be lost, duplicated and delayed.
type lossyCluster struct {
	t        *testing.T
	now      Time
	random   *rand.Rand
	plan     *quota.Plan
	cores    []*Core
	inFlight []delayedMessage
	starts   uint64
}

type delayedMessage struct {
	dueAt   Time
	to      int
	message quota.Message
}

func newLossyCluster(t *testing.T, plan *quota.Plan, members int) *lossyCluster {
	t.Helper()
	c := &lossyCluster{t: t, random: rand.New(rand.NewPCG(1, 2)), plan: plan, starts: 1, cores: make([]*Core, members)}
	for member := range members {
		c.start(member)
	}
	return c
}

// start starts or restarts a member without state.
func (c *lossyCluster) start(member int) {
	c.starts++
	c.cores[member] = New(c.now, c.plan, "g"+strconv.Itoa(member), c.starts, c)
}

// Send sends a message to the member with the name "g" and a number. The message is lost, or arrives once or twice, each with a
// probability of one third, and each copy has a random delay.
func (c *lossyCluster) Send(to string, m quota.Message) {
	member, err := strconv.Atoi(to[1:])
	if err != nil {
		c.t.Fatal(err)
	}
	for range c.random.IntN(3) {
		c.inFlight = append(c.inFlight, delayedMessage{c.now + Time(c.random.Int64N(int64(30*admission.Millisecond))), member, m})
	}
}

func (c *lossyCluster) Peers() []string { return nil }

// deliver delivers the messages that are due.
func (c *lossyCluster) deliver() {
	messages := c.inFlight
	c.inFlight = nil
	var later []delayedMessage
	for _, m := range messages {
		if m.dueAt > c.now {
			later = append(later, m)
		} else {
			c.cores[m.to].HandleMessage(c.now, m.message)
		}
	}
	c.inFlight = append(c.inFlight, later...)
}

// step ends and begins uses at all members, and returns the number of units in use.
func (c *lossyCluster) step() (used int) {
	for _, core := range c.cores {
		if c.random.IntN(60) == 0 && len(core.inUse) > 0 {
			core.Release(c.now, 0, 1)
		}
		if core.TryReserve(c.now, 0, 1, c.plan.LongestUse) && !core.CommitReservation(c.now, 0, 1, c.plan.LongestUse) {
			c.t.Fatal("TryReserve promised a unit that CommitReservation did not find")
		}
		core.Tick(c.now)
		used += len(core.inUse)
	}
	return used
}

// There are never more units in use than the total, and at the peak at least 8 of 10, although a third of the messages is lost and members
// restart.
func TestUseNeverExceedsTotal(t *testing.T) {
	const members = 8
	c := newLossyCluster(t, &quota.Plan{Shares: members, Voters: []string{"g0", "g1", "g2"}, LongestUse: admission.Second / 2, DriftDivisor: 20, Revision: 1, QuotaIDs: []uint32{7}, Totals: []int64{10}}, members)
	maxUsed, sum, samples := 0, 0, 0
	for ; c.now < 60*admission.Second; c.now += 5 * admission.Millisecond {
		c.deliver()
		if c.random.IntN(1000) == 0 { // may be a replica, which then grants nothing until its earlier grants have ended
			c.start(c.random.IntN(members))
		}
		used := c.step()
		maxUsed = max(maxUsed, used)
		if c.now > 2*admission.Second {
			sum += used
			samples++
		}
	}
	t.Logf("at most %d of 10 units in use, %.2f on average", maxUsed, float64(sum)/float64(samples))
	if maxUsed > 10 || maxUsed < 8 {
		t.Error("expected a maximum of 8 to 10 units in use")
	}
}
