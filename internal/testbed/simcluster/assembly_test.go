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
	a := newAssembly(seed, 8, []int{3, 5}[seed%2], 2*second)
	a.plan.Mutation = rollout.ParseMutation(planted)
	if log != nil {
		a.onSay = func(p *citizen, code rollout.EventCode, more []any) {
			log(fmt.Sprintf("%.2f %s/%d %s %v", float64(a.now)/10000, p.name, p.place, code, more))
		}
	}
	a.pass(6 * second)
	n, asked, decided := 0, 0, 0
	propose := func() {
		p := a.people[a.chance.IntN(len(a.people))]
		if !p.up || p.stopped > a.now {
			return
		}
		n++
		asked++
		text := fmt.Sprintf("policy %d; ", n)
		if a.chance.IntN(3) == 0 {
			text += "both; "
		}
		if a.chance.IntN(8) == 0 {
			text += fmt.Sprintf("not for g%d;", a.chance.IntN(8))
		}
		if a.chance.IntN(6) == 0 {
			text += "rehearse; "
		}
		a.propose(p, text, func(r rollout.Result) {
			if r.Outcome == rollout.OutcomeDecided {
				decided++
			}
		})
	}
	a.loss, a.double, a.late = 0.05, 0.05, 0.01
	for range 50 {
		if a.chance.IntN(3) > 0 {
			propose()
		}
		p := a.people[a.chance.IntN(len(a.people))]
		switch a.chance.IntN(11) {
		case 0:
			if p.up {
				p.kill()
			}
		case 1, 2:
			for _, q := range a.people {
				if !q.up && a.chance.IntN(2) == 0 {
					q.begin()
				}
			}
		case 3:
			p.stopped = a.now + Time(a.chance.Int64N(int64(5*second)))
		case 4:
			k := 1 + a.chance.IntN(3)
			a.cut = func(from, to int) bool { return from%8 < k != (to%8 < k) }
		case 5:
			k := a.chance.IntN(8)
			a.cut = func(from, to int) bool { return from%8 == k } // one way
		case 6:
			k := a.chance.IntN(8)
			a.cut = func(from, to int) bool { return to%8 == k }
		case 7:
			a.cut = nil
		case 8:
			if !slices.Contains(a.voters, p.name) && p.up { // a member that loses its folder, or comes with an older one
				old := slices.Clone(p.disk[:a.chance.IntN(len(p.disk)+1)])
				p.kill()
				p.disk = old
			}
		case 9:
			if len(a.people) < 11 { // a second process under a name that lives, with a folder of its own
				a.add(&citizen{a: a, name: p.name, rate: p.rate, ahead: p.ahead, sync: p.sync})
			}
		case 10:
			p.sync = Time(1+a.chance.IntN(2)*300) * admission.Millisecond
		}
		a.pass(Time(100+a.chance.IntN(1400)) * admission.Millisecond)
		if a.wrong != "" {
			return a.wrong
		}
	}
	a.cut, a.loss, a.double, a.late = nil, 0, 0, 0
	for _, p := range a.people[:8] {
		if p.stopped, p.sync = 0, 2*admission.Millisecond; !p.up {
			p.begin()
		}
	}
	for _, p := range a.people[8:] {
		p.up = false
	}
	a.pass(40 * second) // a proposal that is open ends, leases of whatever was cut off as well
	if a.wrong != "" {
		return a.wrong
	}
	var last rollout.Result
	text := fmt.Sprint("the last policy of seed ", seed)
	a.propose(a.people[7], text, func(r rollout.Result) { last = r })
	a.pass(5 * second)
	switch {
	case a.wrong != "":
		return a.wrong
	case a.holding(rollout.DigestOf([]byte(text))) != 8:
		return fmt.Sprintf("eventual: 5 s after a proposal in a fleet that hears itself again %d of 8 go by it: %s %s", a.holding(rollout.DigestOf([]byte(text))), last.Outcome, last.Reason)
	case a.decided < 1000:
		return fmt.Sprintf("eventual: only %d looks found somebody with a lease", a.decided)
	}
	if log != nil {
		log(fmt.Sprintf("%d proposed, %d decided, %d looks, %d without a lease", asked, decided, a.decided, a.without))
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
