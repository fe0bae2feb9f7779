package costmodel

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// regressionTerms is the number of inputs of the regression.
const regressionTerms = 14

// The indices of the inputs of the regression. Counts are entered as log(1+count).
const (
	termConstant = iota
	termJoins
	termUnboundJoins
	termFullScan
	termTableRows // decimal logarithm of the number of rows, less typicalLogRows
	termKeyAccess
	termAggregates
	termGroups
	termSorts
	termWindows
	termSubqueries
	termUnions
	termLoad
	termRangeAccess
)

// typicalLogRows is the decimal logarithm of the number of rows of a table of typical size.
const typicalLogRows = 5

// initialWeights are the weights before the first observation: a full scan costs several times as much as a lookup by
// key in the same class, and everything else adds a little.
var initialWeights = [regressionTerms]float64{0, 0.1, 0.8, 2, 0.3, -1.2, 0.1, 0.1, 0.2, 0.1, 0.2, 0.2, 0.2, 0.2}

const (
	initialVariance       = 1.0   // gives the initial weights the weight of about one observation
	forgettingFactor      = 0.999 // factor by which each new observation reduces the weight of the older ones
	maxRegressionError    = 3.0   // of logarithms: one observation counts as a deviation by a factor of twenty at most
	maxRegressionVariance = 10
)

// regression predicts the logarithm of the ratio of a cost to the mean cost of its class, from the features of a
// statement. All shapes share it. It learns from one observation at a time, by recursive least squares.
type regression struct {
	weights     *mat.VecDense
	covariance  *mat.SymDense
	inputBuffer *mat.VecDense // reused by update
}

func (r *regression) reset() {
	r.weights = mat.NewVecDense(regressionTerms, append([]float64(nil), initialWeights[:]...))
	r.covariance = mat.NewSymDense(regressionTerms, nil)
	r.inputBuffer = mat.NewVecDense(regressionTerms, nil)
	for i := range regressionTerms {
		r.covariance.SetSym(i, i, initialVariance)
	}
}

func (r *regression) predict(input *[regressionTerms]float64) float64 {
	sum := 0.0
	for i, value := range input {
		sum += value * r.weights.AtVec(i)
	}
	return sum
}

func (r *regression) update(input *[regressionTerms]float64, observed float64) {
	for i, value := range input {
		r.inputBuffer.SetVec(i, value)
	}
	deviation := min(maxRegressionError, max(-maxRegressionError, observed-r.predict(input)))
	var product mat.VecDense
	product.MulVec(r.covariance, r.inputBuffer)
	scale := 1 / (forgettingFactor + mat.Dot(r.inputBuffer, &product))
	r.weights.AddScaledVec(r.weights, deviation*scale, &product)
	r.covariance.SymRankOne(r.covariance, -scale, &product)
	r.covariance.ScaleSym(1/forgettingFactor, r.covariance)
	for i := range regressionTerms { // without this limit, the variance of a term that never occurs would grow indefinitely
		if variance := r.covariance.At(i, i); variance > maxRegressionVariance {
			r.covariance.ScaleSym(maxRegressionVariance/variance, r.covariance)
		}
	}
}

// regressionInput returns the inputs of the regression for a statement.
func regressionInput(f *Features, fullScan bool, tables TableLookup) (input [regressionTerms]float64) {
	logCount := func(count int) float64 { return math.Log1p(float64(count)) }
	input[termConstant] = 1
	input[termJoins] = logCount(f.Joins)
	input[termUnboundJoins] = logCount(f.UnboundJoins)
	if fullScan {
		input[termFullScan] = 1
		if rows, known := f.maxScannedRows(tables); known {
			input[termTableRows] = math.Log10(max(1, rows)) - typicalLogRows
		}
	}
	switch f.widestAccess() {
	case accessKey:
		input[termKeyAccess] = 1
	case accessRange:
		input[termRangeAccess] = 1
	}
	input[termAggregates] = logCount(f.Aggregates)
	input[termGroups] = logCount(f.Groups)
	input[termSorts] = logCount(f.Sorts)
	input[termWindows] = logCount(f.Windows)
	input[termSubqueries] = logCount(f.Subqueries)
	input[termUnions] = logCount(f.Unions)
	if f.Verb == InsertSelect || f.Verb == Load {
		input[termLoad] = 1
	}
	return input
}

// maxScannedRows returns the number of rows of the largest table that is read completely; known is false if an
// operator has declared none of these tables.
func (f *Features) maxScannedRows(tables TableLookup) (rows float64, known bool) {
	if tables == nil {
		return 0, false
	}
	for i := range f.Tables {
		table := &f.Tables[i]
		if !table.Scanned {
			continue
		}
		if declared, _, ok := tables(table); ok {
			rows, known = max(rows, declared), true
		}
	}
	return rows, known
}
