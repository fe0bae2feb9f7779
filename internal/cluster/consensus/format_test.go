package consensus

import (
	"encoding/binary"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"

	"magpiebank/internal/testbed/golden"
)

func TestLogOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	file := golden.Read(t, "log.form")
	var found StoredLog
	for _, r := range decodeRecords(t, file) {
		if !found.AddRecord(r.Key, r.Value, false) {
			t.Errorf("record %q: expected a key of the log, found another", r.Key)
		}
	}
	if found.err != nil {
		t.Fatal(found.err)
	}
	values := []any{found.hardState, found.snapshot, found.entries, found.generation}
	for i := range found.entries {
		values = append(values, found.generations[found.entries[i].Index])
	}
	golden.CheckValues(t, "log", values)
	encoded := []Record{hardStateRecord(found.hardState), encodeRecord(recordKey(kindSnapshot, 0), found.generation, &found.snapshot)}
	for i := range found.entries {
		e := &found.entries[i]
		encoded = append(encoded, encodeRecord(entryKey(e.Index), found.generations[e.Index], e))
	}
	checkRecords(t, encoded, file)
}

// A follower in a cluster of three receives an append with two entries that a leader of an earlier version encoded. It must save the same
// records as the earlier version did.
func TestEntriesFromEarlierVersionAreAcceptedAndSavedAlike(t *testing.T) {
	follower := newCluster(t, 1, 3).voters[1]
	message := golden.Read(t, "append.form")
	var decoded pb.Message
	if err := decoded.Unmarshal(message); err != nil || decoded.Type != pb.MsgApp || len(decoded.Entries) != 2 {
		t.Fatalf("expected two entries of a leader, found %v, error %v", decoded, err)
	}
	saveAll(follower)
	if err := follower.node.HandleMessage(message); err != nil {
		t.Fatal(err)
	}
	saveAll(follower)
	checkRecords(t, follower.disk, golden.Read(t, "append-records.form"))
}

// saveAll completes all saves of the voter, including those that a completed save starts.
func saveAll(v *voter) {
	for len(v.saveCallbacks) > 0 {
		done := v.saveCallbacks
		v.disk = append(v.disk, v.unsynced...)
		v.unsynced, v.saveCallbacks = nil, nil
		for _, d := range done {
			d(nil)
		}
	}
}

// decodeRecords decodes consecutive records. Each consists of the key, the value's length in four bytes, and the value.
func decodeRecords(t *testing.T, b []byte) (list []Record) {
	t.Helper()
	for len(b) > 0 {
		r := Record{Key: [16]byte(b)}
		end := 20 + int(binary.BigEndian.Uint32(b[16:]))
		r.Value = b[20:end]
		list = append(list, r)
		b = b[end:]
	}
	return list
}

func checkRecords(t *testing.T, list []Record, expected []byte) {
	t.Helper()
	var found []byte
	for _, r := range list {
		found = append(found, r.Key[:]...)
		found = binary.BigEndian.AppendUint32(found, uint32(len(r.Value)))
		found = append(found, r.Value...)
	}
	if string(found) != string(expected) {
		t.Errorf("records: expected %q\nfound %q", expected, found)
	}
}
