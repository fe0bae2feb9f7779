package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"magpiebank/internal/testbed/faulttest"
	"magpiebank/internal/testbed/modelcheck"
	"magpiebank/internal/testbed/quotamodel"
	"magpiebank/internal/testbed/rolloutmodel"
)

// fleetCommand returns the commands that test clusters of gateways: scenarios with injected faults, simulations and model checking.
func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Test fleets of gateways with faults between their processes, by scenarios, simulation and model checking"}
	c.AddCommand(fleetList(), fleetRun(), fleetSearch(), fleetScale(), fleetExplore())
	return c
}

func fleetList() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List the built-in scenarios", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		for _, name := range faulttest.Builtin() {
			s, err := faulttest.Read(name)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%-18s %2d gateways, %2d engines, %2d steps in %v\n", name, s.Gateways, s.Engines, len(s.Steps), s.Length)
		}
		return nil
	}}
}

// runLocation holds the folder for the files of runs and the path of the gateway's program.
type runLocation struct{ folder, gateway string }

func (p *runLocation) flags(c *cobra.Command) {
	c.Flags().StringVar(&p.folder, "folder", "", "folder for logs and histories; default one under the temporary folder")
	c.Flags().StringVar(&p.gateway, "gateway", "", "the gateway's program; default magpiebank beside this one; scenarios with clock faults need one built with -tags testbed")
}

// setDefaults sets the paths that the flags leave empty. name is the name or file of the scenario.
func (p *runLocation) setDefaults(name string) error {
	if p.folder == "" {
		p.folder = filepath.Join(os.TempDir(), "magpiebank-testbed-fleet-"+strings.TrimSuffix(filepath.Base(name), ".jsonnet"))
	}
	if p.gateway == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		p.gateway = filepath.Join(filepath.Dir(self), "magpiebank")
	}
	return nil
}

// fleetRunOptions holds the flags of fleet run.
type fleetRunOptions struct {
	location   runLocation
	html, plot string
	json, both bool
	ways       int // how many ways of sharing run besides none; 0: all
}

func fleetRun() *cobra.Command {
	var o fleetRunOptions
	c := &cobra.Command{Use: "run NAME|FILE", Short: "Run a scenario; one that measures health reports runs with and without sharing, one that measures budgets with each way of sharing", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := faulttest.Read(args[0])
			if err != nil {
				return inputError{err}
			}
			if err := o.location.setDefaults(args[0]); err != nil {
				return err
			}
			outcome, err := faulttest.RunScenario(c.Context(), s, o.location.folder, o.location.gateway, o.both, o.ways)
			if err != nil {
				return err
			}
			return o.show(c.OutOrStdout(), s, outcome)
		}}
	o.location.flags(c)
	c.Flags().StringVar(&o.html, "html", "", "write the run as a page with a plot to this file")
	c.Flags().StringVar(&o.plot, "plot", "", "for a scenario with thread limits for the whole fleet: plot each member's use over time to this file (svg or png)")
	c.Flags().IntVar(&o.ways, "ways", 0, "for a scenario that measures budgets: how many ways of sharing run besides none, of lent, equal parts, a quorum; 0: all")
	c.Flags().BoolVar(&o.json, "json", false, "print the result as JSON")
	c.Flags().BoolVar(&o.both, "both", false, "run it with and without sharing at the same time, and compare")
	return c
}

// show prints an outcome, writes its page and plot, and returns errReported if the outcome violates an expectation.
func (o *fleetRunOptions) show(out io.Writer, s *faulttest.Scenario, outcome *faulttest.Outcome) error {
	if o.json {
		if err := writeJSON(out, outcome.Data); err != nil {
			return err
		}
	} else {
		outcome.Text(out)
	}
	if o.html != "" {
		if err := writeFile(o.html, outcome.Results[0].Page); err != nil {
			return err
		}
	}
	if o.plot != "" {
		if err := outcome.Results[0].PlotUse(o.plot, s.Name); err != nil {
			return err
		}
	}
	if outcome.Good() {
		return nil
	}
	if !o.json && len(outcome.Results) == 1 {
		fmt.Fprint(out, "\nto run it again:\n", s.Text())
	}
	return errReported
}

// writeJSON writes a value as indented JSON.
func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(value)
}

// writeFile creates a file and calls a function that writes its contents.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

func fleetExplore() *cobra.Command {
	var states int
	c := &cobra.Command{Use: "explore", Short: "Check models of small fleets that share a budget or change their policy, for every interleaving up to a number of states", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			good, out := true, c.OutOrStdout()
			report := func(model string, result modelcheck.Result) {
				result.WriteText(out, model)
				good = good && result.Violation == ""
			}
			quotamodel.Explore(states, report)
			rolloutmodel.Explore(states, report)
			if !good {
				return errReported
			}
			return nil
		}}
	c.Flags().IntVar(&states, "states", 1_000_000, "maximum states of each model; about 40,000 per second, 0.3 kB each")
	return c
}
