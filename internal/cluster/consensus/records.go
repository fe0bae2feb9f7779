package consensus

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Record is a key and its value in a folder, to be kept over a crash. A record without a value deletes the key.
type Record struct {
	Key   [16]byte
	Value []byte
}

// A key is "log", a zero byte and a kind, with an entry's index in its last eight bytes. A value begins with recordVersion and, in four
// bytes, the log's generation; raft's own encoding follows.
const (
	recordVersion = 1
	kindHardState = 'h'
	kindSnapshot  = 's'
	kindEntry     = 'e'
	keyPrefix     = "log\x00"
)

func recordKey(kind byte, index uint64) (k [16]byte) {
	copy(k[:], keyPrefix)
	k[len(keyPrefix)] = kind
	binary.BigEndian.PutUint64(k[8:], index)
	return k
}

func entryKey(index uint64) [16]byte { return recordKey(kindEntry, index) }

type marshaler interface{ Marshal() ([]byte, error) }

func encodeRecord(k [16]byte, age uint32, m marshaler) Record {
	b, err := m.Marshal()
	if err != nil {
		panic(err) // raft can encode each of its own messages
	}
	return Record{k, append(binary.BigEndian.AppendUint32([]byte{recordVersion}, age), b...)}
}

func (n *Node) snapshotRecord(s *pb.Snapshot) Record {
	return encodeRecord(recordKey(kindSnapshot, 0), n.generation, s)
}
func (n *Node) entryRecord(e *pb.Entry) Record {
	return encodeRecord(entryKey(e.Index), n.generation, e)
}
func hardStateRecord(h pb.HardState) Record { return encodeRecord(recordKey(kindHardState, 0), 0, &h) }

// StoredLog is what a folder holds of a log.
type StoredLog struct {
	hard        pb.HardState
	snapshot    pb.Snapshot
	entries     []pb.Entry
	generations map[uint64]uint32 // of entries, by index
	generation  uint32
	err         error
}

// AddRecord takes in a record of the folder, or that its key was deleted. Records come in the order in which they were written. It returns
// false for a key that is not of a log. A value that can't be decoded has New fail.
func (f *StoredLog) AddRecord(k [16]byte, value []byte, gone bool) bool {
	if string(k[:len(keyPrefix)]) != keyPrefix {
		return false
	}
	kind, index := k[len(keyPrefix)], binary.BigEndian.Uint64(k[8:])
	if kind == kindEntry {
		f.entries = slices.DeleteFunc(f.entries, func(e pb.Entry) bool { return e.Index == index })
	}
	if gone {
		return true
	}
	err := fmt.Errorf("expected form %d, found another", recordVersion)
	if len(value) >= 5 && value[0] == recordVersion {
		age, b := binary.BigEndian.Uint32(value[1:]), value[5:]
		switch kind {
		case kindHardState:
			f.hard.Reset()
			err = f.hard.Unmarshal(b)
		case kindSnapshot:
			f.snapshot.Reset()
			f.generation, err = age, f.snapshot.Unmarshal(b)
		case kindEntry:
			var e pb.Entry
			if err = e.Unmarshal(b); err == nil {
				if f.generations == nil {
					f.generations = map[uint64]uint32{}
				}
				f.entries, f.generations[index] = append(f.entries, e), age
			}
		}
	}
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("consensus: record %q: %w", k[:], err)
	}
	return true
}

// IsEmpty tells whether the folder holds nothing of a log.
func (f *StoredLog) IsEmpty() bool {
	return len(f.entries) == 0 && raft.IsEmptySnap(f.snapshot) && raft.IsEmptyHardState(f.hard)
}

// DeletionRecords are records by which the folder holds nothing of this log any more.
func (f *StoredLog) DeletionRecords() (out []Record) {
	for i := range f.entries {
		out = append(out, Record{Key: entryKey(f.entries[i].Index)})
	}
	return append(out, Record{Key: recordKey(kindSnapshot, 0)}, Record{Key: recordKey(kindHardState, 0)})
}

// restore hands the log to raft. A crash may leave part of the last write: entries that were replaced, that a snapshot covers, or that
// lack those before them. No other voter was told of these, so they are left out, and stale deletes them from the folder.
func (f *StoredLog) restore(to *raft.MemoryStorage) (stale []Record, err error) {
	if f.err != nil {
		return nil, f.err
	}
	next := uint64(1)
	if !raft.IsEmptySnap(f.snapshot) {
		if err := to.ApplySnapshot(f.snapshot); err != nil {
			return nil, err
		}
		next = f.snapshot.Metadata.Index + 1
	}
	slices.SortFunc(f.entries, func(a, b pb.Entry) int { return cmp.Compare(a.Index, b.Index) })
	term := f.snapshot.Metadata.Term
	var complete []pb.Entry
	for _, e := range f.entries {
		if e.Index == next && e.Term >= term && f.generations[e.Index] == f.generation {
			complete = append(complete, e)
			next, term = next+1, e.Term
			continue
		}
		stale = append(stale, Record{Key: entryKey(e.Index)})
	}
	if err := to.Append(complete); err != nil {
		return nil, err
	}
	if f.hard.Commit >= next {
		return nil, ErrEntriesMissing
	}
	f.hard.Commit = max(f.hard.Commit, f.snapshot.Metadata.Index)
	if f.hard.Term < term {
		f.hard.Term, f.hard.Vote = term, 0
	}
	return stale, to.SetHardState(f.hard)
}
