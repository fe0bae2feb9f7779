// Package cli is the gateway's command line, which two programs share: magpiebank, and magpiebank-operator, which has
// an operator's rules besides and takes magpiebank's place where they are asked for.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/config"
	"magpiebank/internal/router"
	"magpiebank/internal/traffic/capture"
)

const version = "0.1.0"

// Rules are an operator's, as a gateway goes by them.
type OperatorRules interface {
	ResourceGroups() router.ResourceGroups // nil: the file has no classes
	Peers() router.Peers                   // nil: it has no fleet
	Reload() error                         // reads the file again
	SaveLearned()                          // writes what was learned to where the file says
}

// Program is what a program has besides the gateway.
type Program struct {
	LoadOperatorRules func(file string, start *config.Config, log *slog.Logger) (OperatorRules, error) // nil: another program has the rules
	Commands          []*cobra.Command
}

// Beside is the program that has an operator's rules. It takes the place of one that has not, in the same process.
const OperatorProgram = "magpiebank-operator"

// become turns this process into the program beside it, with the same arguments.
func become() error {
	self, err := os.Executable()
	if err != nil {
		return cannot{err}
	}
	program := filepath.Join(filepath.Dir(self), OperatorProgram)
	if _, err := exec.LookPath(program); err != nil {
		return cannot{fmt.Errorf("an operator's rules need the program %s beside this one: %w", OperatorProgram, err)}
	}
	return cannot{syscall.Exec(program, append([]string{OperatorProgram}, os.Args[1:]...), os.Environ())}
}

const usage = `Magpiebank is one router before analytic engines.

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
	failed = 1
	misuse = 2 // of the command line or the configuration
)

// cannot is an error of what was asked for, not of the command line or the configuration.
type cannot struct{ error }

// errNoConfiguration says what a first start lacks.
var errNoConfiguration = errors.New("no configuration: name its file by --config or $RELAY_CONFIG; " +
	"to see a gateway at work without one, run magpiebank-testbed demo")

// Run carries out one command and returns its exit status.
func (p Program) Run(args []string, env func(string) string, out, errs io.Writer) int {
	root := &cobra.Command{Use: "magpiebank", SilenceErrors: true, SilenceUsage: true, Args: cobra.ArbitraryArgs,
		CompletionOptions: cobra.CompletionOptions{HiddenDefaultCmd: true},
		RunE: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("no command %q\n\n%s", args[0], usage)
			}
			return fmt.Errorf("no command\n\n%s", usage)
		}}
	root.SetHelpFunc(func(c *cobra.Command, _ []string) {
		if c == root {
			fmt.Fprint(out, usage)
			return
		}
		fmt.Fprintf(out, "%s\n\n%s", c.Short, c.UsageString())
	})
	if p.LoadOperatorRules == nil {
		for use, short := range map[string]string{"statement": "What is read of statements, and what was learned of them",
			"fleet": "What a gateway knows of the others", "policy": "The fleet's policy: propose a change, follow it, go back"} {
			root.AddCommand(&cobra.Command{Use: use, Short: short, DisableFlagParsing: true, RunE: func(*cobra.Command, []string) error { return become() }})
		}
	}
	root.AddCommand(p.Commands...)
	root.AddCommand(p.serveCommand(env, errs), p.checkCommand(env, out), storeCommand(out), &cobra.Command{Use: "version", Short: "Print the version",
		Args: cobra.NoArgs, Run: func(*cobra.Command, []string) { fmt.Fprintln(out, "magpiebank", version+build) }})
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	var c cannot
	switch {
	case err == nil:
		return 0
	case errors.As(err, &c):
		fmt.Fprintln(errs, "magpiebank:", err)
		return failed
	}
	fmt.Fprintln(errs, "magpiebank:", strings.TrimSuffix(err.Error(), "\n"))
	return misuse
}

// source is where a command reads its configuration.
type source struct{ path, listen, level, operator string }

func (s *source) flags(c *cobra.Command, env func(string) string) {
	c.Flags().StringVar(&s.path, "config", env("RELAY_CONFIG"), "file with the configuration; default $RELAY_CONFIG")
	c.Flags().StringVar(&s.listen, "listen", env("RELAY_LISTEN"),
		"address to listen on, in place of the configuration's; default $RELAY_LISTEN")
	c.Flags().StringVar(&s.operator, "operator", "", "the operator's own file, in Jsonnet; default none")
	c.Flags().StringVar(&s.level, "log-level", "info", "least level logged: debug, info, warn or error")
}

func (s *source) read() (start *config.Config, least slog.Level, err error) {
	if err := least.UnmarshalText([]byte(s.level)); err != nil {
		return nil, least, fmt.Errorf("flag log-level: %w", err)
	}
	if s.path == "" {
		return nil, least, errNoConfiguration
	}
	if start, err = config.ReadFile(s.path); err != nil {
		return nil, least, err
	}
	if s.listen != "" {
		start.Listen = s.listen
	}
	return start, least, nil
}

func (p Program) checkCommand(env func(string) string, out io.Writer) *cobra.Command {
	var from source
	c := &cobra.Command{Use: "check", Short: "Read the configuration, print what it says, and stop", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if from.operator != "" && p.LoadOperatorRules == nil {
				return become()
			}
			start, _, err := from.read()
			if err != nil {
				return err
			}
			if from.operator != "" {
				if _, err := p.LoadOperatorRules(from.operator, start, slog.New(slog.DiscardHandler)); err != nil {
					return err
				}
			}
			fmt.Fprintf(out, "%s listens on %s, one of %d; lanes %q; engine list at %s\n", start.Name, start.Listen,
				start.Deployment.Gateways, start.Network.Classes, start.DiscoveryAddress)
			fmt.Fprintf(out, "reports by probe %v, in answers %v; notes every %v\n", start.Deployment.SupportsProbes,
				start.Network.ReportsInAnswers, time.Duration(start.Deployment.NoticeInterval)*100*time.Microsecond)
			return nil
		}}
	from.flags(c, env)
	return c
}

// usualCapture bounds a recording whose size nobody named: some millions of tasks without their text.
const usualCapture = 256

func (p Program) serveCommand(env func(string) string, errs io.Writer) *cobra.Command {
	var from source
	var file string
	var most int64
	var text bool
	var state string
	var stateMB int64
	c := &cobra.Command{Use: "serve", Short: "Serve clients until told to stop by SIGTERM; SIGHUP has the configuration read again",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if from.operator != "" && p.LoadOperatorRules == nil {
				return become()
			}
			ends, hups := make(chan os.Signal, 1), make(chan os.Signal, 1)
			signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT) // from here on, so that neither ends a router that is starting
			signal.Notify(hups, syscall.SIGHUP)
			start, least, err := from.read()
			if err != nil {
				return err
			}
			log := slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: least}))
			var tape *capture.Recorder
			if file != "" {
				if tape, err = capture.Start(file, most<<20, text, log); err != nil {
					return cannot{err}
				}
			}
			defer tape.Stop()
			var rules OperatorRules
			with := router.Options{Capture: tape}
			if from.operator != "" {
				if rules, err = p.LoadOperatorRules(from.operator, start, log); err != nil {
					return err
				}
				with.ResourceGroups, with.Peers = rules.ResourceGroups(), rules.Peers()
				saves := make(chan os.Signal, 1)
				signal.Notify(saves, syscall.SIGUSR1)
				go func() {
					for range saves {
						rules.SaveLearned()
					}
				}()
				defer rules.SaveLearned()
			}
			stop, renewed := make(chan struct{}), make(chan *config.Config)
			go func() {
				<-ends
				close(stop)
			}()
			go func() {
				for range hups {
					if rules != nil {
						if err := rules.Reload(); err != nil {
							log.Warn("operator's file", "code", "kept", "error", err)
						}
					}
					if next, _, err := from.read(); err != nil {
						log.Warn("configuration", "code", "kept", "error", err)
					} else {
						renewed <- next
					}
				}
			}()
			keep, shut, err := openState(state, stateMB, start, log)
			if err != nil {
				return cannot{err}
			}
			with.Journal = keep
			if err := errors.Join(router.Serve(start, with, log, stop, renewed), shut()); err != nil {
				return cannot{err}
			}
			return nil
		}}
	from.flags(c, env)
	c.Flags().StringVar(&file, "capture", "", "record the tasks that come to this new file, for magpiebank-testbed to play again")
	c.Flags().Int64Var(&most, "capture-mb", usualCapture, "most megabytes that the file grows to")
	c.Flags().StringVar(&state, "state", "", "folder for the record of tasks, which survives a crash; default none is kept")
	c.Flags().Int64Var(&stateMB, "state-mb", usualState, "most megabytes that the folder takes")
	c.Flags().BoolVar(&text, "capture-text", false, "record statements with their literals, not their shapes only")
	return c
}
