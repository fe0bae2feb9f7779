package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestMessage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{Kind: Kind(rapid.IntRange(1, int(KindShareRelease)).Draw(t, "kind")), Sender: rapid.StringN(0, 10, 40).Draw(t, "from"), SenderIncarnation: rapid.Uint64().Draw(t, "start"),
			RecipientIncarnation: rapid.Uint64().Draw(t, "for"), PlanNumber: rapid.Uint64().Draw(t, "number"), Share: rapid.IntRange(-1, 1000).Draw(t, "seat"), Sequence: rapid.Uint32().Draw(t, "seq"),
			QuotaID: rapid.Uint32().Draw(t, "budget"), Units: rapid.Int64Range(0, 1<<30).Draw(t, "amount"), LeaseID: rapid.Uint32().Draw(t, "id"),
			VoterIncarnations: rapid.SliceOfN(rapid.Uint64(), 0, 5).Draw(t, "starts")}
		got, err := Decode(m.Encode())
		if fmt.Sprint(got) != fmt.Sprint(m) || err != nil {
			t.Fatalf("%v %v %v", err, m, got)
		}
	})
}

func FuzzDecode(f *testing.F) {
	m := Message{Kind: KindShareConfirm, Sender: "g1", SenderIncarnation: 5, VoterIncarnations: []uint64{1, 2, 3}}
	f.Add(m.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := Decode(b); err != nil && m.Kind != 0 {
			t.Fatal("part of it was used")
		}
	})
}
