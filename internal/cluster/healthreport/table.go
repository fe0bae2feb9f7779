// Package healthreport keeps what gateways tell each other of engines: observations, not verdicts. Each sends what it observed itself,
// with its age: the engine's load report, when a request was last answered there, and when one last failed. It does no I/O.
// What a finding means for routing is decided in package admission. docs/fleet.md has the reasons.
package healthreport

import (
	"hash/fnv"
	"math"
	"slices"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's clock.
type Time = admission.Time

// The ages up to which observations count.
const (
	// OutcomeLifetime is that of answers and failures. In a fleet of some hundred, where each gateway sends a request to an
	// engine every 25 s, it holds the fleet's last dozens of attempts there; an engine that is ejected gets its next one
	// when the last failures are this old. Each gateway has its own figure between this and twice this, so that one tries
	// the engine before all do.
	OutcomeLifetime = 10 * admission.Second
	// ConfirmedFailureLifetime is that of failures that a fresh one confirms: while the last failure that anybody observed
	// there counts, those before it count up to this age. So one gateway's attempt is enough to tell that an engine still
	// fails, and a gateway whose own network fails cannot keep it ejected for longer than this by the reports of others.
	ConfirmedFailureLifetime = 3 * OutcomeLifetime
	// ReportLifetime is that of load reports, as the decisions take them.
	ReportLifetime = 3 * admission.Second
)

// never is before any time that counts.
const never = Time(math.MinInt64 / 4)

// Source is a gateway that sends observations. Of two incarnations under a name the later counts.
type Source struct {
	Name        string
	Incarnation uint64
}

// Finding is what is known of one engine from all gateways' observations.
type Finding = admission.PeerReport

// Table is what one gateway knows of the engines of its endpoint list.
type Table struct {
	peerCount       int     // that a message goes to
	byteBudget      float64 // that may be sent, to all peers together
	outcomeLifetime Time    // this gateway's own
	maxEjectedShare float64 // of the engines that peers' reports may eject at a time

	engines []engine
	byHash  map[uint32]int // index of the listed engines; below 0: two have the hash, and nothing received can be told apart
	byName  map[admission.EngineID]int
	peers   []peer // by name
	changed []int  // indices of the engines whose finding may have changed

	// OnObservation, if set, is called with each outcome that is received and its age; OutcomeLifetime or older where there is none.
	OnObservation func(from Source, engine *admission.Endpoint, answerAge, failureAge Time)
}

// New makes a table. A message goes to so many peers. maxEjectedShare is the part of the engines that peers' reports may eject at a time.
// retryPhase, from 0 to 1, sets the gateway apart from others in when it tries an ejected engine again.
func New(peers int, maxEjectedShare, retryPhase float64) *Table {
	return &Table{peerCount: max(1, peers), outcomeLifetime: OutcomeLifetime + Time(retryPhase*float64(OutcomeLifetime)), maxEjectedShare: maxEjectedShare,
		byHash: map[uint32]int{}, byName: map[admission.EngineID]int{}}
}

// SetPeerCount has a message be paid for by so many receivers from now on.
func (b *Table) SetPeerCount(n int) { b.peerCount = max(1, n) }

// MaxEjectedShare returns the part of the engines that peers' reports may eject at a time: what the retry budget allows,
// because by that the site says how many requests may fail at first; else a zone's, which the site must do without when it
// loses one; else a quarter.
func MaxEjectedShare(d *admission.Deployment, zones int) float64 {
	const most, usual = 0.5, 0.25
	switch {
	case d.RetryWindow > 0 && d.RetryRatio > 0:
		return min(most, d.RetryRatio)
	case zones > 1:
		return min(most, 1/float64(zones))
	}
	return usual
}

// RetryPhase returns a gateway's retry phase, from 0 to 1, by its name.
func RetryPhase(name string) float64 {
	const phases = 997
	return float64(hashName(admission.EngineID(name))%phases) / phases
}

func hashName(name admission.EngineID) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

func (b *Table) markChanged(index int) {
	if !slices.Contains(b.changed, index) {
		b.changed = append(b.changed, index)
	}
}
