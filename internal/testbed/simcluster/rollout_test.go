package simcluster

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

// calm is a fleet that has a leader and leases.
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
func (a *rolloutCluster) enact(by int, text string, wait Time) rollout.Result {
	r := rollout.Result{Reason: "it has not ended"}
	a.propose(a.members[by], text, func(end rollout.Result) { r = end })
	for until := a.now + wait; a.now < until && r.Outcome == rollout.OutcomePending; {
		a.advance(10 * admission.Millisecond)
	}
	return r
}

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
	one, two := rollout.Result{}, rollout.Result{}
	a.propose(a.members[6], "three; rehearse;", func(r rollout.Result) { one = r })
	a.propose(a.members[7], "four", func(r rollout.Result) { two = r })
	a.advance(3 * second)
	if one.Outcome == rollout.OutcomeRejected {
		one, two = two, one
	}
	two.Reason = two.Reason[strings.LastIndex(two.Reason, " of "):]
	tell("one of two at once", rollout.Result{Outcome: one.Outcome, Number: one.Number})
	tell("the other", rollout.Result{Outcome: two.Outcome, Reason: "proposal ... of one " + two.Reason[len(two.Reason)-7:]})
	p := rollout.Proposal{ID: 99, Kind: rollout.KindChange, Text: []byte("five")}
	for range 3 { // its answer was lost: it is proposed again, here and elsewhere
		for _, by := range []int{7, 3} {
			if err := a.members[by].core.Propose(a.members[by].clock(), p, func(rollout.Result) {}); err != nil {
				t.Error(err)
			}
		}
		a.advance(second)
	}
	r, _ := a.members[3].core.ProposalProgress(99)
	tell("one proposed six times", r)
	p = rollout.Proposal{ID: 100, Kind: rollout.KindRollback, RollbackTo: 1}
	a.members[2].core.Propose(a.members[2].clock(), p, func(rollout.Result) {})
	a.advance(2 * second)
	r, _ = a.members[2].core.ProposalProgress(100)
	tell("back to 1", r)
	p = rollout.Proposal{ID: 101, Kind: rollout.KindRollback, RollbackTo: 77}
	a.members[2].core.Propose(a.members[2].clock(), p, func(rollout.Result) {})
	a.advance(2 * second)
	r, _ = a.members[2].core.ProposalProgress(101)
	tell("back to 77", r)
	p = rollout.Proposal{ID: 102, Kind: rollout.KindChange, Text: []byte("six"), BaseNumber: 1}
	a.members[2].core.Propose(a.members[2].clock(), p, func(rollout.Result) {})
	a.advance(2 * second)
	r, _ = a.members[2].core.ProposalProgress(102)
	tell("meant to follow 1", r)
	want := `plain: decided 1 
a member can't follow: dropped 0 g7: statements.pools[0].zones: expected some of [norte], found [este]
the leader can't follow: refused 0 LEADER: statements.pools[0].zones: expected some of [norte], found [este]
the same again: refused 1 number 1 in force is the same
one of two at once: decided 2 
the other: refused 0 proposal ... of one is open
one proposed six times: decided 3 
back to 1: decided 4 
back to 77: refused 0 number 77 is not among the last 16
meant to follow 1: refused 0 it is meant to follow number 1, and 4 is in force`
	text := strings.Join(got, "\n")
	for _, v := range a.voters {
		text = strings.ReplaceAll(text, "refused 0 "+v+":", "refused 0 LEADER:")
	}
	if text != want {
		t.Errorf("found\n%s\nexpected\n%s", text, want)
	}
	if a.countInForce(rollout.DigestOf([]byte("one"))) != 8 || a.violation != "" {
		t.Errorf("%d of 8 go by it; %s", a.countInForce(rollout.DigestOf([]byte("one"))), a.violation)
	}
}

// A thousand changes in a row while members come and go, one of them a megabyte; one that was away through all of it is there in a second.
func TestThousand(t *testing.T) {
	a := calm(t, 3, 10, 3)
	away := a.members[9]
	away.kill()
	decided := 0
	for k := range 1000 {
		size := 100
		if k == 500 {
			size = rollout.MaxPolicyBytes
		}
		text := fmt.Sprintf("%d %s", k, strings.Repeat("x", size-5))
		if r := a.enact(k%3, text, 20*second); r.Outcome == rollout.OutcomeDecided {
			decided++
		} else if r.Outcome != rollout.OutcomeRejected {
			t.Fatalf("change %d: %s %s", k, r.Outcome, r.Reason)
		}
		if p := a.members[4+k%5]; k%20 == 7 {
			p.kill()
		} else if !p.up {
			p.start()
		}
	}
	if decided != 1000 || a.violation != "" {
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
		last := map[[16]byte]int{}
		for i, r := range p.disk {
			last[r.Key] = i
		}
		for i, r := range p.disk {
			if last[r.Key] == i {
				bytes += len(r.Value)
			}
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
	a.onEvent = func(p *rolloutMember, code rollout.EventCode, _ []any) { said[code]++ }
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
	a.onEvent = func(p *rolloutMember, code rollout.EventCode, _ []any) {
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
func TestBoth(t *testing.T) {
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
		p.rejectsHalf = true
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
		p.rejectsHalf = false
	}
	if r := a.enact(5, "three; probation;", 5*second); r.Outcome != rollout.OutcomeDecided {
		t.Fatal(r)
	}
	a.advance(5 * second)
	if p.inForce.Number != 4 {
		t.Errorf("a good one was taken back: number %d", p.inForce.Number)
	}
}

// The histories of proposals and of decisions by numbers, under faults, are those of one register.
func TestLinearizable(t *testing.T) {
	type input struct {
		write bool
		id    uint64
	}
	register := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(0)} },
		Step: func(state, in, out any) []any {
			n, at := state.(uint64), out.(uint64)
			switch {
			case !in.(input).write && n == at, in.(input).write && at == 0:
				return []any{n}
			case in.(input).write && at == math.MaxUint64: // nobody knows
				return []any{n, n + 1}
			case in.(input).write && at == n+1:
				return []any{n + 1}
			}
			return nil
		},
	}
	model := register.ToModel()
	for seed := range uint64(6) {
		a := newRolloutCluster(seed+100, 7, 3, 2*second)
		a.advance(6 * second)
		var ops []porcupine.Operation
		open := map[uint64]int{}
		a.loss, a.duplicate, a.delayedShare = 0.05, 0.05, 0.01
		for k := range 24 {
			p := a.members[a.random.IntN(7)]
			if p.up && p.stopped <= a.now {
				id := a.random.Uint64() | 1
				open[id] = len(ops)
				ops = append(ops, porcupine.Operation{ClientId: 10 + k, Input: input{true, id}, Call: int64(a.now), Output: uint64(math.MaxUint64), Return: math.MaxInt64})
				p.core.Propose(p.clock(), rollout.Proposal{ID: id, Kind: rollout.KindChange, Text: []byte(fmt.Sprint("policy ", seed, k))}, func(r rollout.Result) {
					op := &ops[open[id]]
					op.Return, op.Output = int64(a.now)+1, uint64(0)
					if r.Outcome == rollout.OutcomeDecided {
						op.Output = r.Number
					}
				})
			}
			switch q := a.members[a.random.IntN(7)]; a.random.IntN(5) {
			case 0:
				if q.up {
					q.kill()
				}
			case 1:
				q.stopped = a.now + Time(a.random.Int64N(int64(4*second)))
			case 2:
				n := a.random.IntN(7)
				a.cut = func(from, to int) bool { return from == n }
			default:
				a.cut = nil
				for _, q := range a.members {
					if !q.up {
						q.start()
					}
				}
			}
			for range 10 {
				a.advance(100 * admission.Millisecond)
				for _, q := range a.members {
					if q.up && q.stopped <= a.now && q.inForce.HoldsLease(q.clock()) && a.random.IntN(3) == 0 {
						ops = append(ops, porcupine.Operation{ClientId: q.index, Input: input{}, Call: int64(a.now), Output: q.inForce.Number, Return: int64(a.now)})
					}
				}
			}
		}
		if !porcupine.CheckOperations(model, ops) {
			t.Errorf("seed %d: %d operations are not those of one register", seed, len(ops))
		}
		writes := 0
		for _, o := range ops {
			if n, ok := o.Output.(uint64); o.Input.(input).write && ok && n > 0 && n < math.MaxUint64 {
				writes++
			}
		}
		if len(ops) < 200 || writes < 3 {
			t.Errorf("seed %d: only %d operations, %d changes", seed, len(ops), writes)
		}
	}
}
