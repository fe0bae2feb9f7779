// Magpiebank is one real router.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"magpiebank/internal/deployment"
	"magpiebank/internal/router"
)

func main() {
	start, err := deployment.ReadStart(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "magpiebank:", err)
		os.Exit(2)
	}
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		close(stop)
	}()
	if err := router.Serve(start, slog.New(slog.NewTextHandler(os.Stderr, nil)), stop); err != nil {
		fmt.Fprintln(os.Stderr, "magpiebank:", err)
		os.Exit(1)
	}
}
