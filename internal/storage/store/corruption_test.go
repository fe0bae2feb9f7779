package store_test

import (
	"errors"
	"testing"

	"magpiebank/internal/storage/faultfs"
	"magpiebank/internal/storage/store"
)

// workloadFolder returns the folder that a workload leaves after its store was closed.
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

// Open rejects a file that is cut at any byte, because the manifest says that the store was closed with more records. It also rejects a
// file in which any byte has a flipped bit.
func TestOpenRejectsCutFilesAndFlippedBits(t *testing.T) {
	folder := workloadFolder(t)
	names, _ := folder.Names()
	rejectedCuts, rejectedFlips, acceptedFlips := 0, 0, 0
	for _, name := range names {
		b := folder.Contents(name)
		for offset := range b {
			changed := cloneFolder(folder)
			changed.SetFile(name, b[:offset])
			if _, _, err := store.Open(changed, "g1", smallLimits, func(store.Key, []byte, bool) {}); err == nil {
				t.Fatalf("Open accepted %s cut to %d bytes, though the store was closed", name, offset)
			}
			rejectedCuts++
			changed = cloneFolder(folder)
			changed.FlipBit(name, int64(offset), uint(offset%8))
			s, _, err := store.Open(changed, "g1", smallLimits, func(store.Key, []byte, bool) {})
			if err == nil {
				acceptedFlips++
				closeStore(t, s)
				t.Errorf("Open accepted %s with byte %d changed", name, offset)
				continue
			}
			var corruption *store.CorruptionError
			if !errors.As(err, &corruption) {
				t.Fatalf("%s with byte %d changed: %v", name, offset, err)
			}
			rejectedFlips++
		}
	}
	t.Logf("%d cuts rejected, %d flipped bits rejected, %d accepted", rejectedCuts, rejectedFlips, acceptedFlips)
}

// If a corrupt record precedes a record that proves it was synced, Open returns the offset of the corrupt record and doesn't truncate
// the segment. Open also rejects a folder that belongs to another owner or is already open.
func TestOpenReturnsOffsetOfCorruptRecord(t *testing.T) {
	folder := workloadFolder(t)
	names, _ := folder.Names()
	last := names[len(names)-2] // the last segment; the manifest is after it
	before := folder.Contents(last)
	folder.FlipBit(last, 60, 1)
	_, _, err := store.Open(folder, "g1", smallLimits, func(store.Key, []byte, bool) {})
	var corruption *store.CorruptionError
	if !errors.As(err, &corruption) || corruption.File != last || corruption.Offset != 48 {
		t.Errorf("expected a *CorruptionError at offset 48 of the last segment, found %v", err)
	}
	if len(folder.Contents(last)) != len(before) {
		t.Error("Open truncated the corrupt segment")
	}
	folder.FlipBit(last, 60, 1)
	var owner *store.OwnerError
	if s, _, err := store.Open(folder, "g2", smallLimits, func(store.Key, []byte, bool) {}); err == nil {
		closeStore(t, s)
		t.Error("Open accepted another owner")
	} else if !errors.As(err, &owner) || owner.Found != "g1" || owner.Expected != "g2" {
		t.Errorf("error of Open for another owner: %v", err)
	}
	s, _, err := store.Open(folder, "g1", smallLimits, func(store.Key, []byte, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := store.Open(folder, "g1", smallLimits, nil); !errors.Is(err, store.ErrLocked) {
		t.Errorf("expected ErrLocked from a second Open, found %v", err)
	}
	closeStore(t, s)
}

// Repair lists what has to be removed. Without drop it changes nothing; with drop it removes exactly that and keeps a copy.
func TestRepairRemovesEverythingFromCorruptRecordOn(t *testing.T) {
	folder := workloadFolder(t)
	names, _ := folder.Names()
	first := names[0]
	before := folder.Contents(first)
	folder.FlipBit(first, 48+3, 1) // the first record of the first segment
	lost, err := store.Repair(folder, false)
	if err != nil || len(lost) != len(names)-1 || len(folder.Contents(first)) != len(before) {
		t.Errorf("repair without drop: %q, %v", lost, err)
	}
	lost, err = store.Repair(folder, true)
	if err != nil || len(folder.Contents(first)) != 48 || len(folder.Contents(first+".lost")) != len(before) {
		t.Errorf("repair with drop: %q, %v; %d bytes are left", lost, err, len(folder.Contents(first)))
	}
	replayed := 0
	s, _, err := store.Open(folder, "g1", smallLimits, func(store.Key, []byte, bool) { replayed++ })
	if err != nil || replayed != 0 {
		t.Fatal(replayed, err)
	}
	closeStore(t, s)
	lost, err = store.Repair(folder, true)
	if err != nil || len(lost) != 0 {
		t.Errorf("repair of a folder that is no longer corrupt: %q, %v", lost, err)
	}
}
