package store

import (
	"errors"
	"fmt"
	"slices"
)

// Look is what a folder holds, read without changing it.
type Inspection struct {
	Owner         string
	StoreID       [16]byte
	ClosedCleanly bool // in order
	Segments      []SegmentInfo
	Records       int
	TornBytes     int64 // bytes at the end, as a crash leaves them
}

// SegmentLook is one file of the log.
type SegmentInfo struct {
	Name          string
	FirstSequence uint64 // sequence of its first record
	Bytes         int64
	Records       int
}

// still is a folder that is only read.
type readOnlyFolder struct{ Folder }

var errReadOnly = errors.New("the folder is only read")

func (readOnlyFolder) Create(string) (File, error) { return nil, errReadOnly }
func (readOnlyFolder) Rename(string, string) error { return errReadOnly }
func (readOnlyFolder) Remove(string) error         { return nil } // as if it had been: what is read is what the next start would
func (readOnlyFolder) SyncNames() error            { return errReadOnly }
func (s readOnlyFolder) Open(name string) (File, error) {
	f, err := s.Folder.Open(name)
	if err != nil {
		return nil, err
	}
	return readOnlyFile{f}, nil
}

type readOnlyFile struct{ File }

func (readOnlyFile) Truncate(int64) error { return nil }
func (readOnlyFile) Sync() error          { return nil }

// Inspect reads a folder as the next start would, and changes nothing. What is read up to damage comes back with it.
func Inspect(folder Folder, told func(key Key, value []byte, gone bool)) (*Inspection, error) {
	unlock, err := folder.Lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	names, err := folder.Names()
	if err != nil {
		return nil, err
	}
	if !slices.Contains(names, manifestName) {
		return nil, &CorruptionError{manifestName, 0, "it is not there"}
	}
	b, err := readAll(folder, manifestName)
	if err != nil {
		return nil, err
	}
	m, ok := decodeManifest(b)
	if !ok {
		return nil, &CorruptionError{manifestName, 0, "it can't be read"}
	}
	l := &Inspection{Owner: m.owner, StoreID: m.storeID, ClosedCleanly: m.closedAtSequence > 0}
	s := &Store{folder: readOnlyFolder{folder}}
	var found RecoveryReport
	err = s.recoverLog(m.owner, told, &found)
	if errors.Is(err, errReadOnly) { // it had come to where it would have gone on
		err = nil
	}
	for _, g := range s.segments {
		look := SegmentInfo{Name: segmentName(g.number), Bytes: g.size}
		if part, e := readAll(folder, look.Name); e == nil {
			h, _ := decodeSegmentHeader(part)
			look.FirstSequence = h.firstSequence
			for at := int64(segmentHeaderSize); at < g.size; look.Records++ {
				r, ok := decodeRecord(part[at:])
				if !ok {
					break
				}
				at += int64(r.size())
			}
		}
		l.Segments = append(l.Segments, look)
		g.file.Close()
	}
	l.Records, l.TornBytes = found.Records, found.TornBytes
	return l, err
}

// Repair says what a damaged folder must lose to be read again: from the damage on, all. It invents nothing. With drop it
// loses it; what is lost is kept beside, under a name that ends in .lost.
func Repair(folder Folder, drop bool) (lost []string, err error) {
	for range 3 { // a manifest and a log may both be damaged
		_, err := Inspect(folder, func(Key, []byte, bool) {})
		var d *CorruptionError
		if err == nil {
			return lost, nil
		}
		if !errors.As(err, &d) {
			return lost, err
		}
		names, err := folder.Names()
		if err != nil {
			return lost, err
		}
		if d.File == manifestName {
			if slices.Contains(names, manifestName) || len(names) > 1 {
				lost = append(lost, fmt.Sprintf("%v: without it nothing says whose the log is and where it begins; all is lost", d))
			}
			return lost, errors.New("a folder without its manifest can't be repaired; begin with an empty one")
		}
		number, _ := segmentNumber(d.File)
		for _, name := range names {
			n, ok := segmentNumber(name)
			switch {
			case !ok || n < number:
				continue
			case n > number || d.Offset < segmentHeaderSize:
				lost = append(lost, fmt.Sprintf("%s: all of it", name))
				if drop {
					if err := folder.Rename(name, name+".lost"); err != nil {
						return lost, err
					}
				}
			default:
				b, err := readAll(folder, name)
				if err != nil {
					return lost, err
				}
				lost = append(lost, fmt.Sprintf("%v; %d bytes from there on", d, int64(len(b))-d.Offset))
				if drop {
					if err := cutFile(folder, name, b, d.Offset); err != nil {
						return lost, err
					}
				}
			}
		}
		if !drop {
			return lost, nil
		}
		// What was there when it was closed is not any more.
		b, err := readAll(folder, manifestName)
		if err != nil {
			return lost, err
		}
		s := &Store{folder: folder}
		s.manifest, _ = decodeManifest(b)
		s.manifest.closedAtSequence = 0
		if err := s.writeManifest(); err != nil {
			return lost, err
		}
	}
	return lost, errors.New("it is still damaged")
}

// part keeps the whole file beside and cuts it.
func cutFile(folder Folder, name string, b []byte, at int64) error {
	f, err := folder.Create(name + ".lost")
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close(), folder.SyncNames()); err != nil {
		return err
	}
	g, err := folder.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(g.Truncate(at), g.Sync(), g.Close())
}
