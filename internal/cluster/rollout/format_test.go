package rollout

import (
	"path"
	"testing"

	"magpiebank/internal/testbed/golden"
)

func TestMessagesOfEarlierVersionAreReadAndWrittenAlike(t *testing.T) {
	for _, name := range []string{"ask", "answer", "propose", "told", "fetch", "piece", "born", "born-first", "born-reply", "log"} {
		t.Run(name, func(t *testing.T) { golden.CheckRoundTrip(t, "message-"+name, decode, (*Message).encode) })
	}
}

func TestRecordsOfEarlierVersionAreReadAndWrittenAlike(t *testing.T) {
	t.Run("state", checkRecord[Table])
	t.Run("entry", checkRecord[logEntry])
	t.Run("floor", checkRecord[lastPolicyRecord])
	t.Run("birth", checkRecord[replicaRecord])
}

// checkRecord checks the round trip of the record in the test file that the subtest is named after.
func checkRecord[T any](t *testing.T) {
	t.Helper()
	name := path.Base(t.Name())
	decode := func(b []byte) (*T, error) {
		record := new(T)
		return record, unmarshal(b, record)
	}
	golden.CheckRoundTrip(t, name, decode, func(record *T) []byte { return encode(record) })
}
