// Magpiebank-testbed puts gateways under load on loopback and tells what came of it.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

const version = "0.1.0"

// The exit statuses.
const (
	exitFailure = 1 // a bound was missed, or the run could not be made
	exitMisuse  = 2 // of the command line or a file
)

// errReported ends a command whose output has said what is amiss.
var errReported = errors.New("a bound was missed")

// inputError is an error in what the operator wrote.
type inputError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	root := &cobra.Command{
		Use:   "magpiebank-testbed",
		Short: "Puts gateways under load on loopback and tells what came of it",
		Long: `The testbed of magpiebank starts fake engines and a fake discovery service, gateways between them and a load, and
tells what came of it. All of it stays on this machine's loopback addresses.`,
		SilenceErrors: true, SilenceUsage: true, Version: version,
	}
	root.AddCommand(demoCommand(), runCommand(), workerCommand(), experimentCommand(), checkCommand(), fmtCommand(), traceCommand(), runsCommand(),
		searchCommand(), standinCommand(), fleetCommand())
	root.SetArgs(args)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return inputError{err} })
	err := root.ExecuteContext(ctx)
	var badInput inputError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errReported):
		return exitFailure
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(os.Stderr, "magpiebank-testbed: called off")
		return exitFailure
	case errors.As(err, &badInput):
		fmt.Fprintln(os.Stderr, "magpiebank-testbed:", err)
		return exitMisuse
	}
	fmt.Fprintln(os.Stderr, "magpiebank-testbed:", err)
	return exitFailure
}
