package admission_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"magpiebank/internal/admission"
	"magpiebank/internal/testbed/golden"
)

func TestSnapshotOfEarlierVersionIsRead(t *testing.T) {
	golden.CheckRoundTrip(t, "snapshot", admission.DecodeSnapshot, (*admission.Snapshot).Encode)
}

func TestSnapshotOfEarlierVersionHasNoUnknownField(t *testing.T) {
	decoder := json.NewDecoder(bytes.NewReader(golden.Read(t, "snapshot.form")))
	decoder.DisallowUnknownFields()
	snapshot := &admission.Snapshot{}
	if err := decoder.Decode(snapshot); err != nil {
		t.Fatal(err)
	}
	for _, field := range golden.ZeroFields(snapshot) {
		t.Errorf("field %s is missing from the snapshot that an earlier version wrote", field)
	}
}
