package agent

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/history"
	"magpiebank/internal/cluster/membership"
	"magpiebank/internal/cluster/quota"
)

// QuotaConfig are what classes of the whole fleet may use.
type QuotaConfig struct {
	Voters    []string      // names of the gateways that confirm who holds which part
	ShareTerm time.Duration // for which a part is held without a word from them
	Number    uint64        // raised with every change of the totals
	Names     []string      // of the budgets: a class and what is shared of it
	Totals    []int64
	SlowStart bool   // what engines that have just started may be sent is among them
	Folder    string // by that the part passes to the process that follows; empty: after its term alone
}

// shares are this gateway's part of what classes of the whole fleet may use. The first two calls are the fleet's goroutine's, the
// others the owner's.
type shares interface {
	Tick(now admission.Time)
	HandleMessage(now admission.Time, m quota.Message) (more bool)
	TryReserve(now admission.Time, b int, amount int64, length admission.Time) bool
	CommitReservation(now admission.Time, b int, amount int64, length admission.Time) bool
	Release(now admission.Time, b int, amount int64) (awaited bool)
	SetDemand(now admission.Time, b int, amount int64)
	ReserveRate(now admission.Time, b int, need int64) (n int64, until admission.Time)
	ScaleTotal(now admission.Time, b int, part float64)
}

type rated struct {
	n  int64
	at admission.Time
}

// shared is what the budgets' core goes by. A loan is two uses long: it is renewed after the first quarter and is then good for a
// whole use more; what is lent across a cut is of no use to either side for the rest, so it is no longer. Clocks of machines drift by some parts in a million; one in twenty leaves room for those that are being set.
func (f *Agent) shared(b *QuotaConfig, seats int) *quota.Plan {
	p := &quota.Plan{Shares: seats, Voters: b.Voters, ShareTerm: tenths(b.ShareTerm), LongestUse: tenths(f.longest), LeaseTerm: 2 * tenths(f.longest), DriftDivisor: 20, Number: b.Number, Totals: b.Totals}
	for _, name := range b.Names {
		p.QuotaIDs = append(p.QuotaIDs, quota.HashName(name))
	}
	return p
}

// ReplaceQuota goes by other totals, under a higher number, whole or not at all.
func (f *Agent) ReplaceQuota(b *QuotaConfig) (err error) {
	f.purse.WithCore(func(c *quota.Core) {
		if err = c.ReplacePlan(f.clock.Now(), f.shared(b, f.rights.Shares)); err != nil {
			err = fmt.Errorf("fleet.budgets.%w", err)
			return
		}
		f.naming.Lock()
		defer f.naming.Unlock()
		for _, name := range b.Names {
			if !slices.Contains(f.names, name) {
				f.names = append(f.names, name) // in the core's order
			}
		}
	})
	if err == nil {
		f.tellTotals(b)
		f.log.Info("fleet", "code", "renewed", "number", b.Number)
	}
	return err
}

// tellTotals has the history say what is gone by.
func (f *Agent) tellTotals(b *QuotaConfig) {
	f.naming.Lock()
	names := slices.Clone(f.names)
	f.naming.Unlock()
	for _, name := range names {
		total := int64(0)
		if i := slices.Index(b.Names, name); i >= 0 {
			total = b.Totals[i]
		}
		f.history.Write(history.Event{Kind: history.TotalChanged, Code: name, Number: int(total), Of: b.Number})
	}
}

// Index is a budget's number by its name.
func (f *Agent) Index(name string) int {
	f.naming.Lock()
	defer f.naming.Unlock()
	return slices.Index(f.names, name)
}

func (f *Agent) called(b int) string {
	f.naming.Lock()
	defer f.naming.Unlock()
	return f.names[b]
}

// part is this process's in the budgets, with nothing but what processes before it surely have no more.
func (f *Agent) part(now admission.Time) *quota.Core {
	start := f.core.Self().Incarnation
	c := quota.New(now, f.rights, f.name, start, f.seat, lender{f})
	if f.settled, f.partAt = false, now; f.heir == nil {
		return c
	}
	after, err := f.heir.begin(start)
	f.inFolder(err)
	if len(after) > 0 {
		c.SucceedIncarnations(after)
		f.log.Info("fleet", "code", "follows", "starts", after)
	}
	return c
}

// inherit opens the folder that passes the part on. Where another process goes by it, this one comes with nothing.
func (f *Agent) inherit() (err error) {
	folder := f.plan.Quota.Folder
	if folder == "" {
		return nil
	}
	if f.heir, err = follow(folder, f.name); errors.Is(err, errFollowed) {
		f.inFolder(err)
		return nil
	} else if err != nil {
		return fmt.Errorf("fleet.budgets.folder: %w", err)
	}
	return nil
}

// settle takes in that the part is held, and that it may be used.
func (f *Agent) settle(now admission.Time) {
	if f.settled || f.purse == nil {
		return
	}
	var held bool
	f.purse.WithCore(func(c *quota.Core) { held, f.settled = c.ShareStatus(now) })
	if held && f.heir != nil {
		f.inFolder(f.heir.held())
	}
	if f.settled {
		f.log.Info("fleet", "code", "seated", "seat", f.seat, "after", time.Duration(now-f.partAt)*100*time.Microsecond)
	}
}

// bequeath leaves the part to whoever follows; free: it is nobody's already.
func (f *Agent) bequeath(free bool) {
	if f.heir == nil {
		return
	}
	if free {
		f.inFolder(f.heir.left())
	}
	f.inFolder(f.heir.close())
}

func (f *Agent) inFolder(err error) {
	if err != nil {
		f.log.Warn("fleet", "code", "folder", "error", err)
	}
}

// paid takes in a message on budgets; where more of one may be used now, tasks that wait for it go out at once.
func (f *Agent) paid(at admission.Time, m quota.Message) {
	if f.shares.HandleMessage(at, m) {
		f.tell(func(now admission.Time, r *admission.Controller) { r.HandleCapacityChange(now) })
	}
}

// lender is what the budgets' core acts on.
type lender struct{ f *Agent }

func (h lender) Send(to string, m quota.Message) {
	f := h.f
	if to == f.name {
		f.box.Put(func() { f.paid(f.clock.Now(), m) })
	} else if other, ok := f.core.Find(to); ok && other.State <= membership.Suspect {
		f.send(other.Address, part{partBudget, m.Encode()})
	}
}

func (h lender) Peers() (out []string) {
	for _, m := range h.f.core.Members() {
		if m.State == membership.Alive {
			out = append(out, m.Name)
		}
	}
	return out
}

// Open tells whether a class of the whole fleet may use so much more. The owner calls it, as it calls Take, Done and Want.
func (f *Agent) Open(now admission.Time, b int, amount int64) bool {
	return f.shares != nil && f.shares.TryReserve(now, b, amount, f.rights.LongestUse)
}

// Take has a hand-off use what was promised.
func (f *Agent) Take(now admission.Time, b int, amount int64) bool {
	return f.spend(now, b, amount, f.rights.LongestUse)
}

// spend has some of a budget be used for so long.
func (f *Agent) spend(now admission.Time, b int, amount int64, length admission.Time) bool {
	ok := f.shares != nil && f.shares.CommitReservation(now, b, amount, length)
	if !ok { // it goes out all the same
		f.log.Error("fleet", "code", "overrun", "budget", f.called(b), "amount", amount)
	}
	f.history.Write(history.Event{Kind: history.BudgetUsed, Code: f.called(b), Number: int(amount), ValidNanos: int64(length) * 1e5})
	return ok
}

// Done ends a use.
func (f *Agent) Done(now admission.Time, b int, amount int64) {
	if f.shares.Release(now, b, amount) {
		f.box.Put(func() {}) // others asked for it in vain: they are told at once
	}
	f.history.Write(history.Event{Kind: history.BudgetReleased, Code: f.called(b), Number: int(amount)})
}

// Want tells what tasks that wait would use.
func (f *Agent) Want(now admission.Time, b int, amount int64) {
	if f.shares != nil {
		f.shares.SetDemand(now, b, amount)
		if amount > 0 {
			f.box.Put(func() {}) // it is asked for at once
		}
	}
}

// Rate has a budget that is used as a rate be used by so much, as far as there is that.
func (f *Agent) Rate(now admission.Time, b int, need int64) int64 {
	if f.shares == nil {
		return 0
	}
	n, until := f.shares.ReserveRate(now, b, need)
	if f.history != nil && (n != f.rated[b].n || now-f.rated[b].at >= admission.Second/2) {
		f.rated[b] = rated{n, now}
		f.history.Write(history.Event{Kind: history.RateGranted, Code: f.called(b), Number: int(n), ValidNanos: int64(min(until-now, admission.Second)) * 1e5})
	}
	return n
}

// Shrink has a total be a part of itself.
func (f *Agent) Shrink(now admission.Time, b int, part float64) {
	if f.shares != nil {
		f.shares.ScaleTotal(now, b, part)
	}
}
