package store

import (
	"errors"
	"fmt"
	"slices"
)

// lostSuffix is appended to the name of a file to form the name of its backup, which a repair makes before it removes bytes.
const lostSuffix = ".lost"

// maxRepairs limits how many corrupt places one call of Repair processes. Repair inspects the folder again after each of them.
const maxRepairs = 3

// Errors of a repair.
var (
	// ErrNoManifest means that the manifest is missing or corrupt, so that the owner and the beginning of the log are unknown.
	ErrNoManifest = errors.New("a folder without a valid manifest can't be repaired; start with an empty folder")
	// ErrStillCorrupt means that maxRepairs repairs were not enough.
	ErrStillCorrupt = errors.New("the folder is still corrupt")
)

// Repair determines what has to be removed from a corrupt folder to make it readable again: everything from the first corrupt place to
// the end of the log. It returns one line per affected file. If drop is true, it removes these bytes and keeps a copy in files whose
// names end in ".lost". For a folder that isn't corrupt, Repair returns no lines and removes nothing.
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
		if err := clearClosedAtSequence(folder); err != nil {
			return lost, err
		}
	}
	return lost, ErrStillCorrupt
}

// repairOnce lists everything from a corrupt place to the end of the log, and removes it if drop is true.
func repairOnce(folder Folder, corruption *CorruptionError, drop bool) (lost []string, err error) {
	names, err := folder.Names()
	if err != nil {
		return nil, err
	}
	if corruption.File == manifestName {
		if slices.Contains(names, manifestName) || len(names) > 1 {
			lost = append(lost, fmt.Sprintf("%v: without the manifest the log's owner and beginning are unknown; the whole log is lost", corruption))
		}
		return lost, ErrNoManifest
	}
	corruptNumber, _ := segmentNumber(corruption.File)
	for _, name := range names {
		number, ok := segmentNumber(name)
		if !ok || number < corruptNumber {
			continue
		}
		line := fmt.Sprintf("%s: all of it", name)
		if number == corruptNumber && corruption.Offset >= segmentHeaderSize {
			line, err = repairSegmentTail(folder, corruption, name, drop)
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

// repairSegmentTail returns a description of the bytes from the corrupt place to the end of a segment, and removes them if drop is true.
func repairSegmentTail(folder Folder, corruption *CorruptionError, name string, drop bool) (line string, err error) {
	b, err := readFile(folder, name)
	if err != nil {
		return "", err
	}
	line = fmt.Sprintf("%v; %d bytes from there on", corruption, int64(len(b))-corruption.Offset)
	if drop {
		err = truncateWithBackup(folder, name, b, corruption.Offset)
	}
	return line, err
}

// clearClosedAtSequence clears closedAtSequence in the manifest. After a repair, records that existed when the store was closed are
// missing, which the recovery would otherwise report as corruption.
func clearClosedAtSequence(folder Folder) error {
	m, err := readManifest(folder)
	if err != nil {
		return err
	}
	s := &Store{folder: folder}
	s.manifest = m
	s.manifest.closedAtSequence = 0
	return s.writeManifest()
}

// truncateWithBackup truncates a file with the given content to a size in bytes, after it has written and synced a copy of the whole
// content in the same folder.
func truncateWithBackup(folder Folder, name string, content []byte, size int64) error {
	backup, err := folder.Create(name + lostSuffix)
	if err != nil {
		return err
	}
	_, err = backup.Write(content)
	if err == nil {
		err = backup.Sync()
	}
	err = errors.Join(err, backup.Close(), folder.SyncNames())
	if err != nil {
		return err
	}
	file, err := folder.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(file.Truncate(size), file.Sync(), file.Close())
}
