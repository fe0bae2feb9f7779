package simcluster

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

// decisions is how many seeds are played; some hundreds were once.
var decisions = 16

// troubled plays a fleet with faults of all kinds, one after the other, while policies are proposed everywhere, and then heals it. It tells
// the first decision that was made by an older policy, or what didn't come about.
func troubled(seed uint64, planted string, log func(string)) string {
	a := newRolloutCluster(seed, 8, []int{3, 5}[seed%2], 2*second)
	a.plan.Mutation = rollout.ParseMutation(planted)
	if log != nil {
		a.onEvent = func(p *rolloutMember, code rollout.EventCode, more []any) {
			log(fmt.Sprintf("%.2f %s/%d %s %v", float64(a.now)/10000, p.name, p.index, code, more))
		}
	}
	a.advance(6 * second)
	n, asked, decided := 0, 0, 0
	propose := func() {
		p := a.members[a.random.IntN(len(a.members))]
		if !p.up || p.stopped > a.now {
			return
		}
		n++
		asked++
		text := fmt.Sprintf("policy %d; ", n)
		if a.random.IntN(3) == 0 {
			text += "both; "
		}
		if a.random.IntN(8) == 0 {
			text += fmt.Sprintf("not for g%d;", a.random.IntN(8))
		}
		if a.random.IntN(6) == 0 {
			text += "rehearse; "
		}
		a.propose(p, text, func(r rollout.Result) {
			if r.Outcome == rollout.OutcomeDecided {
				decided++
			}
		})
	}
	a.loss, a.duplicate, a.delayedShare = 0.05, 0.05, 0.01
	for range 50 {
		if a.random.IntN(3) > 0 {
			propose()
		}
		p := a.members[a.random.IntN(len(a.members))]
		switch a.random.IntN(11) {
		case 0:
			if p.up {
				p.kill()
			}
		case 1, 2:
			for _, q := range a.members {
				if !q.up && a.random.IntN(2) == 0 {
					q.start()
				}
			}
		case 3:
			p.stopped = a.now + Time(a.random.Int64N(int64(5*second)))
		case 4:
			k := 1 + a.random.IntN(3)
			a.cut = func(from, to int) bool { return from%8 < k != (to%8 < k) }
		case 5:
			k := a.random.IntN(8)
			a.cut = func(from, to int) bool { return from%8 == k } // one way
		case 6:
			k := a.random.IntN(8)
			a.cut = func(from, to int) bool { return to%8 == k }
		case 7:
			a.cut = nil
		case 8:
			if !slices.Contains(a.voters, p.name) && p.up { // a member that loses its folder, or comes with an older one
				old := slices.Clone(p.disk[:a.random.IntN(len(p.disk)+1)])
				p.kill()
				p.disk = old
			}
		case 9:
			if len(a.members) < 11 { // a second process under a name that lives, with a folder of its own
				a.add(&rolloutMember{cluster: a, name: p.name, clockRate: p.clockRate, clockOffset: p.clockOffset, syncTime: p.syncTime})
			}
		case 10:
			p.syncTime = Time(1+a.random.IntN(2)*300) * admission.Millisecond
		}
		a.advance(Time(100+a.random.IntN(1400)) * admission.Millisecond)
		if a.violation != "" {
			return a.violation
		}
	}
	a.cut, a.loss, a.duplicate, a.delayedShare = nil, 0, 0, 0
	for _, p := range a.members[:8] {
		if p.stopped, p.syncTime = 0, 2*admission.Millisecond; !p.up {
			p.start()
		}
	}
	for _, p := range a.members[8:] {
		p.up = false
	}
	a.advance(40 * second) // a proposal that is open ends, leases of whatever was cut off as well
	if a.violation != "" {
		return a.violation
	}
	var last rollout.Result
	text := fmt.Sprint("the last policy of seed ", seed)
	a.propose(a.members[7], text, func(r rollout.Result) { last = r })
	a.advance(5 * second)
	switch {
	case a.violation != "":
		return a.violation
	case a.countInForce(rollout.DigestOf([]byte(text))) != 8:
		return fmt.Sprintf("eventual: 5 s after a proposal in a fleet that hears itself again %d of 8 go by it: %s %s", a.countInForce(rollout.DigestOf([]byte(text))), last.Outcome, last.Reason)
	case a.decisions < 1000:
		return fmt.Sprintf("eventual: only %d looks found somebody with a lease", a.decisions)
	}
	if log != nil {
		log(fmt.Sprintf("%d proposed, %d decided, %d looks, %d without a lease", asked, decided, a.decisions, a.undecided))
	}
	return ""
}

// Whatever is lost, late, doubled, cut, killed, stopped, started twice under one name or with an older folder, and however clocks run:
// nobody decides by a policy after anybody has decided by a later one; and once all hear each other a change takes hold everywhere.
func TestNeverOlder(t *testing.T) {
	for seed := range uint64(decisions) {
		if wrong := troubled(seed, "", nil); wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
	}
}

// Defects planted on purpose are found by the same seeds.
func TestNeverOlderPlanted(t *testing.T) {
	for _, planted := range []string{"switches-on-word", "believes-folder", "leader-without-wait", "keeps-on-yield", "both-forever"} {
		found := ""
		for seed := range uint64(60) {
			if found = troubled(seed, planted, nil); strings.Contains(found, "decides by") {
				t.Logf("%s: seed %d: %s", planted, seed, found)
				break
			}
		}
		if !strings.Contains(found, "decides by") {
			t.Errorf("%s was not found in 60 seeds", planted)
		}
	}
}

func TestNeverOlderOne(t *testing.T) {
	if os.Getenv("SEED") == "" {
		t.Skip("one seed, by hand: SEED=16 go test -run NeverOlderOne -v")
	}
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	t.Log(troubled(seed, os.Getenv("PLANTED"), func(s string) { t.Log(s) }))
}
