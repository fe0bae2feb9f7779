package store

import (
	"encoding/hex"
	"testing"
)

// Headers, records and manifests are encoded into the same bytes as by earlier versions.
func TestFormatKeepsItsBytes(t *testing.T) {
	storeID := [16]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	var key Key
	copy(key[:], "00000000000000a1")
	header := segmentHeader{storeID: storeID, number: 2, firstSequence: 77}
	value := record{sequence: 78, syncedSequence: 77, key: key, value: []byte("value")}
	deletion := record{sequence: 79, syncedSequence: 78, key: key, deleted: true}
	manifest := manifest{storeID: storeID, owner: "g1", firstSegment: 2, closedAtSequence: 79, firstSequence: 77}
	for name, format := range map[string]struct {
		got  []byte
		want string
	}{
		"segment header": {header.encode(), "4d504c4f470000010102030405060708090a0b0c0d0e0f1002000000000000004d000000000000000000000097a8feb8"},
		"value":          {appendRecord(nil, &value), "a7050000004e000000000000004d000000000000003030303030303030303030303030613102e161e776616c7565"},
		"deletion":       {appendRecord(nil, &deletion), "a8000000004f000000000000004e00000000000000303030303030303030303030303061317755c2f4"},
		"manifest":       {manifest.encode(), "4d504d414e0000010102030405060708090a0b0c0d0e0f1002000000000000004d000000000000004f000000000000000200000000000000673182a91c7d"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := hex.EncodeToString(format.got); got != format.want {
				t.Errorf("found bytes\n%s, expected\n%s", got, format.want)
			}
		})
	}
	if got, ok := decodeManifest(manifest.encode()); !ok || got != manifest {
		t.Errorf("the manifest is decoded as %+v", got)
	}
	if got, ok := decodeSegmentHeader(header.encode()); !ok || got != header {
		t.Errorf("the header is decoded as %+v", got)
	}
	if got, ok := decodeRecord(appendRecord(nil, &value)); !ok || got.sequence != 78 || got.syncedSequence != 77 || got.key != key || string(got.value) != "value" {
		t.Errorf("the value is decoded as %+v", got)
	}
}
