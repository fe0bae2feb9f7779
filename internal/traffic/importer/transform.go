package importer

import (
	"magpiebank/internal/traffic/trace"
	"math/rand"
	"slices"
	"time"
)

// Trim keeps what lies between two times, and lets it begin at 0.
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

// Accelerate plays a trace so many times as fast.
func Accelerate(t *trace.Trace, times float64) *trace.Trace {
	out := &trace.Trace{Start: t.Start, Records: slices.Clone(t.Records)}
	for i := range out.Records {
		out.Records[i].Offset = time.Duration(float64(out.Records[i].Offset) / times)
	}
	return out
}

// Sample keeps a share of the records, drawn by a seed.
func Sample(t *trace.Trace, share float64, seed int64) *trace.Trace {
	r := rand.New(rand.NewSource(seed))
	out := &trace.Trace{Start: t.Start}
	for _, one := range t.Records {
		if r.Float64() < share {
			out.Records = append(out.Records, one)
		}
	}
	return out
}

// Repeat plays a trace so many times, one behind the other, the mean gap between them.
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
