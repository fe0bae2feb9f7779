package store

import (
	"errors"
	"fmt"
)

// segment is one file of the log.
type segment struct {
	number    uint64
	file      File
	size      int64 // bytes, including the header
	liveBytes int64 // bytes of the records to which the index points
}

func (g *segment) name() string { return segmentName(g.number) }

func unreadableRecord(g *segment, offset int64) error {
	return &CorruptionError{g.name(), offset, "a record that was written there can't be read"}
}

// activeSegment returns the last segment, to which records are appended.
func (s *Store) activeSegment() *segment { return s.segments[len(s.segments)-1] }

// segmentByNumber returns the segment with a number that must exist. The caller holds mu, unless the writer goroutine hasn't started.
func (s *Store) segmentByNumber(number uint32) *segment {
	return s.segments[number-uint32(s.segments[0].number)]
}

// indexRecord updates the index for a record at an offset of a segment, and updates the live bytes of the segments. The caller holds
// mu, unless the writer goroutine hasn't started.
func (s *Store) indexRecord(g *segment, r *record, offset int64) {
	var old location
	var replaced bool
	if r.deleted {
		old, replaced = s.index.remove(&r.key)
	} else {
		old, replaced = s.index.put(location{key: r.key, segment: uint32(g.number), offset: uint32(offset), size: uint32(r.size())})
		g.liveBytes += int64(r.size())
	}
	if replaced {
		s.segmentByNumber(old.segment).liveBytes -= int64(old.size)
	}
}

// startSegment creates the next segment and syncs its header and name. The caller must have synced the previous segment, so that only
// the last segment can end with a torn record.
func (s *Store) startSegment() error {
	number := s.manifest.firstSegment
	if len(s.segments) > 0 {
		number = s.activeSegment().number + 1
	}
	file, err := s.folder.Create(segmentName(number))
	if err != nil {
		return err
	}
	header := segmentHeader{storeID: s.manifest.storeID, number: number, firstSequence: s.lastSequence + 1}
	if err := writeDurably(s.folder, file, header.encode()); err != nil {
		closeIgnoringError(file)
		return errors.Join(err, s.folder.Remove(segmentName(number)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = append(s.segments, &segment{number: number, file: file, size: segmentHeaderSize})
	return nil
}

// writeDurably writes b to a new file and syncs the file and the folder's names.
func writeDurably(folder Folder, file File, b []byte) error {
	if _, err := file.Write(b); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return folder.SyncNames()
}

// appendRecords appends the buffer, which contains the given records in encoded form, to a segment and indexes the records.
func (s *Store) appendRecords(g *segment, records []record) error {
	n, err := g.file.Write(s.buffer)
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if n < len(s.buffer) {
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

// writeManifest replaces the manifest. The new manifest is synced under another name before it is renamed, so that a crash leaves either
// the old or the new one.
func (s *Store) writeManifest() error {
	if err := removeIfPresent(s.folder, newManifestName); err != nil {
		return err
	}
	file, err := s.folder.Create(newManifestName)
	if err != nil {
		return err
	}
	_, err = file.Write(s.manifest.encode())
	if err == nil {
		err = file.Sync()
	}
	err = errors.Join(err, file.Close())
	if err != nil {
		return err
	}
	if err := s.folder.Rename(newManifestName, manifestName); err != nil {
		return err
	}
	return s.folder.SyncNames()
}
