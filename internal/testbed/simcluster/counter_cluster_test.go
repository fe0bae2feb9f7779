package simcluster

import (
	"testing"

	"magpiebank/internal/admission"
)

// injectFault injects a random fault into a random process or the network, or ends a fault.
func (c *counterCluster) injectFault() {
	p := c.members[c.random.IntN(len(c.members))]
	switch c.random.IntN(6) {
	case 0:
		if p.up {
			p.kill()
		}
	case 1:
		if !p.up { // no two processes with one name run at a time
			p.start()
		}
	case 2:
		p.pausedUntil = c.now + Time(c.random.Int64N(int64(6*second)))
	case 3:
		n := c.random.IntN(3)
		c.cut = func(from, to int) bool { return from%3 == n != (to%3 == n) }
	case 4:
		c.cut = func(from, to int) bool { return from < 4 && to >= 4 } // in one direction only
	case 5:
		c.cut = nil
	}
}

// Every range of a reading contains the true count, although messages are lost, delayed, duplicated and cut off, processes are killed,
// restarted and paused, and clocks run at different rates.
func TestRangesContainTrueCounts(t *testing.T) {
	reads, withUnknown, widest := 0, 0, int64(0)
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
			withUnknown += boolToInt(reading.Unknown > 0)
			if reading.Unknown == 0 {
				widest = max(widest, reading.Counts[0].Ranges[1].High-reading.Counts[0].Ranges[1].Low)
			}
		}
		c.simulate(3*second, check)
		c.loss, c.duplicate, c.delayedShare = 0.15, 0.1, 0.01
		for range 30 {
			c.injectFault()
			c.simulate(Time(100+c.random.IntN(1900))*admission.Millisecond, check)
		}
	}
	t.Logf("%d readings, %d of them with unknown processes; without unknown processes, the widest range is %d", reads, withUnknown, widest)
	if withUnknown == 0 || withUnknown == reads {
		t.Error("expected readings with and without unknown processes")
	}
}

// Readings are recent and their ranges are narrow while messages arrive from all members.
func TestReadingsAreFreshAndNarrow(t *testing.T) {
	c := MeasureCounters(32, 0, 1)
	t.Logf("%+v", c)
	if c.Wrong > 0 || c.Silent > 0 || c.Age > 2*second || c.Width > 1.5 {
		t.Error("expected no wrong readings, no unknown processes, an age of at most 2 s, and a range at most 1.5 times as wide as the number of running requests")
	}
}
