package quota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestMessagesAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{Kind: Kind(rapid.IntRange(1, int(KindShareRelease)).Draw(t, "kind")), Sender: rapid.StringN(0, 10, 40).Draw(t, "sender"), SenderIncarnation: rapid.Uint64().Draw(t, "incarnation"),
			RecipientIncarnation: rapid.Uint64().Draw(t, "recipient"), PlanRevision: rapid.Uint64().Draw(t, "number"), Share: rapid.IntRange(-1, 1000).Draw(t, "share"), Sequence: rapid.Uint32().Draw(t, "sequence"),
			QuotaID: rapid.Uint32().Draw(t, "quota"), Units: rapid.Int64Range(0, 1<<30).Draw(t, "units"), LeaseID: rapid.Uint32().Draw(t, "lease"),
			VoterIncarnations: rapid.SliceOfN(rapid.Uint64(), 0, 5).Draw(t, "incarnations")}
		got, err := Decode(m.Encode())
		if fmt.Sprint(got) != fmt.Sprint(m) || err != nil {
			t.Fatalf("error %v, encoded %v, decoded %v", err, m, got)
		}
	})
}

func FuzzDecode(f *testing.F) {
	m := Message{Kind: KindShareConfirm, Sender: "g1", SenderIncarnation: 5, VoterIncarnations: []uint64{1, 2, 3}}
	f.Add(m.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if m, err := Decode(b); err != nil && m.Kind != 0 {
			t.Fatal("Decode returned a partial message with an error")
		}
	})
}
