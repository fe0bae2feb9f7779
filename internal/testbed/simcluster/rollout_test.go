package simcluster

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

// calm is a cluster that has a leader and leases.
func calm(t *testing.T, seed uint64, n, voters int) *rolloutCluster {
	t.Helper()
	a := newRolloutCluster(seed, n, voters, 2*second)
	a.advance(6 * second)
	if got := a.countInForce(rollout.Digest{}); got != n {
		t.Fatalf("%d of %d hold a lease", got, n)
	}
	return a
}

// enact proposes a policy and waits for its end.
func (c *rolloutCluster) enact(by int, text string, wait Time) rollout.Result {
	r := rollout.Result{Reason: "it has not ended"}
	c.propose(c.members[by], text, func(end rollout.Result) { r = end })
	for until := c.now + wait; c.now < until && r.Outcome == rollout.OutcomePending; {
		c.advance(10 * admission.Millisecond)
	}
	return r
}

// proposeThere has a member propose, waits for a time, and returns what the member knows of the proposal by then.
func (c *rolloutCluster) proposeThere(t *testing.T, by int, p rollout.Proposal, wait Time) rollout.Result {
	t.Helper()
	member := c.members[by]
	if err := member.core.Propose(member.clock(), p, func(rollout.Result) {}); err != nil {
		t.Error(err)
	}
	c.advance(wait)
	result, _ := member.core.ProposalProgress(p.ID)
	return result
}

// proposeTwoAtOnce has two members propose at once, and returns the result of the proposal that was taken first, and of the other.
func (c *rolloutCluster) proposeTwoAtOnce() (taken, rejected rollout.Result) {
	c.propose(c.members[6], "three; rehearse;", func(r rollout.Result) { taken = r })
	c.propose(c.members[7], "four", func(r rollout.Result) { rejected = r })
	c.advance(3 * second)
	if taken.Outcome == rollout.OutcomeRejected {
		taken, rejected = rejected, taken
	}
	return taken, rejected
}

// proposeRepeatedly proposes the same again and again, here and elsewhere, as after a lost answer.
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

const wantedEnds = `plain: decided 1 
a member can't follow: dropped 0 g7: statements.pools[0].zones: expected some of [norte], found [este]
the leader can't follow: refused 0 LEADER: statements.pools[0].zones: expected some of [norte], found [este]
the same again: refused 1 number 1 in force is the same
one of two at once: decided 2 
the other: refused 0 proposal ... of one is open
one proposed six times: decided 3 
back to 1: decided 4 
back to 77: refused 0 number 77 is not among the last 16
meant to follow 1: refused 0 it is meant to follow number 1, and 4 is in force`

// What becomes of proposals, as an operator is told it.
func TestEnds(t *testing.T) {
	a := calm(t, 1, 8, 5)
	var got []string
	tell := func(what string, r rollout.Result) {
		got = append(got, fmt.Sprintf("%s: %s %d %s", what, r.Outcome, r.Number, r.Reason))
	}
	tell("plain", a.enact(6, "one", 5*second))
	tell("a member can't follow", a.enact(5, "two; not for g7;", 5*second))
	tell("the leader can't follow", a.enact(5, "two; not for g0; not for g1; not for g2; not for g3; not for g4;", 5*second))
	tell("the same again", a.enact(4, "one", 5*second))
	one, two := a.proposeTwoAtOnce()
	two.Reason = two.Reason[strings.LastIndex(two.Reason, " of "):]
	tell("one of two at once", rollout.Result{Outcome: one.Outcome, Number: one.Number})
	tell("the other", rollout.Result{Outcome: two.Outcome, Reason: "proposal ... of one " + two.Reason[len(two.Reason)-7:]})
	tell("one proposed six times", a.proposeRepeatedly(t, rollout.Proposal{ID: 99, Kind: rollout.KindChange, Text: []byte("five")}))
	tell("back to 1", a.proposeThere(t, 2, rollout.Proposal{ID: 100, Kind: rollout.KindRollback, RollbackTo: 1}, 2*second))
	tell("back to 77", a.proposeThere(t, 2, rollout.Proposal{ID: 101, Kind: rollout.KindRollback, RollbackTo: 77}, 2*second))
	tell("meant to follow 1", a.proposeThere(t, 2, rollout.Proposal{ID: 102, Kind: rollout.KindChange, Text: []byte("six"), BaseNumber: 1}, 2*second))
	text := strings.Join(got, "\n")
	for _, v := range a.voters {
		text = strings.ReplaceAll(text, "refused 0 "+v+":", "refused 0 LEADER:")
	}
	if text != wantedEnds {
		t.Errorf("found\n%s\nexpected\n%s", text, wantedEnds)
	}
	if a.countInForce(rollout.DigestOf([]byte("one"))) != 8 || a.violation != "" {
		t.Errorf("%d of 8 go by it; %s", a.countInForce(rollout.DigestOf([]byte("one"))), a.violation)
	}
}

// enactThousand proposes a thousand policies in a row, one of the largest size, while members come and go.
func (c *rolloutCluster) enactThousand(t *testing.T) (decided int) {
	t.Helper()
	for k := range 1000 {
		size := 100
		if k == 500 {
			size = rollout.MaxPolicyBytes
		}
		text := fmt.Sprintf("%d %s", k, strings.Repeat("x", size-5))
		result := c.enact(k%3, text, 20*second)
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

// A thousand changes in a row while members come and go, one of them a megabyte; one that was away through all of it is there in a second.
func TestThousandChangesInARow(t *testing.T) {
	a := calm(t, 3, 10, 3)
	away := a.members[9]
	away.kill()
	if decided := a.enactThousand(t); decided != 1000 || a.violation != "" {
		t.Errorf("%d of 1000 were decided; %s", decided, a.violation)
	}
	away.start()
	began := a.now
	for !away.inForce.HoldsLease(away.clock()) && a.now-began < 10*second {
		a.advance(10 * admission.Millisecond)
	}
	if took := a.now - began; took > second || away.inForce.Number != 1000 {
		t.Errorf("who was away through it goes by number %d after %.2f s", away.inForce.Number, float64(took)/float64(second))
	}
	for _, p := range a.members[:3] { // sixteen policies, one of them a megabyte, and the log
		bytes := 0
		for _, record := range p.latestRecords() {
			bytes += len(record.Value)
		}
		if bytes > 100<<10 {
			t.Errorf("%s keeps %d bytes", p.name, bytes)
		}
	}
}

// A voter that lost its folder is another voter: it takes the lost one's place once that was not heard for a while, and not before. Who
// comes with an older folder finds that out, where the leader knows better.
func TestVotersFolders(t *testing.T) {
	a := calm(t, 5, 6, 3)
	said := map[rollout.EventCode]int{}
	a.onEvent = func(_ *rolloutMember, code rollout.EventCode, _ []any) { said[code]++ }
	if r := a.enact(5, "one", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	leader := slices.IndexFunc(a.members, func(p *rolloutMember) bool { return len(p.core.Status(p.clock()).Members) > 0 })
	lost, old := a.members[(leader+1)%3], a.members[(leader+2)%3]
	lost.kill()
	lost.disk = nil
	lost.start()
	a.advance(8 * second)
	if lost.core.Status(lost.clock()).IsVoter {
		t.Error("a voter without its folder votes before the one that it was is known to be gone")
	}
	a.advance(8 * second)
	if s := lost.core.Status(lost.clock()); !s.IsVoter || said[rollout.VotersChanged] == 0 {
		t.Errorf("a voter that lost its folder has not come back as another: %v", said)
	}
	older := slices.Clone(old.disk)
	for k := range 3 {
		if r := a.enact(5, fmt.Sprint("more ", k), 5*second); r.Outcome != rollout.OutcomeDecided {
			t.Fatal(r)
		}
	}
	old.kill()
	old.disk = older
	old.start()
	a.advance(16 * second)
	if s := old.core.Status(old.clock()); !s.IsVoter || said[rollout.LogLost] == 0 {
		t.Errorf("an older folder was not found out, or its voter has not come back as another: %v", said)
	}
	a.members[leader].kill()
	if r := a.enact(5, "the last", 20*second); r.Outcome != rollout.OutcomeDecided || a.violation != "" {
		t.Errorf("%s %s; %s", r.Outcome, r.Reason, a.violation)
	}
}

// A voter's sync lies, all lose power, and the honest one that had it all stays away: the two that are left know less than members
// have gone by. They give no lease, loudly, until the operator forces a new log.
func TestLyingDisk(t *testing.T) {
	a := calm(t, 6, 6, 3)
	behind := 0
	a.onEvent = func(_ *rolloutMember, code rollout.EventCode, _ []any) {
		if code == rollout.VotersBehind {
			behind++
		}
	}
	if r := a.enact(5, "one", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	leader := slices.IndexFunc(a.members, func(p *rolloutMember) bool { return len(p.core.Status(p.clock()).Members) > 0 })
	liar, late := a.members[(leader+1)%3], a.members[(leader+2)%3]
	liar.diskLies = true
	a.cut = func(from, to int) bool { return from == late.index != (to == late.index) }
	if r := a.enact(5, "two", 10*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	a.advance(second) // all but one go by it
	liar.kill()
	a.members[leader].kill()
	liar.diskLies, a.cut = false, nil
	a.advance(second) // what was said to it is gone
	liar.start()
	a.advance(15 * second)
	if n := a.countInForce(rollout.DigestOf([]byte("one"))) + a.countInForce(rollout.DigestOf([]byte("two"))); behind == 0 || n > 0 {
		t.Errorf("said %d times that voters are behind; %d hold a lease", behind, n)
	}
	if err := a.members[4].core.ForceNewLog(a.members[4].clock(), []string{"g3", "g4", "g5"}); err != nil {
		t.Fatal(err)
	}
	a.advance(30 * second)
	if n := a.countInForce(rollout.DigestOf([]byte("two"))); n < 5 || a.violation != "" {
		t.Errorf("%d go by the policy that was lost after it was forced; %s", n, a.violation)
	}
	if r := a.enact(5, "three", 10*second); r.Outcome != rollout.OutcomeDecided {
		t.Errorf("%s %s", r.Outcome, r.Reason)
	}
	for _, n := range []int{3, 4, 5} {
		if p := a.members[n]; !p.core.Status(p.clock()).IsVoter {
			t.Errorf("%s was named as a voter, and doesn't vote", p.name)
		}
	}
}

// Without a lease what both policies allow goes on, where the policy says so, and ends in time.
func TestOverlapWithoutLease(t *testing.T) {
	a := calm(t, 7, 6, 3)
	if r := a.enact(5, "one", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	apart := 4
	a.cut = func(from, to int) bool { return from == apart != (to == apart) }
	var one, two rollout.Result
	a.advance(second)
	a.propose(a.members[5], "two; both;", func(r rollout.Result) { one = r }) // g4 is silent: the others wait for its lease
	a.advance(second / 2)
	cut := a.cut
	a.cut = func(from, to int) bool { return cut(from, to) || from == 3 != (to == 3) } // and now g3 is, which has heard of both
	a.advance(3 * second)
	s := a.members[3].inForce
	if one.Outcome != rollout.OutcomeDecided || s.OverlapDigest != rollout.DigestOf([]byte("two; both;")) || s.HoldsLease(a.members[3].clock()) || a.members[3].clock() >= s.OverlapUntil {
		t.Errorf("%v; g3 goes by %s and %s", one, s.Digest, s.OverlapDigest)
	}
	at := a.now
	a.propose(a.members[5], "three", func(r rollout.Result) { two = r })
	for two.Outcome == rollout.OutcomePending && a.now-at < 30*second {
		a.advance(10 * admission.Millisecond)
	}
	if two.Outcome != rollout.OutcomeDecided || a.now-at < second {
		t.Errorf("the change after it: %s %s after %.1f s", two.Outcome, two.Reason, float64(a.now-at)/float64(second))
	}
	if a.violation != "" {
		t.Error(a.violation)
	}
}

// A policy on probation that is worse than it says it may be is taken back once, as a change of its own.
func TestProbation(t *testing.T) {
	a := calm(t, 8, 6, 3)
	if r := a.enact(5, "one", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	for _, p := range a.members {
		p.shedsHalf = true
	}
	if r := a.enact(5, "two; probation;", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	a.advance(3 * second)
	p := a.members[0]
	if n := a.countInForce(rollout.DigestOf([]byte("one"))); n != 6 || p.inForce.Number != 3 {
		t.Errorf("%d of 6 go by the one before, under number %d", n, p.inForce.Number)
	}
	for _, p := range a.members {
		p.shedsHalf = false
	}
	if r := a.enact(5, "three; probation;", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	a.advance(5 * second)
	if p.inForce.Number != 4 {
		t.Errorf("a good one was taken back: number %d", p.inForce.Number)
	}
}
