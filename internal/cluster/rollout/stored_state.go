package rollout

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// A record of a text has at most so many bytes of it, so that it fits the store.
	recordBytes = 60 << 10
	// policyRecordVersion begins the value of a record of a text.
	policyRecordVersion = 1
	// The key of a record of a text is this prefix, the first bytes of the text's digest, and the record's number.
	policyKeyPrefix = "txt\x00"
	policyKeyNumber = 14 // where the number begins
)

// The keys of the other records. Folders hold these bytes, so they don't change.
var (
	floorKey   = recordKey("charter floor")
	replicaKey = recordKey("charter birth")
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

// isPolicyRecordKey tells whether a key is of a record of a text.
func isPolicyRecordKey(key [16]byte, digest Digest) bool {
	stored := key[len(policyKeyPrefix):policyKeyNumber]
	return bytes.Equal(stored, digest[:len(stored)])
}

// policyRecords are the records of a text.
func policyRecords(digest Digest, body []byte) (records []consensus.Record) {
	for number := 0; number*recordBytes < len(body); number++ {
		part := body[number*recordBytes : min(len(body), (number+1)*recordBytes)]
		records = append(records, consensus.Record{Key: policyRecordKey(digest, number), Value: append([]byte{policyRecordVersion}, part...)})
	}
	return records
}

// ReadPolicyText reads a text from its records; get returns nil for a key that has none. The text is nil if a record is missing or wrong.
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

// StoredState is what a folder holds. Its zero value is an empty folder.
type StoredState struct {
	floor      *floorRecord
	replica    *replicaRecord
	log        consensus.StoredLog
	policyKeys map[[16]byte]bool
	err        error
}

// AddRecord takes in a record of the folder, or with deleted set that its key has none any more. Records come in the order in which they
// were written. Err returns what can't be read.
func (s *StoredState) AddRecord(key [16]byte, value []byte, deleted bool) {
	if s.log.AddRecord(key, value, deleted) {
		return
	}
	var err error
	switch {
	case string(key[:len(policyKeyPrefix)]) == policyKeyPrefix:
		s.addPolicyKey(key, deleted)
	case deleted:
	case key == floorKey:
		s.floor = &floorRecord{}
		err = unmarshal(value, s.floor)
	case key == replicaKey:
		s.replica = &replicaRecord{}
		err = unmarshal(value, s.replica)
	default:
		err = fmt.Errorf("no record of a policy rollout has the key %q", key[:])
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

// Err returns an error about the first record that can't be read, or nil.
func (s *StoredState) Err() error { return s.err }

// sortedPolicyKeys are the keys of the records of texts, in order.
func (s *StoredState) sortedPolicyKeys() (keys [][16]byte) {
	for key := range s.policyKeys {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b [16]byte) int { return bytes.Compare(a[:], b[:]) })
	return keys
}

// saveRecords has records survive a crash, and calls done at once without a folder.
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
