package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Served programs must not link what is there for tests and measurements alone.
func TestServedProgramsImportNothingOfTheTestbed(t *testing.T) {
	for _, program := range []string{"magpiebank", "magpiebank-operator", "magpiebank-sim"} {
		t.Run(program, func(t *testing.T) {
			output, err := exec.CommandContext(t.Context(), "go", "list", "-deps", "magpiebank/cmd/"+program).CombinedOutput()
			if err != nil {
				t.Fatalf("go list: %v\n%s", err, output)
			}
			for _, imported := range strings.Fields(string(output)) {
				if strings.HasPrefix(imported, "magpiebank/internal/testbed/") {
					t.Errorf("%s imports %s", program, imported)
				}
			}
		})
	}
}
