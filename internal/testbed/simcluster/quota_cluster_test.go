package simcluster

import (
	"magpiebank/internal/admission"
	"testing"
)

// seeds of TestNeverMore; three thousand were played once.
var seeds = 60

// margin is a term or a loan at one who waits for its end.
func margin(t Time) Time { return t + 3*t/20 + 1 }

// mayBegin keeps to the stated bound: of the replicas a minority at most is doubled at a time.
func (t *quotaCluster) mayBegin(n int, in *quotaMember) bool {
	living := map[int]int{}
	for _, q := range t.members {
		if q.up && q != in {
			living[q.share%t.plan.Shares]++
		}
	}
	living[n%t.plan.Shares]++
	doubled := 0
	for k := range t.plan.Voters {
		if living[k] > 1 {
			doubled++
		}
	}
	return 2*doubled < len(t.plan.Voters)
}

// Whatever is lost, late, doubled, cut, killed, stopped or started twice under one name, and however clocks run: never more.
func TestNeverMore(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newQuotaCluster(seed, 12, 3, []int64{30, 7, 3}[seed%3])
		total := w.plan.Totals[0]
		check := func() {
			if held, used := w.totals(); held > total || used > total {
				t.Fatalf("seed %d, %.2f s: %d held and %d used of %d", seed, float64(w.now)/float64(second), held, used, total)
			}
		}
		w.advance(6*second, check)
		w.loss, w.duplicate, w.delayedShare = 0.1, 0.1, 0.005
		for range 60 {
			for _, p := range w.members {
				p.demand = int64(w.random.IntN(2) * w.random.IntN(int(total)+2))
			}
			p := w.members[w.random.IntN(len(w.members))]
			switch w.random.IntN(8) {
			case 0:
				p.up = false
			case 7:
				if p.up {
					p.core.ReleaseShares(p.clock())
					p.up = false
				}
			case 1:
				if !w.mayBegin(p.share, p) {
				} else if w.random.IntN(2) == 0 {
					p.succeed()
				} else {
					p.start()
				}
			case 2:
				p.stopped = w.now + Time(w.random.Int64N(int64(3*w.plan.ShareTerm)))
			case 3:
				k := w.random.IntN(3)
				w.cut = func(from, to int) bool { return from%3 == k != (to%3 == k) }
			case 4:
				w.cut = func(from, to int) bool { return from < 4 && to >= 4 } // one way
			case 5:
				w.cut = nil
			case 6:
				if len(w.members) < 16 { // a second process under a name that lives
					twin := &quotaMember{cluster: w, share: 12 + w.random.IntN(12), clockRate: p.clockRate, clockOffset: p.clockOffset}
					if w.mayBegin(twin.share, nil) {
						w.add(twin)
					}
				}
			}
			w.advance(Time(100+w.random.IntN(900))*admission.Millisecond, check)
		}
	}
}

// A member that is killed has its part back once a loan is over if it knows that the process before it has ended; else after a term.
func TestFollow(t *testing.T) {
	var took [2]Time
	for k := range took {
		w := newQuotaCluster(5, 6, 3, 12)
		for _, p := range w.members {
			p.demand = 4
		}
		w.advance(8*second, func() {})
		for _, p := range w.members {
			p.demand = 0 // nothing is lent, so that what it has is its part
		}
		p := w.members[4]
		p.up = false
		w.advance(second/10, func() {})
		if k == 0 {
			p.succeed()
		} else {
			p.start()
		}
		began := w.now
		for p.core.HeldUnits(p.clock(), 0) < 2 && w.now < began+20*second {
			w.advance(second/100, func() {})
		}
		took[k] = w.now - began
	}
	term, loan := 2*second, second // of the town
	if took[0] < loan || took[0] > margin(loan)+second/5 || took[1] < term-term/4 || took[1] > 2*margin(term) {
		t.Errorf("its part is back after %.2f s, and after %.2f s for one that comes with nothing", float64(took[0])/float64(second), float64(took[1])/float64(second))
	}
}

// renew has some go by another total.
func (t *quotaCluster) renew(number uint64, total int64, some func(n int) bool) {
	plan := *t.plan
	plan.Number, plan.Totals = number, []int64{total}
	for _, p := range t.members {
		if p.up && some(p.share) {
			if err := p.core.ReplacePlan(p.clock(), &plan); err != nil {
				panic(err)
			}
		}
	}
	t.plan = &plan // that whoever starts goes by
}

// A total that is raised, lowered below what is out, and taken away, while a third of the members is cut off and does not hear of it:
// never more than the larger, and after a term, a loan and their drift never more than the new one. Who comes back under the old
// number holds nothing of it.
func TestTotals(t *testing.T) {
	w := newQuotaCluster(4, 12, 3, 24)
	for _, p := range w.members {
		p.demand = 4
	}
	most := int64(24)
	check := func() {
		if held, used := w.totals(); held > most || used > most {
			t.Fatalf("%.2f s: %d held and %d used of %d", float64(w.now)/float64(second), held, used, most)
		}
	}
	third := func(n int) bool { return n >= 8 }
	bound := margin(w.plan.ShareTerm) + margin(w.plan.LeaseTerm) + w.plan.ShareTerm/4
	w.advance(6*second, check)
	for i, total := range []int64{36, 6, 0, 24} {
		w.cut = func(from, to int) bool { return third(from) != third(to) }
		w.advance(second/5, check)
		most = max(most, total)
		w.renew(uint64(2+i), total, func(n int) bool { return !third(n) })
		w.advance(bound, check)
		most = total // the third still lives, by the old number
		w.advance(2*second, check)
		w.cut = nil
		w.advance(2*second, check)
		held, _ := w.totals()
		for _, p := range w.members {
			if third(p.share) && p.core.HeldUnits(p.clock(), 0) > 0 {
				t.Errorf("total %d: %s has %d by the old number", total, p.name, p.core.HeldUnits(p.clock(), 0))
			}
		}
		w.renew(uint64(2+i), total, third)
		w.advance(margin(w.plan.ShareTerm)+w.plan.ShareTerm, check)
		now, used := w.totals()
		t.Logf("total %d: %d held without the third, %d with it again, %d used", total, held, now, used)
		if used < total*9/10 {
			t.Errorf("total %d: only %d are used", total, used)
		}
	}
}

// Who leaves with nothing in use frees its seat at once for who follows.
func TestFarewell(t *testing.T) {
	w := newQuotaCluster(5, 12, 3, 24)
	w.advance(6*second, func() {})
	p := w.members[7]
	p.core.ReleaseShares(p.clock())
	w.advance(second/10, func() {})
	p.start()
	w.advance(second/2, func() {})
	if got := p.core.HeldUnits(p.clock(), 0); got != 2 {
		t.Errorf("half a second after it follows it has %d, expected 2", got)
	}
}

// Connected and wanted, nearly all of it is used, wherever the demand is; a part that is cut off uses its own for a term, and all
// is used again soon after.
func TestWellUsed(t *testing.T) {
	w := newQuotaCluster(1, 32, 3, 64)
	check := func() {}
	w.advance(6*second, check)
	share := func(length Time) float64 {
		sum, n := 0.0, 0
		w.advance(length, func() {
			_, used := w.totals()
			sum, n = sum+float64(used)/64, n+1
		})
		return sum / float64(n)
	}
	demand := func(f func(n int) int64) {
		for _, p := range w.members {
			p.demand = f(p.share)
		}
	}
	demand(func(int) int64 { return 4 })
	w.advance(2*second, check)
	even := share(5 * second)
	demand(func(n int) int64 {
		if n == 7 {
			return 80
		}
		return 0
	})
	w.advance(3*second, check)
	one := share(5 * second)
	third := func(n int) bool { return n >= 21 }
	w.cut = func(from, to int) bool { return third(from) != third(to) }
	demand(func(int) int64 { return 4 })
	w.advance(w.plan.ShareTerm/2, check)
	during := share(w.plan.ShareTerm / 4)
	w.advance(3*w.plan.ShareTerm, check)
	long := share(5 * second)
	w.cut = nil
	w.advance(3*second, check)
	healed := share(5 * second)
	t.Logf("share of the total used: even demand %.3f, all at one of 32 %.3f, a third cut off for half a term %.3f, for three terms %.3f, 3 s after %.3f", even, one, during, long, healed)
	// The replicas are on one side; on the other seats are held for three quarters of a term at least, and are then taken over.
	if even < 0.95 || one < 0.95 || during < 0.8 || long < 0.95 || healed < 0.95 {
		t.Error("0.95, 0.95, 0.8, 0.95 and 0.95 were expected")
	}
}

// A total far below the members' number is still used whole, though not yet by all: docs/budgets.md, to come.
func TestSmallTotal(t *testing.T) {
	w := newQuotaCluster(2, 40, 3, 3)
	w.advance(6*second, func() {})
	for _, p := range w.members {
		p.demand = 1
	}
	w.advance(2*second, func() {})
	sum, n, had := 0.0, 0, map[int]bool{}
	w.advance(20*second, func() {
		held, used := w.totals()
		if held > 3 {
			t.Fatalf("%d held of 3", held)
		}
		sum, n = sum+float64(used)/3, n+1
		for _, p := range w.members {
			if len(p.running) > 0 {
				had[p.share] = true
			}
		}
	})
	t.Logf("share of the total used %.3f, by %d of 40 members", sum/float64(n), len(had))
	if sum/float64(n) < 0.95 {
		t.Error("0.95 was expected")
	}
}

// Requests that need more than a member's part, and more than a few could lend: not all hold a little and wait for each other.
func TestWide(t *testing.T) {
	w := newQuotaCluster(3, 40, 3, 48)
	w.advance(6*second, func() {})
	for _, p := range w.members {
		p.demand, p.requestUnits = 1, 12
	}
	w.advance(4*second, func() {})
	sum, n, served := 0.0, 0, 0
	w.advance(30*second, func() {
		held, used := w.totals()
		if held > 48 {
			t.Fatalf("%d held of 48", held)
		}
		sum, n = sum+float64(used)/48, n+1
	})
	for _, p := range w.members {
		served += countTrue(p.served > 0)
	}
	t.Logf("share of the total used %.3f, by %d of 40 members", sum/float64(n), served)
	if sum/float64(n) < 0.3 || served < 10 {
		t.Error("0.3, and 10 members, were expected")
	}
}

// A burst at one member, while all others idle, has nearly all of the total within half a second.
func TestBurst(t *testing.T) {
	w := newQuotaCluster(1, 32, 3, 64)
	w.advance(9*second, func() {})
	w.members[16].demand = 64
	began, there := w.now, Time(-1)
	w.advance(2*second, func() {
		if _, used := w.totals(); used >= 58 && there < 0 {
			there = w.now - began
		}
	})
	t.Logf("nine tenths after %.2f s", float64(there)/float64(second))
	if there < 0 || there > second/2 {
		t.Error("half a second was expected")
	}
}

// Rights are where demand is also in a larger fleet, where a member hears of another only every few seconds: whom nobody heard of lately is asked.
func TestMovingDemand(t *testing.T) {
	if d := MeasureQuota(100, 2); d.Zipf < 0.97 || d.Moving < 0.85 || d.There < 0 || d.There > second/2 || d.Messages > 8 {
		t.Errorf("%+v", d)
	}
}
