// Package cli implements the gateway's command line for two programs: magpiebank, and magpiebank-operator, which also applies an
// operator's rules. If a command needs those rules, magpiebank replaces itself with magpiebank-operator.
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

// OperatorRules is the set of rules that an operator's file defines for one gateway.
type OperatorRules interface {
	// ResourceGroups returns the rules for resource groups, or nil if the operator's file has no classes.
	ResourceGroups() router.ResourceGroups
	// Peers returns the connection to the other gateways, or nil if the operator's file has no fleet.
	Peers() router.Peers
	// Reload reads the operator's file again. If it returns an error, the rules in force don't change.
	Reload() error
	// SaveCostModel writes a snapshot of the statement cost model, if the operator's file names a file for it.
	SaveCostModel()
}

// Program is a program with the gateway's command line: magpiebank or magpiebank-operator.
type Program struct {
	// LoadOperatorRules reads an operator's file. It is nil in a program that does not support operator's rules.
	LoadOperatorRules func(file string, start *config.Config, log *slog.Logger) (OperatorRules, error)
	// Commands are added to the commands that both programs have.
	Commands []*cobra.Command
}

// OperatorProgram is the name of the program that applies an operator's rules. The program magpiebank executes it in place of its own
// process for commands that need those rules.
const OperatorProgram = "magpiebank-operator"

// operatorCommands maps the name of each command that only OperatorProgram implements to its description.
var operatorCommands = map[string]string{
	"statement": "Show how statements are parsed and what the cost model learned from them",
	"fleet":     "Show what a gateway knows about the other gateways",
	"policy":    "Manage the fleet's policy: propose a change, watch its rollout, roll back",
}

const usage = `Magpiebank runs one gateway in front of analytic engines.

  magpiebank serve       serve clients until SIGTERM; on SIGHUP, read the configuration again
  magpiebank check       read the configuration, print a summary of it and exit
  magpiebank statement   show how statements are parsed and what the cost model learned from them
  magpiebank fleet       show what a gateway knows about the other gateways
  magpiebank policy      manage the fleet's policy: propose a change, watch its rollout, roll back
  magpiebank store       inspect or repair a folder of --state
  magpiebank version     print the version

Each command takes --help. To see a gateway at work without a configuration, run magpiebank-testbed demo.
`

// The exit statuses of a command that fails.
const (
	exitFailure = 1
	exitMisuse  = 2 // invalid input: the command line, the configuration or a folder of --state
)

// runError marks an error that makes the process exit with exitFailure. All other errors make it exit with exitMisuse.
type runError struct{ cause error }

func (e runError) Error() string { return e.cause.Error() }

func (e runError) Unwrap() error { return e.cause }

// Run executes one command and returns the exit status of the process: 0 on success, 1 if the command failed while it ran, or 2 if its
// input is invalid, which is the command line, the configuration or a folder of the request journal.
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

// rootCommand returns the command that contains all others as subcommands.
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
				RunE: func(*cobra.Command, []string) error { return execOperatorProgram() }})
		}
	}
	root.AddCommand(p.Commands...)
	root.AddCommand(p.serveCommand(env, errs), p.checkCommand(env, out), storeCommand(out), versionCommand(out))
	return root
}

func versionCommand(out io.Writer) *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(*cobra.Command, []string) { fmt.Fprintln(out, "magpiebank", version+versionSuffix) }}
}

// execOperatorProgram executes OperatorProgram, which is in the same folder as this program, in place of this process and with the
// same arguments. It returns only if that fails.
func execOperatorProgram() error {
	self, err := os.Executable()
	if err != nil {
		return runError{err}
	}
	program := filepath.Join(filepath.Dir(self), OperatorProgram)
	if _, err := exec.LookPath(program); err != nil {
		return runError{fmt.Errorf("operator's rules need the program %s in the same folder as this one: %w", OperatorProgram, err)}
	}
	return runError{syscall.Exec(program, append([]string{OperatorProgram}, os.Args[1:]...), os.Environ())}
}
