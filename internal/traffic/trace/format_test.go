package trace

import (
	"bytes"
	"testing"

	"magpiebank/internal/testbed/golden"
)

func TestTraceOfEarlierVersionIsReadAndWrittenAlike(t *testing.T) {
	stored := golden.Read(t, "trace.form")
	recorded, err := Read(bytes.NewReader(stored))
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckValues(t, "trace", []any{recorded.Start.UnixMicro(), recorded.Records})
	if rewritten := encodeTrace(t, recorded, 3); !bytes.Equal(rewritten, stored) {
		t.Errorf("expected %x\nfound    %x", stored, rewritten)
	}
}
