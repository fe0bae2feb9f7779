package membership

import (
	"testing"

	"magpiebank/internal/testbed/golden"
)

func TestMessagesOfEarlierVersionAreReadAndWrittenAlike(t *testing.T) {
	for _, name := range []string{"ping", "ack", "ask"} {
		t.Run(name, func(t *testing.T) { golden.CheckRoundTrip(t, name, decode, writeMessage) })
	}
}

func writeMessage(m message) []byte {
	w := newWriter(m)
	for i := range m.records {
		w.add(&m.records[i])
	}
	return w.bytes()
}
