package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/rollout"
)

// Status is what a member tells of itself over its control socket.
type Status struct {
	Name                string         `json:"name"`
	Start               uint64         `json:"start"`
	Address             string         `json:"address"`
	Displaced           bool           `json:"quiet"`  // displaced: another process has its name
	SuspicionMultiplier int            `json:"health"` // how many times slower it judges
	Lost                int            `json:"lost"`
	Sent                int64          `json:"sent"` // datagrams
	Received            int64          `json:"heard"`
	Members             []MemberStatus `json:"members"`
	Engines             []EngineStatus `json:"engines"`
	Dropped             map[string]int `json:"dropped"` // since the last line in the log
	EjectionShare       float64        `json:"share"`   // of the engines that hearsay may take out
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

// BudgetStatus is one budget as this member has it.
type BudgetStatus struct {
	Budget       string             `json:"budget"` // the class and what is shared of it
	Total        int64              `json:"total"`
	LocalShare   int64              `json:"own"` // of its seat
	Lent         int64              `json:"lent"`
	Borrowed     int64              `json:"borrowed"`
	Used         int64              `json:"used"`
	Wanted       int64              `json:"wanted"`
	ShareSeconds float64            `json:"seat"` // seconds for which the seat is held without another word; -1: it is not
	Peers        []BudgetPeerStatus `json:"parts"`
}

// BudgetPeerStatus is what there is of a budget between this member and another.
type BudgetPeerStatus struct {
	Member        string  `json:"member"`
	Lent          int64   `json:"lent"`
	Borrowed      int64   `json:"borrowed"`
	LeaseSeconds  float64 `json:"ends"`  // seconds until the first of that ends, unless it is renewed
	Lendable      int64   `json:"spare"` // what it said last that it could lend
	ReportSeconds float64 `json:"told"`  // seconds ago; -1: never
}

// EngineStatus is one engine: seconds since its own last answer and failure (-1: not lately), and what was heard.
type EngineStatus struct {
	Engine           string  `json:"engine"`
	AnsweredSeconds  float64 `json:"answered"`
	FailedSeconds    float64 `json:"failed"`
	Failure          string  `json:"how"` // the own last failure
	Evidence         float64 `json:"against"`
	Witnesses        int     `json:"witnesses"`
	ReportedFailures string  `json:"heard"`  // how it last failed for others, as "2 erred, 1 unreached"
	ReportSeconds    float64 `json:"report"` // age of the latest report heard
}

func seconds(t admission.Time) float64 {
	if t < 0 {
		return -1
	}
	return math.Round(10*float64(t)/float64(admission.Second)) / 10
}

// status is made in the fleet's goroutine.
func (f *Agent) status(now admission.Time) *Status {
	self := f.core.Self()
	s := &Status{Name: f.name, Start: self.Incarnation, Address: self.Address, Displaced: f.core.IsInactive(), SuspicionMultiplier: f.core.LocalHealth(), Lost: f.core.CountDead(), Sent: f.sent, Received: f.heard,
		Dropped: map[string]int{}, EjectionShare: f.share}
	for err, n := range f.dropped {
		s.Dropped[err.Error()] = n
	}
	for _, m := range f.core.Members() {
		s.Members = append(s.Members, MemberStatus{m.Name, m.State.String(), m.Incarnation, m.Address, seconds(now - m.StateSince)})
	}
	if f.purse != nil {
		for _, b := range f.purse.Statuses(now) {
			one := BudgetStatus{Budget: f.called(b.Index), Total: b.Total, LocalShare: b.OwnShare, Lent: b.LeasedOut, Borrowed: b.LeasedIn, Used: b.InUse, Wanted: b.Demand, ShareSeconds: seconds(b.ShareExpiresIn)}
			for _, p := range b.Peers {
				one.Peers = append(one.Peers, BudgetPeerStatus{p.Name, p.LeasedOut, p.LeasedIn, seconds(p.ExpiresIn), p.SpareUnits, seconds(p.SpareAge)})
			}
			s.Budgets = append(s.Budgets, one)
		}
	}
	for _, l := range f.book.Status(now) {
		e := EngineStatus{Engine: string(l.Engine), AnsweredSeconds: seconds(l.AnswerAge), FailedSeconds: seconds(l.FailureAge), Evidence: l.Finding.FailureScore, Witnesses: l.Finding.Witnesses,
			ReportedFailures: heard(l.PeerFailures), ReportSeconds: seconds(l.ReportAge)}
		if l.FailureAge >= 0 {
			e.Failure = l.LastFailure.String()
		}
		s.Engines = append(s.Engines, e)
	}
	if f.counts != nil {
		s.Counts = f.counted(now)
	}
	return s
}

// heard counts how an engine has failed for others.
func heard(list []admission.Observation) string {
	var parts []string
	for saw := admission.Erred; saw <= admission.Unreached; saw++ {
		n := 0
		for _, s := range list {
			if s == saw {
				n++
			}
		}
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, saw))
		}
	}
	return strings.Join(parts, ", ")
}

// answer serves whoever connects to the control socket: one request, as a JSON object, and its answer.
func (f *Agent) answer() {
	for {
		c, err := f.control.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if err := f.serve(c); err != nil {
				f.log.Warn("fleet", "code", "control", "error", err)
			}
		}()
	}
}

// longestAsk is how long a proposal may be waited for at the control socket.
const longestAsk = 10 * time.Minute

func (f *Agent) serve(c net.Conn) error {
	if err := allowed(c); err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	var q request
	if err := json.NewDecoder(io.LimitReader(c, 2*rollout.MaxPolicyBytes)).Decode(&q); err != nil {
		return fmt.Errorf("expected a request, found %w", err)
	}
	got := make(chan any, 1)
	f.box.Put(func() {
		now := f.clock.Now()
		switch {
		case q.Policy == nil:
			got <- f.status(now)
		case f.policies.core == nil:
			got <- &PolicyReply{Error: errNoCharter.Error()}
		default:
			f.policies.ask(now, q.Policy, func(a *PolicyReply) {
				select {
				case got <- a:
				default: // it was answered
				}
			})
		}
	})
	select {
	case s := <-got:
		c.SetDeadline(time.Now().Add(5 * time.Second))
		return json.NewEncoder(c).Encode(s)
	case <-f.ended:
	case <-time.After(longestAsk):
	}
	return nil
}

// request is what a control socket is asked; with nothing, for the state.
type request struct {
	Policy *PolicyRequest `json:"policy,omitempty"`
}
