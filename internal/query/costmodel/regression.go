package costmodel

import (
	"math"

	"gonum.org/v1/gonum/mat"
)

// The regression that all shapes share: logarithms of costs over their lane's mean, by what a statement does, learned
// one answer at a time (recursive least squares).
const regressionTerms = 14

// initialWeights are what is believed before any answer: reading a whole table costs several times a look-up in the same
// lane, everything else a little.
var initialWeights = [regressionTerms]float64{0, 0.1, 0.8, 2, 0.3, -1.2, 0.1, 0.1, 0.2, 0.1, 0.2, 0.2, 0.2, 0.2}

type regression struct {
	weights    *mat.VecDense
	covariance *mat.SymDense
	input      *mat.VecDense
}

func (r *regression) reset() {
	r.weights = mat.NewVecDense(regressionTerms, append([]float64(nil), initialWeights[:]...))
	r.covariance = mat.NewSymDense(regressionTerms, nil)
	r.input = mat.NewVecDense(regressionTerms, nil)
	for i := range regressionTerms {
		r.covariance.SetSym(i, i, 1.0) // beliefs hold against about one answer
	}
}

func (r *regression) predict(x *[regressionTerms]float64) float64 {
	sum := 0.0
	for i, v := range x {
		sum += v * r.weights.AtVec(i)
	}
	return sum
}

func (r *regression) update(x *[regressionTerms]float64, y float64) {
	const forget, most = 0.999, 3.0 // one answer doesn't say more than a factor of twenty
	for i, v := range x {
		r.input.SetVec(i, v)
	}
	err := min(most, max(-most, y-r.predict(x)))
	var px mat.VecDense
	px.MulVec(r.covariance, r.input)
	scale := 1 / (forget + mat.Dot(r.input, &px))
	r.weights.AddScaledVec(r.weights, err*scale, &px)
	r.covariance.SymRankOne(r.covariance, -scale, &px)
	r.covariance.ScaleSym(1/forget, r.covariance)
	for i := range regressionTerms { // what is never seen must not grow without end
		if v := r.covariance.At(i, i); v > 10 {
			r.covariance.ScaleSym(10/v, r.covariance)
		}
	}
}

// regressionInput is what the regression sees of a statement.
func regressionInput(f *Features, full bool, tables TableLookup) (x [regressionTerms]float64) {
	log := func(n int) float64 { return math.Log1p(float64(n)) }
	x[0] = 1
	x[1] = log(f.Joins)
	x[2] = log(f.UnboundJoins)
	rows, known := 0.0, false
	if full {
		x[3] = 1
		for i := range f.Tables {
			if t := &f.Tables[i]; t.Scanned && tables != nil {
				if n, _, ok := tables(t); ok {
					rows, known = max(rows, n), true
				}
			}
		}
	}
	if known {
		x[4] = math.Log10(max(1, rows)) - 5 // a table of a hundred thousand rows is taken for usual
	}
	switch f.reach() {
	case reachKey:
		x[5] = 1
	case reachRange:
		x[13] = 1
	}
	x[6] = log(f.Aggregates)
	x[7] = log(f.Groups)
	x[8] = log(f.Sorts)
	x[9] = log(f.Windows)
	x[10] = log(f.Subqueries)
	x[11] = log(f.Unions)
	if f.Verb == InsertSelect || f.Verb == Load {
		x[12] = 1
	}
	return x
}
