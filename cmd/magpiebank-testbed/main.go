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
	missed = 1 // a bound was missed, or the run could not be made
	misuse = 2 // of the command line or a file
)

// errMissed ends a command whose output has said what is amiss.
var errMissed = errors.New("a bound was missed")

// badFile is an error in what the operator wrote.
type badFile struct{ error }

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
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return badFile{err} })
	err := root.ExecuteContext(ctx)
	var bad badFile
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errMissed):
		return missed
	case errors.Is(err, context.Canceled):
		fmt.Fprintln(os.Stderr, "magpiebank-testbed: called off")
		return missed
	case errors.As(err, &bad):
		fmt.Fprintln(os.Stderr, "magpiebank-testbed:", err)
		return misuse
	}
	fmt.Fprintln(os.Stderr, "magpiebank-testbed:", err)
	return missed
}
