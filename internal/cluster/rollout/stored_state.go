package rollout

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// A policy's text is stored in records of at most recordBytes bytes of text each, so that a record fits the store.
	recordBytes = 60 << 10
	// policyRecordVersion is the first byte of the value of a text record.
	policyRecordVersion = 1
	// The key of a text record consists of policyKeyPrefix, the first bytes of the text's digest, and the record's number.
	policyKeyPrefix = "txt\x00"
	policyKeyNumber = 14 // the offset of the number
)

// The keys of the other records. They must not change, because existing folders contain them.
var (
	lastPolicyKey = recordKey("charter floor")
	replicaKey    = recordKey("charter birth")
)

func recordKey(name string) (key [16]byte) {
	copy(key[:], name)
	return key
}

func policyRecordKey(digest Digest, number int) (key [16]byte) {
	copy(key[:], policyKeyPrefix)
	copy(key[len(policyKeyPrefix):policyKeyNumber], digest[:])
	binary.BigEndian.PutUint16(key[policyKeyNumber:], uint16(number))
	return key
}

// isPolicyRecordKey reports whether the key of a text record belongs to the text with the given digest.
func isPolicyRecordKey(key [16]byte, digest Digest) bool {
	stored := key[len(policyKeyPrefix):policyKeyNumber]
	return bytes.Equal(stored, digest[:len(stored)])
}

// policyRecords returns the records that store a text.
func policyRecords(digest Digest, body []byte) (records []consensus.Record) {
	for number := 0; number*recordBytes < len(body); number++ {
		fragment := body[number*recordBytes : min(len(body), (number+1)*recordBytes)]
		records = append(records, consensus.Record{Key: policyRecordKey(digest, number), Value: append([]byte{policyRecordVersion}, fragment...)})
	}
	return records
}

// ReadPolicyText reads a text from its records. The function get must return nil for a key without a record. ReadPolicyText returns nil if
// a record is missing or the text doesn't match the digest.
func ReadPolicyText(digest Digest, get func(key [16]byte) []byte) (body []byte) {
	for number := range MaxPolicyBytes/recordBytes + 1 {
		value := get(policyRecordKey(digest, number))
		if len(value) == 0 || value[0] != policyRecordVersion {
			break
		}
		body = append(body, value[1:]...)
	}
	if DigestOf(body) != digest {
		return nil
	}
	return body
}

// StoredState is the contents of a folder. The zero value stands for an empty folder.
type StoredState struct {
	lastPolicy *lastPolicyRecord
	replica    *replicaRecord
	log        consensus.StoredLog
	policyKeys map[[16]byte]bool
	err        error
}

// AddRecord adds a record of the folder, or records the deletion of its key if deleted is set. It must be called in the order in which the
// records were written. A record that can't be decoded sets the error that Err returns.
func (s *StoredState) AddRecord(key [16]byte, value []byte, deleted bool) {
	if s.log.AddRecord(key, value, deleted) {
		return
	}
	var err error
	switch {
	case string(key[:len(policyKeyPrefix)]) == policyKeyPrefix:
		s.addPolicyKey(key, deleted)
	case deleted:
	case key == lastPolicyKey:
		s.lastPolicy = &lastPolicyRecord{}
		err = unmarshal(value, s.lastPolicy)
	case key == replicaKey:
		s.replica = &replicaRecord{}
		err = unmarshal(value, s.replica)
	default:
		err = fmt.Errorf("unknown record key %q", key[:])
	}
	if err != nil && s.err == nil {
		s.err = fmt.Errorf("policy rollout: %w", err)
	}
}

func (s *StoredState) addPolicyKey(key [16]byte, deleted bool) {
	if deleted {
		delete(s.policyKeys, key)
		return
	}
	if s.policyKeys == nil {
		s.policyKeys = map[[16]byte]bool{}
	}
	s.policyKeys[key] = true
}

// Err returns an error about the first record that is unknown or can't be decoded, or nil.
func (s *StoredState) Err() error { return s.err }

// sortedPolicyKeys returns the keys of the text records in ascending order.
func (s *StoredState) sortedPolicyKeys() (keys [][16]byte) {
	for key := range s.policyKeys {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b [16]byte) int { return bytes.Compare(a[:], b[:]) })
	return keys
}

// saveRecords saves records and calls done once they survive a crash. Without a folder or without records, it calls done at once.
func (c *Core) saveRecords(records []consensus.Record, done func(error)) {
	if !c.config.Persistent || len(records) == 0 {
		done(nil)
		return
	}
	c.host.SaveRecords(records, func(err error) {
		if err != nil {
			c.host.LogEvent(SaveFailed, "error", err.Error())
		}
		done(err)
	})
}
