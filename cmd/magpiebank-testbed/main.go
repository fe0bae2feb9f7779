// Magpiebank-testbed runs load tests, experiments and fault scenarios against gateways on loopback addresses and reports the results.
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

// The exit statuses besides 0.
const (
	exitFailure = 1 // a check failed, for example a bound was missed, or the command could not finish
	exitMisuse  = 2 // the command line or a file is invalid
)

// errReported ends a command with exitFailure. It is not printed, because the command's output already reports the failure.
var errReported = errors.New("a bound was missed")

// inputError is an error in the command line or in a file from the user. It leads to exitMisuse.
type inputError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

func run(ctx context.Context, args []string) int {
	root := &cobra.Command{
		Use:   "magpiebank-testbed",
		Short: "Puts gateways under load on loopback addresses and reports the results",
		Long: `The testbed of magpiebank starts fake engines, a fake discovery service and gateways, sends a load to the gateways and
reports the results. All connections use this machine's loopback addresses.`,
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
		fmt.Fprintln(os.Stderr, "magpiebank-testbed: cancelled")
		return exitFailure
	case errors.As(err, &badInput):
		fmt.Fprintln(os.Stderr, "magpiebank-testbed:", err)
		return exitMisuse
	}
	fmt.Fprintln(os.Stderr, "magpiebank-testbed:", err)
	return exitFailure
}
