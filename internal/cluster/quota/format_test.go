package quota

import (
	"fmt"
	"testing"

	"magpiebank/internal/testbed/golden"
)

func TestMessagesOfEarlierVersionAreReadAndWrittenAlike(t *testing.T) {
	for kind := 1; kind <= 10; kind++ {
		name := fmt.Sprintf("message-%02d", kind)
		t.Run(name, func(t *testing.T) {
			golden.CheckRoundTrip(t, name, Decode, func(m Message) []byte { return m.Encode() })
		})
	}
}
