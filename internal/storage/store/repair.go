package store

import (
	"errors"
	"fmt"
	"slices"
)

// lostSuffix is appended to the names of files that keep what a repair removes.
const lostSuffix = ".lost"

// maxRepairs bounds the places that one call repairs: the manifest and the log may both be corrupt.
const maxRepairs = 3

// Errors of a repair.
var (
	ErrNoManifest   = errors.New("a folder without its manifest can't be repaired; begin with an empty one")
	ErrStillCorrupt = errors.New("it is still damaged")
)

// Repair returns what a corrupt folder must lose to be read again, a line each: everything from the corrupt place on. If drop
// is true, it removes that, and keeps the removed bytes in files whose names end in ".lost". A folder that is not corrupt
// loses nothing.
func Repair(folder Folder, drop bool) (lost []string, err error) {
	for range maxRepairs {
		_, err := Inspect(folder, func(Key, []byte, bool) {})
		if err == nil {
			return lost, nil
		}
		var corruption *CorruptionError
		if !errors.As(err, &corruption) {
			return lost, err
		}
		lines, err := repairOnce(folder, corruption, drop)
		lost = append(lost, lines...)
		if err != nil || !drop {
			return lost, err
		}
		if err := reopenManifest(folder); err != nil {
			return lost, err
		}
	}
	return lost, ErrStillCorrupt
}

// repairOnce lists, and with drop removes, everything from a corrupt place on.
func repairOnce(folder Folder, corruption *CorruptionError, drop bool) (lost []string, err error) {
	names, err := folder.Names()
	if err != nil {
		return nil, err
	}
	if corruption.File == manifestName {
		if slices.Contains(names, manifestName) || len(names) > 1 {
			lost = append(lost, fmt.Sprintf("%v: without it nothing says whose the log is and where it begins; all is lost", corruption))
		}
		return lost, ErrNoManifest
	}
	firstLost, _ := segmentNumber(corruption.File)
	for _, name := range names {
		number, ok := segmentNumber(name)
		if !ok || number < firstLost {
			continue
		}
		line := fmt.Sprintf("%s: all of it", name)
		if number == firstLost && corruption.Offset >= segmentHeaderSize {
			line, err = loseTail(folder, corruption, name, drop)
		} else if drop {
			err = folder.Rename(name, name+lostSuffix)
		}
		if line != "" {
			lost = append(lost, line)
		}
		if err != nil {
			return lost, err
		}
	}
	return lost, nil
}

// loseTail describes, and with drop removes, what follows the corrupt place of a segment.
func loseTail(folder Folder, corruption *CorruptionError, name string, drop bool) (line string, err error) {
	b, err := readFile(folder, name)
	if err != nil {
		return "", err
	}
	line = fmt.Sprintf("%v; %d bytes from there on", corruption, int64(len(b))-corruption.Offset)
	if drop {
		err = cutFile(folder, name, b, corruption.Offset)
	}
	return line, err
}

// reopenManifest notes that the store is not closed: records that were there when it was closed are not any more.
func reopenManifest(folder Folder) error {
	m, err := readManifest(folder)
	if err != nil {
		return err
	}
	s := &Store{folder: folder}
	s.manifest = m
	s.manifest.closedAtSequence = 0
	return s.writeManifest()
}

// cutFile truncates a file with the given content to a size in bytes, once a copy of all of it is synced beside it.
func cutFile(folder Folder, name string, content []byte, size int64) error {
	lost, err := folder.Create(name + lostSuffix)
	if err != nil {
		return err
	}
	_, err = lost.Write(content)
	if err == nil {
		err = lost.Sync()
	}
	err = errors.Join(err, lost.Close(), folder.SyncNames())
	if err != nil {
		return err
	}
	file, err := folder.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(file.Truncate(size), file.Sync(), file.Close())
}
