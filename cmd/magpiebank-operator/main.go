// Magpiebank-operator is the gateway with an operator's rules: statements that are read and costed, classes, pools and
// limits, and a cluster of gateways that know of each other. Magpiebank runs it in its place where its command line asks
// for any of them.
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

// writeJSON writes a value as JSON, one field a line.
func writeJSON(out io.Writer, value any, indent string) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", indent)
	return encoder.Encode(value)
}
