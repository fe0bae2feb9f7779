package costmodel

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand"
	"testing"
)

// learnedModel returns a model that has observed some shapes in two classes.
func learnedModel(seed int64) *Model {
	r := rand.New(rand.NewSource(seed))
	model := NewModel(1<<20, 2, nil)
	for i := range 300 {
		s := model.Inspect([]byte(fmt.Sprintf("SELECT k%d FROM t_%d.m WHERE b = 1 ORDER BY k%d", i%7, i%3, i%7)), i%3, i%2)
		model.Observe(&s, drawCost(r, 50*float64(1+i%7), 0.3, 0.1), 32)
		if i%50 == 0 {
			model.RecordLoad(i % 3)
		}
	}
	model.AdvanceHours(30)
	return model
}

func TestSnapshotRoundTrip(t *testing.T) {
	classes := []string{"look", "report"}
	model := learnedModel(1)
	b := model.Snapshot(classes).Encode()
	s, err := DecodeSnapshot(b)
	if err != nil {
		t.Fatal(err)
	}
	again := NewModel(1<<20, 2, nil)
	again.Restore(s, classes)
	for i := range 7 {
		sql := []byte(fmt.Sprintf("SELECT k%d FROM t_1.m WHERE b = 1 ORDER BY k%d", i, i))
		one, two := model.Inspect(sql, 1, 1), again.Inspect(sql, 1, 1)
		if e, f := model.Estimate(&one), again.Estimate(&two); e != f || e.Observations == 0 {
			t.Errorf("%+v is not %+v", f, e)
		}
	}
	if string(again.Snapshot(classes).Encode()) != string(b) {
		t.Error("written again it is another")
	}
	// Cut anywhere, with any bit flipped, or of another version, it is refused as a whole.
	for n := range b {
		if _, err := DecodeSnapshot(b[:n]); err == nil {
			t.Fatalf("cut to %d bytes it is read", n)
		}
		bad := append([]byte(nil), b...)
		bad[n] ^= 1 << (n % 8)
		if _, err := DecodeSnapshot(bad); err == nil {
			t.Fatalf("with byte %d changed it is read", n)
		}
	}
	if _, err := DecodeSnapshot(append(append([]byte(nil), b...), 0)); err == nil {
		t.Error("with a byte more it is read")
	}
	other := append([]byte(nil), b...)
	other[4]++
	if _, err := DecodeSnapshot(other); err == nil || err.Error() != "version 2 of the form, this program knows 1" {
		t.Error(err)
	}
}

// Merged, two gateways' knowledge is as if one had seen all answers: quantiles of each shape, classes, loads; and the
// regression lies between the two.
func TestMergeSnapshots(t *testing.T) {
	classes := []string{"look", "report"}
	one, two := learnedModel(1).Snapshot(classes), learnedModel(2).Snapshot(classes)
	m := MergeSnapshots(one, two)
	if r, n := m.CountRecords(); r != 21 || n != 600 {
		t.Errorf("%d shapes, %d answers", r, n)
	}
	for i := range m.records {
		var want Sketch
		want.Merge(&one.records[i].sketch)
		want.Merge(&two.records[i].sketch)
		if m.records[i].sketch != want {
			t.Fatalf("record %d", i)
		}
	}
	if m.groups[1].loads != one.groups[1].loads+two.groups[1].loads {
		t.Errorf("loads %+v", m.groups)
	}
	for i, w := range m.weights {
		lo, hi := min(one.weights[i], two.weights[i], initialWeights[i]), max(one.weights[i], two.weights[i], initialWeights[i])
		if w < lo-0.3 || w > hi+0.3 {
			t.Errorf("weight %d: %.2f of %.2f and %.2f", i, w, one.weights[i], two.weights[i])
		}
	}
	if same := MergeSnapshots(one); same.weights[0]-one.weights[0] > 1e-6 || one.weights[0]-same.weights[0] > 1e-6 {
		t.Errorf("one alone: %v, %v", same.weights, one.weights)
	}
	if _, err := DecodeSnapshot(m.Encode()); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(learnedModel(1).Snapshot([]string{"a", "b"}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 16 { // past the checksum, so that what is behind it is reached
			b = append([]byte(nil), b...)
			copy(b, snapshotMagic)
			binary.LittleEndian.PutUint16(b[4:], snapshotVersion)
			binary.LittleEndian.PutUint32(b[8:], uint32(len(b)-16))
			binary.LittleEndian.PutUint32(b[len(b)-4:], crc32.Checksum(b[:len(b)-4], castagnoli))
		}
		if s, err := DecodeSnapshot(b); err == nil {
			model := NewModel(1<<16, 2, nil)
			model.Restore(s, []string{"a", "b"})
			look := model.Inspect([]byte("SELECT 1"), 0, 0)
			model.Observe(&look, 5, 0)
			if _, err := DecodeSnapshot(MergeSnapshots(s, model.Snapshot([]string{"a", "b"})).Encode()); err != nil {
				t.Log(err) // sums of what was read may leave what can be read, and are refused
			}
		}
	})
}
