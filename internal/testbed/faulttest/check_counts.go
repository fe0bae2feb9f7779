package faulttest

import (
	"fmt"
	"math"
	"slices"
	"time"

	"magpiebank/internal/cluster/history"
)

// countWriteDelay is how long after a change of a count the history may have it, in nanoseconds.
const countWriteDelay = int64(30 * time.Millisecond)

// CheckCounts holds what processes read of the cluster's counts against what each of them wrote down of its own: as of the instant of a
// reading the true sum must lie in its interval. A process that was killed has nothing from its last event on; as nobody can know that,
// what it had last may count or not. Nor is a process counted of which another has the name, though it may still serve.
func CheckCounts(events []history.Event) (out []string) {
	counts := readOwnCounts(events)
	for i := range events {
		e := &events[i]
		if e.Kind != history.CountersRead {
			continue
		}
		least, most := counts.interval(e)
		if e.Number > most || e.High >= 0 && e.High < least {
			out = append(out, fmt.Sprintf("%.3f s, %s: count: as of %.3f s ago %d to %d tasks were read that %s, in truth %d to %d", float64(e.At-events[0].At)/1e9, e.Process,
				float64(e.AgeNanos)/1e9, e.Number, e.High, e.Code[:len(e.Code)-1], least, most))
		}
	}
	return out
}

// ownCounts are the counts that processes wrote down of their own requests.
type ownCounts struct {
	owners  []incarnation
	changes map[incarnation][]countChange
	lastAt  map[incarnation]int64 // when it wrote down its last event
	stopped map[incarnation]bool  // ended in its turn, not killed
}

// countChange is a pair of counts, of requests that wait and that run, and since when they hold.
type countChange struct {
	at     int64
	counts [2]int
}

func readOwnCounts(events []history.Event) *ownCounts {
	c := &ownCounts{changes: map[incarnation][]countChange{}, lastAt: map[incarnation]int64{}, stopped: map[incarnation]bool{}}
	for i := range events {
		e := &events[i]
		owner := incarnationOf(e)
		c.lastAt[owner] = e.At
		switch e.Kind {
		case history.ProcessStopped:
			c.stopped[owner] = true
		case history.RequestsCounted:
			if c.changes[owner] == nil {
				c.owners = append(c.owners, owner)
			}
			c.changes[owner] = append(c.changes[owner], countChange{e.At, [2]int{e.Number, e.High}})
		}
	}
	return c
}

// interval is where the true sum may lie as of the instant of a reading, whose age is by a clock that runs up to a twentieth off.
func (c *ownCounts) interval(reading *history.Event) (least, most int) {
	countIndex := btoi(reading.Code == "runs")
	at := reading.At - reading.AgeNanos
	spread := countWriteDelay + reading.AgeNanos/18
	for _, owner := range c.owners {
		low, high := c.ownInterval(owner, countIndex, at-spread, at+spread)
		least += low
		most += high
	}
	return least, most
}

// ownInterval is the range of one process's count between two instants.
func (c *ownCounts) ownInterval(owner incarnation, countIndex int, from, until int64) (low, high int) {
	low = math.MaxInt
	include := func(count int) {
		low = min(low, count)
		high = max(high, count)
	}
	changes := c.changes[owner]
	next, _ := slices.BinarySearchFunc(changes, from, func(change countChange, at int64) int {
		return int(max(-1, min(1, change.at-at)))
	})
	if next == 0 {
		include(0)
	} else {
		include(changes[next-1].counts[countIndex])
	}
	for ; next < len(changes) && changes[next].at <= until; next++ {
		include(changes[next].counts[countIndex])
	}
	if c.mayBeUncounted(owner, until) {
		include(0)
	}
	return low, high
}

// mayBeUncounted tells whether others may take a process for gone at an instant.
func (c *ownCounts) mayBeUncounted(owner incarnation, at int64) bool {
	replaced := slices.ContainsFunc(c.owners, func(other incarnation) bool {
		return other.process == owner.process && other.start > owner.start
	})
	if replaced {
		return true
	}
	if c.stopped[owner] {
		return at >= c.lastAt[owner]
	}
	return at >= c.lastAt[owner]-int64(time.Second)
}
