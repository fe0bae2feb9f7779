package simcluster

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

// newLeasedCluster returns a cluster without faults, in which all members hold a lease.
func newLeasedCluster(t *testing.T, seed uint64, n, voters int) *rolloutCluster {
	t.Helper()
	c := newRolloutCluster(seed, n, voters, 2*second)
	c.advance(6 * second)
	if got := c.countInForce(rollout.Digest{}); got != n {
		t.Fatalf("%d of %d members hold a lease", got, n)
	}
	return c
}

// proposeAndWait proposes a policy and waits for its outcome.
func (c *rolloutCluster) proposeAndWait(by int, text string, wait Time) rollout.Result {
	r := rollout.Result{Reason: "the proposal has no outcome yet"}
	c.propose(c.members[by], text, func(end rollout.Result) { r = end })
	for until := c.now + wait; c.now < until && r.Outcome == rollout.OutcomePending; {
		c.advance(10 * admission.Millisecond)
	}
	return r
}

// proposeAt makes a member propose a policy, waits for a time, and returns the result that the member knows by then.
func (c *rolloutCluster) proposeAt(t *testing.T, by int, p rollout.Proposal, wait Time) rollout.Result {
	t.Helper()
	member := c.members[by]
	if err := member.core.Propose(member.clock(), p, func(rollout.Result) {}); err != nil {
		t.Error(err)
	}
	c.advance(wait)
	result, _ := member.core.ProposalProgress(p.ID)
	return result
}

// proposeTwoAtOnce makes two members propose at the same time. It returns the result of the accepted proposal first, and then that of the
// other.
func (c *rolloutCluster) proposeTwoAtOnce() (accepted, rejected rollout.Result) {
	c.propose(c.members[6], "three; rehearse;", func(r rollout.Result) { accepted = r })
	c.propose(c.members[7], "four", func(r rollout.Result) { rejected = r })
	c.advance(3 * second)
	if accepted.Outcome == rollout.OutcomeRejected {
		accepted, rejected = rejected, accepted
	}
	return accepted, rejected
}

// proposeRepeatedly makes two members propose the same proposal three times each, as an operator may do after lost answers. It returns the
// result that the second member knows at the end.
func (c *rolloutCluster) proposeRepeatedly(t *testing.T, p rollout.Proposal) rollout.Result {
	t.Helper()
	for range 3 {
		for _, by := range []int{7, 3} {
			if err := c.members[by].core.Propose(c.members[by].clock(), p, func(rollout.Result) {}); err != nil {
				t.Error(err)
			}
		}
		c.advance(second)
	}
	result, _ := c.members[3].core.ProposalProgress(p.ID)
	return result
}

const wantOutcomes = `plain: decided 1 
a member can't follow: dropped 0 g7: statements.pools[0].zones: expected some of [norte], found [este]
the leader can't follow: refused 0 LEADER: statements.pools[0].zones: expected some of [norte], found [este]
the same again: refused 1 number 1 in force is the same
one of two at once: decided 2 
the other: refused 0 proposal ... of one is open
one proposed six times: decided 3 
back to 1: decided 4 
back to 77: refused 0 number 77 is not among the last 16
meant to follow 1: refused 0 it is meant to follow number 1, and 4 is in force`

// Proposals end with the outcomes, policy numbers and reasons that are reported to an operator.
func TestProposalOutcomes(t *testing.T) {
	c := newLeasedCluster(t, 1, 8, 5)
	var got []string
	record := func(what string, r rollout.Result) {
		got = append(got, fmt.Sprintf("%s: %s %d %s", what, r.Outcome, r.Number, r.Reason))
	}
	record("plain", c.proposeAndWait(6, "one", 5*second))
	record("a member can't follow", c.proposeAndWait(5, "two; not for g7;", 5*second))
	record("the leader can't follow", c.proposeAndWait(5, "two; not for g0; not for g1; not for g2; not for g3; not for g4;", 5*second))
	record("the same again", c.proposeAndWait(4, "one", 5*second))
	accepted, rejected := c.proposeTwoAtOnce()
	rejected.Reason = rejected.Reason[strings.LastIndex(rejected.Reason, " of "):]
	record("one of two at once", rollout.Result{Outcome: accepted.Outcome, Number: accepted.Number})
	record("the other", rollout.Result{Outcome: rejected.Outcome, Reason: "proposal ... of one " + rejected.Reason[len(rejected.Reason)-7:]})
	record("one proposed six times", c.proposeRepeatedly(t, rollout.Proposal{ID: 99, Kind: rollout.KindChange, Text: []byte("five")}))
	record("back to 1", c.proposeAt(t, 2, rollout.Proposal{ID: 100, Kind: rollout.KindRollback, RollbackTo: 1}, 2*second))
	record("back to 77", c.proposeAt(t, 2, rollout.Proposal{ID: 101, Kind: rollout.KindRollback, RollbackTo: 77}, 2*second))
	record("meant to follow 1", c.proposeAt(t, 2, rollout.Proposal{ID: 102, Kind: rollout.KindChange, Text: []byte("six"), BaseNumber: 1}, 2*second))
	text := strings.Join(got, "\n")
	for _, v := range c.voters {
		text = strings.ReplaceAll(text, "refused 0 "+v+":", "refused 0 LEADER:")
	}
	if text != wantOutcomes {
		t.Errorf("found\n%s\nexpected\n%s", text, wantOutcomes)
	}
	if c.countInForce(rollout.DigestOf([]byte("one"))) != 8 || c.violation != "" {
		t.Errorf("%d of 8 members apply the policy; %s", c.countInForce(rollout.DigestOf([]byte("one"))), c.violation)
	}
}

// proposeThousand proposes a thousand policies in a row, one of them with the maximum size, while members are killed and restarted. It
// returns the number of decided ones.
func (c *rolloutCluster) proposeThousand(t *testing.T) (decided int) {
	t.Helper()
	for k := range 1000 {
		size := 100
		if k == 500 {
			size = rollout.MaxPolicyBytes
		}
		text := fmt.Sprintf("%d %s", k, strings.Repeat("x", size-5))
		result := c.proposeAndWait(k%3, text, 20*second)
		switch result.Outcome {
		case rollout.OutcomeDecided:
			decided++
		case rollout.OutcomeRejected:
		default:
			t.Fatalf("change %d: %s %s", k, result.Outcome, result.Reason)
		}
		if p := c.members[4+k%5]; k%20 == 7 {
			p.kill()
		} else if !p.up {
			p.start()
		}
	}
	return decided
}

// A thousand changes in a row are decided while members are killed and restarted. One of the policies has a megabyte. A member that was
// down during all changes applies the last policy within a second of its start.
func TestThousandChangesInARow(t *testing.T) {
	c := newLeasedCluster(t, 3, 10, 3)
	away := c.members[9]
	away.kill()
	if decided := c.proposeThousand(t); decided != 1000 || c.violation != "" {
		t.Errorf("%d of 1000 were decided; %s", decided, c.violation)
	}
	away.start()
	began := c.now
	for !away.inForce.HoldsLease(away.clock()) && c.now-began < 10*second {
		c.advance(10 * admission.Millisecond)
	}
	if took := c.now - began; took > second || away.inForce.Number != 1000 {
		t.Errorf("the member that was down applies policy number %d after %.2f s", away.inForce.Number, float64(took)/float64(second))
	}
	for _, p := range c.members[:3] { // a voter stores the last 16 policies and the log
		bytes := 0
		for _, record := range p.latestRecords() {
			bytes += len(record.Value)
		}
		if bytes > 100<<10 {
			t.Errorf("%s stores %d bytes", p.name, bytes)
		}
	}
}

// A voter that has lost its folder restarts as a new voter. It takes the place of the lost voter only after no messages have arrived from
// that one for a while. A voter that restarts with an older folder learns from the leader that its log has lost entries, and also becomes
// a new voter.
func TestVotersWithLostOrOlderFolder(t *testing.T) {
	c := newLeasedCluster(t, 5, 6, 3)
	eventCounts := map[rollout.EventCode]int{}
	c.onEvent = func(_ *rolloutMember, code rollout.EventCode, _ []any) { eventCounts[code]++ }
	if r := c.proposeAndWait(5, "one", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	leader := slices.IndexFunc(c.members, func(p *rolloutMember) bool { return len(p.core.Status(p.clock()).Members) > 0 })
	lost, old := c.members[(leader+1)%3], c.members[(leader+2)%3]
	lost.kill()
	lost.disk = nil
	lost.start()
	c.advance(8 * second)
	if lost.core.Status(lost.clock()).IsVoter {
		t.Error("a voter without its folder votes before the lost voter counts as gone")
	}
	c.advance(8 * second)
	if s := lost.core.Status(lost.clock()); !s.IsVoter || eventCounts[rollout.VotersChanged] == 0 {
		t.Errorf("a voter that lost its folder has not become a new voter; events: %v", eventCounts)
	}
	older := slices.Clone(old.disk)
	for k := range 3 {
		if r := c.proposeAndWait(5, fmt.Sprint("more ", k), 5*second); r.Outcome != rollout.OutcomeDecided {
			t.Fatal(r)
		}
	}
	old.kill()
	old.disk = older
	old.start()
	c.advance(16 * second)
	if s := old.core.Status(old.clock()); !s.IsVoter || eventCounts[rollout.LogLost] == 0 {
		t.Errorf("an older folder was not detected, or its voter has not become a new voter; events: %v", eventCounts)
	}
	c.members[leader].kill()
	if r := c.proposeAndWait(5, "the last", 20*second); r.Outcome != rollout.OutcomeDecided || c.violation != "" {
		t.Errorf("%s %s; %s", r.Outcome, r.Reason, c.violation)
	}
}

// The disk of a voter reports a write that it has not done, and a policy is decided with that voter's vote. Then this voter and the
// leader are killed, and only this voter restarts. The remaining two voters lack a policy that members have already applied. They grant no
// leases and report that voters are behind, until the operator forces a new log.
func TestLyingDisk(t *testing.T) {
	c := newLeasedCluster(t, 6, 6, 3)
	behind := 0
	c.onEvent = func(_ *rolloutMember, code rollout.EventCode, _ []any) {
		if code == rollout.VotersBehind {
			behind++
		}
	}
	if r := c.proposeAndWait(5, "one", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	leader := slices.IndexFunc(c.members, func(p *rolloutMember) bool { return len(p.core.Status(p.clock()).Members) > 0 })
	lyingVoter, cutOffVoter := c.members[(leader+1)%3], c.members[(leader+2)%3]
	lyingVoter.diskLies = true
	c.cut = func(from, to int) bool { return from == cutOffVoter.index != (to == cutOffVoter.index) }
	if r := c.proposeAndWait(5, "two", 10*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	c.advance(second) // all members except the one that is cut off apply the policy
	lyingVoter.kill()
	c.members[leader].kill()
	lyingVoter.diskLies, c.cut = false, nil
	c.advance(second) // messages in flight to the killed processes are lost
	lyingVoter.start()
	c.advance(15 * second)
	if n := c.countInForce(rollout.DigestOf([]byte("one"))) + c.countInForce(rollout.DigestOf([]byte("two"))); behind == 0 || n > 0 {
		t.Errorf("voters were reported as behind %d times, and %d members hold a lease", behind, n)
	}
	if err := c.members[4].core.ForceNewLog(c.members[4].clock(), []string{"g3", "g4", "g5"}); err != nil {
		t.Fatal(err)
	}
	c.advance(30 * second)
	if n := c.countInForce(rollout.DigestOf([]byte("two"))); n < 5 || c.violation != "" {
		t.Errorf("%d members apply the lost policy after the new log was forced; %s", n, c.violation)
	}
	if r := c.proposeAndWait(5, "three", 10*second); r.Outcome != rollout.OutcomeDecided {
		t.Errorf("%s %s", r.Outcome, r.Reason)
	}
	for _, n := range []int{3, 4, 5} {
		if p := c.members[n]; !p.core.Status(p.clock()).IsVoter {
			t.Errorf("%s was named as a voter, but is not one", p.name)
		}
	}
}

// If a policy sets an overlap, a member that loses its lease during the change still admits the requests that both policies allow, for a
// limited time. The next change waits for the end of that time.
func TestOverlapWithoutLease(t *testing.T) {
	c := newLeasedCluster(t, 7, 6, 3)
	if r := c.proposeAndWait(5, "one", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	cutOff := 4
	c.cut = func(from, to int) bool { return from == cutOff != (to == cutOff) }
	var one, two rollout.Result
	c.advance(second)
	c.propose(c.members[5], "two; both;", func(r rollout.Result) { one = r }) // g4 is cut off, so the others wait for the end of its lease
	c.advance(second / 2)
	cut := c.cut
	c.cut = func(from, to int) bool { return cut(from, to) || from == 3 != (to == 3) } // g3 knows both policies and is now cut off too
	c.advance(3 * second)
	s := c.members[3].inForce
	if one.Outcome != rollout.OutcomeDecided || s.OverlapDigest != rollout.DigestOf([]byte("two; both;")) || s.HoldsLease(c.members[3].clock()) || c.members[3].clock() >= s.OverlapUntil {
		t.Errorf("%v; g3 applies %s and %s", one, s.Digest, s.OverlapDigest)
	}
	proposedAt := c.now
	c.propose(c.members[5], "three", func(r rollout.Result) { two = r })
	for two.Outcome == rollout.OutcomePending && c.now-proposedAt < 30*second {
		c.advance(10 * admission.Millisecond)
	}
	if two.Outcome != rollout.OutcomeDecided || c.now-proposedAt < second {
		t.Errorf("the next change: %s %s after %.1f s", two.Outcome, two.Reason, float64(c.now-proposedAt)/float64(second))
	}
	if c.violation != "" {
		t.Error(c.violation)
	}
}

// A policy on probation that exceeds its probation bounds is rolled back. The rollback is a change with its own policy number.
func TestProbation(t *testing.T) {
	c := newLeasedCluster(t, 8, 6, 3)
	if r := c.proposeAndWait(5, "one", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	for _, p := range c.members {
		p.shedsHalf = true
	}
	if r := c.proposeAndWait(5, "two; probation;", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	c.advance(3 * second)
	p := c.members[0]
	if n := c.countInForce(rollout.DigestOf([]byte("one"))); n != 6 || p.inForce.Number != 3 {
		t.Errorf("%d of 6 members apply the policy before it, with number %d", n, p.inForce.Number)
	}
	for _, p := range c.members {
		p.shedsHalf = false
	}
	if r := c.proposeAndWait(5, "three; probation;", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	c.advance(5 * second)
	if p.inForce.Number != 4 {
		t.Errorf("a policy within its bounds was rolled back: number %d", p.inForce.Number)
	}
}
