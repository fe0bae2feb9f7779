// Package importer makes traces out of what other programs recorded, and mends what clocks did to them.
package importer

import (
	"fmt"
	"slices"
	"time"

	"magpiebank/internal/traffic/trace"
)

// Entry is one entry as it was recorded, in the order of the file.
type Entry struct {
	Timestamp time.Time // zero: it had none that could be read
	Line      int       // where it stood
	Record    trace.Record

	Elapsed      time.Duration // as a slow log tells; 0: not told
	RowsExamined int64         // rows, likewise
}

// ClockRepair is how stamps are mended.
type ClockRepair struct {
	KeepGaps         bool          // long gaps are quiet times, not jumps of the clock
	MaxGap           time.Duration // a longer gap is a jump of the clock; 0: one minute
	ReorderTolerance time.Duration // entries that are so little out of order are not a jump back; 0: one second
}

// A minute without one task is longer than any pause seen in a service worth recording, and clocks that are set jump
// by more; writers of logs hold entries back for less than a second.
const (
	defaultMaxGap           = time.Minute
	defaultReorderTolerance = time.Second
)

// Repair is one thing that was mended.
type Repair struct {
	Line    int           `json:"line"`
	Kind    string        `json:"kind"`
	Count   int           `json:"count"`   // of entries that it concerns
	Jump    time.Duration `json:"by_ns"`   // of a jump: how far
	Applied time.Duration `json:"used_ns"` // the gap, or the span, that stands there now
}

func (r Repair) String() string {
	return fmt.Sprintf("line %d: %s, %d entries, by %v; now %v", r.Line, r.Kind, r.Count, r.Jump, r.Applied)
}

// The kinds of repairs, with their rules.
const (
	JumpBack              = "the clock jumped back"              // order is kept; the usual gap stands between the two entries
	JumpForward           = "the clock jumped forward"           // the usual gap, unless long gaps are kept
	OutOfOrder            = "entries are a little out of order"  // order is kept; the later one's time counts for both
	NoTimestamp           = "entries have no stamp"              // they get the time of the one before
	RepeatedFewTimestamps = "stamps are shared by a few entries" // as those; from this line on, listed once
	RepeatedTimestamp     = "a stamp is repeated"                // the entries are spread evenly up to the next stamp
)

// maxSpread is the span over which entries of one stamp may be spread, if the usual gap between so many doesn't ask
// for more: stamps of whole seconds, as a rule, stand for any time in theirs, and a clock that stood still for all of
// them.
const maxSpread = time.Second

// minListed is how many entries of one stamp are worth a line of their own: fewer come of chance where stamps are coarse.
const minListed = 10

// RepairClock gives entries times from the trace's start on that never go back, and lists what was mended.
func RepairClock(raws []Entry, c ClockRepair) (*trace.Trace, []Repair) {
	if c.MaxGap <= 0 {
		c.MaxGap = defaultMaxGap
	}
	if c.ReorderTolerance <= 0 {
		c.ReorderTolerance = defaultReorderTolerance
	}
	t := &trace.Trace{Records: make([]trace.Record, len(raws))}
	var repairs []Repair
	usual := meanGap(raws, c)
	var last time.Time // stamp before
	var at time.Duration
	for i := range raws {
		r := &raws[i]
		t.Records[i] = r.Record
		switch {
		case r.Timestamp.IsZero():
			repairs = addRepair(repairs, Repair{r.Line, NoTimestamp, 1, 0, 0}, i > 0 && raws[i-1].Timestamp.IsZero())
		case last.IsZero():
			t.Start, last = r.Timestamp, r.Timestamp
		default:
			gap := r.Timestamp.Sub(last)
			switch {
			case gap < -c.ReorderTolerance:
				repairs = append(repairs, Repair{r.Line, JumpBack, 1, gap, usual})
				gap, last = usual, r.Timestamp
			case gap < 0:
				repairs = addRepair(repairs, Repair{r.Line, OutOfOrder, 1, gap, 0}, false)
				gap = 0 // the stamp before goes on counting, so that no time is added
			case gap > c.MaxGap && !c.KeepGaps:
				repairs = append(repairs, Repair{r.Line, JumpForward, 1, gap, usual})
				gap, last = usual, r.Timestamp
			default:
				last = r.Timestamp
			}
			at += gap
		}
		t.Records[i].Offset = at
	}
	return t, spreadTimestamps(t, raws, usual, repairs)
}

// addRepair adds a repair, or counts it with the one before where they are one.
func addRepair(repairs []Repair, r Repair, same bool) []Repair {
	if n := len(repairs); n > 0 && same && repairs[n-1].Kind == r.Kind {
		repairs[n-1].Count++
		return repairs
	}
	return append(repairs, r)
}

// meanGap is the mean of the gaps that are no jumps: what has no time of its own gets it.
func meanGap(raws []Entry, c ClockRepair) time.Duration {
	var sum time.Duration
	n := 0
	var last time.Time
	for i := range raws {
		if raws[i].Timestamp.IsZero() {
			continue
		}
		if gap := raws[i].Timestamp.Sub(last); !last.IsZero() && gap >= 0 && gap <= c.MaxGap {
			sum += gap
			n++
		}
		last = raws[i].Timestamp
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// spreadTimestamps moves entries that share a time apart: evenly up to the next entry, but over no more than mostSpread.
func spreadTimestamps(t *trace.Trace, raws []Entry, usual time.Duration, repairs []Repair) []Repair {
	var few Repair
	for i := 0; i < len(t.Records); {
		k := i + 1
		for k < len(t.Records) && t.Records[k].Offset == t.Records[i].Offset {
			k++
		}
		if n := k - i; n > 1 {
			room := time.Duration(n) * max(usual, time.Microsecond)
			if k < len(t.Records) {
				room = t.Records[k].Offset - t.Records[i].Offset
			}
			room = min(room, max(maxSpread, time.Duration(n)*usual))
			for j := i; j < k; j++ {
				t.Records[j].Offset += room * time.Duration(j-i) / time.Duration(n)
			}
			if n >= minListed {
				repairs = append(repairs, Repair{raws[i].Line, RepeatedTimestamp, n, 0, room})
			} else {
				if few.Count == 0 {
					few = Repair{raws[i].Line, RepeatedFewTimestamps, 0, 0, 0}
				}
				few.Count += n
				few.Applied = max(few.Applied, room)
			}
		}
		i = k
	}
	if few.Count > 0 {
		repairs = append(repairs, few)
	}
	slices.SortStableFunc(repairs, func(a, b Repair) int { return a.Line - b.Line })
	return repairs
}
