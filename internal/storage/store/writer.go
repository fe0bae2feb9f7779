package store

import (
	"fmt"
	"time"
)

// serve writes batches until the store is closed or has failed.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	rest := time.NewTimer(time.Hour)
	defer rest.Stop()
	for {
		rest.Reset(s.timeToNextWork())
		select {
		case <-s.wake:
		case <-rest.C:
		}
		s.waitForBatch()
		s.mu.Lock()
		batch, closing := s.queue, s.closing
		s.queue = nil
		s.mu.Unlock()
		err := s.commit(batch, closing)
		if err == nil {
			err = s.compact()
		}
		if err != nil {
			s.fail(err)
			return
		}
		if closing && len(batch) == 0 {
			return
		}
		if closing {
			s.wakeWriter()
		}
	}
}

// restFor is how long there is nothing to do if nothing comes.
func (s *Store) timeToNextWork() time.Duration {
	rest := time.Hour
	if !s.unsyncedSince.IsZero() {
		rest = max(0, maxUnsyncedTime-time.Since(s.unsyncedSince))
	}
	if s.needsCompaction() {
		rest = min(rest, max(0, s.limits.CompactionInterval-time.Since(s.lastCompaction)))
	}
	return rest
}

// gather waits a little for as many writers as the last batch had.
func (s *Store) waitForBatch() {
	if s.lastBatchWaiters < 2 {
		return
	}
	within := min(maxBatchWait, s.usualSyncTime/batchWaitShare)
	if within < minBatchWait {
		return
	}
	for by := time.Now().Add(within); time.Now().Before(by); {
		s.mu.Lock()
		waiters := 0
		for i := range s.queue {
			if s.queue[i].done != nil {
				waiters++
			}
		}
		closing := s.closing
		s.mu.Unlock()
		if waiters == 0 || waiters >= s.lastBatchWaiters || closing {
			return
		}
		time.Sleep(minBatchWait / 4)
	}
}

// fail has all writes that wait, and all to come, told that the store has failed.
func (s *Store) fail(err error) {
	failed := &FailedError{err}
	s.mu.Lock()
	s.failed = failed
	waiting := s.queue
	s.queue = nil
	s.mu.Unlock()
	for _, w := range waiting {
		if w.done != nil {
			w.done(failed)
		}
	}
}

// commit writes a batch and has it survive if somebody waits for it, or has waited long enough for nobody.
func (s *Store) commit(batch []write, closing bool) error {
	told := 0
	for told < len(batch) {
		n, err := s.writePart(batch[told:])
		if err != nil {
			s.rejectWrites(batch[told:], &FailedError{err})
			return err
		}
		told += n
	}
	s.lastBatchWaiters = 0
	for i := range batch {
		if batch[i].done != nil {
			s.lastBatchWaiters++
		}
	}
	if s.lastSequence > s.syncedSequence && s.unsyncedSince.IsZero() {
		s.unsyncedSince = time.Now()
	}
	if s.lastSequence > s.syncedSequence && (s.lastBatchWaiters > 0 || closing || time.Since(s.unsyncedSince) >= maxUnsyncedTime) {
		if err := s.syncActive(); err != nil {
			s.rejectWrites(batch, &FailedError{err})
			return err
		}
	}
	for i := range batch {
		if done := batch[i].done; done != nil {
			done(nil)
		}
	}
	return nil
}

// refuse tells those that wait why their writes may not survive.
func (s *Store) rejectWrites(batch []write, err error) {
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(err)
			batch[i].done = nil
		}
	}
}

func (s *Store) syncActive() error {
	began := time.Now()
	if err := s.activeSegment().file.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	took := time.Since(began)
	if s.usualSyncTime == 0 {
		s.usualSyncTime = took
	}
	s.usualSyncTime += (took - s.usualSyncTime) / 8
	s.syncedSequence, s.unsyncedSince = s.lastSequence, time.Time{}
	s.mu.Lock()
	s.counts.Syncs++
	s.mu.Unlock()
	return nil
}

func (s *Store) activeSegment() *segment { return s.segments[len(s.segments)-1] }

// some writes as many of a batch as go into the segment, at once, and returns how many are dealt with. What finds no room
// is refused and counts as dealt with.
func (s *Store) writePart(batch []write) (n int, err error) {
	if s.activeSegment().size >= s.limits.SegmentBytes {
		if s.lastSequence > s.syncedSequence { // only the last segment may be torn
			if err := s.syncActive(); err != nil {
				return 0, err
			}
		}
		if err := s.startSegment(); err != nil {
			return s.recoverFromFullDisk(batch, err)
		}
	}
	g := s.activeSegment()
	bytes, _, _ := s.Size()
	s.buffer = s.buffer[:0]
	var records []record
	for ; n < len(batch) && g.size+int64(len(s.buffer)) < s.limits.SegmentBytes; n++ {
		w := &batch[n]
		room := s.limits.MaxBytes
		if w.deleted {
			room += reserveSegments * s.limits.SegmentBytes
		}
		if bytes+int64(len(s.buffer)+recordHeaderSize+len(w.value)) > room {
			s.rejectWrites(batch[n:n+1], ErrFull)
			s.mu.Lock()
			s.counts.Refused++
			s.mu.Unlock()
			continue
		}
		r := record{sequence: s.lastSequence + 1 + uint64(len(records)), synced: s.syncedSequence, key: w.key, deleted: w.deleted, value: w.value}
		s.buffer = appendRecord(s.buffer, &r)
		records = append(records, r)
	}
	if len(records) == 0 {
		return n, nil
	}
	if err := s.appendRecords(g, records); err != nil {
		return s.recoverFromFullDisk(batch[:n], err)
	}
	return n, nil
}

// noRoom takes a write's error for a disk that is full where the file can be put back to what it was: then those writes
// are refused, and others may find room later.
func (s *Store) recoverFromFullDisk(batch []write, err error) (n int, again error) {
	if !isDiskFull(err) {
		return 0, err
	}
	if e := s.activeSegment().file.Truncate(s.activeSegment().size); e != nil {
		return 0, fmt.Errorf("%w, and its part can't be taken back: %w", err, e)
	}
	s.rejectWrites(batch, fmt.Errorf("%w: %w", ErrFull, err))
	s.mu.Lock()
	s.counts.Refused += int64(len(batch))
	s.mu.Unlock()
	return len(batch), nil
}

// append writes the buffer, which holds these records, to a segment, and has the index find them.
func (s *Store) appendRecords(g *segment, records []record) error {
	if n, err := g.file.Write(s.buffer); err != nil {
		return fmt.Errorf("write: %w", err)
	} else if n < len(s.buffer) {
		return fmt.Errorf("write: %d of %d bytes", n, len(s.buffer))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range records {
		r := &records[i]
		s.indexRecord(g, r, g.size)
		g.size += int64(r.size())
		s.lastSequence = r.sequence
	}
	s.counts.Writes += int64(len(records))
	s.counts.Bytes += int64(len(s.buffer))
	return nil
}

// compacting tells whether the oldest segment should go: half of what is closed no longer holds, or room is short.
func (s *Store) needsCompaction() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.segments) < 2 {
		return false
	}
	var bytes, live int64
	for _, g := range s.segments[:len(s.segments)-1] {
		bytes += g.size
		live += g.liveBytes
	}
	const short = 0.75 // of the bound: with the reserve there is room to write on meanwhile
	return live < bytes/2 || float64(bytes) > short*float64(s.limits.MaxBytes) && live < bytes-s.limits.SegmentBytes
}

// compact writes some live records of the oldest segment again, at the log's end. Once all of them survive there, the
// manifest says that the log begins with the next segment, and the file goes: deletions in it have nothing left to hide,
// as nothing older is there.
func (s *Store) compact() error {
	if !s.needsCompaction() || time.Since(s.lastCompaction) < s.limits.CompactionInterval {
		return nil
	}
	s.lastCompaction = time.Now()
	old := s.segments[0]
	if s.compactionOffset == 0 {
		s.compactionOffset = segmentHeaderSize
	}
	part := make([]byte, min(compactionBytes+recordHeaderSize+maxValueSize, old.size-s.compactionOffset))
	if n, err := old.file.ReadAt(part, s.compactionOffset); n < len(part) {
		return fmt.Errorf("%s: %w", segmentName(old.number), err)
	}
	var again []record
	s.buffer = s.buffer[:0]
	at := 0
	for at < len(part) && at < compactionBytes {
		r, ok := decodeRecord(part[at:])
		if !ok {
			return &CorruptionError{segmentName(old.number), s.compactionOffset + int64(at), "a record that was written there can't be read"}
		}
		s.mu.Lock()
		p, there := s.index.get(&r.key)
		s.mu.Unlock()
		if there && p.segment == uint32(old.number) && int64(p.offset) == s.compactionOffset+int64(at) {
			moved := record{sequence: s.lastSequence + 1 + uint64(len(again)), synced: s.syncedSequence, key: r.key, value: r.value}
			s.buffer = appendRecord(s.buffer, &moved)
			again = append(again, moved)
		}
		at += r.size()
	}
	if len(again) > 0 {
		if s.activeSegment().size >= s.limits.SegmentBytes {
			if s.lastSequence > s.syncedSequence {
				if err := s.syncActive(); err != nil {
					return err
				}
			}
			if err := s.startSegment(); err != nil {
				return s.postponeIfFull(err)
			}
		}
		if err := s.appendRecords(s.activeSegment(), again); err != nil {
			if _, err := s.recoverFromFullDisk(nil, err); err != nil {
				return err
			}
			return nil // the disk is full: once more, later
		}
		s.mu.Lock()
		s.counts.Rewritten += int64(len(again))
		s.mu.Unlock()
		if s.unsyncedSince.IsZero() {
			s.unsyncedSince = time.Now()
		}
	}
	if s.compactionOffset += int64(at); s.compactionOffset < old.size {
		return nil
	}
	if s.lastSequence > s.syncedSequence {
		if err := s.syncActive(); err != nil {
			return err
		}
	}
	h := make([]byte, segmentHeaderSize)
	if _, err := s.segments[1].file.ReadAt(h, 0); err != nil {
		return err
	}
	next, ok := decodeSegmentHeader(h)
	if !ok {
		return &CorruptionError{segmentName(s.segments[1].number), 0, "its head can't be read"}
	}
	before := s.manifest
	s.manifest.firstSegment, s.manifest.firstSequence = next.number, next.firstSequence
	if err := s.writeManifest(); err != nil {
		s.manifest = before
		return s.postponeIfFull(err)
	}
	s.mu.Lock()
	s.segments = s.segments[1:]
	s.mu.Unlock()
	s.compactionOffset = 0
	old.file.Close()
	return s.folder.Remove(segmentName(old.number))
}

// later puts off what a full disk did not allow; any other error is the store's end.
func (s *Store) postponeIfFull(err error) error {
	if isDiskFull(err) {
		return nil
	}
	return err
}
