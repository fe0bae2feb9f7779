// Package requestjournal keeps what is known of tasks across a crash: taken, handed off, ended, answered. It decides nothing of engines; it
// says what may have run and what was answered, and what must survive before a hand-off or an answer may go on its way. It
// does no I/O: records go to a Log, and come back from one.
package requestjournal

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"magpiebank/internal/admission"
)

// Key names a task in the log.
type Key [16]byte

// KeyOf is a task's key: an id of 16 letters is its own, a longer or shorter one is hashed.
func KeyOf(id admission.RequestID) (k Key) {
	if len(id) == len(k) {
		copy(k[:], id)
		return k
	}
	h := xxhash.Sum64String(string(id))
	binary.BigEndian.PutUint64(k[:], h)
	binary.BigEndian.PutUint64(k[8:], xxhash.Sum64String(string(id)+"\x00again"))
	return k
}

// Log keeps records. done, where there is one, is called once a record survives, or with why it may not; it may be called
// from any goroutine. Nobody waits where it is nil.
type Log interface {
	Put(key Key, record []byte, done func(error))
	Delete(key Key, done func(error))
}

// Outcome is a final answer.
type Outcome uint8

// The outcomes.
const (
	Open       Outcome = iota // there is none yet
	Delivered                 // with rows
	Nacked                    // it never ran, or may run again
	WrittenOff                // it may have run
	Left                      // its client stopped waiting
)

var outcomeNames = [...]string{"open", "delivered", "nacked", "written off", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

// Lane is what a ledger needs to know of a lane.
type Lane struct {
	Effect   admission.Effect
	Remember admission.Time // how long engines drop repeats of its deduplicated tasks
	Longest  admission.Time // that its clients wait
}

// strict tells whether records of the lane are waited for: a second run would do harm.
func (l *Lane) strict() bool { return l.Effect != admission.Idempotent }

// Entry is what is known of one task.
type Entry struct {
	Lane    int
	Taken   admission.Time // Unix time
	Cutoff  admission.Time
	Tries   int
	Out     bool // a hand-off is out, or was when the process died
	MayRan  bool // one went out whose end doesn't prove that nothing ran
	DoubtAt admission.Time
	Zone    int // of the engine of that hand-off
	Group   int
	Outcome Outcome
	Over    admission.Time // when it was answered
	Rows    [][]byte       // of the answer, where they are kept; as pages
	whole   bool           // all rows are there
	inHand  bool           // it was taken by this process
}

// mostRows bounds the rows that are kept of an answer: those of loads are a few, and a look-up's can be asked for again.
const mostRows = 8 << 10

// Whole tells whether the rows of a delivered answer are kept.
func (e *Entry) Whole() bool { return e.whole }

// Ledger is the state. One goroutine owns it.
type Ledger struct {
	log     Log
	lanes   []Lane
	entries map[Key]*Entry
	latest  admission.Time // the last time that any record tells
	line    []over         // answered tasks, in the order in which they may go
	left    []over         // tasks found open at the start, by their cut-offs
	keep    admission.Time
	space   int // entries that may be kept at all
	Counts  Counts
}

type over struct {
	key Key
	at  admission.Time
}

// Counts are since the start.
type Counts struct {
	Recovered, Doubtful       int   // tasks found open, and of them those that may have run
	Taken, Answered, Repeated int64 // repeated: asked for again, with a record
	Dropped                   int64 // for space
}

// leastKeep is how long answers are kept at the least: a client that comes back after a gateway's restart does so within
// its own patience and some tries, seconds as a rule.
const leastKeep = 60 * admission.Second

// New is a ledger for a site's lanes, with room for so many tasks.
func New(log Log, lanes []Lane, space int) *Ledger {
	l := &Ledger{log: log, lanes: lanes, entries: map[Key]*Entry{}, keep: leastKeep, space: space}
	for _, lane := range lanes {
		// Never before the rules' windows are past: a repeat within them must be known for one.
		l.keep = max(l.keep, lane.Remember+lane.Longest, 2*lane.Longest)
	}
	return l
}

// Replay takes in a record from the log, in the order in which they were written.
func (l *Ledger) Replay(key Key, record []byte, gone bool) error {
	if gone {
		delete(l.entries, key)
		return nil
	}
	e, err := decode(record, len(l.lanes))
	if err != nil {
		return err
	}
	l.entries[key] = e
	l.latest = max(l.latest, e.Taken, e.Over, e.DoubtAt)
	return nil
}

// Recover ends the replay: what was out when the process died may have run, for all that is known. A task of a lane that may
// not run twice is written off, and that is recorded; others stay as they are, and go on if they are asked for again.
func (l *Ledger) Recover(now admission.Time) {
	now = l.time(now)
	for key, e := range l.entries {
		if e.Outcome != Open {
			l.line = append(l.line, over{key, e.Over})
			continue
		}
		l.Counts.Recovered++
		if e.Out {
			e.Out, e.MayRan = false, true
		}
		if e.MayRan {
			l.Counts.Doubtful++
		}
		lane := &l.lanes[e.Lane]
		switch {
		case e.MayRan && lane.Effect == admission.Unrepeatable, e.MayRan && lane.Effect == admission.Deduplicated && !l.within(e, now):
			l.end(key, e, WrittenOff, now, nil, nil)
		case now >= e.Cutoff:
			l.end(key, e, Nacked, now, nil, nil)
		default:
			l.log.Put(key, e.encode(), nil)
			l.left = append(l.left, over{key, e.Cutoff})
		}
	}
	sortLine(l.line)
	sortLine(l.left)
}

// time is the clock, which doesn't go back behind what any record tells, also over a restart.
func (l *Ledger) time(now admission.Time) admission.Time {
	l.latest = max(l.latest, now)
	return l.latest
}

// within tells whether engines still drop a repeat.
func (l *Ledger) within(e *Entry, now admission.Time) bool {
	return now < e.DoubtAt+l.lanes[e.Lane].Remember
}

// Standing is what is known of a task that a client asks for.
type Standing uint8

// The standings.
const (
	Unknown  Standing = iota // nothing: it is a new one
	Answered                 // it was answered
	Again                    // it was in hand when the process died, and may go on under its rules
)

// Ask tells what is known of a task.
func (l *Ledger) Ask(id admission.RequestID) (s Standing, e *Entry) {
	e = l.entries[KeyOf(id)]
	switch {
	case e == nil:
		return Unknown, nil
	case e.Outcome != Open:
		l.Counts.Repeated++
		return Answered, e
	}
	l.Counts.Repeated++
	return Again, e
}

// Take takes a task in, or one that is known on again. The record goes out without being waited for: without it a client
// that asks again finds a new task, and nothing has run.
func (l *Ledger) Take(now admission.Time, id admission.RequestID, lane int, cutoff admission.Time) *Entry {
	now = l.time(now)
	key := KeyOf(id)
	e := l.entries[key]
	if e == nil {
		l.room()
		e = &Entry{Lane: lane, Taken: now}
		l.entries[key] = e
	}
	e.Cutoff, e.inHand = cutoff, true
	l.Counts.Taken++
	l.log.Put(key, e.encode(), nil)
	return e
}

// room drops the oldest answers where there are too many entries.
func (l *Ledger) room() {
	for len(l.entries) >= l.space && len(l.line) > 0 {
		l.drop(l.line[0].key)
		l.line = l.line[1:]
		l.Counts.Dropped++
	}
}

func (l *Ledger) drop(key Key) {
	delete(l.entries, key)
	l.log.Delete(key, nil)
}

// Going records that a hand-off is about to go out. For a lane whose tasks may not run twice, may is called once that
// survives, or with why it may not, and before it not a byte may go to the engine; wait tells of that. Else the hand-off
// may go out at once.
func (l *Ledger) Going(now admission.Time, id admission.RequestID, zone, group int, may func(error)) (wait bool) {
	now = l.time(now)
	key := KeyOf(id)
	e := l.entries[key]
	if e == nil {
		return false
	}
	e.Tries++
	e.Out = true
	if !e.MayRan { // the first one that is in doubt says where repeats are dropped, and from when on
		e.DoubtAt, e.Zone, e.Group = now, zone, group
	}
	if l.lanes[e.Lane].strict() {
		l.log.Put(key, e.encode(), may)
		return true
	}
	l.log.Put(key, e.encode(), nil)
	return false
}

// Ended records how a hand-off ended.
func (l *Ledger) Ended(now admission.Time, id admission.RequestID, neverRan bool) {
	l.time(now)
	key := KeyOf(id)
	e := l.entries[key]
	if e == nil || !e.Out {
		return
	}
	if e.Out = false; !neverRan {
		e.MayRan = true
	}
	if e.Outcome == Open {
		l.log.Put(key, e.encode(), nil)
	}
}

// End records a final answer. For a lane whose tasks may not run twice may is called once it survives, and before it the
// client must not see the answer: else another could be given after a crash. wait tells of that; else it may see it at once.
func (l *Ledger) End(now admission.Time, id admission.RequestID, outcome Outcome, rows [][]byte, may func(error)) (wait bool) {
	now = l.time(now)
	key := KeyOf(id)
	e := l.entries[key]
	if e == nil || e.Outcome != Open {
		return false
	}
	l.Counts.Answered++
	if l.lanes[e.Lane].strict() && e.Tries > 0 {
		l.end(key, e, outcome, now, rows, may)
		return true
	}
	l.end(key, e, outcome, now, rows, nil)
	return false
}

func (l *Ledger) end(key Key, e *Entry, outcome Outcome, now admission.Time, rows [][]byte, done func(error)) {
	e.Outcome, e.Over, e.Out = outcome, now, false
	size := 0
	for _, r := range rows {
		size += len(r)
	}
	if e.whole = size <= mostRows && outcome == Delivered; e.whole {
		e.Rows = rows
	}
	l.log.Put(key, e.encode(), done)
	l.line = append(l.line, over{key, now})
}

// Due forgets what was answered long enough ago, and ends what was found open at the start and nobody asked for again.
func (l *Ledger) Due(now admission.Time) {
	now = l.time(now)
	for len(l.left) > 0 && now >= l.left[0].at {
		key := l.left[0].key
		l.left = l.left[1:]
		if e := l.entries[key]; e != nil && e.Outcome == Open && !e.inHand {
			outcome := Nacked
			if e.MayRan && l.lanes[e.Lane].strict() {
				outcome = WrittenOff
			}
			l.end(key, e, outcome, now, nil, nil)
		}
	}
	for len(l.line) > 0 && now-l.line[0].at >= l.keep {
		l.drop(l.line[0].key)
		l.line = l.line[1:]
	}
}

// Len is how many tasks it knows.
func (l *Ledger) Len() int { return len(l.entries) }

// Each calls f for all tasks, in no order that means anything.
func (l *Ledger) Each(f func(key Key, e *Entry)) {
	for k, e := range l.entries {
		f(k, e)
	}
}

// recordVersion begins each record.
const recordVersion = 1

// The flags of a record.
const (
	flagOut = 1 << iota
	flagMayRan
	flagWhole
)

func (e *Entry) encode() []byte {
	flags := byte(0)
	if e.Out {
		flags |= flagOut
	}
	if e.MayRan {
		flags |= flagMayRan
	}
	if e.whole {
		flags |= flagWhole
	}
	b := []byte{recordVersion, flags, byte(e.Outcome)}
	for _, v := range []int64{int64(e.Lane), int64(e.Taken), int64(e.Cutoff), int64(e.Tries), int64(e.DoubtAt), int64(e.Zone), int64(e.Group), int64(e.Over)} {
		b = binary.AppendVarint(b, v)
	}
	if e.whole {
		b = binary.AppendUvarint(b, uint64(len(e.Rows)))
		for _, r := range e.Rows {
			b = binary.AppendUvarint(b, uint64(len(r)))
			b = append(b, r...)
		}
	}
	return b
}

// ErrRecord tells of a record that is none of this version.
var ErrRecord = errors.New("not a record of a task, or of another version")

// Decode reads a record without a site's lanes, for tools.
func Decode(b []byte) (*Entry, error) { return decode(b, 1<<16) }

func decode(b []byte, lanes int) (*Entry, error) {
	if len(b) < 3 || b[0] != recordVersion || int(b[2]) >= len(outcomeNames) {
		return nil, ErrRecord
	}
	e := &Entry{Out: b[1]&flagOut != 0, MayRan: b[1]&flagMayRan != 0, whole: b[1]&flagWhole != 0, Outcome: Outcome(b[2])}
	b = b[3:]
	var v [8]int64
	for i := range v {
		n := 0
		if v[i], n = binary.Varint(b); n <= 0 {
			return nil, ErrRecord
		}
		b = b[n:]
	}
	e.Lane, e.Taken, e.Cutoff, e.Tries = int(v[0]), admission.Time(v[1]), admission.Time(v[2]), int(v[3])
	e.DoubtAt, e.Zone, e.Group, e.Over = admission.Time(v[4]), int(v[5]), int(v[6]), admission.Time(v[7])
	if e.Lane < 0 || e.Lane >= lanes {
		return nil, ErrRecord
	}
	if e.whole {
		rows, n := binary.Uvarint(b)
		if n <= 0 || rows > uint64(len(b)) {
			return nil, ErrRecord
		}
		for b = b[n:]; rows > 0; rows-- {
			size, n := binary.Uvarint(b)
			if n <= 0 || size > uint64(len(b)-n) {
				return nil, ErrRecord
			}
			e.Rows = append(e.Rows, append([]byte(nil), b[n:n+int(size)]...))
			b = b[n+int(size):]
		}
	}
	if len(b) > 0 {
		return nil, ErrRecord
	}
	return e, nil
}

// sortLine puts answered tasks into the order in which they may go; keys decide among those of one time.
func sortLine(line []over) {
	slices.SortFunc(line, func(a, b over) int {
		return cmp.Or(cmp.Compare(a.at, b.at), slices.Compare(a.key[:], b.key[:]))
	})
}
