package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"magpiebank/internal/admission"
	"magpiebank/internal/testbed/faulttest"
	"magpiebank/internal/testbed/modelcheck"
	"magpiebank/internal/testbed/quotamodel"
	"magpiebank/internal/testbed/rolloutmodel"
	"magpiebank/internal/testbed/simcluster"
)

// fleetCommand plays faults between gateways.
func fleetCommand() *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Faults between the processes of a fleet, and what must hold all the same"}
	c.AddCommand(fleetList(), fleetRun(), fleetSearch(), fleetScale(), fleetExplore())
	return c
}

func fleetList() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "The scenarios that are built in", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
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

// place is where runs leave their files, and which gateway they start.
type place struct{ folder, gateway string }

func (p *place) flags(c *cobra.Command) {
	c.Flags().StringVar(&p.folder, "folder", "", "folder for logs and histories; default one under the temporary folder")
	c.Flags().StringVar(&p.gateway, "gateway", "", "the gateway's program; default magpiebank beside this one; clocks that run off need one built with -tags testbed")
}

func (p *place) find(name string) error {
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

func fleetRun() *cobra.Command {
	var p place
	var html, plotTo string
	var asJSON, both bool
	var few int
	c := &cobra.Command{Use: "run NAME|FILE", Short: "Play one scenario; those that measure judgements are played with sharing and without, those that measure budgets with each way to share", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := faulttest.Read(args[0])
			if err != nil {
				return badFile{err}
			}
			if err := p.find(args[0]); err != nil {
				return err
			}
			out := c.OutOrStdout()
			played, err := faulttest.RunScenario(c.Context(), s, p.folder, p.gateway, both, few)
			if err != nil {
				return err
			}
			if asJSON {
				err = toJSON(out, played.Figures)
			} else {
				played.Text(out)
			}
			if err == nil && html != "" {
				err = fleetPage(html, played.Results[0])
			}
			if err == nil && plotTo != "" {
				err = played.Results[0].PlotUse(plotTo, s.Name)
			}
			if err == nil && !played.Good() {
				if !asJSON && len(played.Results) == 1 {
					fmt.Fprint(out, "\nto play it again:\n", s.Text())
				}
				err = errMissed
			}
			return err
		}}
	p.flags(c)
	c.Flags().StringVar(&html, "html", "", "write the run as a page with its picture to this file")
	c.Flags().StringVar(&plotTo, "plot", "", "of one with threads of the whole fleet, draw each member's use over time into this picture (svg or png)")
	c.Flags().IntVar(&few, "ways", 0, "of one that measures budgets, how many ways of sharing are played beside none: lent, equal parts, a quorum; 0: all")
	c.Flags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	c.Flags().BoolVar(&both, "both", false, "play it with sharing and without at the same time, and compare")
	return c
}

func toJSON(w io.Writer, v any) error {
	out := json.NewEncoder(w)
	out.SetIndent("", " ")
	return out.Encode(v)
}

func fleetPage(path string, r *faulttest.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := r.Page(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// shrinkTries bounds how many runs are spent on making a failing scenario smaller.
const shrinkTries = 20

func fleetSearch() *cobra.Command {
	var p place
	var seeds, first, gateways, engines, beside int
	var shrink bool
	c := &cobra.Command{Use: "search", Short: "Play scenarios drawn from seeds, and print each that violates anything", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := p.find("search"); err != nil {
				return err
			}
			out, began := c.OutOrStdout(), time.Now()
			var mu sync.Mutex
			var all sync.WaitGroup
			var failed error
			bad, turns := 0, make(chan int)
			for w := range max(1, beside) {
				all.Add(1)
				go func() {
					defer all.Done()
					folder := filepath.Join(p.folder, fmt.Sprint(w))
					for seed := range turns {
						s := faulttest.Draw(uint64(seed), gateways, engines)
						r, err := faulttest.Run(c.Context(), s, folder, p.gateway)
						if err == nil && r.Good() {
							continue
						}
						if err == nil && shrink {
							s = faulttest.Shrink(s, shrinkTries, func(less *faulttest.Scenario) bool {
								again, err := faulttest.Run(c.Context(), less, folder, p.gateway)
								return err == nil && !again.Good()
							})
						}
						mu.Lock()
						if bad++; err != nil {
							failed = err
							fmt.Fprintf(out, "seed %d: %v\n", seed, err)
						} else {
							fmt.Fprintf(out, "seed %d:\n", seed)
							r.Text(out)
							fmt.Fprint(out, s.Text())
						}
						mu.Unlock()
					}
				}()
			}
			done := 0
			for seed := first; seed < first+seeds && c.Context().Err() == nil; seed++ {
				turns <- seed
				done++
			}
			close(turns)
			all.Wait()
			fmt.Fprintf(out, "%d scenarios of %d gateways drawn from seeds %d to %d, %d violated something; %.0f s\n", done, gateways, first, first+done-1, bad, time.Since(began).Seconds())
			if failed != nil {
				return failed
			}
			if bad > 0 {
				return errMissed
			}
			return c.Context().Err()
		}}
	p.flags(c)
	c.Flags().IntVar(&seeds, "seeds", 20, "how many")
	c.Flags().IntVar(&first, "from", 1, "the first seed")
	c.Flags().IntVar(&gateways, "gateways", 8, "gateways in each")
	c.Flags().IntVar(&engines, "engines", 6, "engines in each")
	c.Flags().IntVar(&beside, "beside", 4, "how many are played at the same time")
	c.Flags().BoolVar(&shrink, "shrink", false, "look for the fewest steps that still violate something")
	return c
}

func fleetExplore() *cobra.Command {
	var states int
	c := &cobra.Command{Use: "explore", Short: "Walk every interleaving of small fleets that share a budget, or change their policy, up to a number of states", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			good, out := true, c.OutOrStdout()
			each := func(what string, r modelcheck.Result) {
				r.WriteText(out, what)
				good = good && r.Violation == ""
			}
			quotamodel.Explore(states, each)
			rolloutmodel.Explore(states, each)
			if !good {
				return errMissed
			}
			return nil
		}}
	c.Flags().IntVar(&states, "states", 1_000_000, "states of each model; some 40,000 a second, 0.3 kB each")
	return c
}

func fleetScale() *cobra.Command {
	var most int
	var picture string
	c := &cobra.Command{Use: "scale", Short: "Fleets of 8 to 500 members in one process, in virtual time: detection, sharing, budgets, counts, changes of policy", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var bySize, byLoss []simcluster.MembershipResult
			sizes := []int{8, 32, 100, 200, 500}
			for _, n := range sizes {
				if n <= most {
					bySize = append(bySize, simcluster.MeasureMembership(n, 0, 0, 1))
				}
			}
			n := most
			for _, of := range []struct{ loss, stopped float64 }{{0.05, 0}, {0.2, 0}, {0.4, 0}, {0, 0.1}, {0.05, 0.1}} {
				byLoss = append(byLoss, simcluster.MeasureMembership(n, of.loss, of.stopped, 1))
			}
			fmt.Fprintln(c.OutOrStdout(), "simulated: one process, virtual time, seed 1")
			simcluster.WriteMembership(c.OutOrStdout(), append(bySize, byLoss...))
			var shared []simcluster.HealthReportResult
			for _, n := range sizes {
				if n <= most {
					shared = append(shared, simcluster.MeasureHealthReports(n, max(6, n/5), 1.3, 0.01, 0, 1))
				}
			}
			shared = append(shared, simcluster.MeasureHealthReports(min(n, 100), max(6, min(n, 100)/5), 1.3, 0.01, 0.2, 1),
				simcluster.MeasureHealthReports(min(n, 100), max(6, min(n, 100)/5), 1.3, 0.05, 0, 1))
			fmt.Fprintln(c.OutOrStdout())
			simcluster.WriteHealthReports(c.OutOrStdout(), shared)
			var divided []simcluster.QuotaResult
			for _, n := range sizes {
				if n <= most {
					divided = append(divided, simcluster.MeasureQuota(n, 1))
				}
			}
			fmt.Fprintln(c.OutOrStdout())
			simcluster.WriteQuota(c.OutOrStdout(), divided)
			var counted []simcluster.CounterResult
			for _, n := range sizes {
				if n <= most {
					counted = append(counted, simcluster.MeasureCounters(n, 0, 1))
				}
			}
			counted = append(counted, simcluster.MeasureCounters(min(most, 32), 0.2, 1))
			fmt.Fprintln(c.OutOrStdout())
			simcluster.WriteCounters(c.OutOrStdout(), counted)
			var enacted []simcluster.RolloutResult
			for _, n := range sizes {
				if n <= most {
					enacted = append(enacted, simcluster.MeasureRollout(n, 1))
				}
			}
			fmt.Fprintln(c.OutOrStdout())
			simcluster.WriteRollout(c.OutOrStdout(), enacted)
			if picture == "" {
				return nil
			}
			return plotScale(picture, bySize, divided)
		}}
	c.Flags().IntVar(&most, "most", 500, "members of the largest fleet")
	c.Flags().StringVar(&picture, "plot", "", "write detection and bytes by size of the fleet to this picture (png or svg)")
	return c
}

// plotScale draws times and bytes by the size of the fleet.
func plotScale(path string, members []simcluster.MembershipResult, divided []simcluster.QuotaResult) error {
	p := plot.New()
	p.Title.Text = "A fleet's cost by its size (simulated)"
	p.X.Label.Text = "members"
	p.Y.Label.Text, p.Y.Min = "seconds; hundreds of bytes/s", 0
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var detect, bytes, there, lent plotter.XYs
	for _, f := range members {
		detect = append(detect, plotter.XY{X: float64(f.Members), Y: float64(f.Detect) / float64(admission.Second)})
		bytes = append(bytes, plotter.XY{X: float64(f.Members), Y: f.Bytes / 100})
	}
	for _, d := range divided {
		there = append(there, plotter.XY{X: float64(d.Members), Y: float64(d.There) / float64(admission.Second)})
		lent = append(lent, plotter.XY{X: float64(d.Members), Y: d.Bytes / 100})
	}
	if err := plotutil.AddLinePoints(p, "until 9 of 10 know of a death, s", detect, "members, bytes/s a member / 100", bytes,
		"until 9/10 of a budget is at one, s", there, "budgets, moving demand, bytes/s a member / 100", lent); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(7*vg.Inch, 4*vg.Inch, path)
}
