package store

import (
	"crypto/rand"
	"fmt"
	"slices"
	"time"
)

// RecoveryReport describes what Open found in a folder.
type RecoveryReport struct {
	Fresh     bool // the folder had no store
	Segments  int
	Records   int   // records read, including deletions and records that later ones replace
	LiveKeys  int   // keys that have a value
	TornBytes int64 // bytes cut off at the end of the log
	Duration  time.Duration
}

// replayFunc is called for each record of the log, in the order in which the records were written.
type replayFunc = func(key Key, value []byte, deleted bool)

// recoverLog reads the folder and prepares the store for writes.
func (s *Store) recoverLog(owner string, replay replayFunc, report *RecoveryReport) error {
	names, err := s.folder.Names()
	if err != nil {
		return err
	}
	numbers := segmentNumbers(names)
	if err := s.recoverManifest(owner, names, numbers, report); err != nil {
		return err
	}
	if err := s.recoverSegments(numbers, replay, report); err != nil {
		return err
	}
	s.syncedSequence = s.lastSequence
	report.Segments, report.LiveKeys = len(s.segments), s.index.count
	s.manifest.closedAtSequence = 0 // marks the store as open
	if err := s.writeManifest(); err != nil {
		return err
	}
	if len(s.segments) == 0 {
		return s.startSegment()
	}
	return nil
}

func segmentNumbers(names []string) (numbers []uint64) {
	for _, name := range names {
		if number, ok := segmentNumber(name); ok {
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// recoverManifest reads the manifest, or initializes a new one if the folder has no store.
func (s *Store) recoverManifest(owner string, names []string, numbers []uint64, report *RecoveryReport) error {
	if !slices.Contains(names, manifestName) {
		if len(numbers) > 0 {
			return &CorruptionError{manifestName, 0, fmt.Sprintf("the file is missing, but %s exists", segmentName(numbers[0]))}
		}
		report.Fresh = true
		s.manifest = manifest{owner: owner, firstSegment: 1, firstSequence: 1}
		rand.Read(s.manifest.storeID[:])
		return nil
	}
	m, err := readManifest(s.folder)
	if err != nil {
		return err
	}
	s.manifest = m
	if m.owner != owner {
		return &OwnerError{Found: m.owner, Expected: owner}
	}
	return nil
}

// readManifest reads a folder's manifest; the error is a *CorruptionError if it can't be decoded.
func readManifest(folder Folder) (manifest, error) {
	b, err := readFile(folder, manifestName)
	if err != nil {
		return manifest{}, err
	}
	m, ok := decodeManifest(b)
	if !ok {
		return m, &CorruptionError{manifestName, 0, "the manifest can't be decoded"}
	}
	return m, nil
}

// recoverSegments reads the segments, beginning with the first one according to the manifest.
func (s *Store) recoverSegments(numbers []uint64, replay replayFunc, report *RecoveryReport) error {
	next := s.manifest.firstSegment
	s.lastSequence = s.manifest.firstSequence - 1
	for i, number := range numbers {
		if number < s.manifest.firstSegment {
			// The segment was compacted, but the process crashed before it removed the file.
			if err := s.folder.Remove(segmentName(number)); err != nil {
				return err
			}
			continue
		}
		if number != next {
			return &CorruptionError{segmentName(next), 0, fmt.Sprintf("the file is missing, but %s exists", segmentName(number))}
		}
		if err := s.recoverSegment(number, i == len(numbers)-1, replay, report); err != nil {
			return err
		}
		next++
	}
	if s.manifest.closedAtSequence > s.lastSequence {
		return &CorruptionError{segmentName(next - 1), s.activeSegmentSize(),
			fmt.Sprintf("records up to %d are missing that existed when the store was closed", s.manifest.closedAtSequence)}
	}
	return nil
}

// activeSegmentSize returns the size in bytes of the last segment, or 0 if there is none.
func (s *Store) activeSegmentSize() int64 {
	if len(s.segments) == 0 {
		return 0
	}
	return s.activeSegment().size
}

// recoverSegment reads one segment. Only the last segment may have a torn header, in which case the file is removed, or a torn end,
// which is cut off.
func (s *Store) recoverSegment(number uint64, last bool, replay replayFunc, report *RecoveryReport) error {
	name := segmentName(number)
	file, err := s.folder.Open(name)
	if err != nil {
		return err
	}
	b, err := readOpenFile(file, name)
	if err != nil {
		closeIgnoringError(file)
		return err
	}
	size := int64(len(b))
	header, ok := decodeSegmentHeader(b)
	if !ok || header.storeID != s.manifest.storeID || header.number != number || header.firstSequence != s.lastSequence+1 {
		closeIgnoringError(file)
		if !last || hasLaterRecord(b, s.lastSequence+1, 0) {
			return &CorruptionError{name, 0, "the header can't be decoded, or belongs to another store or segment"}
		}
		// The process crashed while it created the file. Records are written only once the header is synced, so the file has none.
		report.TornBytes += size
		return s.folder.Remove(name)
	}
	g := &segment{number: number, file: file, size: segmentHeaderSize}
	s.segments = append(s.segments, g)
	s.replayRecords(g, b, replay, report)
	if g.size == size {
		return nil
	}
	if !last || hasLaterRecord(b[g.size:], s.lastSequence+1, s.lastSequence+1) {
		return &CorruptionError{name, g.size, fmt.Sprintf("record %d can't be decoded, though later bytes prove that it was written", s.lastSequence+1)}
	}
	report.TornBytes += size - g.size
	if err := file.Truncate(g.size); err != nil {
		return err
	}
	return file.Sync()
}

// replayRecords indexes and replays the records of a segment up to the first one that is incomplete or invalid, and sets the segment's
// size to the offset at which it stops.
func (s *Store) replayRecords(g *segment, b []byte, replay replayFunc, report *RecoveryReport) {
	for g.size < int64(len(b)) {
		r, ok := decodeRecord(b[g.size:])
		if !ok || r.sequence != s.lastSequence+1 {
			return
		}
		s.lastSequence = r.sequence
		report.Records++
		s.indexRecord(g, &r, g.size)
		g.size += int64(r.size())
		replay(r.key, r.value, r.deleted)
	}
}

// hasLaterRecord reports whether b contains, at any offset, a complete record whose sequence number is sequence or later and whose
// syncedSequence is at least synced. If so, the bytes before that record were damaged rather than torn by a crash.
func hasLaterRecord(b []byte, sequence, synced uint64) bool {
	// A segment holds fewer records than this, so bytes with a higher sequence number aren't a record.
	const maxSequencesAhead = 1 << 24
	for i := range b {
		if b[i] != recordMark && b[i] != deletionMark {
			continue
		}
		r, ok := decodeRecord(b[i:])
		if ok && r.sequence >= sequence && r.sequence < sequence+maxSequencesAhead && r.syncedSequence >= synced {
			return true
		}
	}
	return false
}
