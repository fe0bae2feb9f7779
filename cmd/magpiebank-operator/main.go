// Magpiebank-operator is a gateway that applies an operator's rules: it parses statements, estimates their cost, applies classes, pools
// and limits, and communicates with the other gateways of a cluster. The program magpiebank executes it in its own place if its command
// line requires any of these.
package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/spf13/cobra"

	"magpiebank/internal/cli"
)

func main() {
	p := cli.Program{LoadOperatorRules: loadRules, Commands: []*cobra.Command{statementCommand(), fleetCommand(), policyCommand()}}
	os.Exit(p.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

// writeJSON writes a value as JSON, with one field per line.
func writeJSON(out io.Writer, value any, indent string) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", indent)
	return encoder.Encode(value)
}
