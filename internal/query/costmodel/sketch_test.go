package costmodel

import (
	"math/rand"
	"testing"
)

// Quantiles are exact to a bucket, and merged sketches are equal to one sketch with all observations.
func TestSketchQuantilesAndMerge(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	var whole, one, two Sketch
	for i := range 2000 {
		v := drawCost(r, 50, 1, 0)
		whole.Add(v)
		if i%3 == 0 {
			one.Add(v)
		} else {
			two.Add(v)
		}
	}
	one.Merge(&two)
	if one != whole {
		t.Error("the merged sketch differs from the sketch of all observations")
	}
	if q := whole.Quantile(0.5); q < 40 || q > 62 {
		t.Errorf("median %.1f", q)
	}
	for range 100 {
		one.Merge(&whole) // the weights are halved whenever the total gets too high
	}
	if q := one.Quantile(0.5); q < 40 || q > 62 || one.Count() >= 1<<16 {
		t.Errorf("median %.1f, %d observations", q, one.Count())
	}
}
