package store

import (
	"errors"
	"sync"
	"time"
)

// Limits configures the sizes of a store and the pace of its compaction. A field that is zero stands for its default.
type Limits struct {
	SegmentBytes int64 // when a segment reaches this size, the next segment is started
	MaxBytes     int64 // maximum size of all segments together
	// CompactionInterval is the minimum time between two steps of the compaction. Each step processes a part of a segment.
	CompactionInterval time.Duration
}

const (
	defaultSegmentBytes       = 4 << 20  // a few seconds of a busy gateway's writes; small enough to be compacted quickly
	defaultMaxBytes           = 64 << 20 // one day of requests of a gateway that accepts one load per second
	defaultCompactionInterval = 20 * time.Millisecond

	// deletionReserveSegments is the number of segments by which deletions may exceed MaxBytes, because deletions allow the compaction to
	// free space.
	deletionReserveSegments = 2

	// maxQueuedWrites limits the number of writes that wait for the disk. It allows for a few seconds of a busy gateway's writes,
	// which take a few megabytes of memory.
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

// Store is an open store. Its methods may be called by several goroutines at the same time. A single goroutine, the writer, does all
// writes; Open starts it and Close ends it.
type Store struct {
	folder Folder
	unlock func() error
	limits Limits

	// mu guards the fields from index to counts. Only the writer changes index and segments, so it may read segments without mu.
	mu       sync.Mutex
	index    index
	segments []*segment // oldest first, with consecutive numbers
	queue    []write
	failed   error // a *FailedError; nil while the store accepts writes
	closing  bool
	counts   Counts

	wake       chan struct{} // holds one element when the writer has something to do
	writerDone chan struct{} // closed when the writer has ended

	writerState
}

// writerState is used only by the writer goroutine, except that Open uses it before the goroutine starts and Close after it has ended.
type writerState struct {
	manifest         manifest
	lastSequence     uint64        // sequence number of the last record that was written
	syncedSequence   uint64        // sequence number of the last record that is known to survive a crash
	buffer           []byte        // encoded records that are written next
	meanSyncTime     time.Duration // moving average of the time that a sync takes
	lastBatchWaiters int           // number of writes in the last batch that had a callback
	unsyncedSince    time.Time     // when the oldest unsynced record was written; zero: all records are synced
	compactionOffset int64         // the compaction has processed the oldest segment up to this offset
	lastCompaction   time.Time
}

// Counts holds counters that start at zero when the store is opened.
type Counts struct {
	Writes    int64 // records written, including those that the compaction wrote again
	Syncs     int64 // syncs of the active segment
	Rewritten int64 // records that the compaction wrote again
	Bytes     int64 // bytes of the records written
	Rejected  int64 // writes rejected because the store, the disk or the queue was full
}

// write is a value or a deletion that is queued for the writer.
type write struct {
	key     Key
	deleted bool
	value   []byte
	done    func(error) // callback of Put or Delete; nil: the caller doesn't wait for the write
}

// Open opens the store in a folder, or creates one for the given owner. It calls replay for each record, in the order in which the
// records were written; the last record of a key determines its value. A torn record at the end of the log, as a crash leaves it, is
// cut off.
//
// Open returns ErrLocked if another process has opened the folder, an *OwnerError if the store in it belongs to another owner, and a
// *CorruptionError if the folder contains something that a crash can't have left. It doesn't repair corruption: even then it removes
// only compacted segments and a torn end of the log.
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

// Put sets a key's value. The store retains the slice value, so the caller must not change it. If done is not nil, it is called with
// nil once the value is synced and survives a crash, or with the reason why it may not survive: ErrFull, ErrBacklogFull, ErrClosed, a
// *ValueSizeError or a *FailedError. The writer goroutine calls done, or the caller's goroutine if the write is rejected at once. If
// done is nil, the value is synced within maxUnsyncedTime, and errors are not reported.
func (s *Store) Put(key Key, value []byte, done func(error)) {
	if len(value) > maxValueSize {
		if done != nil {
			done(&ValueSizeError{Bytes: len(value)})
		}
		return
	}
	s.enqueue(write{key: key, value: value, done: done})
}

// Delete removes a key's value. It calls done in the same way as Put.
func (s *Store) Delete(key Key, done func(error)) {
	s.enqueue(write{key: key, deleted: true, done: done})
}

func (s *Store) enqueue(w write) {
	s.mu.Lock()
	err := s.rejectionReason()
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

// rejectionReason returns the error with which a new write has to be rejected, or nil if it can be queued. The caller holds mu.
func (s *Store) rejectionReason() error {
	switch {
	case s.failed != nil:
		return s.failed
	case s.closing:
		return ErrClosed
	case len(s.queue) >= maxQueuedWrites:
		s.counts.Rejected++
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

// Get reads a key's value from the disk; ok is false if the key has no value. The error is a *CorruptionError if the record can't be
// decoded, or the error of reading the file.
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

// Err returns the *FailedError because of which the store rejects all writes, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Size returns the size of the log, the size of the records in it that hold a key's current value, and the number of keys with a value.
func (s *Store) Size() (bytes, liveBytes int64, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, segment := range s.segments {
		bytes += segment.size
		liveBytes += segment.liveBytes
	}
	return bytes, liveBytes, s.index.count
}

// Counts returns the counters of the store.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) countRejected(writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Rejected += int64(writes)
}

// Close writes and syncs the queued writes, records in the manifest that the store was closed, and unlocks the folder. A second call
// returns nil once the writer has ended.
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
