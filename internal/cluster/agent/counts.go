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

func (h counter) Others() []string { return lender(h).Others() }

// Moved is the owner's.
func (f *Agent) Moved(lane, class string, was, is router.Place) {
	if f.counts == nil {
		return
	}
	var all [3]int64 // waits, runs, handed off
	var changes [5]counters.Change
	n := 0
	add := func(kind counters.Kind, name string, by [3]int64) {
		if kind == counters.All || name != "" {
			changes[n] = counters.Change{Key: counters.Key{Kind: kind, Name: name}, By: by}
			n++
		}
	}
	for _, p := range []struct {
		router.Place
		by int64
	}{{was, -1}, {is, 1}} {
		handed := max(0, p.by)
		switch {
		case !p.In:
		case p.Engine == "":
			all[counters.Waits] += p.by
		default:
			all[counters.Runs] += p.by
			all[counters.Handed] += handed
			add(counters.Engine, string(p.Engine), [3]int64{0, p.by, handed})
		}
	}
	add(counters.All, "", all)
	add(counters.Lane, lane, all)
	add(counters.Class, class, all)
	f.counts.Count(f.clock.Now(), changes[:n]...)
	if f.history == nil {
		return
	}
	own := f.counts.Own(counters.Key{})
	f.history.Write(history.Event{Kind: history.RequestsCounted, Number: int(own[counters.Waits]), Most: int(own[counters.Runs])})
}

// readings are for a checker: what is known of all twice a second.
func (f *Agent) readings(now admission.Time) {
	if f.history == nil || now-f.readAt < admission.Second/2 {
		return
	}
	f.readAt = now
	r := f.counts.Read(now, counters.Key{})
	for figure, name := range []string{"waits", "runs"} {
		of := r.Counts[0].Of[figure]
		f.history.Write(history.Event{Kind: history.CountersRead, Code: name, AgeNanos: int64(r.Age) * 1e5, Number: int(of.Low), Most: int(of.High), Of: uint64(r.Silent)})
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
		keys = append(keys, counters.Key{Kind: counters.Lane, Name: l})
	}
	keys = append(keys, f.counts.Keys(counters.Class)...)
	for _, l := range f.book.Status(now) {
		keys = append(keys, counters.Key{Kind: counters.Engine, Name: string(l.Engine)})
	}
	r := f.counts.Read(now, keys...)
	s := &CountStatus{AgeSeconds: seconds(r.Age), KnownGateways: r.Heard, SilentGateways: r.Silent}
	for _, c := range r.Counts {
		of := func(figure int) [2]int64 { return [2]int64{c.Of[figure].Low, c.Of[figure].High} }
		s.Lines = append(s.Lines, CountLine{strings.TrimSpace(c.Kind.String() + " " + c.Name), of(counters.Waits), of(counters.Runs), of(counters.Handed)})
	}
	return s
}
