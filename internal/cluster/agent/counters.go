package agent

import (
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/counters"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/router"
)

// counterSharing exchanges counts of requests with the other gateways.
type counterSharing struct {
	agent       *Agent
	core        *counters.Core // nil: counts aren't shared
	classes     []string       // classes of the deployment
	maxRequests int64          // limit of the requests that the gateway has at a time
	longestWait admission.Time // longest wait of a client, which limits how long a request is in progress
	recordedAt  admission.Time // time of the last reading that was written to the history
}

// countersHost implements counters.Host.
type countersHost struct{ agent *Agent }

// Send sends a message of the core to the member named to. It drops messages to unknown members.
func (h countersHost) Send(to string, message []byte) {
	if other, ok := h.agent.members.Find(to); ok {
		h.agent.transport.send(other.Address, countersSection, message)
	}
}

// Peers returns the names of the other members that are alive.
func (h countersHost) Peers() []string { return h.agent.livingMembers() }

func (s *counterSharing) begin(now admission.Time) {
	s.core = counters.New(now, counters.Options{Name: s.agent.name, MaxProcesses: s.agent.gateways, MaxInFlight: s.maxRequests, LongestRequest: s.longestWait, Host: countersHost{s.agent}})
}

func (s *counterSharing) tick(now admission.Time) {
	if s.core == nil {
		return
	}
	s.core.Tick(now)
	s.recordReading(now)
}

// RecordPlacement updates the counts for a request that has moved from one placement to another. class is its class in the
// deployment, policyClass its class in the operator's policy, or empty if it has none.
func (a *Agent) RecordPlacement(class, policyClass string, before, after router.Placement) {
	if a.counters.core == nil {
		return
	}
	var all [3]int64 // changes of the counts counters.Waiting, Running and Attempted
	var changes [5]counters.Change
	changeCount := 0
	add := func(kind counters.Kind, name string, delta [3]int64) {
		if kind == counters.KindAll || name != "" {
			changes[changeCount] = counters.Change{Key: counters.Key{Kind: kind, Name: name}, Delta: delta}
			changeCount++
		}
	}
	count := func(placement router.Placement, delta int64) {
		switch {
		case !placement.Present:
		case placement.Engine == "":
			all[counters.Waiting] += delta
		default:
			attempts := max(0, delta)
			all[counters.Running] += delta
			all[counters.Attempted] += attempts
			add(counters.KindEngine, string(placement.Engine), [3]int64{0, delta, attempts})
		}
	}
	count(before, -1)
	count(after, 1)
	add(counters.KindAll, "", all)
	add(counters.KindClass, class, all)
	add(counters.KindPolicyClass, policyClass, all)
	a.counters.core.ApplyChanges(a.clock.Now(), changes[:changeCount]...)
	if a.history == nil {
		return
	}
	ownCounts := a.counters.core.OwnCounts(counters.Key{})
	a.history.Write(history.Event{Kind: history.RequestsCounted, Number: int(ownCounts[counters.Waiting]), High: int(ownCounts[counters.Running])})
}

// readingInterval is the time between two readings that are written to the history.
const readingInterval = admission.Second / 2

// recordReading writes the known counts of all gateways to the history at every readingInterval. The testbed's checkers
// compare them with the requests that the gateways recorded.
func (s *counterSharing) recordReading(now admission.Time) {
	if s.agent.history == nil || now-s.recordedAt < readingInterval {
		return
	}
	s.recordedAt = now
	reading := s.core.TakeReading(now, counters.Key{})
	for metric, name := range []string{"waits", "runs"} {
		interval := reading.Counts[0].Ranges[metric]
		s.agent.history.Write(history.Event{Kind: history.CountersRead, Code: name, AgeNanos: duration(reading.Age).Nanoseconds(), Number: int(interval.Low), High: int(interval.High), Detail: uint64(reading.Unknown)})
	}
}

// status returns the counts of all gateways, in total and by class, policy class and engine. Peers identify keys by hashes, so
// status lists only what this gateway has the names of: the deployment's classes, the policy classes of its own requests, and
// the engines of its endpoint list.
func (s *counterSharing) status(now admission.Time) *CountStatus {
	keys := []counters.Key{{}}
	for _, class := range s.classes {
		keys = append(keys, counters.Key{Kind: counters.KindClass, Name: class})
	}
	keys = append(keys, s.core.ListKeys(counters.KindPolicyClass)...)
	for _, line := range s.agent.health.reports.Status(now) {
		keys = append(keys, counters.Key{Kind: counters.KindEngine, Name: string(line.Engine)})
	}
	reading := s.core.TakeReading(now, keys...)
	status := &CountStatus{AgeSeconds: seconds(reading.Age), KnownGateways: reading.Known, SilentGateways: reading.Unknown}
	for _, count := range reading.Counts {
		interval := func(metric int) [2]int64 { return [2]int64{count.Ranges[metric].Low, count.Ranges[metric].High} }
		status.Lines = append(status.Lines, CountLine{
			Subject:  strings.TrimSpace(count.Kind.String() + " " + count.Name),
			Waiting:  interval(counters.Waiting),
			Running:  interval(counters.Running),
			Attempts: interval(counters.Attempted),
		})
	}
	return status
}
