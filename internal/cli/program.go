// Package cli is the gateway's command line, which two programs share: magpiebank, and magpiebank-operator, which applies an
// operator's rules besides and takes magpiebank's place where they are asked for.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"magpiebank/internal/config"
	"magpiebank/internal/router"
)

const version = "0.1.0"

// OperatorRules are an operator's rules for one gateway.
type OperatorRules interface {
	// ResourceGroups returns nil if the operator's file has no classes.
	ResourceGroups() router.ResourceGroups
	// Peers returns nil if the operator's file has no fleet.
	Peers() router.Peers
	// Reload reads the operator's file again. If it returns an error the rules stay as they are.
	Reload() error
	// SaveCostModel writes what was learned of statements to where the operator's file says.
	SaveCostModel()
}

// Program is one of the programs that share the command line.
type Program struct {
	// LoadOperatorRules reads an operator's file; nil if the program has no part in such rules.
	LoadOperatorRules func(file string, start *config.Config, log *slog.Logger) (OperatorRules, error)
	// Commands are the program's commands besides the gateway's.
	Commands []*cobra.Command
}

// OperatorProgram is the name of the program that applies an operator's rules. It takes the place of the other one in the
// same process.
const OperatorProgram = "magpiebank-operator"

// operatorCommands are the commands that only OperatorProgram has, with their descriptions.
var operatorCommands = map[string]string{
	"statement": "What is read of statements, and what was learned of them",
	"fleet":     "What a gateway knows of the others",
	"policy":    "The fleet's policy: propose a change, follow it, go back",
}

const usage = `Magpiebank is one gateway before analytic engines.

  magpiebank serve       serve clients until told to stop by SIGTERM; SIGHUP has the configuration read again
  magpiebank check       read the configuration, print what it says, and stop
  magpiebank statement   what is read of statements, and what was learned of them
  magpiebank fleet       what a gateway knows of the others
  magpiebank policy      the fleet's policy: propose a change, follow it, go back
  magpiebank store       what a folder of --state holds
  magpiebank version     print the version

Each takes --help. To see it at work without a configuration: magpiebank-testbed demo.
`

// The exit statuses.
const (
	exitFailure = 1
	exitMisuse  = 2 // of the command line or the configuration
)

// runError is an error of carrying out what was asked for, not of the command line or the configuration.
type runError struct{ cause error }

func (e runError) Error() string { return e.cause.Error() }

func (e runError) Unwrap() error { return e.cause }

// Run carries out one command and returns the exit status of the process: 0, 1 if the command failed, or 2 if the command
// line or the configuration was at fault.
func (p Program) Run(args []string, env func(string) string, out, errs io.Writer) int {
	root := p.rootCommand(env, out, errs)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return 0
	}
	var failure runError
	if errors.As(err, &failure) {
		fmt.Fprintln(errs, "magpiebank:", err)
		return exitFailure
	}
	fmt.Fprintln(errs, "magpiebank:", strings.TrimSuffix(err.Error(), "\n"))
	return exitMisuse
}

// rootCommand returns the command that has all others.
func (p Program) rootCommand(env func(string) string, out, errs io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use: "magpiebank", SilenceErrors: true, SilenceUsage: true, Args: cobra.ArbitraryArgs,
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("no command %q\n\n%s", args[0], usage)
			}
			return fmt.Errorf("no command\n\n%s", usage)
		},
	}
	root.SetHelpFunc(func(command *cobra.Command, _ []string) {
		if command == root {
			fmt.Fprint(out, usage)
			return
		}
		fmt.Fprintf(out, "%s\n\n%s", command.Short, command.UsageString())
	})
	if p.LoadOperatorRules == nil {
		for use, short := range operatorCommands {
			root.AddCommand(&cobra.Command{Use: use, Short: short, DisableFlagParsing: true,
				RunE: func(*cobra.Command, []string) error { return becomeOperatorProgram() }})
		}
	}
	root.AddCommand(p.Commands...)
	root.AddCommand(p.serveCommand(env, errs), p.checkCommand(env, out), storeCommand(out), versionCommand(out))
	return root
}

func versionCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { fmt.Fprintln(out, "magpiebank", version+build) }}
}

// becomeOperatorProgram replaces this process by OperatorProgram, which is in the same folder, with the same arguments. It
// returns only if that fails.
func becomeOperatorProgram() error {
	self, err := os.Executable()
	if err != nil {
		return runError{err}
	}
	program := filepath.Join(filepath.Dir(self), OperatorProgram)
	if _, err := exec.LookPath(program); err != nil {
		return runError{fmt.Errorf("an operator's rules need the program %s beside this one: %w", OperatorProgram, err)}
	}
	return runError{syscall.Exec(program, append([]string{OperatorProgram}, os.Args[1:]...), os.Environ())}
}
