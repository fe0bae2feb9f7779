package agent

import (
	"fmt"
	"math"
	"strings"

	"magpiebank/internal/admission"
)

// Status is a gateway's report on itself and the other gateways over its control socket.
type Status struct {
	Name                string         `json:"name"`
	Start               uint64         `json:"start"` // incarnation of its process
	Address             string         `json:"address"`
	Displaced           bool           `json:"quiet"`  // a later process has its name, so it doesn't take part in the cluster
	SuspicionMultiplier int            `json:"health"` // membership.Core.LocalHealth: how many times slower than usual it suspects, from 0
	Lost                int            `json:"lost"`   // number of members that died without leaving
	Sent                int64          `json:"sent"`   // number of datagrams sent
	Received            int64          `json:"heard"`  // number of valid datagrams received
	Members             []MemberStatus `json:"members"`
	Engines             []EngineStatus `json:"engines"`
	Dropped             map[string]int `json:"dropped"` // number of datagrams dropped since the last log line on them, by reason
	EjectionShare       float64        `json:"share"`   // share of the engines that reports of other gateways may eject
	Budgets             []BudgetStatus `json:"budgets,omitempty"`
	Counts              *CountStatus   `json:"counts,omitempty"`
}

// MemberStatus is the state of another member.
type MemberStatus struct {
	Name         string  `json:"name"`
	State        string  `json:"state"`
	Start        uint64  `json:"start"`
	Address      string  `json:"address"`
	StateSeconds float64 `json:"seconds"` // time since it entered that state
}

// BudgetStatus is this gateway's state of a budget, in units of the budget's resource.
type BudgetStatus struct {
	Budget       string             `json:"budget"` // the class and the resource that the budget limits for it
	Total        int64              `json:"total"`
	LocalShare   int64              `json:"own"`
	Lent         int64              `json:"lent"`
	Borrowed     int64              `json:"borrowed"`
	Used         int64              `json:"used"`
	Wanted       int64              `json:"wanted"`
	ShareSeconds float64            `json:"seat"` // time for which the gateway holds its share without another message; -1: it doesn't hold it
	Peers        []BudgetPeerStatus `json:"parts"`
}

// BudgetPeerStatus is what another gateway and this one have lent each other of a budget.
type BudgetPeerStatus struct {
	Member        string  `json:"member"`
	Lent          int64   `json:"lent"`
	Borrowed      int64   `json:"borrowed"`
	LeaseSeconds  float64 `json:"ends"`  // time until the first of these leases ends, unless it is renewed
	Lendable      int64   `json:"spare"` // units that the other gateway last announced that it could lend
	ReportSeconds float64 `json:"told"`  // time since that announcement; -1: there was none
}

// EngineStatus is what is known of an engine. A time of -1 means that the event hasn't happened lately or at all.
type EngineStatus struct {
	Engine           string  `json:"engine"`
	AnsweredSeconds  float64 `json:"answered"` // time since the engine last answered this gateway
	FailedSeconds    float64 `json:"failed"`   // time since an attempt of this gateway last failed
	Failure          string  `json:"how"`      // kind of that failure; empty: none lately
	FailureScore     float64 `json:"against"`
	Witnesses        int     `json:"witnesses"`
	ReportedFailures string  `json:"heard"`  // the last failures at other gateways by kind, for example "2 erred, 1 unreached"
	ReportSeconds    float64 `json:"report"` // age of the latest load report that other gateways sent
}

// CountStatus holds the counts of requests at all gateways, as of some seconds ago. Each count is an interval, low and high, that
// contains the true value. A high value of -1 means that there is no upper limit.
type CountStatus struct {
	AgeSeconds     float64     `json:"age"`
	KnownGateways  int         `json:"heard"`  // number of gateways whose counts are known for that time
	SilentGateways int         `json:"silent"` // number of gateways whose counts are unknown; the intervals allow for any counts of theirs
	Lines          []CountLine `json:"lines"`
}

// CountLine holds the counts of one class, policy class or engine, or of all requests.
type CountLine struct {
	Subject  string   `json:"of"`
	Waiting  [2]int64 `json:"waits"`
	Running  [2]int64 `json:"runs"`
	Attempts [2]int64 `json:"handed_off"` // attempts since the gateways' processes started
}

// seconds converts a time span to seconds, rounded to tenths. A negative span, which stands for none, becomes -1.
func seconds(t admission.Time) float64 {
	if t < 0 {
		return -1
	}
	return math.Round(10*float64(t)/float64(admission.Second)) / 10
}

// status returns the gateway's status. The agent's goroutine calls it.
func (a *Agent) status(now admission.Time) *Status {
	self := a.members.Self()
	status := &Status{
		Name:                a.name,
		Start:               self.Incarnation,
		Address:             self.Address,
		Displaced:           a.members.IsInactive(),
		SuspicionMultiplier: a.members.LocalHealth(),
		Lost:                a.members.CountDead(),
		Sent:                a.transport.sent,
		Received:            a.transport.received,
		Engines:             a.health.status(now),
		Dropped:             map[string]int{},
		EjectionShare:       a.health.ejectionShare,
	}
	for reason, count := range a.transport.dropped {
		status.Dropped[reason.Error()] = count
	}
	for _, m := range a.members.Members() {
		status.Members = append(status.Members, MemberStatus{m.Name, m.State.String(), m.Incarnation, m.Address, seconds(now - m.StateSince)})
	}
	if a.quota != nil {
		status.Budgets = a.quota.status(now)
	}
	if a.counters.core != nil {
		status.Counts = a.counters.status(now)
	}
	return status
}

// status returns what is known of the listed engines.
func (s *healthSharing) status(now admission.Time) (out []EngineStatus) {
	for _, line := range s.reports.Status(now) {
		engine := EngineStatus{
			Engine:           string(line.Engine),
			AnsweredSeconds:  seconds(line.AnswerAge),
			FailedSeconds:    seconds(line.FailureAge),
			FailureScore:     line.Finding.FailureScore,
			Witnesses:        line.Finding.Witnesses,
			ReportedFailures: summarizeFailures(line.PeerFailures),
			ReportSeconds:    seconds(line.ReportAge),
		}
		if line.FailureAge >= 0 {
			engine.Failure = line.LastFailure.String()
		}
		out = append(out, engine)
	}
	return out
}

// summarizeFailures counts the failures of an engine at other gateways by kind.
func summarizeFailures(failures []admission.Observation) string {
	var counts []string
	for kind := admission.Erred; kind <= admission.Unreached; kind++ {
		count := 0
		for _, failure := range failures {
			if failure == kind {
				count++
			}
		}
		if count > 0 {
			counts = append(counts, fmt.Sprintf("%d %s", count, kind))
		}
	}
	return strings.Join(counts, ", ")
}
