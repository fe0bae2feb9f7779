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

// quotaSharing connects the quota core, which holds this gateway's share of the budgets, to the gateway.
type quotaSharing struct {
	agent        *Agent
	plan         *quota.Plan
	longestWait  time.Duration  // longest wait of a request, and so the longest time that a unit is used
	overloadTime admission.Time // window in which an engine that has just started fails if it is sent too much
	gatewayIndex int            // index of this gateway's share

	shares       quotaShares         // nil until Start
	synchronized *quota.Synchronized // the same as shares; nil if a mutation replaces the agent's own shares

	handover  *shareHandover // nil: there is no handover file, so the next process can't take over the share
	confirmed bool           // this incarnation holds the share, and its units may be used
	claimedAt admission.Time // when this incarnation claimed the share

	namesLock sync.Mutex
	names     []string // names of the budgets, by their index in the core

	recordedRates map[int]recordedRate // by budget: the rates last written to the history; used by the router's owner
}

// quotaShares gives access to this gateway's shares of the budgets. The agent's goroutine calls the first two methods, the
// router's owner the others.
type quotaShares interface {
	Tick(now admission.Time)
	HandleMessage(now admission.Time, m quota.Message) (moreAvailable bool)
	TryReserve(now admission.Time, budget int, amount int64, useTime admission.Time) bool
	CommitReservation(now admission.Time, budget int, amount int64, useTime admission.Time) bool
	Release(now admission.Time, budget int, amount int64) (awaited bool)
	SetDemand(now admission.Time, budget int, amount int64)
	ReserveRate(now admission.Time, budget int, need int64) (rate int64, until admission.Time)
	ScaleTotal(now admission.Time, budget int, fraction float64)
}

// recordedRate is a rate that was written to the history.
type recordedRate struct {
	rate int64
	at   admission.Time
}

func newQuotaSharing(a *Agent, startConfig *config.Config, longestWait time.Duration) (*quotaSharing, error) {
	s := &quotaSharing{
		agent:         a,
		longestWait:   longestWait,
		overloadTime:  startConfig.Deployment.WarmUpOverloadTime,
		gatewayIndex:  startConfig.Deployment.GatewayIndex,
		names:         slices.Clone(a.config.Quota.Names),
		recordedRates: map[int]recordedRate{},
	}
	s.plan = s.newPlan(a.config.Quota)
	if s.plan.ShareTerm < 2*s.plan.LeaseTerm {
		return nil, fmt.Errorf("fleet.budgets.term: expected at least six times the longest wait of a class, %v, found %v", 6*longestWait, a.config.Quota.ShareTerm)
	}
	return s, nil
}

// clockDriftDivisor limits the drift of clocks: a clock runs at most one part in clockDriftDivisor fast or slow. Clocks of
// machines drift by some parts in a million; one part in twenty also covers clocks that are being adjusted.
const clockDriftDivisor = 20

// newPlan returns the plan of the quota core. A lease lasts twice the longest use. It is renewed after its first quarter, when
// the rest of it is still longer than a whole use. It doesn't last longer, because during a network partition neither the lender
// nor the borrower can use lent units until the lease ends.
func (s *quotaSharing) newPlan(c *QuotaConfig) *quota.Plan {
	longestUse := ticks(s.longestWait)
	plan := &quota.Plan{
		Shares:       s.agent.gateways,
		Voters:       c.Voters,
		ShareTerm:    ticks(c.ShareTerm),
		LongestUse:   longestUse,
		LeaseTerm:    2 * longestUse,
		DriftDivisor: clockDriftDivisor,
		Revision:     c.Revision,
		Totals:       c.Totals,
	}
	for _, name := range c.Names {
		plan.QuotaIDs = append(plan.QuotaIDs, quota.HashName(name))
	}
	return plan
}

// begin has this process claim its share.
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

// openHandover opens the handover file, if its folder is configured. If another process holds the file's lock, this process
// doesn't take over any share.
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

// claim returns a core that claims the share for this process's incarnation. The core takes over the share at once only from
// predecessors that have surely ended, as listed in the handover file.
func (s *quotaSharing) claim(now admission.Time) *quota.Core {
	a := s.agent
	incarnation := a.members.Self().Incarnation
	core := quota.New(now, quota.Options{Plan: s.plan, Name: a.name, Incarnation: incarnation, Share: s.gatewayIndex, Host: quotaHost{a}})
	s.confirmed, s.claimedAt = false, now
	if s.handover == nil {
		return core
	}
	ended, err := s.handover.beginClaim(incarnation)
	s.logFolderError(err)
	if len(ended) > 0 {
		core.SetPredecessors(ended)
		a.log.Info("fleet", "code", "follows", "starts", ended)
	}
	return core
}

// tick steps the core. If the process had to take a higher incarnation than it started with, it claims the share anew.
func (s *quotaSharing) tick(now admission.Time) {
	if s.synchronized != nil && s.synchronized.Incarnation() != s.agent.incarnation {
		s.synchronized.ReplaceCore(s.claim(now))
	}
	s.shares.Tick(now)
	s.confirmShare(now)
}

// confirmShare records in the handover file that this process holds the share, and logs when the share may be used.
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

// leave releases the share if none of it is in use or lent, and records that in the handover file. Otherwise the file keeps this
// process's incarnation, so that the next process can take over the share.
func (s *quotaSharing) leave() {
	if s.synchronized == nil {
		return
	}
	var released bool
	s.synchronized.WithCore(func(core *quota.Core) {
		released = core.ReleaseShares(s.agent.clock.Now())
		if s.handover == nil {
			return
		}
		if released {
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

// handleMessage processes a message on budgets. If this gateway may now use more of a budget, it notifies the listener, so that
// requests that wait for the budget are sent at once.
func (s *quotaSharing) handleMessage(at admission.Time, m quota.Message) {
	if s.shares != nil && s.shares.HandleMessage(at, m) {
		s.agent.listener.HandleCapacityChange()
	}
}

// quotaHost implements quota.Host.
type quotaHost struct{ agent *Agent }

// Send sends a message of the core to a member or to this gateway itself. It drops messages to members that are unknown, dead or have
// left.
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

// Peers returns the names of the other members that are alive.
func (h quotaHost) Peers() []string { return h.agent.livingMembers() }

// ReplaceQuota replaces the totals of all budgets, under a higher revision. On an error it replaces none.
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
	a.log.Info("fleet", "code", "renewed", "number", c.Revision)
	return nil
}

func (s *quotaSharing) addNames(names []string) {
	s.namesLock.Lock()
	defer s.namesLock.Unlock()
	for _, name := range names {
		if !slices.Contains(s.names, name) {
			s.names = append(s.names, name) // the core appends new budgets in the same order
		}
	}
}

// recordTotals writes the totals in force to the history. A budget that is no longer configured has the total 0.
func (s *quotaSharing) recordTotals(c *QuotaConfig) {
	s.namesLock.Lock()
	names := slices.Clone(s.names)
	s.namesLock.Unlock()
	for _, name := range names {
		total := int64(0)
		if i := slices.Index(c.Names, name); i >= 0 {
			total = c.Totals[i]
		}
		s.agent.history.Write(history.Event{Kind: history.TotalChanged, Code: name, Number: int(total), Detail: c.Revision})
	}
}

func (s *quotaSharing) name(budget int) string {
	s.namesLock.Lock()
	defer s.namesLock.Unlock()
	return s.names[budget]
}

// status returns this gateway's state of the budgets.
func (s *quotaSharing) status(now admission.Time) (out []BudgetStatus) {
	if s.synchronized == nil {
		return nil
	}
	for _, b := range s.synchronized.Statuses(now) {
		budget := BudgetStatus{
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
			budget.Peers = append(budget.Peers, BudgetPeerStatus{p.Name, p.LeasedOut, p.LeasedIn, seconds(p.ExpiresIn), p.SpareUnits, seconds(p.SpareAge)})
		}
		out = append(out, budget)
	}
	return out
}
