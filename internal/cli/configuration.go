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

// errNoConfiguration is returned if no configuration file is named. Its text helps somebody who starts a gateway for the first time.
var errNoConfiguration = errors.New("no configuration: name its file with --config or $RELAY_CONFIG; " +
	"to see a gateway at work without a configuration, run magpiebank-testbed demo")

// configurationFlags are the flags that name a command's configuration file and override parts of the configuration.
type configurationFlags struct {
	path     string
	listen   string // address that replaces the configuration's; empty: the configuration's address
	logLevel string
	operator string // path of the operator's file; empty: no operator's rules
}

// register adds the flags to a command.
func (f *configurationFlags) register(command *cobra.Command, env func(string) string) {
	flags := command.Flags()
	flags.StringVar(&f.path, "config", env("RELAY_CONFIG"), "configuration file; default $RELAY_CONFIG")
	flags.StringVar(&f.listen, "listen", env("RELAY_LISTEN"),
		"address to listen on instead of the configuration's; default $RELAY_LISTEN")
	flags.StringVar(&f.operator, "operator", "", "operator's file, in Jsonnet; default none")
	flags.StringVar(&f.logLevel, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
}

// read reads the configuration file and parses the lowest level that is logged.
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

// checkCommand returns the command that reads the configuration and prints a summary of it.
func (p Program) checkCommand(env func(string) string, out io.Writer) *cobra.Command {
	var flags configurationFlags
	command := &cobra.Command{Use: "check", Short: "Read the configuration, print a summary of it and exit", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return p.check(&flags, out) }}
	flags.register(command, env)
	return command
}

// check validates the configuration and, if one is named, the operator's file, and prints a summary of the configuration.
func (p Program) check(flags *configurationFlags, out io.Writer) error {
	if flags.operator != "" && p.LoadOperatorRules == nil {
		return execOperatorProgram()
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
