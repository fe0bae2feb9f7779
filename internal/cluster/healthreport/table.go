// Package healthreport exchanges observations of engines between gateways. Gateways send observations, not decisions. Each gateway sends
// what it observed itself, with its age: the engine's load report, the last answer and the last failure of a request. The
// package does no I/O. Package admission decides what a finding means for routing. docs/fleet.md has the reasons.
package healthreport

import (
	"hash/fnv"
	"math"
	"slices"

	"magpiebank/internal/admission"
)

// Time is a time on the caller's clock, or a duration.
type Time = admission.Time

// The ages up to which observations count.
const (
	// OutcomeLifetime is the lifetime of answers and failures. In a cluster of some hundred gateways, each of which sends a request to
	// an engine every 25 s, this covers the cluster's last dozens of attempts at the engine. An ejected engine gets its next request when
	// the last failures are this old. Each gateway uses its own value between this and twice this, so that one gateway tries the engine
	// before all others do.
	OutcomeLifetime = 10 * admission.Second
	// ConfirmedFailureLifetime is the lifetime of failures that a fresh failure confirms: while the last failure that any peer
	// observed at the engine counts, earlier failures count up to this age. So the attempt of one gateway is enough to show that the
	// engine still fails. And a gateway whose own network fails cannot use other gateways' earlier failures to keep the engine ejected
	// for longer than this.
	ConfirmedFailureLifetime = 3 * OutcomeLifetime
	// ReportLifetime is the lifetime of load reports in routing decisions.
	ReportLifetime = 3 * admission.Second
)

// never is a time before any other time. It stands for an observation that does not exist.
const never = Time(math.MinInt64 / 4)

// Source is a gateway that sends observations. The later of two incarnations with the same name replaces the earlier one.
type Source struct {
	Name        string
	Incarnation uint64
}

// Finding summarizes the observations of one engine by all gateways.
type Finding = admission.PeerReport

// Table holds the observations of the engines in a gateway's endpoint list, by the gateway itself and by its peers.
type Table struct {
	peerCount       int     // number of peers that a message is sent to
	byteBudget      float64 // number of bytes that may be sent, summed over all peers
	outcomeLifetime Time    // this gateway's own lifetime of outcomes; see OutcomeLifetime
	maxEjectedShare float64 // share of the engines that peers' reports may eject at a time

	engines []engine
	byHash  map[uint32]int // index of each listed engine; below 0: several engines have the hash, and entries with it are ignored
	byName  map[admission.EngineID]int
	peers   []peer // by name
	changed []int  // indices of the engines whose finding may have changed

	// OnObservation, if set, is called for each received entry that is stored, with the ages of the last answer and the last failure in
	// it. If one of them does not exist, its age is larger than OutcomeLifetime.
	OnObservation func(from Source, engine *admission.Endpoint, answerAge, failureAge Time)
}

// New returns a table. peers is the number of peers that a message is sent to. maxEjectedShare is the share of the engines that peers'
// reports may eject at a time. retryPhase, from 0 to 1, makes gateways try an ejected engine again at different times.
func New(peers int, maxEjectedShare, retryPhase float64) *Table {
	return &Table{peerCount: max(1, peers), outcomeLifetime: OutcomeLifetime + Time(retryPhase*float64(OutcomeLifetime)), maxEjectedShare: maxEjectedShare,
		byHash: map[uint32]int{}, byName: map[admission.EngineID]int{}}
}

// SetPeerCount sets the number of peers that a message is sent to. A message uses up the budget once for each of them.
func (b *Table) SetPeerCount(n int) { b.peerCount = max(1, n) }

// MaxEjectedShare returns the share of the engines that peers' reports may eject at a time. With a retry budget, it is the retry ratio,
// by which the site states how many requests may fail at the first attempt. Otherwise, with several zones, it is the share of one zone,
// because the site must be able to lose a zone. Otherwise it is a quarter. The result is at most a half.
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

// RetryPhase returns the retry phase of the gateway with a name, from 0 to 1.
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
