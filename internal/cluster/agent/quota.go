package agent

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/membership"
	"magpiebank/internal/cluster/quota"
	"magpiebank/internal/config"
)

// quotaSharing holds this gateway's share of what classes may use over all gateways.
type quotaSharing struct {
	agent        *Agent
	plan         *quota.Plan
	longestWait  time.Duration  // of a request, and so the longest use of a unit
	overloadTime admission.Time // after which an engine that has just started is overloaded, by the deployment's rule
	gatewayIndex int            // of this gateway among the shares

	shares       quotaShares         // nil until Start
	synchronized *quota.Synchronized // the same; nil in the testbed's comparison with another way to share

	handover  *shareHandover // nil: the next process begins with nothing
	confirmed bool           // the share is held under this start and may be used
	claimedAt admission.Time // when it was claimed under this start

	namesLock sync.Mutex
	names     []string // of the budgets, in the core's order

	recordedRates map[int]recordedRate // by budget; of the router's owner: what the history has of rates
}

// quotaShares are this gateway's shares of budgets. The agent's goroutine calls the first two methods, the router's
// owner the others.
type quotaShares interface {
	Tick(now admission.Time)
	HandleMessage(now admission.Time, m quota.Message) (more bool)
	TryReserve(now admission.Time, budget int, amount int64, length admission.Time) bool
	CommitReservation(now admission.Time, budget int, amount int64, length admission.Time) bool
	Release(now admission.Time, budget int, amount int64) (awaited bool)
	SetDemand(now admission.Time, budget int, amount int64)
	ReserveRate(now admission.Time, budget int, need int64) (rate int64, until admission.Time)
	ScaleTotal(now admission.Time, budget int, fraction float64)
}

type recordedRate struct {
	rate int64
	at   admission.Time
}

func newQuotaSharing(a *Agent, start *config.Config, longestWait time.Duration) (*quotaSharing, error) {
	s := &quotaSharing{
		agent:         a,
		longestWait:   longestWait,
		overloadTime:  start.Deployment.WarmUpOverloadTime,
		gatewayIndex:  start.Deployment.GatewayIndex,
		names:         slices.Clone(a.config.Quota.Names),
		recordedRates: map[int]recordedRate{},
	}
	s.plan = s.newPlan(a.config.Quota)
	if s.plan.ShareTerm < 2*s.plan.LeaseTerm {
		return nil, fmt.Errorf("fleet.budgets.term: expected six times the longest wait of a class at least, %v, found %v", 6*longestWait, a.config.Quota.ShareTerm)
	}
	return s, nil
}

// clockDriftDivisor says how far two clocks may drift apart: by one part in so many. Clocks of machines drift by some parts in
// a million; one in twenty leaves room for those that are being set.
const clockDriftDivisor = 20

// newPlan is the plan of the quota's core. A lease lasts twice the longest use: it is renewed after its first quarter
// and is then good for a whole use more. It lasts no longer, because what is lent across a network cut is of no use to
// either side for the rest of the lease.
func (s *quotaSharing) newPlan(c *QuotaConfig) *quota.Plan {
	longest := ticks(s.longestWait)
	plan := &quota.Plan{
		Shares:       s.agent.gateways,
		Voters:       c.Voters,
		ShareTerm:    ticks(c.ShareTerm),
		LongestUse:   longest,
		LeaseTerm:    2 * longest,
		DriftDivisor: clockDriftDivisor,
		Revision:     c.Number,
		Totals:       c.Totals,
	}
	for _, name := range c.Names {
		plan.QuotaIDs = append(plan.QuotaIDs, quota.HashName(name))
	}
	return plan
}

// begin claims the share under this process's start.
func (s *quotaSharing) begin(now admission.Time) error {
	s.plan.ApplyMutation()
	if err := s.openHandover(); err != nil {
		return err
	}
	s.shares = mutations.replaceQuotaShares(s.agent, now)
	if s.shares == nil {
		s.synchronized = quota.NewSynchronized(s.claim(now))
		s.shares = s.synchronized
	}
	return nil
}

// openHandover opens the folder by which the share passes on. Where another process holds it, this one begins with
// nothing.
func (s *quotaSharing) openHandover() error {
	folder := s.agent.config.Quota.Folder
	if folder == "" {
		return nil
	}
	handover, err := openHandover(folder, s.agent.name)
	if errors.Is(err, errHandoverLocked) {
		s.logFolderError(err)
		return nil
	}
	if err != nil {
		return fmt.Errorf("fleet.budgets.folder: %w", err)
	}
	s.handover = handover
	return nil
}

// claim returns a core that claims the share under this process's start. It begins with nothing but what earlier
// processes have surely given up.
func (s *quotaSharing) claim(now admission.Time) *quota.Core {
	a := s.agent
	start := a.members.Self().Incarnation
	core := quota.New(now, quota.Options{Plan: s.plan, Name: a.name, Incarnation: start, Share: s.gatewayIndex, Host: quotaHost{a}})
	s.confirmed, s.claimedAt = false, now
	if s.handover == nil {
		return core
	}
	ended, err := s.handover.beginClaim(start)
	s.logFolderError(err)
	if len(ended) > 0 {
		core.SetPredecessors(ended)
		a.log.Info("fleet", "code", "follows", "starts", ended)
	}
	return core
}

// tick steps the core. A process that had to take a later start than it began with claims the share anew.
func (s *quotaSharing) tick(now admission.Time) {
	if s.synchronized != nil && s.synchronized.Incarnation() != s.agent.start {
		s.synchronized.ReplaceCore(s.claim(now))
	}
	s.shares.Tick(now)
	s.confirmShare(now)
}

// confirmShare records that the share is held, and logs that it may be used.
func (s *quotaSharing) confirmShare(now admission.Time) {
	if s.confirmed || s.synchronized == nil {
		return
	}
	var held bool
	s.synchronized.WithCore(func(core *quota.Core) { held, s.confirmed = core.ShareStatus(now) })
	if held && s.handover != nil {
		s.logFolderError(s.handover.confirmClaim())
	}
	if s.confirmed {
		s.agent.log.Info("fleet", "code", "seated", "seat", s.gatewayIndex, "after", duration(now-s.claimedAt))
	}
}

// leave gives the share up, or leaves it to the next process.
func (s *quotaSharing) leave() {
	if s.synchronized == nil {
		return
	}
	var free bool
	s.synchronized.WithCore(func(core *quota.Core) {
		free = core.ReleaseShares(s.agent.clock.Now())
		if s.handover == nil {
			return
		}
		if free {
			s.logFolderError(s.handover.release())
		}
		s.logFolderError(s.handover.close())
	})
}

func (s *quotaSharing) logFolderError(err error) {
	if err != nil {
		s.agent.log.Warn("fleet", "code", "folder", "error", err)
	}
}

// handleMessage takes in a message on budgets. Where more of a budget may be used now, requests that wait for it are
// sent at once.
func (s *quotaSharing) handleMessage(at admission.Time, m quota.Message) {
	if s.shares != nil && s.shares.HandleMessage(at, m) {
		s.agent.listener.HandleCapacityChange()
	}
}

// quotaHost is what the quota's core acts on.
type quotaHost struct{ agent *Agent }

// Send sends a message of the core to a member, or to this gateway's own voter.
func (h quotaHost) Send(to string, m quota.Message) {
	a := h.agent
	if to == a.name {
		a.queue.Put(quotaMessageToSelf{m})
		return
	}
	if other, ok := a.members.Find(to); ok && other.State <= membership.Suspect {
		a.transport.send(other.Address, quotaSection, m.Encode())
	}
}

// Peers are the names of the members that are alive.
func (h quotaHost) Peers() []string { return h.agent.livingMembers() }

// ReplaceQuota replaces the totals of the budgets, under a higher number: all of them or none.
func (a *Agent) ReplaceQuota(c *QuotaConfig) error {
	s := a.quota
	var err error
	s.synchronized.WithCore(func(core *quota.Core) {
		err = core.ReplacePlan(a.clock.Now(), s.newPlan(c))
		if err == nil {
			s.addNames(c.Names)
		}
	})
	if err != nil {
		return fmt.Errorf("fleet.budgets.%w", err)
	}
	s.recordTotals(c)
	a.log.Info("fleet", "code", "renewed", "number", c.Number)
	return nil
}

func (s *quotaSharing) addNames(names []string) {
	s.namesLock.Lock()
	defer s.namesLock.Unlock()
	for _, name := range names {
		if !slices.Contains(s.names, name) {
			s.names = append(s.names, name) // in the core's order
		}
	}
}

// recordTotals writes the totals in force into the history.
func (s *quotaSharing) recordTotals(c *QuotaConfig) {
	s.namesLock.Lock()
	names := slices.Clone(s.names)
	s.namesLock.Unlock()
	for _, name := range names {
		total := int64(0)
		if i := slices.Index(c.Names, name); i >= 0 {
			total = c.Totals[i]
		}
		s.agent.history.Write(history.Event{Kind: history.TotalChanged, Code: name, Number: int(total), Of: c.Number})
	}
}

func (s *quotaSharing) name(budget int) string {
	s.namesLock.Lock()
	defer s.namesLock.Unlock()
	return s.names[budget]
}

// status reads the budgets as this gateway has them.
func (s *quotaSharing) status(now admission.Time) (out []BudgetStatus) {
	if s.synchronized == nil {
		return nil
	}
	for _, b := range s.synchronized.Statuses(now) {
		one := BudgetStatus{
			Budget:       s.name(b.Index),
			Total:        b.Total,
			LocalShare:   b.OwnShare,
			Lent:         b.LeasedOut,
			Borrowed:     b.LeasedIn,
			Used:         b.InUse,
			Wanted:       b.Demand,
			ShareSeconds: seconds(b.ShareExpiresIn),
		}
		for _, p := range b.Peers {
			one.Peers = append(one.Peers, BudgetPeerStatus{p.Name, p.LeasedOut, p.LeasedIn, seconds(p.ExpiresIn), p.SpareUnits, seconds(p.SpareAge)})
		}
		out = append(out, one)
	}
	return out
}
