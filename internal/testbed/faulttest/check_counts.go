package faulttest

import (
	"fmt"
	"math"
	"slices"
	"time"

	"magpiebank/internal/cluster/history"
)

// countWriteDelay is the largest delay between a change of a count and its event in the history, in nanoseconds.
const countWriteDelay = int64(30 * time.Millisecond)

// CheckCounts compares the cluster-wide counts that processes read with the counts that each process recorded of its own requests. At the
// instant that a reading refers to, the true sum must be in the interval that was read. A process that was killed has no requests after
// its last event. Other processes cannot know this, so its last counts may be included or not. The same holds for a process whose name
// a later process has taken, although it may still serve requests.
func CheckCounts(events []history.Event) (out []string) {
	counts := readOwnCounts(events)
	for i := range events {
		e := &events[i]
		if e.Kind != history.CountersRead {
			continue
		}
		least, most := counts.interval(e)
		if e.Number > most || e.High >= 0 && e.High < least {
			out = append(out, fmt.Sprintf("%.3f s, %s: count: the reading of %.3f s ago says that %d to %d requests %s, but the histories show %d to %d", float64(e.At-events[0].At)/1e9, e.Process,
				float64(e.AgeNanos)/1e9, e.Number, e.High, e.Code[:len(e.Code)-1], least, most))
		}
	}
	return out
}

// ownCounts holds the counts that each process recorded of its own requests.
type ownCounts struct {
	owners  []incarnation
	changes map[incarnation][]countChange
	lastAt  map[incarnation]int64 // time of the process's last event
	stopped map[incarnation]bool  // processes that stopped in an orderly way, and were not killed
}

// countChange holds the numbers of waiting and running requests of a process, which are valid from the time at on.
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

// interval returns the range of the true sum at the instant that a reading refers to. The reading's age was measured with a clock that
// may run up to a twentieth too fast or too slow.
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

// ownInterval returns the range of one process's count between two instants.
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

// mayBeUncounted reports whether other processes may leave out a process at an instant because they consider it replaced, stopped or
// dead.
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
