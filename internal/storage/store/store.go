package store

import (
	"errors"
	"sync"
	"time"
)

// Limits bound a store. A field that is zero stands for its default.
type Limits struct {
	SegmentBytes int64 // a segment of this size is closed, and the next one started
	MaxBytes     int64 // of all segments together
	// CompactionInterval is the least time between two steps of the compaction, each of which rewrites a part of a segment.
	CompactionInterval time.Duration
}

const (
	defaultSegmentBytes       = 4 << 20  // some seconds of writes of a busy gateway, and quickly rewritten
	defaultMaxBytes           = 64 << 20 // a day of requests of a gateway that takes one load a second
	defaultCompactionInterval = 20 * time.Millisecond

	// reserveSegments is how many segments deletions may take beyond MaxBytes, because deletions free space.
	reserveSegments = 2

	// maxQueuedWrites bounds the writes that wait for the disk: some seconds of a busy gateway, in some megabytes.
	maxQueuedWrites = 1 << 16
)

func (l Limits) withDefaults() Limits {
	if l.SegmentBytes == 0 {
		l.SegmentBytes = defaultSegmentBytes
	}
	if l.MaxBytes == 0 {
		l.MaxBytes = defaultMaxBytes
	}
	if l.CompactionInterval == 0 {
		l.CompactionInterval = defaultCompactionInterval
	}
	return l
}

// Store is an open store. Its methods may be called by many goroutines at a time. One goroutine, started by Open and ended by
// Close, does all writes.
type Store struct {
	folder Folder
	unlock func() error
	limits Limits

	// mu guards the fields up to counts. Only the writer changes index and segments, so that it reads segments without mu.
	mu       sync.Mutex
	index    index
	segments []*segment // oldest first; their numbers are consecutive
	queue    []write
	failed   error // a *FailedError; nil while the store takes writes
	closing  bool
	counts   Counts

	wake       chan struct{} // has one element while the writer has something to do
	writerDone chan struct{} // closed when the writer has ended

	writerState
}

// writerState belongs to the writer goroutine. Open uses it before the goroutine starts and Close after it has ended.
type writerState struct {
	manifest         manifest
	lastSequence     uint64 // of the last record that was written
	syncedSequence   uint64 // of the last record that is known to survive a crash
	buffer           []byte
	meanSyncTime     time.Duration // moving average
	lastBatchWaiters int           // writes of the last batch that somebody waited for
	unsyncedSince    time.Time     // zero: everything written is synced
	compactionOffset int64         // up to which the oldest segment is rewritten
	lastCompaction   time.Time
}

// Counts are numbers since the store was opened.
type Counts struct {
	Writes    int64 // records written, rewritten ones included
	Syncs     int64
	Rewritten int64 // records that the compaction wrote again
	Bytes     int64 // written
	Refused   int64 // writes for which there was no room, or that found the backlog full
}

// write is a record that waits for the writer.
type write struct {
	key     Key
	deleted bool
	value   []byte
	done    func(error) // nil: nobody waits
}

// Open opens the store in a folder, or makes one for the given owner. It calls replay for each record, in the order in which
// the records were written: the last record of a key holds. A torn tail, as a crash leaves it, is cut off.
//
// Open returns ErrLocked if another process has the folder, an *OwnerError if it belongs to another owner, and a
// *CorruptionError, with the folder unchanged, if it holds something that no crash leaves.
func Open(folder Folder, owner string, limits Limits, replay func(key Key, value []byte, deleted bool)) (*Store, RecoveryReport, error) {
	began := time.Now()
	var report RecoveryReport
	unlock, err := folder.Lock()
	if err != nil {
		return nil, report, err
	}
	s := &Store{
		folder:     folder,
		unlock:     unlock,
		limits:     limits.withDefaults(),
		wake:       make(chan struct{}, 1),
		writerDone: make(chan struct{}),
	}
	if err := s.recoverLog(owner, replay, &report); err != nil {
		return nil, report, errors.Join(err, s.closeSegments(), s.unlock())
	}
	report.Duration = time.Since(began)
	go s.runWriter()
	return s, report, nil
}

// Put sets a key's value, which the store keeps. If done is not nil, it is called once the value is synced and so survives a
// crash, or with the reason why it may not: ErrFull, ErrBacklogFull, ErrClosed, a *ValueSizeError or a *FailedError. It is
// called by the writer goroutine, or by the caller's if the write is not taken at all. If done is nil, the value is synced
// within maxUnsyncedTime, and an error is not reported.
func (s *Store) Put(key Key, value []byte, done func(error)) {
	if len(value) > maxValueSize {
		if done != nil {
			done(&ValueSizeError{Bytes: len(value)})
		}
		return
	}
	s.enqueue(write{key: key, value: value, done: done})
}

// Delete removes a key's value. It is a write as Put is, and done is called in the same way.
func (s *Store) Delete(key Key, done func(error)) {
	s.enqueue(write{key: key, deleted: true, done: done})
}

func (s *Store) enqueue(w write) {
	s.mu.Lock()
	err := s.refusalReason()
	if err == nil {
		s.queue = append(s.queue, w)
	}
	s.mu.Unlock()
	if err == nil {
		s.wakeWriter()
	} else if w.done != nil {
		w.done(err)
	}
}

// refusalReason returns why no write is taken now, or nil. The caller holds mu.
func (s *Store) refusalReason() error {
	switch {
	case s.failed != nil:
		return s.failed
	case s.closing:
		return ErrClosed
	case len(s.queue) >= maxQueuedWrites:
		s.counts.Refused++
		return ErrBacklogFull
	}
	return nil
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Get reads a key's value from the disk; ok is false if it has none. The error is a *CorruptionError if the record can't be
// decoded, or one of the file.
func (s *Store) Get(key Key) (value []byte, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	location, ok := s.index.get(&key)
	if !ok {
		return nil, false, nil
	}
	r, err := s.readAt(location)
	return r.value, err == nil, err
}

// readAt reads the record at a location. The caller holds mu.
func (s *Store) readAt(l location) (record, error) {
	segment := s.segmentByNumber(l.segment)
	b := make([]byte, l.size)
	if n, err := segment.file.ReadAt(b, int64(l.offset)); n < len(b) {
		return record{}, err
	}
	r, ok := decodeRecord(b)
	if !ok || r.key != l.key {
		return record{}, unreadableRecord(segment, int64(l.offset))
	}
	return r, nil
}

// Err returns the *FailedError because of which the store takes no more writes, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Size returns the bytes that the log takes, the bytes of those records that still hold, and the number of keys with a value.
func (s *Store) Size() (bytes, liveBytes int64, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, segment := range s.segments {
		bytes += segment.size
		liveBytes += segment.liveBytes
	}
	return bytes, liveBytes, s.index.count
}

// Counts returns what the store has done since it was opened.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) countRefused(writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused += int64(writes)
}

// Close writes and syncs what is queued, notes in the manifest that the store was closed, and unlocks the folder. A second
// call returns nil once the writer has ended.
func (s *Store) Close() error {
	s.mu.Lock()
	alreadyClosing := s.closing
	s.closing = true
	s.mu.Unlock()
	s.wakeWriter()
	<-s.writerDone
	if alreadyClosing {
		return nil
	}
	err := s.Err()
	if err == nil {
		s.manifest.closedAtSequence = s.lastSequence
		err = s.writeManifest()
	}
	return errors.Join(err, s.closeSegments(), s.unlock())
}

func (s *Store) closeSegments() (err error) {
	for _, segment := range s.segments {
		err = errors.Join(err, segment.file.Close())
	}
	return err
}
