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
	Pending   Outcome = iota // there is none yet
	Served                   // with rows
	Rejected                 // it never ran, or may run again
	Failed                   // it may have run
	Abandoned                // its client stopped waiting
)

var outcomeNames = [...]string{"open", "delivered", "nacked", "written off", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

// Lane is what a ledger needs to know of a lane.
type Class struct {
	Effect      admission.Effect
	DedupWindow admission.Time // how long engines drop repeats of its deduplicated tasks
	LongestWait admission.Time // that its clients wait
}

// strict tells whether records of the lane are waited for: a second run would do harm.
func (l *Class) isNonIdempotent() bool { return l.Effect != admission.Idempotent }

// Entry is what is known of one task.
type Entry struct {
	Class          int
	AcceptedAt     admission.Time // Unix time
	Deadline       admission.Time
	Attempts       int
	InFlight       bool // a hand-off is out, or was when the process died
	MayHaveRun     bool // one went out whose end doesn't prove that nothing ran
	UncertainSince admission.Time
	Zone           int // of the engine of that hand-off
	Group          int
	Outcome        Outcome
	AnsweredAt     admission.Time // when it was answered
	Pages          [][]byte       // of the answer, where they are kept; as pages
	complete       bool           // all rows are there
	acceptedHere   bool           // it was taken by this process
}

// mostRows bounds the rows that are kept of an answer: those of loads are a few, and a look-up's can be asked for again.
const maxPageBytes = 8 << 10

// Whole tells whether the rows of a delivered answer are kept.
func (e *Entry) Complete() bool { return e.complete }

// Ledger is the state. One goroutine owns it.
type Journal struct {
	log        Log
	classes    []Class
	entries    map[Key]*Entry
	latestTime admission.Time // the last time that any record tells
	answered   []expiry       // answered tasks, in the order in which they may go
	recovered  []expiry       // tasks found open at the start, by their cut-offs
	retention  admission.Time
	maxEntries int // entries that may be kept at all
	Counts     Counts
}

type expiry struct {
	key Key
	at  admission.Time
}

// Counts are since the start.
type Counts struct {
	Recovered, Uncertain         int   // tasks found open, and of them those that may have run
	Accepted, Answered, Repeated int64 // repeated: asked for again, with a record
	Evicted                      int64 // for space
}

// leastKeep is how long answers are kept at the least: a client that comes back after a gateway's restart does so within
// its own patience and some tries, seconds as a rule.
const minRetention = 60 * admission.Second

// New is a ledger for a site's lanes, with room for so many tasks.
func New(log Log, lanes []Class, space int) *Journal {
	l := &Journal{log: log, classes: lanes, entries: map[Key]*Entry{}, retention: minRetention, maxEntries: space}
	for _, lane := range lanes {
		// Never before the rules' windows are past: a repeat within them must be known for one.
		l.retention = max(l.retention, lane.DedupWindow+lane.LongestWait, 2*lane.LongestWait)
	}
	return l
}

// Replay takes in a record from the log, in the order in which they were written.
func (l *Journal) Replay(key Key, record []byte, gone bool) error {
	if gone {
		delete(l.entries, key)
		return nil
	}
	e, err := decode(record, len(l.classes))
	if err != nil {
		return err
	}
	l.entries[key] = e
	l.latestTime = max(l.latestTime, e.AcceptedAt, e.AnsweredAt, e.UncertainSince)
	return nil
}

// Recover ends the replay: what was out when the process died may have run, for all that is known. A task of a lane that may
// not run twice is written off, and that is recorded; others stay as they are, and go on if they are asked for again.
func (l *Journal) Recover(now admission.Time) {
	now = l.advanceClock(now)
	for key, e := range l.entries {
		if e.Outcome != Pending {
			l.answered = append(l.answered, expiry{key, e.AnsweredAt})
			continue
		}
		l.Counts.Recovered++
		if e.InFlight {
			e.InFlight, e.MayHaveRun = false, true
		}
		if e.MayHaveRun {
			l.Counts.Uncertain++
		}
		lane := &l.classes[e.Class]
		switch {
		case e.MayHaveRun && lane.Effect == admission.Unrepeatable, e.MayHaveRun && lane.Effect == admission.Deduplicated && !l.withinDedupWindow(e, now):
			l.recordAnswer(key, e, Failed, now, nil, nil)
		case now >= e.Deadline:
			l.recordAnswer(key, e, Rejected, now, nil, nil)
		default:
			l.log.Put(key, e.encode(), nil)
			l.recovered = append(l.recovered, expiry{key, e.Deadline})
		}
	}
	sortByExpiry(l.answered)
	sortByExpiry(l.recovered)
}

// time is the clock, which doesn't go back behind what any record tells, also over a restart.
func (l *Journal) advanceClock(now admission.Time) admission.Time {
	l.latestTime = max(l.latestTime, now)
	return l.latestTime
}

// within tells whether engines still drop a repeat.
func (l *Journal) withinDedupWindow(e *Entry, now admission.Time) bool {
	return now < e.UncertainSince+l.classes[e.Class].DedupWindow
}

// Standing is what is known of a task that a client asks for.
type Status uint8

// The standings.
const (
	Unknown   Status = iota // nothing: it is a new one
	Answered                // it was answered
	Resumable               // it was in hand when the process died, and may go on under its rules
)

// Ask tells what is known of a task.
func (l *Journal) Lookup(id admission.RequestID) (s Status, e *Entry) {
	e = l.entries[KeyOf(id)]
	switch {
	case e == nil:
		return Unknown, nil
	case e.Outcome != Pending:
		l.Counts.Repeated++
		return Answered, e
	}
	l.Counts.Repeated++
	return Resumable, e
}

// Take takes a task in, or one that is known on again. The record goes out without being waited for: without it a client
// that asks again finds a new task, and nothing has run.
func (l *Journal) Accept(now admission.Time, id admission.RequestID, lane int, cutoff admission.Time) *Entry {
	now = l.advanceClock(now)
	key := KeyOf(id)
	e := l.entries[key]
	if e == nil {
		l.makeRoom()
		e = &Entry{Class: lane, AcceptedAt: now}
		l.entries[key] = e
	}
	e.Deadline, e.acceptedHere = cutoff, true
	l.Counts.Accepted++
	l.log.Put(key, e.encode(), nil)
	return e
}

// room drops the oldest answers where there are too many entries.
func (l *Journal) makeRoom() {
	for len(l.entries) >= l.maxEntries && len(l.answered) > 0 {
		l.forget(l.answered[0].key)
		l.answered = l.answered[1:]
		l.Counts.Evicted++
	}
}

func (l *Journal) forget(key Key) {
	delete(l.entries, key)
	l.log.Delete(key, nil)
}

// Going records that a hand-off is about to go out. For a lane whose tasks may not run twice, may is called once that
// survives, or with why it may not, and before it not a byte may go to the engine; wait tells of that. Else the hand-off
// may go out at once.
func (l *Journal) BeginAttempt(now admission.Time, id admission.RequestID, zone, group int, may func(error)) (wait bool) {
	now = l.advanceClock(now)
	key := KeyOf(id)
	e := l.entries[key]
	if e == nil {
		return false
	}
	e.Attempts++
	e.InFlight = true
	if !e.MayHaveRun { // the first one that is in doubt says where repeats are dropped, and from when on
		e.UncertainSince, e.Zone, e.Group = now, zone, group
	}
	if l.classes[e.Class].isNonIdempotent() {
		l.log.Put(key, e.encode(), may)
		return true
	}
	l.log.Put(key, e.encode(), nil)
	return false
}

// Ended records how a hand-off ended.
func (l *Journal) EndAttempt(now admission.Time, id admission.RequestID, neverRan bool) {
	l.advanceClock(now)
	key := KeyOf(id)
	e := l.entries[key]
	if e == nil || !e.InFlight {
		return
	}
	if e.InFlight = false; !neverRan {
		e.MayHaveRun = true
	}
	if e.Outcome == Pending {
		l.log.Put(key, e.encode(), nil)
	}
}

// End records a final answer. For a lane whose tasks may not run twice may is called once it survives, and before it the
// client must not see the answer: else another could be given after a crash. wait tells of that; else it may see it at once.
func (l *Journal) RecordAnswer(now admission.Time, id admission.RequestID, outcome Outcome, rows [][]byte, may func(error)) (wait bool) {
	now = l.advanceClock(now)
	key := KeyOf(id)
	e := l.entries[key]
	if e == nil || e.Outcome != Pending {
		return false
	}
	l.Counts.Answered++
	if l.classes[e.Class].isNonIdempotent() && e.Attempts > 0 {
		l.recordAnswer(key, e, outcome, now, rows, may)
		return true
	}
	l.recordAnswer(key, e, outcome, now, rows, nil)
	return false
}

func (l *Journal) recordAnswer(key Key, e *Entry, outcome Outcome, now admission.Time, rows [][]byte, done func(error)) {
	e.Outcome, e.AnsweredAt, e.InFlight = outcome, now, false
	size := 0
	for _, r := range rows {
		size += len(r)
	}
	if e.complete = size <= maxPageBytes && outcome == Served; e.complete {
		e.Pages = rows
	}
	l.log.Put(key, e.encode(), done)
	l.answered = append(l.answered, expiry{key, now})
}

// Due forgets what was answered long enough ago, and ends what was found open at the start and nobody asked for again.
func (l *Journal) Tick(now admission.Time) {
	now = l.advanceClock(now)
	for len(l.recovered) > 0 && now >= l.recovered[0].at {
		key := l.recovered[0].key
		l.recovered = l.recovered[1:]
		if e := l.entries[key]; e != nil && e.Outcome == Pending && !e.acceptedHere {
			outcome := Rejected
			if e.MayHaveRun && l.classes[e.Class].isNonIdempotent() {
				outcome = Failed
			}
			l.recordAnswer(key, e, outcome, now, nil, nil)
		}
	}
	for len(l.answered) > 0 && now-l.answered[0].at >= l.retention {
		l.forget(l.answered[0].key)
		l.answered = l.answered[1:]
	}
}

// Len is how many tasks it knows.
func (l *Journal) Len() int { return len(l.entries) }

// Each calls f for all tasks, in no order that means anything.
func (l *Journal) ForEach(f func(key Key, e *Entry)) {
	for k, e := range l.entries {
		f(k, e)
	}
}

// recordVersion begins each record.
const recordVersion = 1

// The flags of a record.
const (
	flagInFlight = 1 << iota
	flagMayHaveRun
	flagComplete
)

func (e *Entry) encode() []byte {
	flags := byte(0)
	if e.InFlight {
		flags |= flagInFlight
	}
	if e.MayHaveRun {
		flags |= flagMayHaveRun
	}
	if e.complete {
		flags |= flagComplete
	}
	b := []byte{recordVersion, flags, byte(e.Outcome)}
	for _, v := range []int64{int64(e.Class), int64(e.AcceptedAt), int64(e.Deadline), int64(e.Attempts), int64(e.UncertainSince), int64(e.Zone), int64(e.Group), int64(e.AnsweredAt)} {
		b = binary.AppendVarint(b, v)
	}
	if e.complete {
		b = binary.AppendUvarint(b, uint64(len(e.Pages)))
		for _, r := range e.Pages {
			b = binary.AppendUvarint(b, uint64(len(r)))
			b = append(b, r...)
		}
	}
	return b
}

// ErrRecord tells of a record that is none of this version.
var ErrInvalidRecord = errors.New("not a record of a task, or of another version")

// Decode reads a record without a site's lanes, for tools.
func Decode(b []byte) (*Entry, error) { return decode(b, 1<<16) }

func decode(b []byte, lanes int) (*Entry, error) {
	if len(b) < 3 || b[0] != recordVersion || int(b[2]) >= len(outcomeNames) {
		return nil, ErrInvalidRecord
	}
	e := &Entry{InFlight: b[1]&flagInFlight != 0, MayHaveRun: b[1]&flagMayHaveRun != 0, complete: b[1]&flagComplete != 0, Outcome: Outcome(b[2])}
	b = b[3:]
	var v [8]int64
	for i := range v {
		n := 0
		if v[i], n = binary.Varint(b); n <= 0 {
			return nil, ErrInvalidRecord
		}
		b = b[n:]
	}
	e.Class, e.AcceptedAt, e.Deadline, e.Attempts = int(v[0]), admission.Time(v[1]), admission.Time(v[2]), int(v[3])
	e.UncertainSince, e.Zone, e.Group, e.AnsweredAt = admission.Time(v[4]), int(v[5]), int(v[6]), admission.Time(v[7])
	if e.Class < 0 || e.Class >= lanes {
		return nil, ErrInvalidRecord
	}
	if e.complete {
		rows, n := binary.Uvarint(b)
		if n <= 0 || rows > uint64(len(b)) {
			return nil, ErrInvalidRecord
		}
		for b = b[n:]; rows > 0; rows-- {
			size, n := binary.Uvarint(b)
			if n <= 0 || size > uint64(len(b)-n) {
				return nil, ErrInvalidRecord
			}
			e.Pages = append(e.Pages, append([]byte(nil), b[n:n+int(size)]...))
			b = b[n+int(size):]
		}
	}
	if len(b) > 0 {
		return nil, ErrInvalidRecord
	}
	return e, nil
}

// sortLine puts answered tasks into the order in which they may go; keys decide among those of one time.
func sortByExpiry(line []expiry) {
	slices.SortFunc(line, func(a, b expiry) int {
		return cmp.Or(cmp.Compare(a.at, b.at), slices.Compare(a.key[:], b.key[:]))
	})
}
