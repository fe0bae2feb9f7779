// Package quota shares what an operator allows the whole installation (threads, places, turns) among its gateways, so that
// all together never use more than the total, whoever is cut off, stopped, killed, started again or doubled under one name, and
// however late messages come. It does no I/O: its caller steps it with the clock handed in and carries its messages.
// docs/budgets.md has the protocol, why it holds, and which test shows it.
//
// Every gateway has a seat, by its number among all. Who holds a seat has the seat's equal part of each total, for as long as a
// majority of the keepers, a few named gateways, has lately confirmed it; a confirmation counts from when it was asked for. The
// holder lends to others what it doesn't need; a loan ends at the borrower a stated time after it was asked for, and at the lender
// only when the borrower's slowest clock has surely come to that.
package quota

import (
	"fmt"
	"math"
	"slices"
)

// Kind is what a message is.
type Kind uint8

// The kinds of messages.
const (
	KindVoterJoin    Kind = iota + 1 // a keeper that has started asks the others to know it by its new start
	KindVoterJoined                  // and is known
	KindShareClaim                   // a member asks a keeper to confirm its seat
	KindShareConfirm                 // and is confirmed
	KindReject                       // or not: the seat is another's; of a loan: none is given, or no more time on it
	KindLeaseRequest                 // for a loan, or for more time
	KindLeaseGrant                   // is given
	KindLeaseReturn                  // a loan is over before its end
	KindSpareUnits                   // how much a member could lend
	KindShareRelease                 // a holder is gone: its seat is free at once
)

// Message is one message. Starts tell processes apart: what is meant for another process is not taken.
type Message struct {
	Kind                 Kind
	Sender               string
	SenderIncarnation    uint64 // of the sender
	RecipientIncarnation uint64 // start of the one who is answered
	PlanNumber           uint64 // of the totals
	Share                int
	Sequence             uint32
	VoterIncarnations    []uint64 // of the keepers, as the sender knows them
	KnownIncarnations    []uint64 // of a confirmation: of the keepers that knew its sender when it began to confirm
	Predecessors         []uint64 // of a claim: of processes under its name that have surely ended
	QuotaID              uint32   // its ID
	Units                int64
	LeaseID              uint32 // of a loan, the borrower's
}

// Host is what a core acts on.
type Host interface {
	Send(to string, m Message)
	Peers() []string // the members that are there, by name
}

// Core is one process's part. Its calls come one at a time, with a clock that never goes back.
type Core struct {
	plan  *Plan
	host  Host
	now   Time
	name  string
	start uint64
	seat  int
	last  uint32 // number of what was sent

	// As a keeper.
	keeper  int      // its place among them; below 0: it is none
	starts  []uint64 // of the keepers, as far as known; those before count no more
	known   []uint64 // start of the process of each that knew this one, and the same starts, when it opened; 0: none does yet
	openAt  Time     // from when it confirms; Never: it is not known by all yet
	seats   []seat
	highest uint64 // number of totals heard of

	// As a member.
	claims     []claim // the own seat's first, then those taken over
	after      []uint64
	lent       []loan
	loans      []loan
	asks       []asked
	ids        uint32
	uses       []use
	wanted     []int64   // by tasks that wait, by budget
	standing   []int64   // in use without an end of its own, as a rate is
	scale      []float64 // of totals, as the owner has it shrink them
	promised   []int64   // to a task about to go out, by budget: until it has, or waits on, nothing of it is lent or given back
	one        []int64   // of what is wanted, that the next task needs
	promisedTo []Time    // the end of its use
	collects   []Time    // since when it borrows for one task
	pauseTo    []Time    // until when it lends what own tasks wait for, and asks for nothing
	pauses     uint32
	failed     []uint8  // times in a row that it borrowed too little
	needAt     []Time   // when what was borrowed was last needed
	spares     []spare  // of others, by name
	newsAt     Time     // when the next goes out
	toldTo     int      // where the others that hear it next begin
	round      int      // of news
	told       []int64  // what was told last, by budget
	toldAt     []int    // and the round in which it changed
	denied     []denied // who asked in vain lately
	turn       int      // whom to ask next, where several could lend as much
	blindTo    int      // whom to ask next of those that told nothing lately
	credit     int      // so many such asks may go out
	creditAt   Time     // from when the next is added
}

// Never is later than any time that comes.
const Never = Time(1) << 60

// New begins a process's part: with nothing, whatever a process before it under its name had.
func New(now Time, plan *Plan, name string, start uint64, seatNumber int, host Host) *Core {
	c := &Core{plan: plan, host: host, now: now, name: name, start: start, seat: seatNumber, keeper: slices.Index(plan.Voters, name),
		claims: []claim{{seat: seatNumber, until: now, next: now}},
		starts: make([]uint64, len(plan.Voters)), highest: plan.Number, openAt: Never,
		toldTo: int(HashName(name) >> 1), blindTo: int(HashName(name) >> 1)} // each begins with others
	c.widen()
	if c.keeper >= 0 {
		c.starts[c.keeper] = start
		c.known = make([]uint64, len(plan.Voters))
		c.known[c.keeper] = start
		c.seats = make([]seat, plan.Shares)
		c.entered()
	}
	return c
}

// ReplacePlan goes by other totals, under a higher number. A budget that they lack has a total of 0 from now on. What is used beyond the new
// part ends by itself, what was borrowed of a larger total goes back as soon as it can; nothing more of it is lent or used before.
func (c *Core) ReplacePlan(now Time, next *Plan) error {
	c.pass(now)
	old := c.plan
	switch {
	case next.Number <= old.Number:
		return fmt.Errorf("number: expected above %d, under which other totals are gone by, found %d", old.Number, next.Number)
	case next.Shares != old.Shares || !slices.Equal(next.Voters, old.Voters) || next.ShareTerm != old.ShareTerm || next.LeaseTerm != old.LeaseTerm || next.LongestUse != old.LongestUse:
		return fmt.Errorf("expected the seats, keepers and term that there are; others need a restart of all")
	}
	plan := *old
	plan.Number, plan.QuotaIDs, plan.Totals = next.Number, slices.Clone(old.QuotaIDs), make([]int64, len(old.QuotaIDs))
	for i, id := range next.QuotaIDs {
		b := slices.Index(plan.QuotaIDs, id)
		if b < 0 {
			b = len(plan.QuotaIDs)
			plan.QuotaIDs, plan.Totals = append(plan.QuotaIDs, id), append(plan.Totals, 0)
		}
		plan.Totals[b] = next.Totals[i]
	}
	for i := range c.loans { // of a total that is lowered: by what was borrowed of the old one nothing new goes out
		if l := &c.loans[i]; plan.Totals[l.budget] < old.Totals[l.budget] {
			l.last = true
		}
	}
	c.plan, c.highest = &plan, max(c.highest, plan.Number)
	c.widen()
	for b := range old.Totals {
		c.ReturnLeases(c.now, b, 0)
	}
	for i := range c.claims {
		c.claims[i].next = min(c.claims[i].next, c.now) // under the new number at once
	}
	return nil
}

// ReleaseShares gives back what was borrowed and, if nothing is used or lent any more, the seats, so that a process that follows needn't
// wait for their term; false: it has to, or to follow.
func (c *Core) ReleaseShares(now Time) bool {
	c.pass(now)
	c.tidy()
	for b := range c.plan.Totals {
		c.wanted[b], c.standing[b], c.promised[b] = 0, 0, 0
		c.ReturnLeases(now, b, math.MaxInt64)
	}
	if len(c.uses) > 0 || len(c.lent) > 0 || c.now < c.claims[0].from {
		return false
	}
	for i := range c.claims {
		c.claims[i].until, c.claims[i].next, c.claims[i].seq = 0, Never, 0
	}
	for _, k := range c.plan.Voters {
		c.send(k, Message{Kind: KindShareRelease})
	}
	return true
}

// pass has time go on; two goroutines' calls that raced are taken in their order.
func (c *Core) pass(now Time) { c.now = max(c.now, now) }

func (c *Core) send(to string, m Message) {
	m.Sender, m.SenderIncarnation, m.PlanNumber = c.name, c.start, c.plan.Number
	c.host.Send(to, m)
}

// Tick is the timer: claims, entries, the end of loans.
func (c *Core) Tick(now Time) {
	c.pass(now)
	c.tidy()
	c.announce()
	c.takeOver()
	for i := range c.claims {
		if c.now >= c.claims[i].next {
			c.claimSeat(i)
		}
	}
	for b := range c.plan.Totals {
		c.demand(b)
	}
	c.makeUp()
	if c.now >= c.newsAt {
		c.tell()
	}
}

// tidy forgets what has ended.
func (c *Core) tidy() {
	c.uses = slices.DeleteFunc(c.uses, func(u use) bool { return c.now >= u.until })
	c.claims = slices.DeleteFunc(c.claims, func(k claim) bool { return k.seat != c.seat && k.next == Never && c.now >= k.until })
	over := func(l loan) bool { return c.now >= l.until }
	c.lent, c.loans = slices.DeleteFunc(c.lent, over), slices.DeleteFunc(c.loans, over)
	c.asks = slices.DeleteFunc(c.asks, func(a asked) bool { return c.now-a.at >= c.plan.LeaseTerm })
}

// announce has the other keepers know this one by its start.
func (c *Core) announce() {
	if c.openAt != Never || c.keeper < 0 {
		return
	}
	for i, k := range c.plan.Voters {
		if c.known[i] == 0 {
			c.send(k, Message{Kind: KindVoterJoin, VoterIncarnations: slices.Clone(c.starts)})
		}
	}
}

// HandleMessage takes in a message.
func (c *Core) HandleMessage(now Time, m Message) {
	c.pass(now)
	c.highest = max(c.highest, m.PlanNumber)
	switch m.Kind {
	case KindVoterJoin:
		if k := slices.Index(c.plan.Voters, m.Sender); k >= 0 && c.keeper >= 0 && k != c.keeper && m.SenderIncarnation >= c.starts[k] && len(m.VoterIncarnations) == len(c.starts) {
			if c.plan.planted != entersUnequal {
				c.learn(m.VoterIncarnations)
			}
			c.send(m.Sender, Message{Kind: KindVoterJoined, RecipientIncarnation: m.SenderIncarnation, VoterIncarnations: slices.Clone(c.starts)})
		}
	case KindVoterJoined:
		if k := slices.Index(c.plan.Voters, m.Sender); k >= 0 && c.keeper >= 0 && m.RecipientIncarnation == c.start && len(m.VoterIncarnations) == len(c.starts) {
			if c.learn(m.VoterIncarnations); c.openAt == Never && m.SenderIncarnation == c.starts[k] && (slices.Equal(m.VoterIncarnations, c.starts) || c.plan.planted == entersUnequal) {
				c.known[k] = m.SenderIncarnation
				c.entered()
			}
		}
	case KindShareClaim:
		c.asksSeat(m)
	case KindShareConfirm:
		c.confirmed(m)
	case KindShareRelease:
		for i := range c.seats {
			if k := &c.seats[i]; k.holder == m.Sender && k.start == m.SenderIncarnation {
				*k = seat{until: c.now} // whoever follows soon is before those that take over
			}
		}
	default:
		if b := slices.Index(c.plan.QuotaIDs, m.QuotaID); b >= 0 {
			c.ofBudget(b, m)
		}
	}
}
