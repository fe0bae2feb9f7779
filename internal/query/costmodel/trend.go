package costmodel

// trend follows how a cost grows with the loads that end on its tables: a least-squares line through the logarithms of
// the costs (y) over the number of loads (x), in which older observations fade.
type trend struct{ count, sumX, sumY, sumXX, sumXY float64 }

const (
	trendFading   = 0.99 // the weight that an observation keeps with each further one
	minLoadSpread = 1    // the variance of the loads from which the slope can be told
	maxTrendSlope = 0.2  // a load, of logarithms
)

func (t *trend) add(x, y float64) {
	t.count = trendFading*t.count + 1
	t.sumX = trendFading*t.sumX + x
	t.sumY = trendFading*t.sumY + y
	t.sumXX = trendFading*t.sumXX + x*x
	t.sumXY = trendFading*t.sumXY + x*y
}

// slope returns the growth of the cost's logarithm with a load, 0 if there are too few observations to tell, and the mean
// number of loads, at which the line has the mean cost.
func (t *trend) slope() (slope, meanLoads float64) {
	if t.count < warmupObservations {
		return 0, 0
	}
	meanLoads = t.sumX / t.count
	variance := t.sumXX/t.count - meanLoads*meanLoads
	if variance < minLoadSpread {
		return 0, meanLoads
	}
	covariance := t.sumXY/t.count - meanLoads*t.sumY/t.count
	return min(maxTrendSlope, max(0, covariance/variance)), meanLoads
}
