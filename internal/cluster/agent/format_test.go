package agent

import (
	"path/filepath"
	"slices"
	"testing"

	"magpiebank/internal/testbed/golden"
)

// The nonce is random, so a datagram that is sealed again has other bytes. It must contain the same values when it is opened.
func TestDatagramOfEarlierVersionIsOpened(t *testing.T) {
	key, err := readKey(filepath.Join("testdata", "format", "key"))
	if err != nil {
		t.Fatal(err)
	}
	encoded := golden.Read(t, "datagram.form")
	opened, err := key.open(encoded)
	if err != nil {
		t.Fatal(err)
	}
	golden.CheckValues(t, "datagram", opened)
	for i, kind := range []sectionKind{membershipSection, healthReportSection, quotaSection, countersSection, policySection} {
		if found := opened.sections[i].kind; found != kind {
			t.Errorf("section %d: expected kind %d, found %d", i, kind, found)
		}
	}
	sealed, err := key.seal(opened)
	if err != nil {
		t.Fatal(err)
	}
	again, err := key.open(sealed)
	if err != nil {
		t.Fatal(err)
	}
	if len(sealed) != len(encoded) || !slices.Equal(golden.Values(again), golden.Values(opened)) {
		t.Errorf("after sealing again: expected %v, found %v", golden.Values(opened), golden.Values(again))
	}
}
