package crashtest

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Kills a real gateway a few times. The full run is magpiebank-testbed experiment run restart. The same run without a journal
// must be bad, because loads run twice: this proves that the checks detect such loads.
func TestRestarts(t *testing.T) {
	program := filepath.Join(t.TempDir(), "magpiebank")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "magpiebank/cmd/magpiebank").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, withoutJournal := range []bool{false, true} {
		result, err := Run(context.Background(), Plan{Program: program, Folder: t.TempDir(), Kills: 12, LoadClients: 16, LookupClients: 4, Seed: 3, NoJournal: withoutJournal})
		if err != nil {
			t.Fatal(err)
		}
		var text strings.Builder
		result.Text(&text)
		t.Logf("without a journal %t\n%s", withoutJournal, &text)
		if result.Good() == withoutJournal {
			t.Errorf("without a journal %t: the result must be good exactly with a journal, found good %t", withoutJournal, result.Good())
		}
	}
}
