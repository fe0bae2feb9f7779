package store

import (
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Limits bound a store; a zero figure is the usual one.
type Limits struct {
	SegmentBytes int64 // bytes at which a segment is closed and the next begun
	MaxBytes     int64 // bytes that all may take
	// Rewrite is the least time between two parts of the oldest segment that are rewritten.
	CompactionInterval time.Duration
}

// The usual limits, and what holds within them.
const (
	defaultSegmentBytes = 4 << 20  // a few seconds of a busy gateway, and quickly rewritten
	defaultMaxBytes     = 64 << 20 // a day of outcomes of a gateway that takes a load a second
	// What goes beyond the bound for records that free space: deletions, and live records of the segment that is to go.
	reserveSegments = 2
	// Records that nobody waits for survive after so long at the latest.
	maxUnsyncedTime = 50 * time.Millisecond
	// The part of a sync's usual time for which a batch waits for as many as the last one had, and the most: a sync costs
	// what it costs, so a little more to share it among many pays, and none where writers come one by one.
	batchWaitShare = 8
	maxBatchWait   = 2 * time.Millisecond
	minBatchWait   = 200 * time.Microsecond // a sleep that is shorter takes longer than it says
	// Records that may wait for the disk: some seconds of a busy gateway, in some megabytes. Beyond, those that nobody waits for
	// are left out, which a crash might have done too, and the others are refused.
	maxQueuedWrites = 1 << 16
	// Live records of the oldest segment are written again at most so fast, so that running writes have the disk.
	compactionBytes           = 256 << 10
	defaultCompactionInterval = 20 * time.Millisecond
)

// The errors of writes.
var (
	ErrFull        = errors.New("the store is full")
	ErrClosed      = errors.New("the store is closed")
	ErrBacklogFull = errors.New("the disk is too far behind")
)

// Failed is the error of all writes after one whose end is not known: the system's word for what was written before
// can't be trusted any more, and trying again as if nothing had happened would make it a lie.
type FailedError struct{ Cause error }

func (f *FailedError) Error() string { return "the store has failed: " + f.Cause.Error() }
func (f *FailedError) Unwrap() error { return f.Cause }

// Damage is a place in a file that holds what no crash leaves.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

func (d *CorruptionError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", d.File, d.Offset, d.Reason)
}

// Found tells what there was when a store was opened.
type RecoveryReport struct {
	Fresh     bool  // nothing
	Segments  int   // files of the log
	Records   int   // read
	LiveKeys  int   // of them with a value that still holds
	TornBytes int64 // bytes of a torn tail
	Duration  time.Duration
}

type segment struct {
	number    uint64
	file      File
	size      int64
	liveBytes int64 // bytes of records that the index points to
}

// Store is an open store. Its calls may come from many goroutines.
type Store struct {
	folder Folder
	unlock func() error
	limits Limits

	mu       sync.Mutex // of what follows
	index    index
	segments []*segment // oldest first
	queue    []write
	failed   error
	closing  bool
	counts   Counts

	wake       chan struct{}
	writerDone chan struct{}

	// The writer's.
	manifest         manifest
	lastSequence     uint64 // sequence of the last record written
	syncedSequence   uint64 // and of the last known to survive
	buffer           []byte
	usualSyncTime    time.Duration // usual
	lastBatchWaiters int           // of the last batch
	unsyncedSince    time.Time     // since when something written isn't synced; zero: all is
	compactionOffset int64         // up to where the oldest segment was rewritten
	lastCompaction   time.Time
}

// Counts are of one store since it was opened.
type Counts struct {
	Writes, Syncs, Rewritten int64 // records, syncs, and live records written again
	Bytes                    int64 // written
	Refused                  int64 // for want of room, or as the disk was behind
}

type write struct {
	key     Key
	deleted bool
	value   []byte
	done    func(error) // nil: nobody waits for it
}

// Open opens a folder's store for its owner, or makes one. Each record that was written is told in order, so that the last
// one told of a key holds. A torn tail is cut; what no crash leaves is a *Damage, and nothing is changed.
func Open(folder Folder, owner string, limits Limits, told func(key Key, value []byte, gone bool)) (s *Store, found RecoveryReport, err error) {
	began := time.Now()
	if limits.SegmentBytes == 0 {
		limits.SegmentBytes = defaultSegmentBytes
	}
	if limits.MaxBytes == 0 {
		limits.MaxBytes = defaultMaxBytes
	}
	if limits.CompactionInterval == 0 {
		limits.CompactionInterval = defaultCompactionInterval
	}
	s = &Store{folder: folder, limits: limits, wake: make(chan struct{}, 1), writerDone: make(chan struct{})}
	if s.unlock, err = folder.Lock(); err != nil {
		return nil, found, err
	}
	defer func() {
		if err != nil {
			for _, g := range s.segments {
				g.file.Close()
			}
			s.unlock()
			s = nil
		}
	}()
	if err = s.recoverLog(owner, told, &found); err != nil {
		return s, found, err
	}
	found.Duration = time.Since(began)
	go s.runWriter()
	return s, found, nil
}

// read reads the folder and leaves it as one that goes on.
func (s *Store) recoverLog(owner string, told func(Key, []byte, bool), found *RecoveryReport) error {
	names, err := s.folder.Names()
	if err != nil {
		return err
	}
	var numbers []uint64
	for _, name := range names {
		if n, ok := segmentNumber(name); ok {
			numbers = append(numbers, n)
		}
	}
	if !slices.Contains(names, manifestName) {
		if len(numbers) > 0 {
			return &CorruptionError{manifestName, 0, fmt.Sprintf("it is missing, though %s is there", segmentName(numbers[0]))}
		}
		found.Fresh = true
		s.manifest = manifest{owner: owner, firstSegment: 1, firstSequence: 1}
		rand.Read(s.manifest.storeID[:])
	} else {
		b, err := readAll(s.folder, manifestName)
		if err != nil {
			return err
		}
		ok := false
		if s.manifest, ok = decodeManifest(b); !ok {
			return &CorruptionError{manifestName, 0, "it can't be read"}
		}
		if s.manifest.owner != owner {
			return fmt.Errorf("%s: the folder belongs to %q, not to %q", manifestName, s.manifest.owner, owner)
		}
	}
	want := s.manifest.firstSegment
	s.lastSequence = s.manifest.firstSequence - 1
	for i, n := range numbers {
		if n < s.manifest.firstSegment { // rewritten, and not removed before the process died
			if err := s.folder.Remove(segmentName(n)); err != nil {
				return err
			}
			continue
		}
		if n != want {
			return &CorruptionError{segmentName(want), 0, fmt.Sprintf("it is missing, though %s is there", segmentName(n))}
		}
		if err := s.recoverSegment(n, i == len(numbers)-1, told, found); err != nil {
			return err
		}
		want++
	}
	if s.manifest.closedAtSequence > s.lastSequence {
		return &CorruptionError{segmentName(want - 1), s.activeEnd(), fmt.Sprintf("records up to %d are missing, which were there when it was closed", s.manifest.closedAtSequence)}
	}
	s.syncedSequence = s.lastSequence
	found.Segments, found.LiveKeys = len(s.segments), s.index.count
	s.manifest.closedAtSequence = 0
	if err := s.writeManifest(); err != nil {
		return err
	}
	if len(s.segments) == 0 {
		return s.startSegment()
	}
	return nil
}

func (s *Store) activeEnd() int64 {
	if len(s.segments) == 0 {
		return 0
	}
	return s.segments[len(s.segments)-1].size
}

func readAll(folder Folder, name string) ([]byte, error) {
	f, err := folder.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); n < len(b) {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return b, nil
}

// readSegment reads one segment. Only the last may end in what a crash left of it.
func (s *Store) recoverSegment(number uint64, last bool, told func(Key, []byte, bool), found *RecoveryReport) error {
	name := segmentName(number)
	f, err := s.folder.Open(name)
	if err != nil {
		return err
	}
	size, err := f.Size()
	b := make([]byte, size)
	if err == nil {
		if n, e := f.ReadAt(b, 0); n < len(b) {
			err = fmt.Errorf("%s: %w", name, e)
		}
	}
	if err != nil {
		f.Close()
		return err
	}
	h, ok := decodeSegmentHeader(b)
	if !ok || h.storeID != s.manifest.storeID || h.number != number || h.firstSequence != s.lastSequence+1 {
		f.Close()
		if !last || hasLaterRecord(b, s.lastSequence+1, 0) {
			return &CorruptionError{name, 0, "its head can't be read, or is another store's"}
		}
		// The process died while it made the file: records come only once its head survives.
		found.TornBytes += size
		return s.folder.Remove(name)
	}
	g := &segment{number: number, file: f, size: segmentHeaderSize}
	s.segments = append(s.segments, g)
	for g.size < size {
		r, ok := decodeRecord(b[g.size:])
		if !ok || r.sequence != s.lastSequence+1 {
			break
		}
		s.lastSequence = r.sequence
		found.Records++
		s.indexRecord(g, &r, g.size)
		g.size += int64(r.size())
		told(r.key, r.value, r.deleted)
	}
	if g.size == size {
		return nil
	}
	// What is not whole is a torn tail if nothing behind it says that it was to survive.
	if !last || hasLaterRecord(b[g.size:], s.lastSequence+1, s.lastSequence+1) {
		return &CorruptionError{name, g.size, fmt.Sprintf("record %d can't be read, and what follows tells that it was written", s.lastSequence+1)}
	}
	found.TornBytes += size - g.size
	if err := f.Truncate(g.size); err != nil {
		return err
	}
	return f.Sync()
}

// later tells whether a whole record stands anywhere in b that has a later sequence and says that one up to synced survived.
func hasLaterRecord(b []byte, sequence, synced uint64) bool {
	const ahead = 1 << 24 // more records than a segment holds: what claims more is none
	for at := range b {
		if b[at] != recordMark && b[at] != deletionMark {
			continue
		}
		if r, ok := decodeRecord(b[at:]); ok && r.sequence >= sequence && r.sequence < sequence+ahead && r.synced >= synced {
			return true
		}
	}
	return false
}

// point has the index find a record, and counts what lives where. The caller has mu, or is alone.
func (s *Store) indexRecord(g *segment, r *record, at int64) {
	var old location
	var had bool
	if r.deleted {
		old, had = s.index.remove(&r.key)
	} else {
		old, had = s.index.put(location{key: r.key, segment: uint32(g.number), offset: uint32(at), size: uint32(r.size())})
		g.liveBytes += int64(r.size())
	}
	if had {
		s.segmentByNumber(old.segment).liveBytes -= int64(old.size)
	}
}

// segment finds one by its number; the numbers of those that are there follow on each other.
func (s *Store) segmentByNumber(number uint32) *segment {
	return s.segments[number-uint32(s.segments[0].number)]
}

// writeManifest puts the manifest in the place of the one before.
func (s *Store) writeManifest() error {
	if names, err := s.folder.Names(); err != nil {
		return err
	} else if slices.Contains(names, newManifestName) {
		if err := s.folder.Remove(newManifestName); err != nil {
			return err
		}
	}
	f, err := s.folder.Create(newManifestName)
	if err != nil {
		return err
	}
	if _, err = f.Write(s.manifest.encode()); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.folder.Rename(newManifestName, manifestName); err != nil {
		return err
	}
	return s.folder.SyncNames()
}

// begin makes the next segment. All that was written before survives by then, so that only the last one can be torn.
func (s *Store) startSegment() error {
	number := s.manifest.firstSegment
	if n := len(s.segments); n > 0 {
		number = s.segments[n-1].number + 1
	}
	f, err := s.folder.Create(segmentName(number))
	if err != nil {
		return err
	}
	h := segmentHeader{storeID: s.manifest.storeID, number: number, firstSequence: s.lastSequence + 1}
	if _, err = f.Write(h.encode()); err == nil {
		if err = f.Sync(); err == nil {
			err = s.folder.SyncNames()
		}
	}
	if err != nil {
		f.Close()
		return errors.Join(err, s.folder.Remove(segmentName(number)))
	}
	s.mu.Lock()
	s.segments = append(s.segments, &segment{number: number, file: f, size: segmentHeaderSize})
	s.mu.Unlock()
	return nil
}

// Put sets a key's value. done is told, by the store's goroutine, once it survives a crash, or why it may not; where it is
// nil nobody waits, and the value survives some time later. The store keeps value.
func (s *Store) Put(key Key, value []byte, done func(error)) {
	if len(value) > maxValueSize {
		if done != nil {
			done(fmt.Errorf("a value of %d bytes, the most is %d", len(value), maxValueSize))
		}
		return
	}
	s.enqueue(write{key: key, value: value, done: done})
}

// Delete has a key have no value.
func (s *Store) Delete(key Key, done func(error)) {
	s.enqueue(write{key: key, deleted: true, done: done})
}

func (s *Store) enqueue(w write) {
	s.mu.Lock()
	err := s.failed
	if s.closing && err == nil {
		err = ErrClosed
	}
	if err == nil && len(s.queue) >= maxQueuedWrites {
		err = ErrBacklogFull
		s.counts.Refused++
	}
	if err == nil {
		s.queue = append(s.queue, w)
	}
	s.mu.Unlock()
	if err != nil {
		if w.done != nil {
			w.done(err)
		}
		return
	}
	s.wakeWriter()
}

func (s *Store) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Get reads a key's value.
func (s *Store) Get(key Key) (value []byte, ok bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.index.get(&key)
	if !ok {
		return nil, false, nil
	}
	r, err := s.readAt(p)
	return r.value, err == nil, err
}

// at reads the record at a place.
func (s *Store) readAt(p location) (record, error) {
	g := s.segmentByNumber(p.segment)
	b := make([]byte, p.size)
	if n, err := g.file.ReadAt(b, int64(p.offset)); n < len(b) {
		return record{}, err
	}
	r, ok := decodeRecord(b)
	if !ok || r.key != p.key {
		return record{}, &CorruptionError{segmentName(g.number), int64(p.offset), "a record that was written there can't be read"}
	}
	return r, nil
}

// Err is why the store takes no more writes; nil: it takes them.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// Size is how many bytes its log takes, how many of them live, and how many keys have a value.
func (s *Store) Size() (bytes, live int64, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.segments {
		bytes += g.size
		live += g.liveBytes
	}
	return bytes, live, s.index.count
}

// Counts are what it has done since it was opened.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Close writes what waits, notes that it is closed in order, and lets the folder go.
func (s *Store) Close() error {
	s.mu.Lock()
	again := s.closing
	s.closing = true
	s.mu.Unlock()
	s.wakeWriter()
	<-s.writerDone
	if again {
		return nil
	}
	err := s.Err()
	if err == nil {
		s.manifest.closedAtSequence = s.lastSequence
		err = s.writeManifest()
	}
	for _, g := range s.segments {
		err = errors.Join(err, g.file.Close())
	}
	return errors.Join(err, s.unlock())
}
