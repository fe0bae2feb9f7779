package store

import (
	"fmt"
	"time"
)

const (
	// compactionBytes bounds what one step of the compaction reads of the oldest segment, so that writes get the disk between.
	compactionBytes = 256 << 10

	// shortOfCapacity is the part of MaxBytes from which on segments are compacted even if most of them is live. With the reserve
	// there is room to write on meanwhile.
	shortOfCapacity = 0.75
)

// needsCompaction reports whether the oldest segment should be compacted: less than half of what is in closed segments is
// live, or room is short and compaction would free at least a segment.
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
	short := float64(bytes) > shortOfCapacity*float64(s.limits.MaxBytes)
	return mostlyDead || short && live < bytes-s.limits.SegmentBytes
}

// compact does one step of the compaction of the oldest segment, if one is due: it appends some of the segment's live records
// to the log again. Once all of them are synced there, the manifest is changed to begin with the next segment and the file is
// removed. Deletions in the oldest segment need not be kept, since there is nothing older that they could hide.
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

// collectLive puts live records of the oldest segment, from the compaction's offset on, into the buffer as new records. It
// returns these and the number of bytes that were scanned.
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

// isLive reports whether the index points to a key's record at the given place.
func (s *Store) isLive(g *segment, key Key, offset int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.index.get(&key)
	return ok && l.segment == uint32(g.number) && int64(l.offset) == offset
}

// rewrite appends the records in the buffer to the log; postponed tells that the disk is full, and that the same step has to be
// done again later.
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

// dropOldest removes the oldest segment, all live records of which have been written again.
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
	before := s.manifest
	s.manifest.firstSegment, s.manifest.firstSequence = header.number, header.firstSequence
	if err := s.writeManifest(); err != nil {
		s.manifest = before
		return ignoreDiskFull(err)
	}
	s.mu.Lock()
	s.segments = s.segments[1:]
	s.mu.Unlock()
	s.compactionOffset = 0
	closeUnchanged(oldest.file)
	return s.folder.Remove(oldest.name())
}

// ignoreDiskFull returns nil for a full disk, which only puts the compaction off; any other error ends the store.
func ignoreDiskFull(err error) error {
	if isDiskFull(err) {
		return nil
	}
	return err
}
