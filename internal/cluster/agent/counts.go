package agent

import (
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/counters"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/router"
)

// counter is what the counts' core acts on.
type counter struct{ f *Agent }

func (h counter) Send(to string, m []byte) {
	if other, ok := h.f.core.Find(to); ok {
		h.f.send(other.Address, part{partTally, m})
	}
}

func (h counter) Peers() []string { return lender(h).Peers() }

// Moved is the owner's.
func (f *Agent) RecordPlacement(lane, class string, was, is router.Placement) {
	if f.counts == nil {
		return
	}
	var all [3]int64 // waits, runs, handed off
	var changes [5]counters.Change
	n := 0
	add := func(kind counters.Kind, name string, by [3]int64) {
		if kind == counters.KindAll || name != "" {
			changes[n] = counters.Change{Key: counters.Key{Kind: kind, Name: name}, Delta: by}
			n++
		}
	}
	for _, p := range []struct {
		router.Placement
		by int64
	}{{was, -1}, {is, 1}} {
		handed := max(0, p.by)
		switch {
		case !p.Present:
		case p.Engine == "":
			all[counters.Waiting] += p.by
		default:
			all[counters.Running] += p.by
			all[counters.Attempted] += handed
			add(counters.KindEngine, string(p.Engine), [3]int64{0, p.by, handed})
		}
	}
	add(counters.KindAll, "", all)
	add(counters.KindClass, lane, all)
	add(counters.KindPolicyClass, class, all)
	f.counts.ApplyChanges(f.clock.Now(), changes[:n]...)
	if f.history == nil {
		return
	}
	own := f.counts.OwnCounts(counters.Key{})
	f.history.Write(history.Event{Kind: history.RequestsCounted, Number: int(own[counters.Waiting]), Most: int(own[counters.Running])})
}

// readings are for a checker: what is known of all twice a second.
func (f *Agent) readings(now admission.Time) {
	if f.history == nil || now-f.readAt < admission.Second/2 {
		return
	}
	f.readAt = now
	r := f.counts.TakeReading(now, counters.Key{})
	for figure, name := range []string{"waits", "runs"} {
		of := r.Counts[0].Ranges[figure]
		f.history.Write(history.Event{Kind: history.CountersRead, Code: name, AgeNanos: int64(r.Age) * 1e5, Number: int(of.Low), Most: int(of.High), Of: uint64(r.Unknown)})
	}
}

// CountStatus are the counts of the whole fleet as of some seconds ago: intervals in which the truth was, as low and high; a high of -1 is
// no bound.
type CountStatus struct {
	AgeSeconds     float64     `json:"age"`
	KnownGateways  int         `json:"heard"`  // gateways whose counts are known for then
	SilentGateways int         `json:"silent"` // those that may have had anything
	Lines          []CountLine `json:"lines"`
}

// CountLine is one lane, class or engine, or all.
type CountLine struct {
	Subject  string   `json:"of"`
	Waiting  [2]int64 `json:"waits"`
	Running  [2]int64 `json:"runs"`
	Attempts [2]int64 `json:"handed_off"` // since the gateways' starts
}

// counted reads all that this gateway can name: its lanes, the classes it had tasks of, and the engines it knows.
func (f *Agent) counted(now admission.Time) *CountStatus {
	keys := []counters.Key{{}}
	for _, l := range f.lanes {
		keys = append(keys, counters.Key{Kind: counters.KindClass, Name: l})
	}
	keys = append(keys, f.counts.ListKeys(counters.KindPolicyClass)...)
	for _, l := range f.book.Status(now) {
		keys = append(keys, counters.Key{Kind: counters.KindEngine, Name: string(l.Engine)})
	}
	r := f.counts.TakeReading(now, keys...)
	s := &CountStatus{AgeSeconds: seconds(r.Age), KnownGateways: r.Known, SilentGateways: r.Unknown}
	for _, c := range r.Counts {
		of := func(figure int) [2]int64 { return [2]int64{c.Ranges[figure].Low, c.Ranges[figure].High} }
		s.Lines = append(s.Lines, CountLine{strings.TrimSpace(c.Kind.String() + " " + c.Name), of(counters.Waiting), of(counters.Running), of(counters.Attempted)})
	}
	return s
}
