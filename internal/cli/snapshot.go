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

// The admission controller's snapshot is split into parts, because the size of a store record is limited. The key of a part is
// snapshotKeyPrefix followed by the number of the part, from 0. The zero byte at the start of the prefix does not occur in request IDs.
// Each part begins with a header: the number of parts and the CRC-32 of the whole encoded snapshot, both as little-endian uint32.
const (
	snapshotKeyPrefix   = "\x00decisions-"
	maxPartBytes        = 60 << 10
	snapshotHeaderBytes = 8
)

// snapshotParts maps the number of each stored part of a snapshot to its record, including the header.
type snapshotParts map[int][]byte

// snapshotPart returns the number of the snapshot part that is stored under a key; ok is false for the key of a request.
func snapshotPart(key store.Key) (part int, ok bool) {
	number, ok := bytes.CutPrefix(key[:], []byte(snapshotKeyPrefix))
	if !ok {
		return 0, false
	}
	part, err := strconv.Atoi(string(number))
	return part, err == nil
}

// saveSnapshot splits an encoded snapshot into parts and stores them. It does not wait until they are durable.
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

// The reasons why a stored snapshot can't be decoded.
var (
	errSnapshotIncomplete = errors.New("a part of the admission controller's stored snapshot is missing or belongs to another snapshot")
	errSnapshotChecksum   = errors.New("the admission controller's stored snapshot does not match its checksum")
)

// decode joins the parts and decodes the snapshot. It returns nil if no snapshot is stored. Parts of different snapshots, as a crash
// may leave them, have different checksums in their headers.
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
		return nil, errSnapshotChecksum
	}
	return admission.DecodeSnapshot(encoded)
}
