package report

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat/distuv"

	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/experiment"
)

// metric is one value of a run. direction is 1 if higher values are better, and -1 if lower ones are.
type metric struct {
	name      string
	direction float64
	value     func(*experiment.Result) float64
}

// comparedQuantiles are the latency quantiles that Compare shows for each class.
var comparedQuantiles = []float64{0.5, 0.99, 0.999}

// comparedMetrics returns the metrics that Compare shows for each class of a run.
func comparedMetrics(r *experiment.Result) (metrics []metric) {
	for i := range r.Metrics.Classes {
		name := r.Metrics.Classes[i].Name
		for _, q := range comparedQuantiles {
			metrics = append(metrics, metric{fmt.Sprintf("%s p%g ms", name, 100*q), -1, func(r *experiment.Result) float64 {
				return r.Metrics.Classes[i].Quantile(client.Served, q).Seconds() * 1000
			}})
		}
		metrics = append(metrics, metric{name + " in quoted time %", 1, func(r *experiment.Result) float64 {
			class := &r.Metrics.Classes[i]
			return 100 * float64(class.WithinObjective) / math.Max(1, float64(class.Offered))
		}})
	}
	return metrics
}

// valuesOf returns the values of a metric in runs.
func valuesOf(m metric, runs []*experiment.Result) (values []float64) {
	for _, run := range runs {
		values = append(values, m.value(run))
	}
	return values
}

// median sorts values and returns their median and a confidence interval, which contains the true median with a probability of at
// least 95 percent. The interval's ends are two of the values, selected by the binomial distribution. With fewer than six values no two
// of them reach 95 percent; the interval is then the whole range.
func median(values []float64) (middle, low, high float64) {
	sort.Float64s(values)
	n := len(values)
	if n == 1 {
		return values[0], values[0], values[0]
	}
	if n%2 == 0 {
		middle = (values[n/2-1] + values[n/2]) / 2
	} else {
		middle = values[n/2]
	}
	countBelow := distuv.Binomial{N: float64(n), P: 0.5} // distribution of the number of values below the true median
	rank := 0
	for 2*countBelow.CDF(float64(rank)) <= significance {
		rank++
	}
	if rank == 0 {
		return middle, values[0], values[n-1]
	}
	return middle, values[rank-1], values[n-rank]
}

// The verdicts of a comparison.
const (
	better = "better"
	worse  = "worse"
	noise  = "within the noise"
	tooFew = "too few runs to tell"
)

const (
	significance = 0.05
	// minRuns is the number of runs that each side needs for a verdict.
	minRuns = 3
	// minRunsForRankSum is the number of runs that both sides together need for a meaningful rank-sum test.
	minRunsForRankSum = 8
)

// Compare writes a table that compares two sets of runs of one experiment: for each metric the medians with their intervals, and
// whether they differ by more than the noise. They do if the ranges of the values don't overlap, or if the rank-sum test gives a
// probability of under 5 percent for such a difference by chance. With too few runs for the test only the ranges count.
func Compare(out io.Writer, before, after []*experiment.Result) error {
	if len(before) == 0 || len(after) == 0 {
		return errors.New("expected runs on both sides")
	}
	first := before[0]
	for _, run := range slices.Concat(before, after) {
		if run.Name != first.Name || len(run.Metrics.Classes) != len(first.Metrics.Classes) {
			return fmt.Errorf("runs of %s and of %s can't be compared", first.Name, run.Name)
		}
	}
	rows := [][]string{{first.Name, fmt.Sprintf("before (%d)", len(before)), "interval", fmt.Sprintf("after (%d)", len(after)), "interval",
		"difference", "verdict"}}
	for _, m := range comparedMetrics(first) {
		rows = append(rows, comparisonRow(m, valuesOf(m, before), valuesOf(m, after)))
	}
	writeTable(out, rows)
	return nil
}

func comparisonRow(m metric, before, after []float64) []string {
	medianBefore, lowBefore, highBefore := median(before)
	medianAfter, lowAfter, highAfter := median(after)
	return []string{m.name, fmt.Sprintf("%.2f", medianBefore), fmt.Sprintf("%.2f..%.2f", lowBefore, highBefore), fmt.Sprintf("%.2f", medianAfter),
		fmt.Sprintf("%.2f..%.2f", lowAfter, highAfter), fmt.Sprintf("%+.2f", medianAfter-medianBefore), verdict(before, after, m.direction)}
}

// verdict returns whether the values after are better or worse than those before by more than the noise. It sorts both.
func verdict(before, after []float64, direction float64) string {
	if len(before) < minRuns || len(after) < minRuns {
		return tooFew
	}
	medianBefore, _, _ := median(before)
	medianAfter, _, _ := median(after)
	disjoint := before[len(before)-1] < after[0] || after[len(after)-1] < before[0] // median sorted both
	if !disjoint && (rankSum(before, after) >= significance || len(before)+len(after) < minRunsForRankSum) {
		return noise
	}
	if (medianAfter-medianBefore)*direction > 0 {
		return better
	}
	return worse
}

// rankSum returns the p-value of the two-sided rank-sum test: the probability that ranks differ at least as much by chance. It uses the
// normal approximation with corrections for ties and continuity.
func rankSum(x, y []float64) float64 {
	type rankedValue struct {
		value   float64
		isFirst bool // whether value is from x
	}
	var all []rankedValue
	for _, value := range x {
		all = append(all, rankedValue{value, true})
	}
	for _, value := range y {
		all = append(all, rankedValue{value, false})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].value < all[j].value })
	sum, ties := 0.0, 0.0
	for i := 0; i < len(all); {
		end := i
		for end < len(all) && all[end].value == all[i].value {
			end++
		}
		rank, tied := float64(i+end+1)/2, float64(end-i)
		ties += tied*tied*tied - tied
		for _, ranked := range all[i:end] {
			if ranked.isFirst {
				sum += rank
			}
		}
		i = end
	}
	n, m := float64(len(x)), float64(len(y))
	total := n + m
	spread := math.Sqrt(n * m / 12 * (total + 1 - ties/(total*(total-1))))
	if spread == 0 {
		return 1
	}
	z := (math.Abs(sum-n*(total+1)/2) - 0.5) / spread
	return 2 * distuv.UnitNormal.Survival(math.Max(0, z))
}
