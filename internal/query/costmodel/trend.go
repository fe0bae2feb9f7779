package costmodel

// trend is the growth of a cost with the loads that end on its tables: least squares over the loads so far, older ones
// fading.
type trend struct{ count, sumX, sumY, sumXX, sumXY float64 }

func (t *trend) add(x, y float64) {
	const keep = 0.99
	t.count, t.sumX, t.sumY, t.sumXX, t.sumXY = keep*t.count+1, keep*t.sumX+x, keep*t.sumY+y, keep*t.sumXX+x*x, keep*t.sumXY+x*y
}

// slope is the growth a load, of logarithms; 0 while the loads seen are too few to tell.
func (t *trend) slope() (slope, middle float64) {
	if t.count < warmupObservations {
		return 0, 0
	}
	middle = t.sumX / t.count
	spread := t.sumXX/t.count - middle*middle
	if spread < 1 {
		return 0, middle
	}
	return min(0.2, max(0, (t.sumXY/t.count-middle*t.sumY/t.count)/spread)), middle
}
