// Package requestjournal records what must be known of requests after a crash of the gateway: that a request was accepted,
// that an attempt was sent to an engine, how the attempt ended and which final answer the client got. It tells the caller
// when a record has to be durable before an attempt or an answer may leave the gateway.
//
// The package makes no routing decisions and does no I/O: records are written to a Log and are replayed from one.
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

// Log stores records by key. Put and Delete return before the record is durable. done, where it is not nil, is called once
// the record survives a crash, or with the reason why it may not; it may be called from any goroutine.
type Log interface {
	Put(key Key, record []byte, done func(error))
	Delete(key Key, done func(error))
}

// Class is what the journal needs to know of a request class.
type Class struct {
	Effect      admission.RepeatEffect
	DedupWindow admission.Time // for which engines drop repeats of its deduplicated requests
	LongestWait admission.Time // of its clients for an answer
}

// isNonIdempotent reports whether a second execution of the class's requests does harm, so that their records have to be
// durable before anything leaves the gateway.
func (c *Class) isNonIdempotent() bool { return c.Effect != admission.Idempotent }

// Journal is the state of all requests that are on record. It must be used by one goroutine at a time.
type Journal struct {
	log        Log
	classes    []Class
	entries    map[Key]*Entry
	latestTime admission.Time // the latest time seen in a call or in a replayed record
	answered   []expiry       // answered requests, the first to be forgotten first
	recovered  []expiry       // requests found pending at the start, by their deadlines
	retention  admission.Time // for which answered requests are kept
	maxEntries int
	Counts     Counts
}

// Counts are numbers of requests since the start.
type Counts struct {
	Recovered int   // found pending at the start
	Uncertain int   // of those, the ones that may have run
	Accepted  int64 // by this process, recovered ones included
	Answered  int64
	Repeated  int64 // lookups that found a record
	Evicted   int64 // answers forgotten before their time, because maxEntries was reached
}

// minRetention is the least time for which answers are kept: a client that reconnects after a restart of the gateway does so
// within its own timeout and a few retries, which take seconds as a rule.
const minRetention = 60 * admission.Second

// New returns an empty journal for the given request classes, which holds at most maxEntries requests.
func New(log Log, classes []Class, maxEntries int) *Journal {
	j := &Journal{log: log, classes: classes, entries: map[Key]*Entry{}, retention: minRetention, maxEntries: maxEntries}
	for _, class := range classes {
		// Entries outlive the deduplication window, so that a repeat within the window is recognized.
		j.retention = max(j.retention, class.DedupWindow+class.LongestWait, 2*class.LongestWait)
	}
	return j
}

// advanceClock returns now, or the latest time on record if the wall clock was set back, also across a restart.
func (j *Journal) advanceClock(now admission.Time) admission.Time {
	j.latestTime = max(j.latestTime, now)
	return j.latestTime
}

// withinDedupWindow reports whether engines still drop a repeat of the request.
func (j *Journal) withinDedupWindow(entry *Entry, now admission.Time) bool {
	return now < entry.UncertainSince+j.classes[entry.Class].DedupWindow
}

// Status is what the journal knows of a request that a client sends.
type Status uint8

// The statuses.
const (
	Unknown   Status = iota // no record: it is a new request
	Answered                // it has a final answer
	Resumable               // it was pending when the gateway died and may go on under the rules of its class
)

// Lookup returns what is known of a request; the entry is nil if and only if the status is Unknown.
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

// Accept records that a request was accepted, or that a recovered one goes on. Nobody has to wait for the record: if it is
// lost, a client that repeats the request finds it new, and nothing of it has run.
func (j *Journal) Accept(now admission.Time, id admission.RequestID, class int, deadline admission.Time) *Entry {
	now = j.advanceClock(now)
	key := KeyOf(id)
	entry := j.entries[key]
	if entry == nil {
		j.makeRoom()
		entry = &Entry{Class: class, AcceptedAt: now}
		j.entries[key] = entry
	}
	entry.Deadline, entry.acceptedHere = deadline, true
	j.Counts.Accepted++
	j.log.Put(key, entry.encode(), nil)
	return entry
}

// makeRoom forgets the oldest answers while the journal is full.
func (j *Journal) makeRoom() {
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

// BeginAttempt records that an attempt is about to be sent to an engine of the given zone and group. If mustWait is true, no
// byte may go to the engine before onDurable is called with nil; called with an error, the attempt must not be sent. If
// mustWait is false, the attempt may be sent at once and onDurable is never called.
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
		// The first uncertain attempt determines where engines drop repeats, and from when on.
		entry.UncertainSince, entry.Zone, entry.Group = now, zone, group
	}
	if j.classes[entry.Class].isNonIdempotent() {
		j.log.Put(key, entry.encode(), onDurable)
		return true
	}
	j.log.Put(key, entry.encode(), nil)
	return false
}

// EndAttempt records how an attempt ended: neverRan tells that the engine is known not to have executed any of it.
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

// RecordAnswer records a final answer; pages are the rows of a served one. If mustWait is true, the client must not see the
// answer before onDurable is called, because after a crash it could get another one. If mustWait is false, the client may
// see it at once and onDurable is never called.
func (j *Journal) RecordAnswer(now admission.Time, id admission.RequestID, outcome Outcome, pages [][]byte, onDurable func(error)) (mustWait bool) {
	now = j.advanceClock(now)
	key := KeyOf(id)
	entry := j.entries[key]
	if entry == nil || entry.Outcome != Pending {
		return false
	}
	j.Counts.Answered++
	mustWait = j.classes[entry.Class].isNonIdempotent() && entry.Attempts > 0
	if !mustWait {
		onDurable = nil
	}
	entry.setAnswer(now, outcome, pages)
	j.storeAnswer(key, entry, onDurable)
	return mustWait
}

// storeAnswer writes an entry that has just got its answer, and has it forgotten when the retention is over.
func (j *Journal) storeAnswer(key Key, entry *Entry, onDurable func(error)) {
	j.log.Put(key, entry.encode(), onDurable)
	j.answered = append(j.answered, expiry{key, entry.AnsweredAt})
}

// Tick forgets answers whose retention is over, and answers recovered requests whose deadline has passed without a repeat.
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

// expireRecovered answers a recovered request that no client has repeated before its deadline.
func (j *Journal) expireRecovered(now admission.Time, key Key) {
	entry := j.entries[key]
	if entry == nil || entry.Outcome != Pending || entry.acceptedHere {
		return
	}
	outcome := Rejected
	if entry.MayHaveRun && j.classes[entry.Class].isNonIdempotent() {
		outcome = Failed
	}
	entry.setAnswer(now, outcome, nil)
	j.storeAnswer(key, entry, nil)
}

// Len returns the number of requests on record.
func (j *Journal) Len() int { return len(j.entries) }

// ForEach calls visit for each request on record, in no particular order.
func (j *Journal) ForEach(visit func(key Key, entry *Entry)) {
	for key, entry := range j.entries {
		visit(key, entry)
	}
}
