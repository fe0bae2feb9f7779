package costmodel

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand"
	"testing"
)

// learnedModel returns a model with observations of several shapes in two classes.
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
	restored := NewModel(1<<20, 2, nil)
	restored.Restore(s, classes)
	for i := range 7 {
		sql := []byte(fmt.Sprintf("SELECT k%d FROM t_1.m WHERE b = 1 ORDER BY k%d", i, i))
		one, two := model.Inspect(sql, 1, 1), restored.Inspect(sql, 1, 1)
		if e, f := model.Estimate(&one), restored.Estimate(&two); e != f || e.Observations == 0 {
			t.Errorf("the restored model estimates %+v, expected %+v", f, e)
		}
	}
	if string(restored.Snapshot(classes).Encode()) != string(b) {
		t.Error("the snapshot of the restored model differs")
	}
	// A snapshot that is truncated anywhere, has a bit flipped or another version is rejected.
	for n := range b {
		if _, err := DecodeSnapshot(b[:n]); err == nil {
			t.Fatalf("a snapshot truncated to %d bytes is accepted", n)
		}
		bad := append([]byte(nil), b...)
		bad[n] ^= 1 << (n % 8)
		if _, err := DecodeSnapshot(bad); err == nil {
			t.Fatalf("a snapshot with byte %d changed is accepted", n)
		}
	}
	if _, err := DecodeSnapshot(append(append([]byte(nil), b...), 0)); err == nil {
		t.Error("a snapshot with an additional byte is accepted")
	}
	other := append([]byte(nil), b...)
	other[4]++
	if _, err := DecodeSnapshot(other); err == nil || err.Error() != "version 2 of the form, this program knows 1" {
		t.Error(err)
	}
}

// The merged snapshot of two gateways has the sketches and loads that one gateway would have with the observations of
// both, and its regression lies between the two.
func TestMergeSnapshots(t *testing.T) {
	classes := []string{"look", "report"}
	first, second := learnedModel(1).Snapshot(classes), learnedModel(2).Snapshot(classes)
	merged := MergeSnapshots(first, second)
	if r, n := merged.CountRecords(); r != 21 || n != 600 {
		t.Errorf("%d records, %d observations", r, n)
	}
	for i := range merged.records {
		var want Sketch
		want.Merge(&first.records[i].sketch)
		want.Merge(&second.records[i].sketch)
		if merged.records[i].sketch != want {
			t.Fatalf("record %d: the sketch is not the sum of both", i)
		}
	}
	if merged.groups[1].loads != first.groups[1].loads+second.groups[1].loads {
		t.Errorf("loads %+v", merged.groups)
	}
	for i, w := range merged.weights {
		lo, hi := min(first.weights[i], second.weights[i], initialWeights[i]), max(first.weights[i], second.weights[i], initialWeights[i])
		if w < lo-0.3 || w > hi+0.3 {
			t.Errorf("weight %d: %.2f from %.2f and %.2f", i, w, first.weights[i], second.weights[i])
		}
	}
	if same := MergeSnapshots(first); same.weights[0]-first.weights[0] > 1e-6 || first.weights[0]-same.weights[0] > 1e-6 {
		t.Errorf("merging one snapshot changes its weights: %v, expected %v", same.weights, first.weights)
	}
	if _, err := DecodeSnapshot(merged.Encode()); err != nil {
		t.Error(err)
	}
}

// FuzzDecode checks that a snapshot that can be decoded can also be restored, observed and merged without a panic.
func FuzzDecode(f *testing.F) {
	f.Add(learnedModel(1).Snapshot([]string{"a", "b"}).Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) > 16 { // sets a valid header and checksum, so that the payload is decoded
			b = append([]byte(nil), b...)
			copy(b, snapshotMagic)
			binary.LittleEndian.PutUint16(b[4:], snapshotVersion)
			binary.LittleEndian.PutUint32(b[8:], uint32(len(b)-16))
			binary.LittleEndian.PutUint32(b[len(b)-4:], crc32.Checksum(b[:len(b)-4], castagnoli))
		}
		if s, err := DecodeSnapshot(b); err == nil {
			model := NewModel(1<<16, 2, nil)
			model.Restore(s, []string{"a", "b"})
			query := model.Inspect([]byte("SELECT 1"), 0, 0)
			model.Observe(&query, 5, 0)
			if _, err := DecodeSnapshot(MergeSnapshots(s, model.Snapshot([]string{"a", "b"})).Encode()); err != nil {
				t.Log(err) // the sums of decoded values may exceed the accepted range, so an error is no failure
			}
		}
	})
}
