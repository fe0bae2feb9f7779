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
func spin(stop *atomic.Bool) {
	rounds := 0
	for !stop.Load() {
		rounds++
	}
}

// runStarved plays a load on one processor beside a busy loop: the run must say that it was late, and not be called good.
func runStarved(c *cobra.Command, o *output) error {
	e, err := experiment.Find("generator")
	if err != nil {
		return err
	}
	e.Name, e.Length, e.Loops = "starved", 5*time.Second, 1
	e.Shape = arrival.Shape{Kind: arrival.Poisson, Rate: 1000}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	defer stop.Store(true)
	go spin(&stop)
	r, err := runExperiment(c.Context(), c, e, o)
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
	return errReported
}
