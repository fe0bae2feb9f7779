package requestjournal_test

import (
	"encoding/hex"
	"errors"
	"slices"
	"testing"

	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// memoryLog collects the written records, encoded in hex.
type memoryLog struct{ records []string }

func (l *memoryLog) Put(_ requestjournal.Key, record []byte, _ func(error)) {
	l.records = append(l.records, hex.EncodeToString(record))
}

func (l *memoryLog) Delete(requestjournal.Key, func(error)) {}

// Records are encoded into the same bytes as by earlier versions, and records of earlier versions can be decoded.
func TestStoredRecordsKeepTheirBytes(t *testing.T) {
	var log memoryLog
	journal := requestjournal.New(&log, classes, 10)
	journal.Accept(1000*second, "0000000000000001", 1, 1010*second)
	journal.BeginAttempt(1001*second, "0000000000000001", 2, 3, nil)
	journal.EndAttempt(1002*second, "0000000000000001", false)
	journal.RecordAnswer(1003*second, "0000000000000001", requestjournal.Served, [][]byte{[]byte("a\tb\n")}, nil)
	want := []string{
		"0100000280dac409c0f4d0090000000000",
		"0101000280dac409c0f4d00902a0f6c509040600",
		"0102000280dac409c0f4d00902a0f6c509040600",
		"0106010280dac409c0f4d00902a0f6c5090406e0aec80901046109620a",
	}
	if !slices.Equal(log.records, want) {
		t.Errorf("found records\n%q, expected\n%q", log.records, want)
	}
	for _, record := range want {
		b := decodeHex(t, record)
		if _, err := requestjournal.Decode(b); err != nil {
			t.Errorf("%s: %v", record, err)
		}
		if _, err := requestjournal.Decode(b[:len(b)-1]); !errors.Is(err, requestjournal.ErrInvalidRecord) {
			t.Errorf("%s without its last byte: %v", record, err)
		}
	}
	entry, err := requestjournal.Decode(decodeHex(t, want[3]))
	if err != nil {
		t.Fatal(err)
	}
	if entry.Deadline != 1010*admission.Second || entry.Zone != 2 || entry.Group != 3 || string(entry.Pages[0]) != "a\tb\n" {
		t.Errorf("decoded an unexpected entry: %+v", entry)
	}
}

func decodeHex(t *testing.T, digits string) []byte {
	t.Helper()
	b, err := hex.DecodeString(digits)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
