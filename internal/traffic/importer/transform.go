package importer

import (
	"math/rand"
	"slices"
	"time"

	"magpiebank/internal/traffic/trace"
)

// Trim returns the part of a trace from offset from to before offset to. Its offsets start at 0. If to is 0, there is
// no upper bound.
func Trim(t *trace.Trace, from, to time.Duration) *trace.Trace {
	out := &trace.Trace{Start: t.Start.Add(from)}
	for _, r := range t.Records {
		if r.Offset >= from && (to <= 0 || r.Offset < to) {
			r.Offset -= from
			out.Records = append(out.Records, r)
		}
	}
	return out
}

// Accelerate returns a copy of a trace that runs faster by the given factor.
func Accelerate(t *trace.Trace, times float64) *trace.Trace {
	out := &trace.Trace{Start: t.Start, Records: slices.Clone(t.Records)}
	for i := range out.Records {
		out.Records[i].Offset = time.Duration(float64(out.Records[i].Offset) / times)
	}
	return out
}

// Sample returns a trace with a random share of the records. The seed determines which ones.
func Sample(t *trace.Trace, share float64, seed int64) *trace.Trace {
	r := rand.New(rand.NewSource(seed))
	out := &trace.Trace{Start: t.Start}
	for _, record := range t.Records {
		if r.Float64() < share {
			out.Records = append(out.Records, record)
		}
	}
	return out
}

// Repeat returns a trace that repeats t the given number of times, with the mean gap between the repetitions.
func Repeat(t *trace.Trace, times int) *trace.Trace {
	out := &trace.Trace{Start: t.Start}
	if len(t.Records) == 0 {
		return out
	}
	last := t.Records[len(t.Records)-1].Offset
	length := last + last/time.Duration(max(1, len(t.Records)-1))
	for k := range times {
		for _, r := range t.Records {
			r.Offset += time.Duration(k) * length
			out.Records = append(out.Records, r)
		}
	}
	return out
}
