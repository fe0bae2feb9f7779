package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"magpiebank/internal/admission"
	"magpiebank/internal/testbed/simcluster"
)

// scaleSizes lists the sizes of the simulated clusters, in members.
var scaleSizes = []int{8, 32, 100, 200, 500}

// scaleSeed is the seed of all simulations of fleet scale.
const scaleSeed = 1

func fleetScale() *cobra.Command {
	var maxMembers int
	var picture string
	c := &cobra.Command{Use: "scale", Short: "Simulate fleets of 8 to 500 members in one process and virtual time: detection, health reports, budgets, counters, policy rollouts", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			fmt.Fprintln(out, "simulated: one process, virtual time, seed 1")
			members := scaleMembership(out, maxMembers)
			fmt.Fprintln(out)
			scaleHealthReports(out, maxMembers)
			fmt.Fprintln(out)
			quotas := forSizes(maxMembers, func(n int) simcluster.QuotaResult { return simcluster.MeasureQuota(n, scaleSeed) })
			simcluster.WriteQuota(out, quotas)
			fmt.Fprintln(out)
			counters := forSizes(maxMembers, func(n int) simcluster.CounterResult { return simcluster.MeasureCounters(n, 0, scaleSeed) })
			simcluster.WriteCounters(out, append(counters, simcluster.MeasureCounters(min(maxMembers, 32), 0.2, scaleSeed)))
			fmt.Fprintln(out)
			simcluster.WriteRollout(out, forSizes(maxMembers, func(n int) simcluster.RolloutResult { return simcluster.MeasureRollout(n, scaleSeed) }))
			if picture == "" {
				return nil
			}
			return plotScale(picture, members, quotas)
		}}
	c.Flags().IntVar(&maxMembers, "most", 500, "members of the largest fleet")
	c.Flags().StringVar(&picture, "plot", "", "plot times and bytes by size of the fleet to this file (png or svg)")
	return c
}

// forSizes measures clusters of each size in scaleSizes up to maxMembers.
func forSizes[Result any](maxMembers int, measure func(members int) Result) (results []Result) {
	for _, members := range scaleSizes {
		if members <= maxMembers {
			results = append(results, measure(members))
		}
	}
	return results
}

// scaleMembership measures and prints membership by size without faults, and at the largest size with message loss and paused members.
// It returns the results by size.
func scaleMembership(out io.Writer, maxMembers int) []simcluster.MembershipResult {
	bySize := forSizes(maxMembers, func(n int) simcluster.MembershipResult { return simcluster.MeasureMembership(n, 0, 0, scaleSeed) })
	all := bySize
	for _, faults := range []struct{ loss, stopped float64 }{{0.05, 0}, {0.2, 0}, {0.4, 0}, {0, 0.1}, {0.05, 0.1}} {
		all = append(all, simcluster.MeasureMembership(maxMembers, faults.loss, faults.stopped, scaleSeed))
	}
	simcluster.WriteMembership(out, all)
	return bySize
}

// scaleHealthReports measures and prints health reports by size, and for up to 100 members with message loss and with more failures.
func scaleHealthReports(out io.Writer, maxMembers int) {
	measure := func(members int, failures, loss float64) simcluster.HealthReportResult {
		return simcluster.MeasureHealthReports(simcluster.HealthReportLoad{Members: members, Engines: max(6, members/5), Rate: 1.3, Errors: failures, Loss: loss}, scaleSeed)
	}
	results := forSizes(maxMembers, func(n int) simcluster.HealthReportResult { return measure(n, 0.01, 0) })
	results = append(results, measure(min(maxMembers, 100), 0.01, 0.2), measure(min(maxMembers, 100), 0.05, 0))
	simcluster.WriteHealthReports(out, results)
}

// plotScale plots the times and bytes of membership and quotas by the size of the cluster, and writes the plot to a file.
func plotScale(path string, members []simcluster.MembershipResult, quotas []simcluster.QuotaResult) error {
	p := plot.New()
	p.Title.Text = "A fleet's cost by its size (simulated)"
	p.X.Label.Text = "members"
	p.Y.Label.Text, p.Y.Min = "seconds; hundreds of bytes/s", 0
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var detection, membershipBytes, burstTimes, quotaBytes plotter.XYs
	for _, f := range members {
		detection = append(detection, plotter.XY{X: float64(f.Members), Y: float64(f.Detect) / float64(admission.Second)})
		membershipBytes = append(membershipBytes, plotter.XY{X: float64(f.Members), Y: f.Bytes / 100})
	}
	for _, d := range quotas {
		burstTimes = append(burstTimes, plotter.XY{X: float64(d.Members), Y: float64(d.BurstTime) / float64(admission.Second)})
		quotaBytes = append(quotaBytes, plotter.XY{X: float64(d.Members), Y: d.Bytes / 100})
	}
	if err := plotutil.AddLinePoints(p, "until 9 of 10 detect a killed member, s", detection, "members, bytes/s a member / 100", membershipBytes,
		"until one member uses 9/10 of a budget, s", burstTimes, "budgets, moving demand, bytes/s a member / 100", quotaBytes); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(7*vg.Inch, 4*vg.Inch, path)
}
