package simcluster

import (
	"testing"

	"magpiebank/internal/admission"
)

// Whatever is lost, late, doubled, cut, killed, started again or stopped, and however clocks run: the truth is in the interval.
func TestTruthInInterval(t *testing.T) {
	reads, silent, widest := 0, 0, int64(0)
	for seed := range uint64(6) {
		w := newCounterCluster(seed, 10)
		k := 0
		check := func() {
			k++
			if p := w.members[k%len(w.members)]; p.up && p.stopped <= w.now {
				r, wrong := w.wrong(p)
				if wrong != "" {
					t.Fatalf("seed %d: %s", seed, wrong)
				}
				reads, silent = reads+1, silent+countTrue(r.Unknown > 0)
				if r.Unknown == 0 {
					widest = max(widest, r.Counts[0].Ranges[1].High-r.Counts[0].Ranges[1].Low)
				}
			}
		}
		w.pass(3*second, check)
		w.loss, w.duplicate, w.delayedShare = 0.15, 0.1, 0.01
		for range 30 {
			p := w.members[w.random.IntN(len(w.members))]
			switch w.random.IntN(6) {
			case 0:
				if p.up {
					p.end()
				}
			case 1:
				if !p.up { // an earlier process of the name is surely gone
					p.begin()
				}
			case 2:
				p.stopped = w.now + Time(w.random.Int64N(int64(6*second)))
			case 3:
				n := w.random.IntN(3)
				w.cut = func(from, to int) bool { return from%3 == n != (to%3 == n) }
			case 4:
				w.cut = func(from, to int) bool { return from < 4 && to >= 4 } // one way
			case 5:
				w.cut = nil
			}
			w.pass(Time(100+w.random.IntN(1900))*admission.Millisecond, check)
		}
	}
	t.Logf("%d readings, %d of them with silent processes; at most %d wide with none", reads, silent, widest)
	if silent == 0 || silent == reads {
		t.Error("both kinds of readings were expected")
	}
}

// A reading is fresh and narrow while all are heard.
func TestCensus(t *testing.T) {
	c := MeasureCounters(32, 0, 1)
	t.Logf("%+v", c)
	if c.Wrong > 0 || c.Silent > 0 || c.Age > 2*second || c.Width > 1.5 {
		t.Error("expected nothing wrong or silent, 2 s of age and one and a half times what runs at most")
	}
}
