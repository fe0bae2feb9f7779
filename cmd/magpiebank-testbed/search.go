package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/experiment"
)

// searchCommand returns the command that finds the highest rate at which an experiment keeps its bounds.
func searchCommand() *cobra.Command {
	var o output
	var from, to, step float64
	var length time.Duration
	var tries int
	c := &cobra.Command{Use: "search NAME", Short: "Find the highest rate at which an experiment keeps its bounds",
		Long: `Runs the experiment with all its rates multiplied by a factor. The factor is doubled while the bounds are kept; then a
binary search follows until the step is reached. The bounds are kept at a rate if one of the tries keeps all of them.`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !(from > 0 && to > from && step > 0) || tries < 1 {
				return inputError{fmt.Errorf("expected from above 0, to above from, step above 0, and tries from 1")}
			}
			good, bad := 0.0, 0.0 // the highest factor at which the bounds are kept, and the lowest at which they are not; 0: none yet
			for factor := from; ; {
				kept, err := keepsBounds(c, args[0], factor, length, tries)
				if err != nil {
					return err
				}
				if kept {
					good = factor
				} else {
					bad = factor
				}
				switch {
				case bad == 0 && factor >= to:
					fmt.Fprintf(c.OutOrStdout(), "kept up to %.3f times the rate, the highest factor requested\n", good)
					return nil
				case bad == 0:
					factor = min(to, 2*factor)
				case good == 0 && factor/2 < step:
					fmt.Fprintf(c.OutOrStdout(), "not kept at %.3f times the rate\n", factor)
					return errReported
				case good == 0:
					factor /= 2
				case bad/good <= 1+step:
					fmt.Fprintf(c.OutOrStdout(), "kept at %.3f times the rate, not at %.3f\n", good, bad)
					return nil
				default:
					factor = (good + bad) / 2
				}
			}
		}}
	o.flags(c)
	c.Flags().Float64Var(&from, "from", 1, "first factor")
	c.Flags().Float64Var(&to, "to", 64, "highest factor")
	c.Flags().Float64Var(&step, "step", 0.05, "fraction by which the result may be too low")
	c.Flags().DurationVar(&length, "length", 0, "length of each try; default the experiment's")
	c.Flags().IntVar(&tries, "tries", 2, "tries at each rate")
	return c
}

// keepsBounds reports whether an experiment keeps all bounds in at least one of several tries with its rates multiplied by a factor.
// Each try has a seed of its own.
func keepsBounds(c *cobra.Command, name string, factor float64, length time.Duration, tries int) (bool, error) {
	for k := range tries {
		e, err := experiment.Find(name)
		if err != nil {
			return false, inputError{err}
		}
		if length > 0 {
			e.Length = length
		}
		e.Seed += int64(k)
		e.Shape = arrival.Shape{Kind: arrival.Scale, Factor: factor, Parts: []arrival.Shape{e.Shape}}
		r, err := e.Run(c.Context(), experiment.DefaultFolder(e.Name), nil, newProgress(c.ErrOrStderr(), e).update)
		if err != nil {
			return false, err
		}
		rate := float64(r.Scheduled) / e.Length.Seconds()
		firstMissed := ""
		for _, v := range r.Verdicts {
			if !v.Good && firstMissed == "" {
				firstMissed = "; missed: " + v.Name + ": " + v.Text
			}
		}
		fmt.Fprintf(c.OutOrStdout(), "x%-8.3f %9.0f tasks/s  own delay p99 %v  allocations a task %.1f  peak %d MB%s\n", factor, rate,
			r.Metrics.GeneratorDelayQuantile(0.99), float64(r.Process.Mallocs)/float64(max(1, r.Scheduled)), r.Process.PeakKB>>10, firstMissed)
		if r.Good() {
			return true, nil
		}
	}
	return false, nil
}
