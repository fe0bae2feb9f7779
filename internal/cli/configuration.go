package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/config"
)

// timeUnit is the unit of admission.Time.
const timeUnit = 100 * time.Microsecond

// errNoConfiguration tells what a first start lacks.
var errNoConfiguration = errors.New("no configuration: name its file by --config or $RELAY_CONFIG; " +
	"to see a gateway at work without one, run magpiebank-testbed demo")

// configurationFlags are the flags by which a command finds its configuration.
type configurationFlags struct {
	path     string
	listen   string // empty: as the configuration has it
	logLevel string
	operator string // the operator's file; empty: none
}

// register adds the flags to a command.
func (f *configurationFlags) register(command *cobra.Command, env func(string) string) {
	flags := command.Flags()
	flags.StringVar(&f.path, "config", env("RELAY_CONFIG"), "file with the configuration; default $RELAY_CONFIG")
	flags.StringVar(&f.listen, "listen", env("RELAY_LISTEN"),
		"address to listen on, in place of the configuration's; default $RELAY_LISTEN")
	flags.StringVar(&f.operator, "operator", "", "the operator's own file, in Jsonnet; default none")
	flags.StringVar(&f.logLevel, "log-level", "info", "least level logged: debug, info, warn or error")
}

// read reads the configuration, and the least level to be logged.
func (f *configurationFlags) read() (start *config.Config, level slog.Level, err error) {
	if err := level.UnmarshalText([]byte(f.logLevel)); err != nil {
		return nil, level, fmt.Errorf("flag log-level: %w", err)
	}
	if f.path == "" {
		return nil, level, errNoConfiguration
	}
	start, err = config.ReadFile(f.path)
	if err != nil {
		return nil, level, err
	}
	if f.listen != "" {
		start.Listen = f.listen
	}
	return start, level, nil
}

// checkCommand returns the command that reads the configuration and prints what it says.
func (p Program) checkCommand(env func(string) string, out io.Writer) *cobra.Command {
	var flags configurationFlags
	command := &cobra.Command{Use: "check", Short: "Read the configuration, print what it says, and stop", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return p.check(&flags, out) }}
	flags.register(command, env)
	return command
}

func (p Program) check(flags *configurationFlags, out io.Writer) error {
	if flags.operator != "" && p.LoadOperatorRules == nil {
		return becomeOperatorProgram()
	}
	start, _, err := flags.read()
	if err != nil {
		return err
	}
	if flags.operator != "" {
		if _, err := p.LoadOperatorRules(flags.operator, start, slog.New(slog.DiscardHandler)); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%s listens on %s, one of %d; lanes %q; engine list at %s\n", start.Name, start.Listen,
		start.Deployment.Gateways, start.Network.Classes, start.DiscoveryAddress)
	fmt.Fprintf(out, "reports by probe %v, in answers %v; notes every %v\n", start.Deployment.SupportsProbes,
		start.Network.ReportsInAnswers, time.Duration(start.Deployment.NoticeInterval)*timeUnit)
	return nil
}
