package store

import (
	"fmt"
	"time"
)

const (
	// compactionBytes limits how much of the oldest segment one step of the compaction processes, so that writes can use the disk
	// between two steps.
	compactionBytes = 256 << 10

	// nearlyFullFraction is the fraction of MaxBytes above which the closed segments are compacted even if most of their bytes are
	// live. The rest of MaxBytes and the reserve for deletions leave capacity for writes during the compaction.
	nearlyFullFraction = 0.75
)

// needsCompaction reports whether the oldest segment should be compacted. That is so if less than half of the bytes in the closed
// segments are live, or if capacity is short and the compaction would free at least one segment.
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
	mostlyDead := live < bytes/2
	nearlyFull := float64(bytes) > nearlyFullFraction*float64(s.limits.MaxBytes)
	return mostlyDead || nearlyFull && live < bytes-s.limits.SegmentBytes
}

// compact runs one step of the compaction of the oldest segment, if one is due: it appends some of the segment's live records to the
// end of the log. Once all of them are rewritten and synced, the next segment becomes the first one in the manifest, and the oldest
// file is removed. Deletions in the oldest segment are not rewritten, because no older record exists that they hide.
func (s *Store) compact() error {
	if !s.needsCompaction() || time.Since(s.lastCompaction) < s.limits.CompactionInterval {
		return nil
	}
	s.lastCompaction = time.Now()
	oldest := s.segments[0]
	if s.compactionOffset == 0 {
		s.compactionOffset = segmentHeaderSize
	}
	live, scanned, err := s.collectLive(oldest)
	if err != nil {
		return err
	}
	if len(live) > 0 {
		postponed, err := s.rewrite(live)
		if err != nil || postponed {
			return err
		}
	}
	s.compactionOffset += scanned
	if s.compactionOffset < oldest.size {
		return nil
	}
	return s.dropOldest()
}

// collectLive scans the oldest segment from compactionOffset for up to compactionBytes and encodes its live records into the buffer as
// new records. It returns the new records and the number of bytes scanned.
func (s *Store) collectLive(oldest *segment) (live []record, scanned int64, err error) {
	chunk := make([]byte, min(compactionBytes+recordHeaderSize+maxValueSize, oldest.size-s.compactionOffset))
	if n, err := oldest.file.ReadAt(chunk, s.compactionOffset); n < len(chunk) {
		return nil, 0, fmt.Errorf("%s: %w", oldest.name(), err)
	}
	s.buffer = s.buffer[:0]
	for scanned < int64(len(chunk)) && scanned < compactionBytes {
		offset := s.compactionOffset + scanned
		r, ok := decodeRecord(chunk[scanned:])
		if !ok {
			return nil, 0, unreadableRecord(oldest, offset)
		}
		if s.isLive(oldest, r.key, offset) {
			moved := record{
				sequence:       s.lastSequence + 1 + uint64(len(live)),
				syncedSequence: s.syncedSequence,
				key:            r.key,
				value:          r.value,
			}
			s.buffer = appendRecord(s.buffer, &moved)
			live = append(live, moved)
		}
		scanned += int64(r.size())
	}
	return live, scanned, nil
}

// isLive reports whether the index points to a key's record at an offset of a segment.
func (s *Store) isLive(g *segment, key Key, offset int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.index.get(&key)
	return ok && l.segment == uint32(g.number) && int64(l.offset) == offset
}

// rewrite appends the records in the buffer to the log. postponed reports that the disk is full and that the step has to be repeated
// later.
func (s *Store) rewrite(live []record) (postponed bool, err error) {
	canPostpone, err := s.rollSegment()
	if err != nil && canPostpone {
		return true, ignoreDiskFull(err)
	}
	if err != nil {
		return false, err
	}
	if err := s.appendRecords(s.activeSegment(), live); err != nil {
		_, err = s.rejectIfDiskFull(nil, err)
		return true, err
	}
	s.mu.Lock()
	s.counts.Rewritten += int64(len(live))
	s.mu.Unlock()
	if s.unsyncedSince.IsZero() {
		s.unsyncedSince = time.Now()
	}
	return false, nil
}

// dropOldest removes the oldest segment. All its live records must have been rewritten.
func (s *Store) dropOldest() error {
	if s.lastSequence > s.syncedSequence {
		if err := s.syncActive(); err != nil {
			return err
		}
	}
	oldest, next := s.segments[0], s.segments[1]
	b := make([]byte, segmentHeaderSize)
	if _, err := next.file.ReadAt(b, 0); err != nil {
		return err
	}
	header, ok := decodeSegmentHeader(b)
	if !ok {
		return &CorruptionError{next.name(), 0, "its head can't be read"}
	}
	previousManifest := s.manifest
	s.manifest.firstSegment, s.manifest.firstSequence = header.number, header.firstSequence
	if err := s.writeManifest(); err != nil {
		s.manifest = previousManifest
		return ignoreDiskFull(err)
	}
	s.mu.Lock()
	s.segments = s.segments[1:]
	s.mu.Unlock()
	s.compactionOffset = 0
	closeIgnoringError(oldest.file)
	return s.folder.Remove(oldest.name())
}

// ignoreDiskFull returns nil if the error is a full disk, which only postpones the compaction. Any other error fails the store.
func ignoreDiskFull(err error) error {
	if isDiskFull(err) {
		return nil
	}
	return err
}
