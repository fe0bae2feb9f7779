package store_test

import (
	"errors"
	"testing"

	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/store"
)

// workloadFolder returns the folder of a workload whose store was closed.
func workloadFolder(t *testing.T) *faultfs.Folder {
	t.Helper()
	folder := &faultfs.Folder{}
	if err := runWorkload(folder, &expectation{allowed: map[store.Key][]string{}}, 30); err != nil {
		t.Fatal(err)
	}
	return folder
}

func cloneFolder(f *faultfs.Folder) *faultfs.Folder {
	return f.AfterPowerLoss(func(int) bool { return true }, -1)
}

// A segment that is cut anywhere is refused, as the store was closed with more records. So is a log with a bit flipped anywhere.
func TestCutAndFlippedBytesAreRefused(t *testing.T) {
	folder := workloadFolder(t)
	names, _ := folder.Names()
	cut, flipped, read := 0, 0, 0
	for _, name := range names {
		b := folder.Contents(name)
		for offset := range b {
			changed := cloneFolder(folder)
			changed.SetFile(name, b[:offset])
			if _, _, err := store.Open(changed, "g1", smallLimits, func(store.Key, []byte, bool) {}); err == nil {
				t.Fatalf("%s cut to %d bytes was read, though it was closed in order", name, offset)
			}
			cut++
			changed = cloneFolder(folder)
			changed.FlipBit(name, int64(offset), uint(offset%8))
			s, _, err := store.Open(changed, "g1", smallLimits, func(store.Key, []byte, bool) {})
			if err == nil {
				read++
				closeStore(t, s)
				t.Errorf("%s with byte %d changed was read", name, offset)
				continue
			}
			var corruption *store.CorruptionError
			if !errors.As(err, &corruption) {
				t.Fatalf("%s with byte %d changed: %v", name, offset, err)
			}
			flipped++
		}
	}
	t.Logf("%d cuts, %d flips refused, %d read", cut, flipped, read)
}

// A corrupt record before one that was synced is refused with its offset, and nothing is changed. A folder is refused to another
// owner and to a second process.
func TestCorruptRecordIsRefusedWithItsOffset(t *testing.T) {
	folder := workloadFolder(t)
	names, _ := folder.Names()
	last := names[len(names)-2] // before the manifest
	before := folder.Contents(last)
	folder.FlipBit(last, 60, 1)
	_, _, err := store.Open(folder, "g1", smallLimits, func(store.Key, []byte, bool) {})
	var corruption *store.CorruptionError
	if !errors.As(err, &corruption) || corruption.File != last || corruption.Offset != 48 {
		t.Errorf("%v", err)
	}
	if len(folder.Contents(last)) != len(before) {
		t.Error("it was cut")
	}
	folder.FlipBit(last, 60, 1)
	var owner *store.OwnerError
	if s, _, err := store.Open(folder, "g2", smallLimits, func(store.Key, []byte, bool) {}); err == nil {
		closeStore(t, s)
		t.Error("another owner opened the folder")
	} else if !errors.As(err, &owner) || owner.Found != "g1" || owner.Expected != "g2" {
		t.Errorf("opened by another owner: %v", err)
	}
	s, _, err := store.Open(folder, "g1", smallLimits, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := store.Open(folder, "g1", smallLimits, nil); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	closeStore(t, s)
}

// Repair lists what must be lost, changes nothing unless it is told to, loses just that and keeps a copy.
func TestRepairLosesWhatFollowsTheCorruption(t *testing.T) {
	folder := workloadFolder(t)
	names, _ := folder.Names()
	first := names[0]
	before := folder.Contents(first)
	folder.FlipBit(first, 48+3, 1) // the first record of the first segment
	lost, err := store.Repair(folder, false)
	if err != nil || len(lost) != len(names)-1 || len(folder.Contents(first)) != len(before) {
		t.Errorf("%q, %v", lost, err)
	}
	lost, err = store.Repair(folder, true)
	if err != nil || len(folder.Contents(first)) != 48 || len(folder.Contents(first+".lost")) != len(before) {
		t.Errorf("%q, %v; %d bytes", lost, err, len(folder.Contents(first)))
	}
	got := 0
	s, _, err := store.Open(folder, "g1", smallLimits, func(store.Key, []byte, bool) { got++ })
	if err != nil || got != 0 {
		t.Fatal(got, err)
	}
	closeStore(t, s)
	lost, err = store.Repair(folder, true)
	if err != nil || len(lost) != 0 {
		t.Errorf("sound again: %q, %v", lost, err)
	}
}
