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
	Enter   Kind = iota + 1 // a keeper that has started asks the others to know it by its new start
	Entered                 // and is known
	Claim                   // a member asks a keeper to confirm its seat
	Confirm                 // and is confirmed
	Refuse                  // or not: the seat is another's; of a loan: none is given, or no more time on it
	Ask                     // for a loan, or for more time
	Lend                    // is given
	Back                    // a loan is over before its end
	News                    // how much a member could lend
	Leave                   // a holder is gone: its seat is free at once
)

// Message is one message. Starts tell processes apart: what is meant for another process is not taken.
type Message struct {
	Kind   Kind
	From   string
	Start  uint64 // of the sender
	For    uint64 // start of the one who is answered
	Number uint64 // of the totals
	Seat   int
	Seq    uint32
	Starts []uint64 // of the keepers, as the sender knows them
	Known  []uint64 // of a confirmation: of the keepers that knew its sender when it began to confirm
	After  []uint64 // of a claim: of processes under its name that have surely ended
	Budget uint32   // its ID
	Amount int64
	ID     uint32 // of a loan, the borrower's
}

// Host is what a core acts on.
type Host interface {
	Send(to string, m Message)
	Others() []string // the members that are there, by name
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
	c := &Core{plan: plan, host: host, now: now, name: name, start: start, seat: seatNumber, keeper: slices.Index(plan.Keepers, name),
		claims: []claim{{seat: seatNumber, until: now, next: now}},
		starts: make([]uint64, len(plan.Keepers)), highest: plan.Number, openAt: Never,
		toldTo: int(ID(name) >> 1), blindTo: int(ID(name) >> 1)} // each begins with others
	c.widen()
	if c.keeper >= 0 {
		c.starts[c.keeper] = start
		c.known = make([]uint64, len(plan.Keepers))
		c.known[c.keeper] = start
		c.seats = make([]seat, plan.Seats)
		c.entered()
	}
	return c
}

// Renew goes by other totals, under a higher number. A budget that they lack has a total of 0 from now on. What is used beyond the new
// part ends by itself, what was borrowed of a larger total goes back as soon as it can; nothing more of it is lent or used before.
func (c *Core) Renew(now Time, next *Plan) error {
	c.pass(now)
	old := c.plan
	switch {
	case next.Number <= old.Number:
		return fmt.Errorf("number: expected above %d, under which other totals are gone by, found %d", old.Number, next.Number)
	case next.Seats != old.Seats || !slices.Equal(next.Keepers, old.Keepers) || next.Term != old.Term || next.Loan != old.Loan || next.Longest != old.Longest:
		return fmt.Errorf("expected the seats, keepers and term that there are; others need a restart of all")
	}
	plan := *old
	plan.Number, plan.IDs, plan.Totals = next.Number, slices.Clone(old.IDs), make([]int64, len(old.IDs))
	for i, id := range next.IDs {
		b := slices.Index(plan.IDs, id)
		if b < 0 {
			b = len(plan.IDs)
			plan.IDs, plan.Totals = append(plan.IDs, id), append(plan.Totals, 0)
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
		c.GiveBack(c.now, b, 0)
	}
	for i := range c.claims {
		c.claims[i].next = min(c.claims[i].next, c.now) // under the new number at once
	}
	return nil
}

// Farewell gives back what was borrowed and, if nothing is used or lent any more, the seats, so that a process that follows needn't
// wait for their term; false: it has to, or to follow.
func (c *Core) Farewell(now Time) bool {
	c.pass(now)
	c.tidy()
	for b := range c.plan.Totals {
		c.wanted[b], c.standing[b], c.promised[b] = 0, 0, 0
		c.GiveBack(now, b, math.MaxInt64)
	}
	if len(c.uses) > 0 || len(c.lent) > 0 || c.now < c.claims[0].from {
		return false
	}
	for i := range c.claims {
		c.claims[i].until, c.claims[i].next, c.claims[i].seq = 0, Never, 0
	}
	for _, k := range c.plan.Keepers {
		c.send(k, Message{Kind: Leave})
	}
	return true
}

// pass has time go on; two goroutines' calls that raced are taken in their order.
func (c *Core) pass(now Time) { c.now = max(c.now, now) }

func (c *Core) send(to string, m Message) {
	m.From, m.Start, m.Number = c.name, c.start, c.plan.Number
	c.host.Send(to, m)
}

// Due is the timer: claims, entries, the end of loans.
func (c *Core) Due(now Time) {
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
	c.asks = slices.DeleteFunc(c.asks, func(a asked) bool { return c.now-a.at >= c.plan.Loan })
}

// announce has the other keepers know this one by its start.
func (c *Core) announce() {
	if c.openAt != Never || c.keeper < 0 {
		return
	}
	for i, k := range c.plan.Keepers {
		if c.known[i] == 0 {
			c.send(k, Message{Kind: Enter, Starts: slices.Clone(c.starts)})
		}
	}
}

// Heard takes in a message.
func (c *Core) Heard(now Time, m Message) {
	c.pass(now)
	c.highest = max(c.highest, m.Number)
	switch m.Kind {
	case Enter:
		if k := slices.Index(c.plan.Keepers, m.From); k >= 0 && c.keeper >= 0 && k != c.keeper && m.Start >= c.starts[k] && len(m.Starts) == len(c.starts) {
			if c.plan.planted != entersUnequal {
				c.learn(m.Starts)
			}
			c.send(m.From, Message{Kind: Entered, For: m.Start, Starts: slices.Clone(c.starts)})
		}
	case Entered:
		if k := slices.Index(c.plan.Keepers, m.From); k >= 0 && c.keeper >= 0 && m.For == c.start && len(m.Starts) == len(c.starts) {
			if c.learn(m.Starts); c.openAt == Never && m.Start == c.starts[k] && (slices.Equal(m.Starts, c.starts) || c.plan.planted == entersUnequal) {
				c.known[k] = m.Start
				c.entered()
			}
		}
	case Claim:
		c.asksSeat(m)
	case Confirm:
		c.confirmed(m)
	case Leave:
		for i := range c.seats {
			if k := &c.seats[i]; k.holder == m.From && k.start == m.Start {
				*k = seat{until: c.now} // whoever follows soon is before those that take over
			}
		}
	default:
		if b := slices.Index(c.plan.IDs, m.Budget); b >= 0 {
			c.ofBudget(b, m)
		}
	}
}
