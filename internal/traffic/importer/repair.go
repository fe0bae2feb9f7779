// Package importer makes traces of what other programs have recorded, and repairs timestamps that a clock has spoilt.
package importer

import (
	"fmt"
	"slices"
	"time"

	"magpiebank/internal/traffic/trace"
)

// Entry is one entry of a recording, in the recording's order.
type Entry struct {
	Timestamp time.Time // zero: it has none that can be read
	Line      int       // of the recording, from 1
	Record    trace.Record

	// From a slow log; 0: not known.
	Elapsed      time.Duration
	RowsExamined int64
}

// ClockRepair has the rules by which timestamps are repaired.
type ClockRepair struct {
	KeepGaps         bool          // long gaps are quiet times and not jumps of the clock
	MaxGap           time.Duration // a longer gap is a jump of the clock; 0: one minute
	ReorderTolerance time.Duration // entries that are out of order by up to this are no jump back; 0: one second
}

// A minute without a query is longer than any pause of a service worth recording, and a clock that is set jumps by more.
// Writers of logs hold entries back for less than a second.
const (
	defaultMaxGap           = time.Minute
	defaultReorderTolerance = time.Second
)

// Repair is one repair.
type Repair struct {
	Line    int           `json:"line"`
	Kind    string        `json:"kind"`
	Count   int           `json:"count"`   // of entries that it concerns
	Jump    time.Duration `json:"by_ns"`   // of the clock
	Applied time.Duration `json:"used_ns"` // the gap or span that stands there now
}

func (r Repair) String() string {
	return fmt.Sprintf("line %d: %s, %d entries, by %v; now %v", r.Line, r.Kind, r.Count, r.Jump, r.Applied)
}

// The kinds of repairs, with their rules.
const (
	// The entries keep their order, with the mean gap between them.
	JumpBack = "the clock jumped back"
	// The mean gap stands in place of the jump, unless ClockRepair.KeepGaps is set.
	JumpForward = "the clock jumped forward"
	// The entries keep their order, and the later time counts for both.
	OutOfOrder = "entries are a little out of order"
	// The entries get the time of the one before.
	NoTimestamp = "entries have no stamp"
	// The entries are spread evenly up to the next timestamp; listed once for all such entries from the line on.
	RepeatedFewTimestamps = "stamps are shared by a few entries"
	// The entries are spread evenly up to the next timestamp.
	RepeatedTimestamp = "a stamp is repeated"
)

// maxSpread is the span over which entries of one timestamp are spread at most, unless the mean gap between so many asks
// for more. A timestamp of whole seconds stands for any time in its second, and a clock that stood still has one for all
// entries.
const maxSpread = time.Second

// minListed is how many entries of one timestamp are listed as a repair of their own; fewer come by chance if timestamps
// are coarse.
const minListed = 10

// RepairClock makes a trace of entries, whose times count from the trace's start and never go back, and lists what was
// repaired.
func RepairClock(entries []Entry, c ClockRepair) (*trace.Trace, []Repair) {
	if c.MaxGap <= 0 {
		c.MaxGap = defaultMaxGap
	}
	if c.ReorderTolerance <= 0 {
		c.ReorderTolerance = defaultReorderTolerance
	}
	r := clockRepairer{
		rules:    c,
		entries:  entries,
		trace:    &trace.Trace{Records: make([]trace.Record, len(entries))},
		usualGap: meanGap(entries, c),
	}
	var offset time.Duration
	for i := range entries {
		offset += r.gapBefore(i)
		r.trace.Records[i] = entries[i].Record
		r.trace.Records[i].Offset = offset
	}
	r.spreadTimestamps()
	return r.trace, r.repairs
}

// clockRepairer is the state of a repair.
type clockRepairer struct {
	rules    ClockRepair
	entries  []Entry
	trace    *trace.Trace
	usualGap time.Duration // stands in for gaps that are not to be believed
	repairs  []Repair
	previous time.Time // the last timestamp that counted
}

// gapBefore returns the time between an entry and the one before, and notes a repair.
func (r *clockRepairer) gapBefore(i int) time.Duration {
	entry := &r.entries[i]
	if entry.Timestamp.IsZero() {
		follows := i > 0 && r.entries[i-1].Timestamp.IsZero()
		r.repairs = addRepair(r.repairs, Repair{entry.Line, NoTimestamp, 1, 0, 0}, follows)
		return 0
	}
	if r.previous.IsZero() {
		r.trace.Start, r.previous = entry.Timestamp, entry.Timestamp
		return 0
	}
	gap := entry.Timestamp.Sub(r.previous)
	if gap < 0 && gap >= -r.rules.ReorderTolerance {
		r.repairs = addRepair(r.repairs, Repair{entry.Line, OutOfOrder, 1, gap, 0}, false)
		return 0 // the timestamp before goes on counting, so that no time is added
	}
	r.previous = entry.Timestamp
	switch {
	case gap < 0:
		r.repairs = append(r.repairs, Repair{entry.Line, JumpBack, 1, gap, r.usualGap})
		return r.usualGap
	case gap > r.rules.MaxGap && !r.rules.KeepGaps:
		r.repairs = append(r.repairs, Repair{entry.Line, JumpForward, 1, gap, r.usualGap})
		return r.usualGap
	}
	return gap
}

// addRepair adds a repair, or counts it with the one before if same is set and both are of one kind.
func addRepair(repairs []Repair, r Repair, same bool) []Repair {
	if n := len(repairs); n > 0 && same && repairs[n-1].Kind == r.Kind {
		repairs[n-1].Count++
		return repairs
	}
	return append(repairs, r)
}

// meanGap returns the mean of the gaps that are no jumps of the clock.
func meanGap(entries []Entry, c ClockRepair) time.Duration {
	var sum time.Duration
	count := 0
	var previous time.Time
	for i := range entries {
		timestamp := entries[i].Timestamp
		if timestamp.IsZero() {
			continue
		}
		if gap := timestamp.Sub(previous); !previous.IsZero() && gap >= 0 && gap <= c.MaxGap {
			sum += gap
			count++
		}
		previous = timestamp
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// spreadTimestamps moves entries that share a time apart, evenly up to the next entry, but over no more than maxSpread.
func (r *clockRepairer) spreadTimestamps() {
	records := r.trace.Records
	var few Repair
	for first := 0; first < len(records); {
		end := first + 1
		for end < len(records) && records[end].Offset == records[first].Offset {
			end++
		}
		if count := end - first; count >= minListed {
			span := r.spread(first, end)
			r.repairs = append(r.repairs, Repair{r.entries[first].Line, RepeatedTimestamp, count, 0, span})
		} else if count > 1 {
			if few.Count == 0 {
				few = Repair{r.entries[first].Line, RepeatedFewTimestamps, 0, 0, 0}
			}
			few.Count += count
			few.Applied = max(few.Applied, r.spread(first, end))
		}
		first = end
	}
	if few.Count > 0 {
		r.repairs = append(r.repairs, few)
	}
	slices.SortStableFunc(r.repairs, func(a, b Repair) int { return a.Line - b.Line })
}

// spread spreads the records from first to before end evenly, and returns over which time.
func (r *clockRepairer) spread(first, end int) time.Duration {
	records, count := r.trace.Records, time.Duration(end-first)
	span := count * max(r.usualGap, time.Microsecond)
	if end < len(records) {
		span = records[end].Offset - records[first].Offset
	}
	span = min(span, max(maxSpread, count*r.usualGap))
	for i := range records[first:end] {
		records[first+i].Offset += span * time.Duration(i) / count
	}
	return span
}
