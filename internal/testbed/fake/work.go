package fake

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// ServiceTime is a distribution of service times with a mean.
type ServiceTime struct {
	Kind string // constant, exponential, lognormal or pareto; empty: constant
	Mean time.Duration
	CV   float64 // of lognormal: the standard deviation divided by the mean
	Tail float64 // of pareto: the shape parameter, above 1
}

// Check returns an error for the first invalid field. path is the path of the distribution in its file, for error messages.
func (s ServiceTime) Check(path string) error {
	switch {
	case s.Mean < 0 || s.Mean > time.Hour:
		return fmt.Errorf("%s.mean: expected a time up to 1h, found %v", path, s.Mean)
	case s.Kind == "lognormal" && !(s.CV > 0 && s.CV <= 100):
		return fmt.Errorf("%s.cv: expected a number above 0, found %g", path, s.CV)
	case s.Kind == "pareto" && !(s.Tail > 1):
		return fmt.Errorf("%s.tail: expected a number above 1, found %g", path, s.Tail)
	}
	switch s.Kind {
	case "", "constant", "exponential", "lognormal", "pareto":
		return nil
	}
	return fmt.Errorf("%s.kind: expected constant, exponential, lognormal or pareto, found %q", path, s.Kind)
}

// draw draws a service time of at most an hour. The request id seeds the draw, so a request takes the same time on every engine and
// on every run.
func (s ServiceTime) draw(id string) time.Duration {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	random := rand.New(rand.NewPCG(hash.Sum64(), 1))
	mean := float64(s.Mean)
	switch s.Kind {
	case "exponential":
		mean *= random.ExpFloat64()
	case "lognormal":
		sigma := math.Sqrt(math.Log(1 + s.CV*s.CV))
		mean *= math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)
	case "pareto":
		mean *= (s.Tail - 1) / s.Tail * math.Pow(1-random.Float64(), -1/s.Tail)
	}
	return time.Duration(min(mean, float64(time.Hour)))
}

// Work is the cost of requests of a class, or of requests whose statement contains a text, or both.
type Work struct {
	Class        string // empty: any
	Contains     string // text that the statement contains; empty: any
	Service      ServiceTime
	Rows         int // of the result
	MemoryMB     float64
	FailureShare float64 // share of requests that end with an error
}

// findWork returns the first work that matches a request. If none matches, the request takes no time and returns one row.
func findWork(works []Work, class, statement string) Work {
	for _, work := range works {
		if (work.Class == "" || work.Class == class) && (work.Contains == "" || strings.Contains(statement, work.Contains)) {
			return work
		}
	}
	return Work{Rows: 1}
}
