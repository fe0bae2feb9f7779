package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{Kind: Kind(rapid.IntRange(1, int(Leave)).Draw(t, "kind")), From: rapid.StringN(0, 10, 40).Draw(t, "from"), Start: rapid.Uint64().Draw(t, "start"),
			For: rapid.Uint64().Draw(t, "for"), Number: rapid.Uint64().Draw(t, "number"), Seat: rapid.IntRange(-1, 1000).Draw(t, "seat"), Seq: rapid.Uint32().Draw(t, "seq"),
			Budget: rapid.Uint32().Draw(t, "budget"), Amount: rapid.Int64Range(0, 1<<30).Draw(t, "amount"), ID: rapid.Uint32().Draw(t, "id"),
			Starts: rapid.SliceOfN(rapid.Uint64(), 0, 5).Draw(t, "starts")}
		got, err := Decode(m.Encode())
		if fmt.Sprint(got) != fmt.Sprint(m) || err != nil {
			t.Fatalf("%v %v %v", err, m, got)
		}
	})
}

func FuzzDecode(f *testing.F) {
	m := Message{Kind: Confirm, From: "g1", Start: 5, Starts: []uint64{1, 2, 3}}
	f.Add(m.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := Decode(b); err != nil && m.Kind != 0 {
			t.Fatal("part of it was used")
		}
	})
}
