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

var updateTraces = flag.Bool("keep", false, "write the traces of this run to testdata as the expected traces")

const second = admission.Second

// newJoinedCluster returns a cluster whose members know each other.
func newJoinedCluster(t *testing.T, n int, seed uint64) *Cluster {
	t.Helper()
	c := New(n, seed)
	c.Start(second)
	c.waitUntilJoined(t, 20*second, "at start")
	return c
}

// waitUntilJoined runs the cluster until all members that are up know each other. It fails the test if that takes too long.
func (c *Cluster) waitUntilJoined(t *testing.T, within Time, when string) {
	t.Helper()
	began := c.Now
	for c.Now < began+within {
		if c.Run(c.Now + second/2); c.WrongViews() == 0 && c.Now >= began+2*second {
			t.Logf("%s: all members know each other after %.1f s", when, float64(c.Now-began)/float64(second))
			return
		}
	}
	t.Errorf("%s: %d pairs of members don't know each other after %.0f s", when, c.WrongViews(), float64(within)/float64(second))
}

// countFalseDeaths returns how many times a member declared another one dead, except for the members that except accepts.
func (c *Cluster) countFalseDeaths(except func(name string) bool) (n int) {
	for _, change := range c.Changes {
		if change.Code == membership.Died && !except(change.Member.Name) {
			n++
		}
	}
	return n
}

func noMember(string) bool { return false }

// The changes that member g000 of a small cluster notices equal those in testdata/small.txt. With the flag -keep the file is written.
func TestSmallClusterTrace(t *testing.T) {
	c := New(4, 7)
	var out strings.Builder
	c.OnChange = func(change MembershipChange) {
		if change.By == 0 {
			fmt.Fprintf(&out, "%6.1f s  %-9s %s, start %d, refuted %d\n", float64(change.At)/float64(second), change.Code, change.Member.Name, change.Member.Incarnation, change.Member.Refutations)
		}
	}
	note := func(text string) { fmt.Fprintf(&out, "%6.1f s  -- %s\n", float64(c.Now)/float64(second), text) }
	c.Start(second)
	c.Run(5 * second)
	note("g003 is killed")
	c.Processes[3].Kill()
	c.Run(15 * second)
	note("g003 starts again")
	c.Processes[3].Start(0)
	c.Run(20 * second)
	note("g002 stands still for 2 s")
	c.Processes[2].Pause(2 * second)
	c.Run(30 * second)
	note("g001 leaves")
	c.Processes[1].Core.Leave(c.Processes[1].clock())
	c.Processes[1].Kill()
	c.Run(35 * second)
	note("g000 and g002 are cut off from g003")
	c.Link = func(from, to int) Link { return Link{Cut: (from == 3) != (to == 3), Delay: 10} }
	c.Run(50 * second)
	note("they are joined again")
	c.Link = func(int, int) Link { return Link{Delay: 10} }
	c.Run(60 * second)
	if *updateTraces {
		if err := os.WriteFile("testdata/small.txt", []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, _ := os.ReadFile("testdata/small.txt")
	if out.String() != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", &out, want)
	}
}

// Members that reach each other only through other members do not declare each other dead.
func TestIndirectlyReachableMembersStayAlive(t *testing.T) {
	c := newJoinedCluster(t, 12, 1)
	c.Link = func(from, to int) Link { return Link{Cut: from < 3 && to > 8, Delay: 10, Jitter: 20} }
	c.Run(c.Now + 60*second)
	if n := c.countFalseDeaths(noMember); n > 0 {
		t.Errorf("members were declared dead %d times, although other members reach them", n)
	}
}

// For a minute a third of the cluster receives no messages from the others, and in a second run the others receive none from it either. The
// others declare the third dead, and the cluster joins again afterwards.
func TestThirdReceivesNothing(t *testing.T) {
	for _, both := range []bool{false, true} {
		c := newJoinedCluster(t, 24, 2)
		third := func(n int) bool { return n < 8 }
		c.Link = func(from, to int) Link {
			return Link{Cut: third(to) && !third(from) || both && third(from) && !third(to), Delay: 10, Jitter: 20}
		}
		c.Run(c.Now + 60*second)
		if split := c.Processes[20].Core.CountDead(); split != 8 {
			t.Errorf("both directions cut %t: the others consider %d members dead, expected 8", both, split)
		}
		for i := range 8 {
			if living := c.Processes[i].Core.CountReachable(); both && living != 7 && living != 0 {
				t.Errorf("both directions cut: member %d reaches %d others, expected 7 or 0", i, living)
			}
		}
		c.Link = func(int, int) Link { return Link{Delay: 10, Jitter: 20} }
		c.waitUntilJoined(t, 30*second, fmt.Sprintf("after the cut, both directions %t", both))
	}
}

// The cluster joins again after its two halves were cut off from each other for an hour.
func TestRejoinAfterAnHourApart(t *testing.T) {
	c := newJoinedCluster(t, 10, 3)
	c.Link = func(from, to int) Link { return Link{Cut: from%2 != to%2, Delay: 10, Jitter: 20} }
	c.Run(c.Now + 3600*second)
	c.Link = func(int, int) Link { return Link{Delay: 10, Jitter: 20} }
	c.waitUntilJoined(t, 30*second, "after a cut of an hour")
}

// Seven in ten members are killed at once and restart without state and with clocks that are behind. Each has to choose a higher
// incarnation than it had before the restart.
func TestMostMembersRestartWithClocksBehind(t *testing.T) {
	c := newJoinedCluster(t, 30, 4)
	for i := range 21 {
		c.Processes[i].Kill()
	}
	c.Run(c.Now + 3*second)
	for i := range 21 {
		c.Processes[i].Start(uint64(10 + i))
	}
	c.waitUntilJoined(t, 30*second, "after restarts with clocks that are behind")
	if n := c.countFalseDeaths(func(name string) bool { return name < "g021" }); n > 0 {
		t.Errorf("members that were not killed were declared dead %d times", n)
	}
}

// The members of a cluster whose seeds are all down find each other once one seed is up.
func TestClusterFormsOnceOneSeedIsUp(t *testing.T) {
	c := New(12, 5)
	for _, p := range c.Processes[2:] {
		p.Start(0)
	}
	c.Run(30 * second)
	c.Processes[1].Start(0)
	c.waitUntilJoined(t, 20*second, "after the start of one seed")
}

// If two processes have the same name, all members know the later one, and the earlier one becomes inactive.
func TestLaterProcessDisplacesEarlierOfSameName(t *testing.T) {
	c := newJoinedCluster(t, 8, 6)
	twin := &Process{Index: 8, Name: "g003", cluster: c, clockRate: 1}
	c.Processes = append(c.Processes, twin)
	twin.Start(0)
	c.Run(c.Now + 10*second)
	if !c.Processes[3].Core.IsInactive() || twin.Core.IsInactive() {
		t.Error("the earlier process is still active, or the later one is inactive")
	}
	for i, p := range c.Processes[:8] {
		if m, _ := p.Core.Find("g003"); i != 3 && m.Incarnation != twin.Core.Self().Incarnation {
			t.Errorf("member %d knows g003 by incarnation %d instead of the later one", i, m.Incarnation)
		}
	}
	// A process that is paused while another process takes its name becomes inactive after the pause.
	c = newJoinedCluster(t, 8, 6)
	c.Processes[5].Pause(20 * second)
	c.Run(c.Now + second)
	twin = &Process{Index: 8, Name: "g005", cluster: c, clockRate: 1}
	c.Processes = append(c.Processes, twin)
	twin.Start(0)
	c.Run(c.Now + 30*second)
	if !c.Processes[5].Core.IsInactive() || twin.Core.IsInactive() {
		t.Error("the process that was paused is still active, or the other one is inactive")
	}
}

// A member that was paused does not suspect others because of the messages that it missed, and joins again.
func TestPausedMemberAccusesNobody(t *testing.T) {
	c := newJoinedCluster(t, 16, 7)
	c.Changes = nil
	c.Processes[4].Pause(20 * second)
	c.Run(c.Now + 60*second)
	for _, change := range c.Changes {
		if change.By == 4 && (change.Code == membership.Died || change.Code == membership.Suspected && change.Member.Accuser == "g004") {
			t.Errorf("at %.1f s the paused member changed the state of %s to %s", float64(change.At)/float64(second), change.Member.Name, change.Code)
		}
	}
	if c.WrongViews() > 0 {
		t.Error("the paused member has not joined again")
	}
}

// One clock runs 5% fast and one 5% slow, and one member loses half of its packets. No other member is declared dead.
func TestDriftAndLossCauseNoFalseDeaths(t *testing.T) {
	c := newJoinedCluster(t, 16, 8)
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
	if n := c.countFalseDeaths(func(name string) bool { return name == "g005" }); n > 0 {
		t.Errorf("members other than the one with the losses were declared dead %d times", n)
	}
	c.waitUntilJoined(t, 20*second, "with losses")
}

// Two simulations with the same seed have the same result.
func TestSameSeedGivesSameRun(t *testing.T) {
	simulate := func() string { return fmt.Sprintf("%+v", MeasureMembership(16, 0.3, 0.1, 9)) }
	if a, b := simulate(), simulate(); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}

// Membership works for two hundred members with message loss and pauses. The command "magpiebank-testbed fleet scale" measures up to five
// hundred members.
func TestTwoHundredMembers(t *testing.T) {
	f := MeasureMembership(200, 0.05, 0.02, 10)
	t.Logf("%+v", f)
	if f.Joined < 0 || f.Joined > 20*second || f.False > 0 || f.Detect < 0 || f.Detect > 30*second || f.Bytes > 6000 {
		t.Errorf("expected: joined within 20 s, deaths detected within 30 s, no false death, at most 6,000 bytes per second and member")
	}
}
