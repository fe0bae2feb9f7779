package simcluster

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/membership"
)

var keep = flag.Bool("keep", false, "keep the traces as they come out now")

const second = admission.Second

// up is a cluster whose members have found each other.
func up(t *testing.T, n int, seed uint64) *Cluster {
	t.Helper()
	c := New(n, seed)
	c.Start(second)
	c.settle(t, 20*second, "at start")
	return c
}

// settle runs until all that are up know each other, within a time.
func (c *Cluster) settle(t *testing.T, within Time, when string) {
	t.Helper()
	began := c.Now
	for c.Now < began+within {
		if c.Run(c.Now + second/2); c.WrongViews() == 0 && c.Now >= began+2*second {
			t.Logf("%s: all know each other after %.1f s", when, float64(c.Now-began)/float64(second))
			return
		}
	}
	t.Errorf("%s: %d pairs don't know each other after %.0f s", when, c.WrongViews(), float64(within)/float64(second))
}

// died is how often a member was taken for dead that the test didn't kill.
func (c *Cluster) died(except func(name string) bool) (n int) {
	for _, change := range c.Changes {
		if change.Code == membership.Died && !except(change.Member.Name) {
			n++
		}
	}
	return n
}

func nobody(string) bool { return false }

// The changes that one member of a small cluster notices.
func TestSmallClusterTrace(t *testing.T) {
	c := New(4, 7)
	var out strings.Builder
	c.OnChange = func(change MembershipChange) {
		if change.By == 0 {
			fmt.Fprintf(&out, "%6.1f s  %-9s %s, start %d, refuted %d\n", float64(change.At)/float64(second), change.Code, change.Member.Name, change.Member.Incarnation, change.Member.Refutations)
		}
	}
	say := func(text string) { fmt.Fprintf(&out, "%6.1f s  -- %s\n", float64(c.Now)/float64(second), text) }
	c.Start(second)
	c.Run(5 * second)
	say("g003 is killed")
	c.Processes[3].Kill()
	c.Run(15 * second)
	say("g003 starts again")
	c.Processes[3].Start(0)
	c.Run(20 * second)
	say("g002 stands still for 2 s")
	c.Processes[2].Pause(2 * second)
	c.Run(30 * second)
	say("g001 leaves")
	c.Processes[1].Core.Leave(c.Processes[1].clock())
	c.Processes[1].Kill()
	c.Run(35 * second)
	say("g000 and g002 are cut off from g003")
	c.Link = func(from, to int) Link { return Link{Cut: (from == 3) != (to == 3), Delay: 10} }
	c.Run(50 * second)
	say("they are joined again")
	c.Link = func(int, int) Link { return Link{Delay: 10} }
	c.Run(60 * second)
	if *keep {
		if err := os.WriteFile("testdata/small.txt", []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, _ := os.ReadFile("testdata/small.txt")
	if out.String() != string(want) {
		t.Errorf("got:\n%s\nkept:\n%s", &out, want)
	}
}

// What can't reach each other directly, but by others, takes nobody for dead.
func TestIndirectlyReachableMembersStayAlive(t *testing.T) {
	c := up(t, 12, 1)
	c.Link = func(from, to int) Link { return Link{Cut: from < 3 && to > 8, Delay: 10, Jitter: 20} }
	c.Run(c.Now + 60*second)
	if n := c.died(nobody); n > 0 {
		t.Errorf("%d taken for dead, though others reach them", n)
	}
}

// A third of the cluster hears nothing, one way or both, for a minute.
func TestThirdHearsNothing(t *testing.T) {
	for _, both := range []bool{false, true} {
		c := up(t, 24, 2)
		third := func(n int) bool { return n < 8 }
		c.Link = func(from, to int) Link {
			return Link{Cut: third(to) && !third(from) || both && third(from) && !third(to), Delay: 10, Jitter: 20}
		}
		c.Run(c.Now + 60*second)
		if split := c.Processes[20].Core.CountDead(); split != 8 {
			t.Errorf("both %t: the others miss %d, expected 8", both, split)
		}
		for i := range 8 {
			if living := c.Processes[i].Core.CountReachable(); both && living != 7 && living != 0 {
				t.Errorf("both: %d sees %d others, expected those with it", i, living)
			}
		}
		c.Link = func(int, int) Link { return Link{Delay: 10, Jitter: 20} }
		c.settle(t, 30*second, fmt.Sprintf("joined again, both %t", both))
	}
}

// An hour apart.
func TestHourApart(t *testing.T) {
	c := up(t, 10, 3)
	c.Link = func(from, to int) Link { return Link{Cut: from%2 != to%2, Delay: 10, Jitter: 20} }
	c.Run(c.Now + 3600*second)
	c.Link = func(int, int) Link { return Link{Delay: 10, Jitter: 20} }
	c.settle(t, 30*second, "after an hour apart")
}

// Seven in ten are killed at once and come back with nothing, their clocks behind: each has to outbid its own past.
func TestMostKilled(t *testing.T) {
	c := up(t, 30, 4)
	for i := range 21 {
		c.Processes[i].Kill()
	}
	c.Run(c.Now + 3*second)
	for i := range 21 {
		c.Processes[i].Start(uint64(10 + i))
	}
	c.settle(t, 30*second, "back with clocks behind")
	if n := c.died(func(name string) bool { return name < "g021" }); n > 0 {
		t.Errorf("%d of those not killed taken for dead", n)
	}
}

// A cluster whose seeds are down waits for them, and is complete once one is up.
func TestClusterFormsOnceOneSeedIsUp(t *testing.T) {
	c := New(12, 5)
	for _, p := range c.Processes[2:] {
		p.Start(0)
	}
	c.Run(30 * second)
	c.Processes[1].Start(0)
	c.settle(t, 20*second, "one seed is up")
}

// Of two processes under one name the later counts, and the one before it says that it is displaced.
func TestOneNameTwice(t *testing.T) {
	c := up(t, 8, 6)
	twin := &Process{Index: 8, Name: "g003", cluster: c, clockRate: 1}
	c.Processes = append(c.Processes, twin)
	twin.Start(0)
	c.Run(c.Now + 10*second)
	if !c.Processes[3].Core.IsInactive() || twin.Core.IsInactive() {
		t.Error("the earlier process still takes part, or the later doesn't")
	}
	for i, p := range c.Processes[:8] {
		if m, _ := p.Core.Find("g003"); i != 3 && m.Incarnation != twin.Core.Self().Incarnation {
			t.Errorf("%d goes by start %d of g003", i, m.Incarnation)
		}
	}
	// One that was stopped while another took its name finds out when it wakes.
	c = up(t, 8, 6)
	c.Processes[5].Pause(20 * second)
	c.Run(c.Now + second)
	twin = &Process{Index: 8, Name: "g005", cluster: c, clockRate: 1}
	c.Processes = append(c.Processes, twin)
	twin.Start(0)
	c.Run(c.Now + 30*second)
	if !c.Processes[5].Core.IsInactive() || twin.Core.IsInactive() {
		t.Error("the one that woke still takes part, or the other doesn't")
	}
}

// One that stood still accuses nobody for what it missed, and is there again.
func TestPausedMemberAccusesNobody(t *testing.T) {
	c := up(t, 16, 7)
	c.Changes = nil
	c.Processes[4].Pause(20 * second)
	c.Run(c.Now + 60*second)
	for _, change := range c.Changes {
		if change.By == 4 && (change.Code == membership.Died || change.Code == membership.Suspected && change.Member.Accuser == "g004") {
			t.Errorf("at %.1f s it took %s for %s", float64(change.At)/float64(second), change.Member.Name, change.Code)
		}
	}
	if c.WrongViews() > 0 {
		t.Error("it is not back")
	}
}

// Clocks a twentieth fast and slow, and half of all packets of one lost: nobody is taken for dead.
func TestDriftAndLossKillNobody(t *testing.T) {
	c := up(t, 16, 8)
	c.Processes[2].SetClockRate(1.05)
	c.Processes[3].SetClockRate(0.95)
	c.Link = func(from, to int) Link {
		l := Link{Delay: 10, Jitter: 100, Duplicate: 0.1}
		if from == 5 || to == 5 {
			l.Loss = 0.5
		}
		return l
	}
	c.Run(c.Now + 120*second)
	if n := c.died(func(name string) bool { return name == "g005" }); n > 0 {
		t.Errorf("%d others than the one with the losses taken for dead", n)
	}
	c.settle(t, 20*second, "with losses")
}

// The same seed plays the same run.
func TestSameSeedGivesSameRun(t *testing.T) {
	play := func() string { return fmt.Sprintf("%+v", MeasureMembership(16, 0.3, 0.1, 9)) }
	if a, b := play(), play(); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}

// Two hundred, with loss and with members that stand still; the table up to five hundred is magpiebank-testbed fleet scale.
func TestTwoHundred(t *testing.T) {
	f := MeasureMembership(200, 0.05, 0.02, 10)
	t.Logf("%+v", f)
	if f.Joined < 0 || f.Joined > 20*second || f.False > 0 || f.Detect < 0 || f.Detect > 30*second || f.Bytes > 6000 {
		t.Errorf("joined within 20 s, dead known within 30 s, no false death, 6,000 bytes a second were expected")
	}
}
