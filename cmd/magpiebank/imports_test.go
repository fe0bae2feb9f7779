package main

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// The gateway reads discovery's answers itself; net/http would bring TLS and HTTP/2, and more than a megabyte.
func TestGatewayDoesNotLinkHTTPLibrary(t *testing.T) {
	output, err := exec.CommandContext(t.Context(), "go", "list", "-deps", "magpiebank/cmd/magpiebank").CombinedOutput()
	if err != nil {
		t.Fatalf("go list: %v\n%s", err, output)
	}
	if slices.Contains(strings.Fields(string(output)), "net/http") {
		t.Error("cmd/magpiebank imports net/http")
	}
}

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
