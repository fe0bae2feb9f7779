package costmodel

// trend shows how a cost grows with the number of loads of data that have ended on its tables. It is a least-squares
// line through the logarithms of the costs (y) over the number of loads (x), in which the weight of old observations
// decays.
type trend struct{ count, sumX, sumY, sumXX, sumXY float64 }

const (
	trendDecay    = 0.99 // factor by which each new observation reduces the weight of the older ones
	minLoadSpread = 1    // variance of the numbers of loads below which no slope is computed
	maxTrendSlope = 0.2  // highest growth of the logarithm of the cost per load
)

func (t *trend) add(x, y float64) {
	t.count = trendDecay*t.count + 1
	t.sumX = trendDecay*t.sumX + x
	t.sumY = trendDecay*t.sumY + y
	t.sumXX = trendDecay*t.sumXX + x*x
	t.sumXY = trendDecay*t.sumXY + x*y
}

// slope returns the growth of the logarithm of the cost per load, and the mean number of loads, at which the line has
// the mean cost. The slope is 0 if there are too few observations, or if their numbers of loads differ too little.
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
