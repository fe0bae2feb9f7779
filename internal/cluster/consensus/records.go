package consensus

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// Record is a key and its value, to be stored in a folder so that it survives a crash. A record without a value deletes the key.
type Record struct {
	Key   [16]byte
	Value []byte
}

// A key consists of "log", a zero byte and the kind, and has the entry's index in its last eight bytes. A value consists of recordVersion,
// the log's generation in four bytes, and a message in raft's encoding.
const (
	recordVersion = 1
	kindHardState = 'h'
	kindSnapshot  = 's'
	kindEntry     = 'e'
	keyPrefix     = "log\x00"
	indexOffset   = 8
	headerBytes   = 5
)

func recordKey(kind byte, index uint64) (key [16]byte) {
	copy(key[:], keyPrefix)
	key[len(keyPrefix)] = kind
	binary.BigEndian.PutUint64(key[indexOffset:], index)
	return key
}

func entryKey(index uint64) [16]byte { return recordKey(kindEntry, index) }

type marshaler interface{ Marshal() ([]byte, error) }

func encodeRecord(key [16]byte, generation uint32, message marshaler) Record {
	encoded, err := message.Marshal()
	if err != nil {
		panic(err) // can't happen: raft can encode each of its own messages
	}
	return Record{key, append(binary.BigEndian.AppendUint32([]byte{recordVersion}, generation), encoded...)}
}

func (n *Node) snapshotRecord(s *pb.Snapshot) Record {
	return encodeRecord(recordKey(kindSnapshot, 0), n.generation, s)
}
func (n *Node) entryRecord(e *pb.Entry) Record {
	return encodeRecord(entryKey(e.Index), n.generation, e)
}
func hardStateRecord(h pb.HardState) Record { return encodeRecord(recordKey(kindHardState, 0), 0, &h) }

// StoredLog is a log as read from the records in a folder.
type StoredLog struct {
	hardState   pb.HardState
	snapshot    pb.Snapshot
	entries     []pb.Entry
	generations map[uint64]uint32 // the generation of each entry, by index
	generation  uint32
	err         error
}

// AddRecord adds a record of the folder, or records the deletion of its key if deleted is set. It must be called in the order in which the
// records were written. It returns false if the key doesn't belong to a log. A value that can't be decoded makes New return an error.
func (l *StoredLog) AddRecord(key [16]byte, value []byte, deleted bool) bool {
	if string(key[:len(keyPrefix)]) != keyPrefix {
		return false
	}
	kind, index := key[len(keyPrefix)], binary.BigEndian.Uint64(key[indexOffset:])
	if kind == kindEntry {
		l.entries = slices.DeleteFunc(l.entries, func(e pb.Entry) bool { return e.Index == index })
	}
	if deleted {
		return true
	}
	if err := l.decode(kind, index, value); err != nil && l.err == nil {
		l.err = fmt.Errorf("consensus: record %q: %w", key[:], err)
	}
	return true
}

// decode decodes the value of a record and stores it in l.
func (l *StoredLog) decode(kind byte, index uint64, value []byte) error {
	if len(value) < headerBytes || value[0] != recordVersion {
		return fmt.Errorf("expected form %d, found another", recordVersion)
	}
	generation, encoded := binary.BigEndian.Uint32(value[1:]), value[headerBytes:]
	switch kind {
	case kindHardState:
		l.hardState.Reset()
		return l.hardState.Unmarshal(encoded)
	case kindSnapshot:
		l.snapshot.Reset()
		l.generation = generation
		return l.snapshot.Unmarshal(encoded)
	case kindEntry:
		var entry pb.Entry
		if err := entry.Unmarshal(encoded); err != nil {
			return err
		}
		if l.generations == nil {
			l.generations = map[uint64]uint32{}
		}
		l.entries, l.generations[index] = append(l.entries, entry), generation
		return nil
	default:
		return fmt.Errorf("expected form %d, found another", recordVersion)
	}
}

// IsEmpty reports whether the folder contains no part of a log.
func (l *StoredLog) IsEmpty() bool {
	return len(l.entries) == 0 && raft.IsEmptySnap(l.snapshot) && raft.IsEmptyHardState(l.hardState)
}

// DeletionRecords returns the records that delete this log from the folder.
func (l *StoredLog) DeletionRecords() (deletions []Record) {
	for i := range l.entries {
		deletions = append(deletions, Record{Key: entryKey(l.entries[i].Index)})
	}
	return append(deletions, Record{Key: recordKey(kindSnapshot, 0)}, Record{Key: recordKey(kindHardState, 0)})
}

// restore copies the stored log to raft's storage. A crash may have left an incomplete last write, with entries that were replaced, that a
// snapshot covers, or whose predecessors are missing. This node has not acknowledged such entries to other voters, so restore omits them
// and returns records in stale that delete them from the folder.
func (l *StoredLog) restore(to *raft.MemoryStorage) (stale []Record, err error) {
	if l.err != nil {
		return nil, l.err
	}
	next := uint64(1)
	if !raft.IsEmptySnap(l.snapshot) {
		if err := to.ApplySnapshot(l.snapshot); err != nil {
			return nil, err
		}
		next = l.snapshot.Metadata.Index + 1
	}
	slices.SortFunc(l.entries, func(a, b pb.Entry) int { return cmp.Compare(a.Index, b.Index) })
	term := l.snapshot.Metadata.Term
	var contiguous []pb.Entry
	for _, e := range l.entries {
		if e.Index == next && e.Term >= term && l.generations[e.Index] == l.generation {
			contiguous = append(contiguous, e)
			next, term = next+1, e.Term
			continue
		}
		stale = append(stale, Record{Key: entryKey(e.Index)})
	}
	if err := to.Append(contiguous); err != nil {
		return nil, err
	}
	if l.hardState.Commit >= next {
		return nil, ErrEntriesMissing
	}
	l.hardState.Commit = max(l.hardState.Commit, l.snapshot.Metadata.Index)
	if l.hardState.Term < term {
		l.hardState.Term, l.hardState.Vote = term, 0
	}
	return stale, to.SetHardState(l.hardState)
}
