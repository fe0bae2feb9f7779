// Package requestjournal records what a gateway has to know about requests after a crash: that a request was accepted, that an
// attempt was sent to an engine, how the attempt ended and which final answer the client got. Its methods report whether a record has
// to be durable before an attempt or an answer may leave the gateway.
//
// The package makes no routing decisions and does no I/O: it writes records to a Log, and the caller replays them after a restart.
package requestjournal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"magpiebank/internal/admission"
)

// Key identifies a request in the log.
type Key [16]byte

// KeyOf returns the key of a request. An ID of exactly 16 bytes is used as it is; any other ID is hashed.
func KeyOf(id admission.RequestID) (key Key) {
	if len(id) == len(key) {
		copy(key[:], id)
		return key
	}
	binary.BigEndian.PutUint64(key[:], xxhash.Sum64String(string(id)))
	binary.BigEndian.PutUint64(key[8:], xxhash.Sum64String(string(id)+"\x00again"))
	return key
}

// Log stores records by key. Put and Delete return before the change is durable. If done is not nil, it is called with nil once the
// change survives a crash, or with the reason why it may not survive. Any goroutine may call it.
type Log interface {
	Put(key Key, record []byte, done func(error))
	Delete(key Key, done func(error))
}

// Class contains the properties of a request class that the journal needs.
type Class struct {
	Effect      admission.RepeatEffect
	DedupWindow admission.Time // how long engines drop repeats of the class's deduplicated requests
	LongestWait admission.Time // how long clients wait for an answer at most
}

// repeatHasEffect reports whether the class's requests have effects that a second run may repeat, so that their records have to be
// durable before an attempt or an answer leaves the gateway.
func (c *Class) repeatHasEffect() bool { return c.Effect != admission.Idempotent }

// Journal holds the records of all requests that are not forgotten yet. Only one goroutine may use it at a time.
type Journal struct {
	log        Log
	classes    []Class
	entries    map[Key]*Entry
	latestTime admission.Time // the latest time in any call or replayed record
	answered   []timedKey     // answered requests, in the order in which they are forgotten
	recovered  []timedKey     // requests found pending at the start, sorted by deadline
	retention  admission.Time // how long answered requests are kept
	maxEntries int
	Counts     Counts
}

// Counts holds numbers of requests since the start of the process.
type Counts struct {
	Recovered int   // requests found pending at the start
	Uncertain int   // recovered requests that may have run
	Accepted  int64 // requests accepted by this process, including repeats of recovered ones
	Answered  int64 // requests answered through RecordAnswer
	Repeated  int64 // lookups that found a record
	Evicted   int64 // answers forgotten before the end of the retention because maxEntries was reached
}

// minRetention is the minimum time for which answers are kept. A client that reconnects after a restart of the gateway does so within
// its own timeout and a few retries, which usually take seconds.
const minRetention = 60 * admission.Second

// New returns an empty journal for the given request classes. When it holds maxEntries requests and accepts another, it forgets the
// oldest answer. Pending requests are never forgotten, even if there are more than maxEntries.
func New(log Log, classes []Class, maxEntries int) *Journal {
	j := &Journal{log: log, classes: classes, entries: map[Key]*Entry{}, retention: minRetention, maxEntries: maxEntries}
	for _, class := range classes {
		// Entries are kept for longer than the deduplication window, so that the journal recognizes a repeat within the window.
		j.retention = max(j.retention, class.DedupWindow+class.LongestWait, 2*class.LongestWait)
	}
	return j
}

// advanceClock returns now, or the latest time in any call or record if the wall clock was set back, even during a restart.
func (j *Journal) advanceClock(now admission.Time) admission.Time {
	j.latestTime = max(j.latestTime, now)
	return j.latestTime
}

// withinDedupWindow reports whether engines still drop a repeat of the request.
func (j *Journal) withinDedupWindow(entry *Entry, now admission.Time) bool {
	return now < entry.UncertainSince+j.classes[entry.Class].DedupWindow
}

// Status is the state of a request in the journal.
type Status uint8

// The statuses of a request.
const (
	Unknown   Status = iota // there is no record, so the request is new
	Answered                // the request has a final answer
	Resumable               // the request is pending, as after a crash, and may continue under the rules of its class
)

// Lookup returns the status and the entry of a request; the entry is nil if and only if the status is Unknown.
func (j *Journal) Lookup(id admission.RequestID) (Status, *Entry) {
	entry := j.entries[KeyOf(id)]
	if entry == nil {
		return Unknown, nil
	}
	j.Counts.Repeated++
	if entry.Outcome != Pending {
		return Answered, entry
	}
	return Resumable, entry
}

// Accept records that a request was accepted, or that a recovered request continues. The caller doesn't have to wait until the record is
// durable: if a crash loses it, no attempt was sent, and a repeat of the request is accepted as a new one.
func (j *Journal) Accept(now admission.Time, id admission.RequestID, class int, deadline admission.Time) *Entry {
	now = j.advanceClock(now)
	key := KeyOf(id)
	entry := j.entries[key]
	if entry == nil {
		j.evictAnswers()
		entry = &Entry{Class: class, AcceptedAt: now}
		j.entries[key] = entry
	}
	entry.Deadline, entry.acceptedHere = deadline, true
	j.Counts.Accepted++
	j.log.Put(key, entry.encode(), nil)
	return entry
}

// evictAnswers forgets the oldest answers until the journal holds fewer than maxEntries requests or there are no more answers.
func (j *Journal) evictAnswers() {
	for len(j.entries) >= j.maxEntries && len(j.answered) > 0 {
		j.forget(j.answered[0].key)
		j.answered = j.answered[1:]
		j.Counts.Evicted++
	}
}

func (j *Journal) forget(key Key) {
	delete(j.entries, key)
	j.log.Delete(key, nil)
}

// BeginAttempt records that an attempt is about to be sent to an engine of the given zone and group. If mustWait is true, no byte may be
// sent to the engine before onDurable is called with nil; if onDurable is called with an error, the attempt must not be sent. If mustWait
// is false, the attempt may be sent at once, and onDurable is never called.
func (j *Journal) BeginAttempt(now admission.Time, id admission.RequestID, zone, group int, onDurable func(error)) (mustWait bool) {
	now = j.advanceClock(now)
	key := KeyOf(id)
	entry := j.entries[key]
	if entry == nil {
		return false
	}
	entry.Attempts++
	entry.InFlight = true
	if !entry.MayHaveRun {
		// The first attempt that may have run determines which engines drop repeats and when their deduplication window begins.
		entry.UncertainSince, entry.Zone, entry.Group = now, zone, group
	}
	if j.classes[entry.Class].repeatHasEffect() {
		j.log.Put(key, entry.encode(), onDurable)
		return true
	}
	j.log.Put(key, entry.encode(), nil)
	return false
}

// EndAttempt records how an attempt ended. neverRan reports that the engine is known to have executed nothing of it.
func (j *Journal) EndAttempt(now admission.Time, id admission.RequestID, neverRan bool) {
	j.advanceClock(now)
	key := KeyOf(id)
	entry := j.entries[key]
	if entry == nil || !entry.InFlight {
		return
	}
	entry.InFlight = false
	if !neverRan {
		entry.MayHaveRun = true
	}
	if entry.Outcome == Pending {
		j.log.Put(key, entry.encode(), nil)
	}
}

// RecordAnswer records a final answer; pages are the rows if the outcome is Served. If mustWait is true, the answer must not be sent to
// the client before onDurable is called, because after a crash the client could get a different answer. If mustWait is false, the answer
// may be sent at once, and onDurable is never called.
func (j *Journal) RecordAnswer(now admission.Time, id admission.RequestID, outcome Outcome, pages [][]byte, onDurable func(error)) (mustWait bool) {
	now = j.advanceClock(now)
	key := KeyOf(id)
	entry := j.entries[key]
	if entry == nil || entry.Outcome != Pending {
		return false
	}
	j.Counts.Answered++
	mustWait = j.classes[entry.Class].repeatHasEffect() && entry.Attempts > 0
	if !mustWait {
		onDurable = nil
	}
	entry.setAnswer(now, outcome, pages)
	j.storeAnswer(key, entry, onDurable)
	return mustWait
}

// storeAnswer writes an entry whose answer was just set, and adds it to the entries that are forgotten after the retention.
func (j *Journal) storeAnswer(key Key, entry *Entry, onDurable func(error)) {
	j.log.Put(key, entry.encode(), onDurable)
	j.answered = append(j.answered, timedKey{key, entry.AnsweredAt})
}

// Tick answers recovered requests whose deadline has passed without a repeat, and forgets answers that are older than the retention.
func (j *Journal) Tick(now admission.Time) {
	now = j.advanceClock(now)
	for len(j.recovered) > 0 && now >= j.recovered[0].at {
		key := j.recovered[0].key
		j.recovered = j.recovered[1:]
		j.expireRecovered(now, key)
	}
	for len(j.answered) > 0 && now-j.answered[0].at >= j.retention {
		j.forget(j.answered[0].key)
		j.answered = j.answered[1:]
	}
}

// expireRecovered answers a recovered request that is still pending and that its client hasn't repeated before the deadline.
func (j *Journal) expireRecovered(now admission.Time, key Key) {
	entry := j.entries[key]
	if entry == nil || entry.Outcome != Pending || entry.acceptedHere {
		return
	}
	outcome := Rejected
	if entry.MayHaveRun && j.classes[entry.Class].repeatHasEffect() {
		outcome = Failed
	}
	entry.setAnswer(now, outcome, nil)
	j.storeAnswer(key, entry, nil)
}

// Len returns the number of requests in the journal.
func (j *Journal) Len() int { return len(j.entries) }

// ForEach calls visit for each request in the journal, in no particular order.
func (j *Journal) ForEach(visit func(key Key, entry *Entry)) {
	for key, entry := range j.entries {
		visit(key, entry)
	}
}
