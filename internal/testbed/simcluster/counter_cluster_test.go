package simcluster

import (
	"testing"

	"magpiebank/internal/admission"
)

// counterFault has a fault happen to a random process or to the network, or ends one.
func (c *counterCluster) counterFault() {
	p := c.members[c.random.IntN(len(c.members))]
	switch c.random.IntN(6) {
	case 0:
		if p.up {
			p.kill()
		}
	case 1:
		if !p.up { // an earlier process of the name is surely gone
			p.start()
		}
	case 2:
		p.pausedUntil = c.now + Time(c.random.Int64N(int64(6*second)))
	case 3:
		n := c.random.IntN(3)
		c.cut = func(from, to int) bool { return from%3 == n != (to%3 == n) }
	case 4:
		c.cut = func(from, to int) bool { return from < 4 && to >= 4 } // one way
	case 5:
		c.cut = nil
	}
}

// Whatever is lost, late, duplicated, cut, killed, started again or paused, and however clocks run: the truth is in the interval.
func TestTruthInInterval(t *testing.T) {
	reads, silent, widest := 0, 0, int64(0)
	for seed := range uint64(6) {
		c := newCounterCluster(seed, 10)
		steps := 0
		check := func() {
			steps++
			p := c.members[steps%len(c.members)]
			if !p.isRunning() {
				return
			}
			reading, violation := c.checkReading(p)
			if violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
			reads++
			silent += countTrue(reading.Unknown > 0)
			if reading.Unknown == 0 {
				widest = max(widest, reading.Counts[0].Ranges[1].High-reading.Counts[0].Ranges[1].Low)
			}
		}
		c.simulate(3*second, check)
		c.loss, c.duplicate, c.delayedShare = 0.15, 0.1, 0.01
		for range 30 {
			c.counterFault()
			c.simulate(Time(100+c.random.IntN(1900))*admission.Millisecond, check)
		}
	}
	t.Logf("%d readings, %d of them with silent processes; at most %d wide with none", reads, silent, widest)
	if silent == 0 || silent == reads {
		t.Error("both kinds of readings were expected")
	}
}

// A reading is fresh and narrow while all are heard.
func TestReadingsAreFreshAndNarrow(t *testing.T) {
	c := MeasureCounters(32, 0, 1)
	t.Logf("%+v", c)
	if c.Wrong > 0 || c.Silent > 0 || c.Age > 2*second || c.Width > 1.5 {
		t.Error("expected nothing wrong or silent, 2 s of age and one and a half times what runs at most")
	}
}
