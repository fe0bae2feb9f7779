package report

import (
	"fmt"
	"io"
	"math"
	"sort"

	"gonum.org/v1/gonum/stat/distuv"

	"magpiebank/internal/testbed/load/client"
	"magpiebank/internal/testbed/load/experiment"
)

// measure is one figure of a run; better tells the direction (1: more is better).
type measure struct {
	name   string
	better float64
	of     func(*experiment.Result) float64
}

func measures(r *experiment.Result) (out []measure) {
	for i, l := range r.Figures.Classes {
		lane := func(f func(*experiment.Result, int) float64) func(*experiment.Result) float64 {
			return func(r *experiment.Result) float64 { return f(r, i) }
		}
		for _, q := range []float64{0.5, 0.99, 0.999} {
			out = append(out, measure{fmt.Sprintf("%s p%g ms", l.Name, 100*q), -1, lane(func(r *experiment.Result, i int) float64 {
				return r.Figures.Classes[i].Quantile(client.Served, q).Seconds() * 1000
			})})
		}
		out = append(out, measure{l.Name + " in quoted time %", 1, lane(func(r *experiment.Result, i int) float64 {
			return 100 * float64(r.Figures.Classes[i].WithinObjective) / math.Max(1, float64(r.Figures.Classes[i].Offered))
		})})
	}
	return out
}

// median and an interval that holds it: the order statistics that do so with a chance of 95 percent at least, from the
// binomial distribution; with fewer than six runs no two do, so the interval is the whole range.
func median(values []float64) (mid, low, high float64) {
	sort.Float64s(values)
	n := len(values)
	if n == 1 {
		return values[0], values[0], values[0]
	}
	if n%2 == 0 {
		mid = (values[n/2-1] + values[n/2]) / 2
	} else {
		mid = values[n/2]
	}
	half := distuv.Binomial{N: float64(n), P: 0.5}
	k := 0
	for 2*half.CDF(float64(k)) <= 0.05 {
		k++
	}
	if k == 0 {
		return mid, values[0], values[n-1]
	}
	return mid, values[k-1], values[n-k]
}

// Verdicts of a comparison.
const (
	better   = "better"
	worse    = "worse"
	noise    = "within the noise"
	tooFew   = "too few runs to tell"
	leastRun = 3 // on each side, before a difference is called one
)

// Compare writes, for two sets of runs of one experiment, medians with intervals and whether they differ by more than the
// noise: the rank-sum test's chance of such a difference by luck is under 5 percent, or with so few runs that it can't
// be, the ranges do not touch.
func Compare(w io.Writer, a, b []*experiment.Result) error {
	if len(a) == 0 || len(b) == 0 {
		return fmt.Errorf("expected runs on both sides")
	}
	for _, r := range append(append([]*experiment.Result{}, a...), b...) {
		if r.Name != a[0].Name || len(r.Figures.Classes) != len(a[0].Figures.Classes) {
			return fmt.Errorf("runs of %s and of %s can't be compared", a[0].Name, r.Name)
		}
	}
	rows := [][]string{{a[0].Name, fmt.Sprintf("before (%d)", len(a)), "interval", fmt.Sprintf("after (%d)", len(b)), "interval",
		"difference", "verdict"}}
	for _, m := range measures(a[0]) {
		var x, y []float64
		for _, r := range a {
			x = append(x, m.of(r))
		}
		for _, r := range b {
			y = append(y, m.of(r))
		}
		xm, xl, xh := median(x)
		ym, yl, yh := median(y)
		rows = append(rows, []string{m.name, fmt.Sprintf("%.2f", xm), fmt.Sprintf("%.2f..%.2f", xl, xh), fmt.Sprintf("%.2f", ym),
			fmt.Sprintf("%.2f..%.2f", yl, yh), fmt.Sprintf("%+.2f", ym-xm), judge(x, y, m.better)})
	}
	table(w, rows)
	return nil
}

func judge(x, y []float64, direction float64) string {
	if len(x) < leastRun || len(y) < leastRun {
		return tooFew
	}
	xm, _, _ := median(x)
	ym, _, _ := median(y)
	apart := x[len(x)-1] < y[0] || y[len(y)-1] < x[0] // both are sorted by now
	if !apart && rankSum(x, y) >= 0.05 || len(x)+len(y) < 8 && !apart {
		return noise
	}
	if (ym-xm)*direction > 0 {
		return better
	}
	return worse
}

// rankSum is the two-sided chance of ranks that differ as much, by the normal approximation with ties.
func rankSum(x, y []float64) float64 {
	type ranked struct {
		v     float64
		first bool
	}
	var all []ranked
	for _, v := range x {
		all = append(all, ranked{v, true})
	}
	for _, v := range y {
		all = append(all, ranked{v, false})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].v < all[j].v })
	n, m := float64(len(x)), float64(len(y))
	sum, ties := 0.0, 0.0
	for i := 0; i < len(all); {
		j := i
		for j < len(all) && all[j].v == all[i].v {
			j++
		}
		rank, t := float64(i+j+1)/2, float64(j-i)
		ties += t*t*t - t
		for _, r := range all[i:j] {
			if r.first {
				sum += rank
			}
		}
		i = j
	}
	total := n + m
	spread := math.Sqrt(n * m / 12 * (total + 1 - ties/(total*(total-1))))
	if spread == 0 {
		return 1
	}
	z := (math.Abs(sum-n*(total+1)/2) - 0.5) / spread
	return 2 * distuv.UnitNormal.Survival(math.Max(0, z))
}
