// Magpiebank-operator is the gateway with an operator's rules: statements read and costed, classes, pools and limits.
// magpiebank turns into it where its command line asks for any of them.
package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"magpiebank/internal/command"
	"magpiebank/internal/deployment"
	"magpiebank/internal/operator"
	"magpiebank/internal/operator/source"
)

func main() {
	p := command.Program{Operator: rules, Commands: []*cobra.Command{statementCommand()}}
	os.Exit(p.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
}

// desk is an operator's desk with the file that it comes from.
type desk struct {
	*operator.Desk
	file string
}

// rules reads an operator's file for a gateway.
func rules(file string, start *deployment.Start, log *slog.Logger) (command.Rules, error) {
	f, err := source.Read(file)
	if err != nil {
		return nil, err
	}
	if f.Statements == nil {
		return nil, fmt.Errorf("%s: statements: expected what is to be known of statements, found nothing", file)
	}
	d, err := operator.NewDesk(f.Statements, start, log)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return desk{d, file}, nil
}

// Reload reads the file again.
func (d desk) Reload() error {
	f, err := source.Read(d.file)
	if err != nil {
		return err
	}
	d.Renew(f.Statements)
	return nil
}
