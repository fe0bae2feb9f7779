package store

import (
	"fmt"
	"time"
)

const (
	// maxUnsyncedTime is the maximum time until records without a callback are synced.
	maxUnsyncedTime = 50 * time.Millisecond

	// Before the writer takes a batch, it waits until as many writes with a callback are queued as the last batch had. It waits at
	// most for the mean sync time divided by batchWaitDivisor, and at most for maxBatchWait. The cost of a sync hardly depends on
	// the number of records, so callers gain more from sharing a sync than they lose by the wait.
	batchWaitDivisor     = 8
	maxBatchWait         = 2 * time.Millisecond
	minBatchWait         = 200 * time.Microsecond // if the limit is shorter, the writer doesn't wait, as short sleeps overrun
	pollsPerMinBatchWait = 4                      // checks of the queue per minBatchWait

	syncTimeSmoothing = 8 // each new sync time contributes 1/syncTimeSmoothing to the moving average

	maxIdleTime = time.Hour // the writer checks for work after this time even if it was not woken up
)

// runWriter writes batches and compacts the log until the store is closed or has failed.
func (s *Store) runWriter() {
	defer close(s.writerDone)
	timer := time.NewTimer(maxIdleTime)
	defer timer.Stop()
	for {
		timer.Reset(s.timeToNextWork())
		select {
		case <-s.wake:
		case <-timer.C:
		}
		s.waitForBatch()
		batch, closing := s.takeQueue()
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

func (s *Store) takeQueue() (batch []write, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch, s.queue = s.queue, nil
	return batch, s.closing
}

// timeToNextWork returns how long the writer may sleep if no write is queued meanwhile.
func (s *Store) timeToNextWork() time.Duration {
	sleep := maxIdleTime
	if !s.unsyncedSince.IsZero() {
		sleep = max(0, maxUnsyncedTime-time.Since(s.unsyncedSince))
	}
	if s.needsCompaction() {
		sleep = min(sleep, max(0, s.limits.CompactionInterval-time.Since(s.lastCompaction)))
	}
	return sleep
}

// waitForBatch waits for a short time until as many writes with a callback are queued as the last batch had.
func (s *Store) waitForBatch() {
	if s.lastBatchWaiters < 2 {
		return
	}
	maxWait := min(maxBatchWait, s.meanSyncTime/batchWaitDivisor)
	if maxWait < minBatchWait {
		return
	}
	deadline := time.Now().Add(maxWait)
	for time.Now().Before(deadline) {
		waiters, closing := s.queuedWaiters()
		if waiters == 0 || waiters >= s.lastBatchWaiters || closing {
			return
		}
		time.Sleep(minBatchWait / pollsPerMinBatchWait)
	}
}

func (s *Store) queuedWaiters() (waiters int, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return countWaiters(s.queue), s.closing
}

// countWaiters returns the number of writes with a callback.
func countWaiters(batch []write) (waiters int) {
	for i := range batch {
		if batch[i].done != nil {
			waiters++
		}
	}
	return waiters
}

// fail marks the store as failed and rejects all queued writes. Later writes are rejected at once.
func (s *Store) fail(cause error) {
	failed := &FailedError{cause}
	s.mu.Lock()
	s.failed = failed
	queued := s.queue
	s.queue = nil
	s.mu.Unlock()
	rejectWrites(queued, failed)
}

// commit writes a batch. It syncs the log if a write of the batch has a callback, if the store is closing, or if records have been
// unsynced for maxUnsyncedTime.
func (s *Store) commit(batch []write, closing bool) error {
	for written := 0; written < len(batch); {
		n, err := s.writeNext(batch[written:])
		if err != nil {
			rejectWrites(batch[written:], &FailedError{err})
			return err
		}
		written += n
	}
	s.lastBatchWaiters = countWaiters(batch)
	s.markUnsynced()
	unsynced := s.lastSequence > s.syncedSequence
	if unsynced && (s.lastBatchWaiters > 0 || closing || time.Since(s.unsyncedSince) >= maxUnsyncedTime) {
		if err := s.syncActive(); err != nil {
			rejectWrites(batch, &FailedError{err})
			return err
		}
	}
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(nil)
		}
	}
	return nil
}

// markUnsynced sets unsyncedSince if there are unsynced records and it isn't set yet.
func (s *Store) markUnsynced() {
	if s.lastSequence > s.syncedSequence && s.unsyncedSince.IsZero() {
		s.unsyncedSince = time.Now()
	}
}

// rejectWrites calls the callbacks of writes with the reason why the writes may not survive a crash, and clears them, so that they are
// not called again.
func rejectWrites(batch []write, reason error) {
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(reason)
			batch[i].done = nil
		}
	}
}

// syncActive syncs the active segment. Afterwards all records written so far survive a crash.
func (s *Store) syncActive() error {
	began := time.Now()
	if err := s.activeSegment().file.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	took := time.Since(began)
	if s.meanSyncTime == 0 {
		s.meanSyncTime = took
	}
	s.meanSyncTime += (took - s.meanSyncTime) / syncTimeSmoothing
	s.syncedSequence, s.unsyncedSince = s.lastSequence, time.Time{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Syncs++
	return nil
}

// rollSegment starts the next segment if the active one has reached its maximum size. It syncs the active segment first, because only
// the last segment may end with a torn record. canReject reports whether an error left the active segment unchanged, so that the
// caller can reject writes on a full disk instead of failing the store.
func (s *Store) rollSegment() (canReject bool, err error) {
	if s.activeSegment().size < s.limits.SegmentBytes {
		return false, nil
	}
	if s.lastSequence > s.syncedSequence {
		if err := s.syncActive(); err != nil {
			return false, err
		}
	}
	return true, s.startSegment()
}

// writeNext writes as many writes of a batch as fit into the active segment, in one operation. It returns how many writes of the batch
// are finished, including those that were rejected because the store or the disk is full.
func (s *Store) writeNext(batch []write) (n int, err error) {
	canReject, err := s.rollSegment()
	if err != nil && canReject {
		return s.rejectIfDiskFull(batch, err)
	}
	if err != nil {
		return 0, err
	}
	active := s.activeSegment()
	n, records := s.encodeBatch(batch, active.size)
	if len(records) == 0 {
		return n, nil
	}
	if err := s.appendRecords(active, records); err != nil {
		return s.rejectIfDiskFull(batch[:n], err)
	}
	return n, nil
}

// encodeBatch encodes writes into the buffer until a segment that has the given size would be full. It returns the records in the
// buffer and how many writes of the batch are finished, including those that were rejected because the store is full.
func (s *Store) encodeBatch(batch []write, segmentSize int64) (n int, records []record) {
	logBytes, _, _ := s.Size()
	s.buffer = s.buffer[:0]
	for ; n < len(batch) && segmentSize+int64(len(s.buffer)) < s.limits.SegmentBytes; n++ {
		w := &batch[n]
		maxBytes := s.limits.MaxBytes
		if w.deleted {
			maxBytes += deletionReserveSegments * s.limits.SegmentBytes
		}
		if logBytes+int64(len(s.buffer)+recordHeaderSize+len(w.value)) > maxBytes {
			rejectWrites(batch[n:n+1], ErrFull)
			s.countRejected(1)
			continue
		}
		r := record{
			sequence:       s.lastSequence + 1 + uint64(len(records)),
			syncedSequence: s.syncedSequence,
			key:            w.key,
			deleted:        w.deleted,
			value:          w.value,
		}
		s.buffer = appendRecord(s.buffer, &r)
		records = append(records, r)
	}
	return n, records
}

// rejectIfDiskFull handles the error of writing a batch. If the disk is full and the active segment can be truncated to its previous
// size, the batch is rejected, and later writes may succeed. Any other error is returned and fails the store.
func (s *Store) rejectIfDiskFull(batch []write, cause error) (n int, err error) {
	if !isDiskFull(cause) {
		return 0, cause
	}
	active := s.activeSegment()
	if err := active.file.Truncate(active.size); err != nil {
		return 0, fmt.Errorf("%w, and its part can't be taken back: %w", cause, err)
	}
	rejectWrites(batch, fmt.Errorf("%w: %w", ErrFull, cause))
	s.countRejected(len(batch))
	return len(batch), nil
}
