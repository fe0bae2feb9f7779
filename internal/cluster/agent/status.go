package agent

import (
	"fmt"
	"math"
	"strings"

	"magpiebank/internal/admission"
)

// Status is what a gateway reports of itself and the others over its control socket.
type Status struct {
	Name                string         `json:"name"`
	Start               uint64         `json:"start"` // of its process
	Address             string         `json:"address"`
	Displaced           bool           `json:"quiet"`  // another process has its name, and it takes no part
	SuspicionMultiplier int            `json:"health"` // how many times more slowly than usual it suspects others
	Lost                int            `json:"lost"`   // members
	Sent                int64          `json:"sent"`   // datagrams
	Received            int64          `json:"heard"`  // datagrams
	Members             []MemberStatus `json:"members"`
	Engines             []EngineStatus `json:"engines"`
	Dropped             map[string]int `json:"dropped"` // datagrams since the last log line, by reason
	EjectionShare       float64        `json:"share"`   // of the engines, that reports of others may eject
	Budgets             []BudgetStatus `json:"budgets,omitempty"`
	Counts              *CountStatus   `json:"counts,omitempty"`
}

// MemberStatus is one other member.
type MemberStatus struct {
	Name         string  `json:"name"`
	State        string  `json:"state"`
	Start        uint64  `json:"start"`
	Address      string  `json:"address"`
	StateSeconds float64 `json:"seconds"` // since it came to that state
}

// BudgetStatus is one budget as this gateway has it, in units of its resource.
type BudgetStatus struct {
	Budget       string             `json:"budget"` // the class and the resource that is shared of it
	Total        int64              `json:"total"`
	LocalShare   int64              `json:"own"`
	Lent         int64              `json:"lent"`
	Borrowed     int64              `json:"borrowed"`
	Used         int64              `json:"used"`
	Wanted       int64              `json:"wanted"`
	ShareSeconds float64            `json:"seat"` // for which the share is held without another message; -1: it is not held
	Peers        []BudgetPeerStatus `json:"parts"`
}

// BudgetPeerStatus is what one other gateway and this one have lent each other of a budget.
type BudgetPeerStatus struct {
	Member        string  `json:"member"`
	Lent          int64   `json:"lent"`
	Borrowed      int64   `json:"borrowed"`
	LeaseSeconds  float64 `json:"ends"`  // until the first lease ends, unless it is renewed
	Lendable      int64   `json:"spare"` // what it last reported that it could lend
	ReportSeconds float64 `json:"told"`  // since that report; -1: there was none
}

// EngineStatus is one engine. Ages are in seconds; -1: there is none, or not lately.
type EngineStatus struct {
	Engine           string  `json:"engine"`
	AnsweredSeconds  float64 `json:"answered"` // since this gateway's own last answer
	FailedSeconds    float64 `json:"failed"`   // since this gateway's own last failure
	Failure          string  `json:"how"`      // the kind of that failure
	FailureScore     float64 `json:"against"`
	Witnesses        int     `json:"witnesses"`
	ReportedFailures string  `json:"heard"`  // how it last failed for others, as "2 erred, 1 unreached"
	ReportSeconds    float64 `json:"report"` // since the latest report that was received
}

// CountStatus are the counts of requests at all gateways, as of some seconds ago. They are intervals that contain the
// true figure, as low and high; a high of -1 is no bound.
type CountStatus struct {
	AgeSeconds     float64     `json:"age"`
	KnownGateways  int         `json:"heard"`  // gateways whose counts are known for that time
	SilentGateways int         `json:"silent"` // those that may have had anything
	Lines          []CountLine `json:"lines"`
}

// CountLine is one class, policy class or engine, or all of them.
type CountLine struct {
	Subject  string   `json:"of"`
	Waiting  [2]int64 `json:"waits"`
	Running  [2]int64 `json:"runs"`
	Attempts [2]int64 `json:"handed_off"` // since the gateways' starts
}

// seconds rounds a span of the decisions' clock to tenths of a second. A negative one, which is none, becomes -1.
func seconds(t admission.Time) float64 {
	if t < 0 {
		return -1
	}
	return math.Round(10*float64(t)/float64(admission.Second)) / 10
}

// status reads the state, in the agent's goroutine.
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

// status reads what is known of engines.
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

// summarizeFailures counts how an engine has failed for others.
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
