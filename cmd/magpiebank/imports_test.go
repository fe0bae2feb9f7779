package main

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// The gateway parses the discovery server's HTTP responses itself. Linking net/http would add TLS, HTTP/2 and more than a megabyte to
// the program.
func TestGatewayDoesNotLinkHTTPLibrary(t *testing.T) {
	output, err := exec.CommandContext(t.Context(), "go", "list", "-deps", "magpiebank/cmd/magpiebank").CombinedOutput()
	if err != nil {
		t.Fatalf("go list: %v\n%s", err, output)
	}
	if slices.Contains(strings.Fields(string(output)), "net/http") {
		t.Error("cmd/magpiebank imports net/http")
	}
}

// Programs that run in production must not link packages that exist only for tests and measurements.
func TestReleaseProgramsDoNotImportTestbed(t *testing.T) {
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
