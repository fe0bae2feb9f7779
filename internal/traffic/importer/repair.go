// Package importer converts recordings of other programs to traces, and repairs timestamps that are wrong because of
// the clock.
package importer

import (
	"fmt"
	"slices"
	"time"

	"magpiebank/internal/traffic/trace"
)

// Entry is one entry of a recording. Entries are in the order of the recording.
type Entry struct {
	Timestamp time.Time // zero: the entry has none that can be read
	Line      int       // line of the entry in the recording, from 1
	Record    trace.Record

	// From a slow log; 0: unknown.
	Elapsed      time.Duration
	RowsExamined int64
}

// ClockRepair is the set of rules by which timestamps are repaired.
type ClockRepair struct {
	KeepGaps         bool          // long gaps are times without queries, and not jumps of the clock
	MaxGap           time.Duration // a longer gap is a jump of the clock; 0: one minute
	ReorderTolerance time.Duration // entries out of order by up to this are not a jump of the clock; 0: one second
}

// A minute without a query is longer than any pause of a service that is worth recording, and a clock that is set
// jumps by more. Programs that write logs delay entries by less than a second.
const (
	defaultMaxGap           = time.Minute
	defaultReorderTolerance = time.Second
)

// Repair is one repair of timestamps.
type Repair struct {
	Line    int           `json:"line"`
	Kind    string        `json:"kind"`
	Count   int           `json:"count"`   // number of entries that the repair affects
	Jump    time.Duration `json:"by_ns"`   // jump of the clock
	Applied time.Duration `json:"used_ns"` // gap or span in the trace after the repair
}

func (r Repair) String() string {
	return fmt.Sprintf("line %d: %s, %d entries, by %v; now %v", r.Line, r.Kind, r.Count, r.Jump, r.Applied)
}

// The kinds of repairs.
const (
	// JumpBack replaces a jump back by the mean gap. The entries keep their order.
	JumpBack = "the clock jumped back"
	// JumpForward replaces a jump forward by the mean gap. It is not made if ClockRepair.KeepGaps is set.
	JumpForward = "the clock jumped forward"
	// OutOfOrder keeps the order of two entries although the second has a slightly earlier timestamp. Both get the
	// later time.
	OutOfOrder = "entries are a little out of order"
	// NoTimestamp gives entries without a timestamp the time of the entry before them.
	NoTimestamp = "entries have no stamp"
	// RepeatedFewTimestamps spreads entries with the same timestamp evenly up to the next timestamp. It is for fewer
	// than minListedEntries entries, and is listed once, with the line of the first and the number of all such entries.
	RepeatedFewTimestamps = "stamps are shared by a few entries"
	// RepeatedTimestamp spreads entries with the same timestamp evenly up to the next timestamp. It is for minListedEntries
	// entries or more.
	RepeatedTimestamp = "a stamp is repeated"
)

// maxSpread is the maximum span over which entries with the same timestamp are spread, unless the mean gap between
// that number of entries makes a longer span. A timestamp of whole seconds stands for any time in its second, and a
// clock that stood still gives all entries the same timestamp.
const maxSpread = time.Second

// minListedEntries is the number of entries with the same timestamp from which they are listed as a separate repair.
// A smaller number may have the same timestamp by chance if timestamps are coarse.
const minListedEntries = 10

// RepairClock makes a trace of entries and lists the repairs. The offsets of the trace count from its start and never
// decrease.
func RepairClock(entries []Entry, c ClockRepair) (*trace.Trace, []Repair) {
	if c.MaxGap <= 0 {
		c.MaxGap = defaultMaxGap
	}
	if c.ReorderTolerance <= 0 {
		c.ReorderTolerance = defaultReorderTolerance
	}
	r := clockRepairer{
		rules:      c,
		entries:    entries,
		trace:      &trace.Trace{Records: make([]trace.Record, len(entries))},
		typicalGap: meanGap(entries, c),
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
	rules             ClockRepair
	entries           []Entry
	trace             *trace.Trace
	typicalGap        time.Duration // mean gap of the entries, which replaces jumps of the clock
	repairs           []Repair
	previousTimestamp time.Time // the last timestamp in order, from which the next gap is measured
}

// gapBefore returns the time between an entry and the one before it, and adds a repair if it made one.
func (r *clockRepairer) gapBefore(i int) time.Duration {
	entry := &r.entries[i]
	if entry.Timestamp.IsZero() {
		follows := i > 0 && r.entries[i-1].Timestamp.IsZero()
		r.repairs = addRepair(r.repairs, Repair{entry.Line, NoTimestamp, 1, 0, 0}, follows)
		return 0
	}
	if r.previousTimestamp.IsZero() {
		r.trace.Start, r.previousTimestamp = entry.Timestamp, entry.Timestamp
		return 0
	}
	gap := entry.Timestamp.Sub(r.previousTimestamp)
	if gap < 0 && gap >= -r.rules.ReorderTolerance {
		r.repairs = addRepair(r.repairs, Repair{entry.Line, OutOfOrder, 1, gap, 0}, false)
		return 0 // r.previous stays, so that the next gap adds no extra time
	}
	r.previousTimestamp = entry.Timestamp
	switch {
	case gap < 0:
		r.repairs = append(r.repairs, Repair{entry.Line, JumpBack, 1, gap, r.typicalGap})
		return r.typicalGap
	case gap > r.rules.MaxGap && !r.rules.KeepGaps:
		r.repairs = append(r.repairs, Repair{entry.Line, JumpForward, 1, gap, r.typicalGap})
		return r.typicalGap
	}
	return gap
}

// addRepair adds a repair. If same is set and the last repair has the same kind, it increments the count of that one
// instead.
func addRepair(repairs []Repair, r Repair, mergeWithLast bool) []Repair {
	if n := len(repairs); n > 0 && mergeWithLast && repairs[n-1].Kind == r.Kind {
		repairs[n-1].Count++
		return repairs
	}
	return append(repairs, r)
}

// meanGap returns the mean of the gaps that are not jumps of the clock.
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

// spreadTimestamps spreads the records that have the same offset.
func (r *clockRepairer) spreadTimestamps() {
	records := r.trace.Records
	var fewRepair Repair
	for first := 0; first < len(records); {
		end := first + 1
		for end < len(records) && records[end].Offset == records[first].Offset {
			end++
		}
		if count := end - first; count >= minListedEntries {
			span := r.spread(first, end)
			r.repairs = append(r.repairs, Repair{r.entries[first].Line, RepeatedTimestamp, count, 0, span})
		} else if count > 1 {
			if fewRepair.Count == 0 {
				fewRepair = Repair{r.entries[first].Line, RepeatedFewTimestamps, 0, 0, 0}
			}
			fewRepair.Count += count
			fewRepair.Applied = max(fewRepair.Applied, r.spread(first, end))
		}
		first = end
	}
	if fewRepair.Count > 0 {
		r.repairs = append(r.repairs, fewRepair)
	}
	slices.SortStableFunc(r.repairs, func(a, b Repair) int { return a.Line - b.Line })
}

// spread spreads the records from first to before end evenly up to the next record, but over no more than the larger
// of maxSpread and their mean gaps. It returns the span.
func (r *clockRepairer) spread(first, end int) time.Duration {
	records, count := r.trace.Records, time.Duration(end-first)
	span := count * max(r.typicalGap, time.Microsecond)
	if end < len(records) {
		span = records[end].Offset - records[first].Offset
	}
	span = min(span, max(maxSpread, count*r.typicalGap))
	for i := range records[first:end] {
		records[first+i].Offset += span * time.Duration(i) / count
	}
	return span
}
