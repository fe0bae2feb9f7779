package cli

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"

	"magpiebank/internal/admission"
	"magpiebank/internal/storage/store"
)

// The admission controller's snapshot is stored in parts, because a record has a largest size. The key of a part has its
// number; its first byte is none of a request's id. A part begins with the number of parts and the checksum of the whole
// snapshot, both in four bytes, the least significant first.
const (
	snapshotKeyPrefix   = "\x00decisions-"
	maxPartBytes        = 60 << 10
	snapshotHeaderBytes = 8
)

// snapshotParts are the stored parts of a snapshot by their numbers.
type snapshotParts map[int][]byte

// snapshotPart returns the number of the snapshot's part that has a key; ok is false for other records.
func snapshotPart(key store.Key) (part int, ok bool) {
	number, ok := bytes.CutPrefix(key[:], []byte(snapshotKeyPrefix))
	if !ok {
		return 0, false
	}
	part, err := strconv.Atoi(string(number))
	return part, err == nil
}

// saveSnapshot stores an encoded snapshot.
func saveSnapshot(records *store.Store, encoded []byte) {
	parts := (len(encoded) + maxPartBytes - 1) / maxPartBytes
	for part := range parts {
		var key store.Key
		copy(key[:], fmt.Sprintf("%s%0*d", snapshotKeyPrefix, len(key)-len(snapshotKeyPrefix), part))
		record := binary.LittleEndian.AppendUint32(nil, uint32(parts))
		record = binary.LittleEndian.AppendUint32(record, crc32.ChecksumIEEE(encoded))
		record = append(record, encoded[part*maxPartBytes:min(len(encoded), (part+1)*maxPartBytes)]...)
		records.Put(key, record, nil)
	}
}

// The reasons why a stored snapshot can't be used.
var (
	errSnapshotIncomplete = errors.New("what the decisions knew is there in part only")
	errSnapshotMixed      = errors.New("what the decisions knew is of two times")
)

// decode joins the parts and decodes the snapshot. It returns nil if none is stored. Parts of different snapshots are told
// by the checksum.
func (p snapshotParts) decode() (*admission.Snapshot, error) {
	first := p[0]
	if len(first) < snapshotHeaderBytes {
		return nil, nil
	}
	header := first[:snapshotHeaderBytes]
	var encoded []byte
	for part := range int(binary.LittleEndian.Uint32(header)) {
		record := p[part]
		if len(record) < snapshotHeaderBytes || !bytes.Equal(record[:snapshotHeaderBytes], header) {
			return nil, errSnapshotIncomplete
		}
		encoded = append(encoded, record[snapshotHeaderBytes:]...)
	}
	if crc32.ChecksumIEEE(encoded) != binary.LittleEndian.Uint32(header[4:]) {
		return nil, errSnapshotMixed
	}
	return admission.DecodeSnapshot(encoded)
}
