package store

import (
	"errors"
	"slices"
)

// Inspection describes the store in a folder.
type Inspection struct {
	Owner         string
	StoreID       [16]byte
	ClosedCleanly bool
	Segments      []SegmentInfo
	Records       int
	TornBytes     int64 // bytes of a torn end of the log, as a crash leaves it
}

// SegmentInfo describes one file of the log.
type SegmentInfo struct {
	Name          string
	FirstSequence uint64 // sequence number of the segment's first record
	Bytes         int64
	Records       int
}

// readOnlyFolder lets the recovery read a folder without changing it. Removals and truncations do nothing and report success, so that
// the recovery reads the same records as the next start would. Creating a file fails with errReadOnly, which ends the recovery.
type readOnlyFolder struct{ Folder }

var errReadOnly = errors.New("the folder is read-only")

func (readOnlyFolder) Create(string) (File, error) { return nil, errReadOnly }
func (readOnlyFolder) Rename(string, string) error { return errReadOnly }
func (readOnlyFolder) Remove(string) error         { return nil }
func (readOnlyFolder) SyncNames() error            { return errReadOnly }
func (f readOnlyFolder) Open(name string) (File, error) {
	file, err := f.Folder.Open(name)
	if err != nil {
		return nil, err
	}
	return readOnlyFile{file}, nil
}

type readOnlyFile struct{ File }

func (readOnlyFile) Truncate(int64) error { return nil }
func (readOnlyFile) Sync() error          { return nil }

// Inspect reads a folder in the same way as Open, but without changing it, and calls replay for each record. It returns the same errors
// as Open, except that it accepts any owner and reports a missing manifest as a *CorruptionError. If the log is corrupt, Inspect
// returns the error along with the inspection of what precedes the corrupt place.
func Inspect(folder Folder, replay func(key Key, value []byte, deleted bool)) (*Inspection, error) {
	unlock, err := folder.Lock()
	if err != nil {
		return nil, err
	}
	defer func() { _ = unlock() }() // an error of closing the lock file doesn't invalidate the inspection
	names, err := folder.Names()
	if err != nil {
		return nil, err
	}
	if !slices.Contains(names, manifestName) {
		return nil, &CorruptionError{manifestName, 0, "the file is missing"}
	}
	m, err := readManifest(folder)
	if err != nil {
		return nil, err
	}
	inspection := &Inspection{Owner: m.owner, StoreID: m.storeID, ClosedCleanly: m.closedAtSequence > 0}
	s := &Store{folder: readOnlyFolder{folder}}
	var report RecoveryReport
	err = s.recoverLog(m.owner, replay, &report)
	if errors.Is(err, errReadOnly) { // all records were read; Open would now write the manifest
		err = nil
	}
	for _, g := range s.segments {
		inspection.Segments = append(inspection.Segments, inspectSegment(folder, g))
		closeIgnoringError(g.file)
	}
	inspection.Records, inspection.TornBytes = report.Records, report.TornBytes
	return inspection, err
}

func inspectSegment(folder Folder, g *segment) SegmentInfo {
	info := SegmentInfo{Name: g.name(), Bytes: g.size}
	b, err := readFile(folder, info.Name)
	if err != nil {
		return info
	}
	header, _ := decodeSegmentHeader(b)
	info.FirstSequence = header.firstSequence
	for offset := int64(segmentHeaderSize); offset < g.size; info.Records++ {
		r, ok := decodeRecord(b[offset:])
		if !ok {
			break
		}
		offset += int64(r.size())
	}
	return info
}
