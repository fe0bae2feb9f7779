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

// spin keeps a processor busy until stop is set.
func spin(stop *atomic.Bool) {
	rounds := 0
	for !stop.Load() {
		rounds++
	}
}

// runStarved runs a load on one processor together with a busy loop. The load generator is then late, and the run's verdict has to
// report that; otherwise runStarved returns errReported.
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
			fmt.Fprintln(c.OutOrStdout(), "\nstarved, and the run reports it")
			return nil
		}
	}
	fmt.Fprintln(c.OutOrStdout(), "\nstarved, but the run reports that the generator was in time")
	return errReported
}
