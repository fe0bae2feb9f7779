package requestjournal

import (
	"bytes"
	"slices"
	"testing"

	"magpiebank/internal/storage/store"
	"magpiebank/internal/testbed/golden"
)

// keyedEntry is an entry of the journal with its key.
type keyedEntry struct {
	key   Key
	entry *Entry
}

func TestReadAndEncodeFolderOfEarlierVersion(t *testing.T) {
	folder, err := store.OpenFolder(golden.CopyFolder(t, "folder")) // a copy, because opening a store writes to its folder
	if err != nil {
		t.Fatal(err)
	}
	journal := New(nil, make([]Class, 4), 100)
	records := map[Key][]byte{}
	opened, _, err := store.Open(folder, "gateway-a", store.Limits{}, func(k store.Key, record []byte, deleted bool) {
		if err := journal.Replay(Key(k), record, deleted); err != nil {
			t.Errorf("record %q: %v", k[:], err)
		}
		records[Key(k)] = bytes.Clone(record)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := opened.Close(); err != nil {
			t.Error(err)
		}
	}()
	var found []keyedEntry
	journal.ForEach(func(key Key, entry *Entry) {
		found = append(found, keyedEntry{key, entry})
		if encoded := entry.encode(); !bytes.Equal(encoded, records[key]) {
			t.Errorf("record %q: expected %x, found %x", key[:], records[key], encoded)
		}
	})
	slices.SortFunc(found, func(a, b keyedEntry) int { return bytes.Compare(a.key[:], b.key[:]) })
	var values []any
	for _, f := range found {
		e := f.entry
		values = append(values, f.key, e.Class, e.AcceptedAt, e.Deadline, e.Attempts, e.InFlight, e.MayHaveRun, e.UncertainSince,
			e.Zone, e.Group, e.Outcome, e.AnsweredAt, e.Pages, e.complete)
	}
	golden.CheckValues(t, "folder", values)
}
