package costmodel

import (
	"math/rand"
	"testing"
)

func TestSketchQuantilesAndMerge(t *testing.T) { // quantiles to a step; merged as if it were one
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
		t.Error("parts merged differ from the whole")
	}
	if q := whole.Quantile(0.5); q < 40 || q > 62 {
		t.Errorf("median %.1f", q)
	}
	for range 100 {
		one.Merge(&whole) // fades and goes on
	}
	if q := one.Quantile(0.5); q < 40 || q > 62 || one.Count() >= 1<<16 {
		t.Errorf("median %.1f of %d", q, one.Count())
	}
}
