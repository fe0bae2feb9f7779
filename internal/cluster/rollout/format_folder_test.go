package rollout

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"magpiebank/internal/cluster/consensus"
	"magpiebank/internal/storage/store"
	"magpiebank/internal/testbed/golden"
)

// replayHost records the snapshot and the entries that a reopened log reports.
type replayHost struct {
	consensus.Host
	state   []byte
	entries [][]byte
}

func (h *replayHost) SnapshotInstalled(_ uint64, state []byte)         { h.state = state }
func (h *replayHost) VotersChanged(uint64, []byte, []uint64, []uint64) {}
func (h *replayHost) EntryApplied(_ uint64, entry []byte)              { h.entries = append(h.entries, entry) }
func (h *replayHost) LeadershipChanged(uint64)                         {}

func TestFolderOfEarlierVersionIsRead(t *testing.T) {
	folder, err := store.OpenFolder(golden.CopyFolder(t, "folder")) // a copy, because opening a store writes to its folder
	if err != nil {
		t.Fatal(err)
	}
	stored := &StoredState{}
	records := map[[16]byte][]byte{}
	opened, _, err := store.Open(folder, "gateway-a", store.Limits{}, func(key store.Key, value []byte, deleted bool) {
		records[key] = bytes.Clone(value)
		stored.AddRecord(key, records[key], deleted)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := opened.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := stored.Err(); err != nil {
		t.Fatal(err)
	}
	digest := stored.lastPolicy.Digest
	text := ReadPolicyText(digest, func(key [16]byte) []byte { return records[key] })
	golden.CheckValues(t, "folder", []any{*stored.lastPolicy, *stored.replica, stored.sortedPolicyKeys(), DigestOf(text), len(text)})
	for _, r := range policyRecords(digest, text) {
		if !bytes.Equal(r.Value, records[r.Key]) {
			t.Errorf("record %q of the policy's text: expected the stored value, found another", r.Key)
		}
	}

	host := &replayHost{}
	node, err := consensus.New(2, &stored.log, rand.New(rand.NewPCG(1, 2)), host)
	if err != nil {
		t.Fatal(err)
	}
	node.Tick()
	table := &Table{}
	if err := unmarshal(host.state, table); err != nil {
		t.Fatal(err)
	}
	golden.CheckValues(t, "folder-state", table)
	if len(host.entries) != 1 {
		t.Fatalf("expected 1 decided entry, found %d", len(host.entries))
	}
	decided := &logEntry{}
	if err := unmarshal(host.entries[0], decided); err != nil {
		t.Fatal(err)
	}
	golden.CheckValues(t, "folder-entry", decided)
}
