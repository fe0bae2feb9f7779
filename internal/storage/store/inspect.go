package store

import (
	"errors"
	"slices"
)

// Inspection is what a folder holds.
type Inspection struct {
	Owner         string
	StoreID       [16]byte
	ClosedCleanly bool
	Segments      []SegmentInfo
	Records       int
	TornBytes     int64 // at the end, as a crash leaves them
}

// SegmentInfo describes one file of the log.
type SegmentInfo struct {
	Name          string
	FirstSequence uint64 // of its first record
	Bytes         int64
	Records       int
}

// readOnlyFolder has the recovery read a folder without changing it. Removals and truncations seem to succeed, so that what
// is read is what the next start would read; the first file that the recovery would make ends it with errReadOnly.
type readOnlyFolder struct{ Folder }

var errReadOnly = errors.New("the folder is only read")

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

// Inspect reads a folder as the next start would, without changing it, and calls replay for each record. Errors are those of
// Open. If the log is corrupt, the inspection of what was read before that place is returned along with the error.
func Inspect(folder Folder, replay func(key Key, value []byte, deleted bool)) (*Inspection, error) {
	unlock, err := folder.Lock()
	if err != nil {
		return nil, err
	}
	defer func() { _ = unlock() }() // what was read is true whether or not the lock file could be closed
	names, err := folder.Names()
	if err != nil {
		return nil, err
	}
	if !slices.Contains(names, manifestName) {
		return nil, &CorruptionError{manifestName, 0, "it is not there"}
	}
	m, err := readManifest(folder)
	if err != nil {
		return nil, err
	}
	inspection := &Inspection{Owner: m.owner, StoreID: m.storeID, ClosedCleanly: m.closedAtSequence > 0}
	s := &Store{folder: readOnlyFolder{folder}}
	var report RecoveryReport
	err = s.recoverLog(m.owner, replay, &report)
	if errors.Is(err, errReadOnly) { // all was read, and a start would go on by writing
		err = nil
	}
	for _, g := range s.segments {
		inspection.Segments = append(inspection.Segments, inspectSegment(folder, g))
		closeUnchanged(g.file)
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
