package main

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/experiment"
)

// spin keeps a processor busy until it is over.
func spin(over *atomic.Bool) {
	rounds := 0
	for !over.Load() {
		rounds++
	}
}

// starved plays a load on one processor beside a busy loop: the run must say that it was late, and not be called good.
func starved(c *cobra.Command, o *output) error {
	e, err := experiment.Find("generator")
	if err != nil {
		return err
	}
	e.Name, e.Length, e.Loops = "starved", 5*time.Second, 1
	e.Shape = arrival.Shape{Kind: arrival.Poisson, Rate: 1000}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var over atomic.Bool
	defer over.Store(true)
	go spin(&over)
	r, err := play(c.Context(), c, e, o)
	if err != nil {
		return err
	}
	for _, v := range r.Verdicts {
		if v.Name == "generator" && !v.Good {
			fmt.Fprintln(c.OutOrStdout(), "\nstarved, and the run says so")
			return nil
		}
	}
	fmt.Fprintln(c.OutOrStdout(), "\nstarved, but the run was called in time")
	return errMissed
}
