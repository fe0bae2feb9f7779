package trace

import (
	"bytes"
	"testing"

	"magpiebank/internal/testbed/golden"
)

func TestTraceOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	form := golden.Read(t, "trace.form")
	recorded, err := Read(bytes.NewReader(form))
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckValues(t, "trace", []any{recorded.Start.UnixMicro(), recorded.Records})
	if again := written(t, recorded, 3); !bytes.Equal(again, form) {
		t.Errorf("expected %x\nfound    %x", form, again)
	}
}
