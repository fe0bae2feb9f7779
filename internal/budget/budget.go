// Package budget shares what an operator allows the whole installation (threads, places, turns) among its gateways, so that
// all together never use more than the total, whoever is cut off, stopped, killed, started again or doubled under one name, and
// however late messages come. It does no I/O: its caller steps it with the clock handed in and carries its messages.
// docs/budgets.md has the protocol, why it holds, and which test shows it.
//
// Every gateway has a seat, by its number among all. Who holds a seat has the seat's equal part of each total, for as long as a
// majority of the keepers, a few named gateways, has lately confirmed it; a confirmation counts from when it was asked for. The
// holder lends to others what it doesn't need; a loan ends at the borrower a stated time after it was asked for, and at the lender
// only when the borrower's slowest clock has surely come to that.
package budget

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's monotonic clock.
type Time = admission.Time

// Plan is what all members go by.
type Plan struct {
	Seats   int      // of the installation
	Keepers []string // names; 1, 3 or 5
	Term    Time     // for which a confirmed seat is held
	Loan    Time     // for which a loan is
	Longest Time     // that a use lasts; loans are several times as long
	Drift   Time     // clocks run at most one part in this many fast or slow
	Number  uint64   // of the totals; a keeper confirms none with a lower one than it has heard of
	IDs     []uint32 // of the budgets, the same at all members: ID makes one of a name
	Totals  []int64  // by budget

	planted defect // of the laboratory alone
}

type defect uint8

const (
	none             defect = iota
	noDrift                 // a lender uses its right again at the borrower's own end
	noWait                  // a keeper that started anew confirms at once
	takesTwice              // a loan that is told twice counts twice
	fromArrival             // a confirmation counts from when it came
	entersAlone             // a keeper takes part before all others know its start
	lendsBeyond             // a holder lends beyond the end of its own seat
	takesAfterBack          // more time on a loan that was given back counts
	countsNothingOut        // what was lent is used by the lender as well
	recalledIsBack          // what was called back is used by the lender before it is back
	followsAtOnce           // who follows a process uses its part while what that one lent is still out
	followsAnyone           // a keeper has a seat pass to whoever follows any process under its name
	countsStrangers         // confirmations count together though neither keeper knew the other
	entersUnequal           // a keeper opens once all others know its start, whatever they know of each other
	lendsNothing            // no defect, but what this is measured against: parts stay as they are
)

// ID is a budget's by its name: by that members speak of it, in whatever order their files have it.
func ID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// margin is a length of time at one who must wait until another, whose clock may run slower, has surely counted it: three parts
// of the drift are more than the two clocks can be apart, up to a third.
func (p *Plan) margin(t Time) Time {
	if p.planted == noDrift {
		return t
	}
	return t + (3*t+p.Drift-1)/p.Drift
}

// share is a seat's part of a total, or of what it is shrunk to: equal ones, the first seats a unit more where it doesn't divide.
func (p *Plan) share(budget, seat int, scale float64) int64 {
	if seat < 0 || seat >= p.Seats {
		return 0
	}
	t, n := int64(math.Ceil(float64(p.Totals[budget])*scale)), int64(p.Seats)
	s := t / n
	if int64(seat) < t%n {
		s++
	}
	return s
}

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

// use is some of a budget that a task has, until its end at the latest.
type use struct {
	budget int
	amount int64
	until  Time
}

// seat is what a keeper remembers of one.
type seat struct {
	holder string
	start  uint64
	until  Time
}

// loan is one that is out: at the lender with the borrower, at the borrower with the lender.
type loan struct {
	budget int
	with   string
	start  uint64
	id     uint32
	amount int64
	until  Time
	last   bool // no more time is given on it; the borrower uses it for nothing new, and gives it back as soon as it can
}

// asked is a loan that was asked for.
type asked struct {
	budget int
	of     string
	id     uint32
	seq    uint32
	amount int64
	at     Time
	fresh  bool // for a loan, not for more time
	blind  bool // of one that has told nothing lately
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

// denied is an ask for which there was nothing.
type denied struct {
	budget int
	by     string
	at     Time
}

// spare is how much of each budget a member could lend when it last said so.
type spare struct {
	of     string
	amount []int64
	at     Time // when it was heard
}

// claim is a seat that this process holds, or wants to.
type claim struct {
	seat  int
	from  Time // before that nothing of it is used: a process before this one may have lent it
	until Time // for which it is surely held
	asked Time // when the claim went out whose answers are counted
	next  Time // when the next goes out; Never: it is not claimed again
	seq   uint32
	votes []vote
}

type vote struct {
	keeper int
	start  uint64
	starts []uint64
	known  []uint64
}

// with tells whether two confirmations count together: neither keeper knows of a later process of the other, and one of them was known by
// the other when it began to confirm. Else each could count with another process of the other's name.
func (v *vote) with(w *vote, strangers bool) bool {
	return v.keeper != w.keeper && v.starts[w.keeper] <= w.start && w.starts[v.keeper] <= v.start && (v.known[w.keeper] == w.start || w.known[v.keeper] == v.start || strangers)
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

// Follow tells that processes under this name have surely ended, by their starts: their seat passes to this one without their term having
// to end. What the last of them lent, and what its tasks use, is waited for: it is over when a loan is. It is called right after New.
func (c *Core) Follow(after []uint64) {
	c.after = after
	if c.claims[0].from = c.now + c.plan.margin(c.plan.Loan); c.plan.planted == followsAtOnce {
		c.claims[0].from = c.now
	}
}

// Seated tells whether the own seat is held, and whether its part may be used.
func (c *Core) Seated(now Time) (held, usable bool) {
	held = now < c.claims[0].until
	return held, held && now >= c.claims[0].from
}

// widen makes room for all budgets of the plan.
func (c *Core) widen() {
	for len(c.wanted) < len(c.plan.Totals) {
		c.wanted, c.standing, c.promised = append(c.wanted, 0), append(c.standing, 0), append(c.promised, 0)
		c.promisedTo, c.one = append(c.promisedTo, 0), append(c.one, 1)
		c.collects, c.pauseTo, c.failed = append(c.collects, c.now), append(c.pauseTo, c.now), append(c.failed, 0)
		c.needAt, c.scale = append(c.needAt, c.now), append(c.scale, 1)
		c.told, c.toldAt = append(c.told, -1), append(c.toldAt, 0)
	}
	c.spares = c.spares[:0]
	for b := range c.told {
		c.told[b] = -1 // who goes by another number didn't heed it
	}
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

// entered opens a keeper once all the others know its start, and the same of each other: whatever one before it under its name has confirmed
// can no more be counted together with any of theirs, and what was counted before has ended after a term.
func (c *Core) entered() {
	by := 0
	for k := range c.known {
		if k != c.keeper && c.known[k] != 0 {
			by++
		}
	}
	if others := len(c.known) - 1; by < others && (c.plan.planted != entersAlone || by == 0) || c.starts[c.keeper] > c.start {
		return // a later process has its name, or not all know it
	}
	if c.openAt = c.now + c.plan.margin(c.plan.Term); c.plan.planted == noWait {
		c.openAt = c.now
	}
}

// learn takes in starts of keepers; by what is new of them a keeper that is not open has to be known again.
func (c *Core) learn(starts []uint64) {
	for k, s := range starts {
		if s > c.starts[k] {
			if c.starts[k] = s; c.openAt == Never {
				c.unknown()
			}
		}
	}
}

// unknown has a keeper enter, or enter again.
func (c *Core) unknown() {
	c.openAt = Never
	clear(c.known)
	c.known[c.keeper] = c.start
}

// Has is what this process may use of a budget now, what it uses already among it (totals that were lowered may leave less than is
// lent), and Used what it uses.
func (c *Core) Has(now Time, budget int) int64  { return max(0, c.at(budget, now)) }
func (c *Core) Used(now Time, budget int) int64 { return c.used(budget, now) }

// at is what it has of a budget at a time from now on, as far as is known now.
func (c *Core) at(budget int, t Time) int64 {
	n := c.own(budget, t)
	for i := range c.loans {
		if l := &c.loans[i]; l.budget == budget && t < l.until {
			n += l.amount
		}
	}
	return n
}

// own is that without what it has borrowed.
func (c *Core) own(budget int, t Time) (n int64) {
	for i := range c.claims {
		if k := &c.claims[i]; k.from <= t && t < k.until {
			n += c.plan.share(budget, k.seat, c.scale[budget])
		}
	}
	for i := range c.lent {
		if l := &c.lent[i]; l.budget == budget && t < l.until && c.plan.planted != countsNothingOut && !(l.last && c.plan.planted == recalledIsBack) {
			n -= l.amount
		}
	}
	return n
}

// ownLeast is the least of that until a time: loans only come back, so it falls where a seat ends.
func (c *Core) ownLeast(budget int, until Time) int64 {
	least := c.own(budget, c.now)
	for i := range c.claims {
		if t := c.claims[i].until; t > c.now && t <= until {
			least = min(least, c.own(budget, t))
		}
	}
	return least
}

// used is what tasks have of a budget at a time.
func (c *Core) used(budget int, t Time) (n int64) {
	for i := range c.uses {
		if u := &c.uses[i]; u.budget == budget && t < u.until {
			n += u.amount
		}
	}
	return n + c.standing[budget]
}

// Rate has a budget that is used as a rate be used by so much, as far as there is that, until it is asked for again: what stands so is
// neither lent nor given back. until is when the first part of what there is ends.
func (c *Core) Rate(now Time, budget int, need int64) (n int64, until Time) {
	c.pass(now)
	n, until = min(max(0, c.at(budget, c.now)-c.going(budget)), need), Never
	end := func(t Time) {
		if t > c.now {
			until = min(until, t)
		}
	}
	for i := range c.claims {
		end(c.claims[i].until)
	}
	for i := range c.loans {
		end(c.loans[i].until)
	}
	c.standing[budget] = n
	return n, until
}

// Shrink has a total be a part of itself, as the engines that it is meant for are; all that see the same engines come to the same.
func (c *Core) Shrink(now Time, budget int, part float64) {
	c.pass(now)
	c.scale[budget] = part
}

// free is how much more may be used from now until a time: the least of what is held less what is used, at each instant at
// which some of it ends.
func (c *Core) free(budget int, until Time) int64 {
	least := c.at(budget, c.now) - c.used(budget, c.now)
	look := func(t Time) {
		if t > c.now && t <= until {
			least = min(least, c.at(budget, t)-c.used(budget, t))
		}
	}
	for i := range c.claims {
		look(c.claims[i].until)
	}
	for i := range c.loans {
		look(c.loans[i].until)
	}
	return least - c.going(budget)
}

// going is what goes back to its lenders as soon as it can.
func (c *Core) going(budget int) (n int64) {
	for i := range c.loans {
		if l := &c.loans[i]; l.budget == budget && l.last {
			n += l.amount
		}
	}
	return n
}

// Take has a task use some of a budget, if there is as much until its end.
func (c *Core) Take(now Time, budget int, amount int64, until Time) bool {
	c.pass(now)
	if c.free(budget, until) < amount {
		return false
	}
	c.uses = append(c.uses, use{budget, amount, until})
	return true
}

// Done ends a use of some amount. Of several the one that would end first is taken for it: so no more is free than is.
func (c *Core) Done(now Time, budget int, amount int64) {
	c.pass(now)
	first := -1
	for i := range c.uses {
		if u := &c.uses[i]; u.budget == budget && u.amount == amount && (first < 0 || u.until < c.uses[first].until) {
			first = i
		}
	}
	if first >= 0 {
		c.uses = slices.Delete(c.uses, first, first+1)
	}
}

// GiveBack has what was borrowed of a budget go back, loan by loan as far as so much can be spared, and in any case those on which no
// more time is given; what tasks use to its end stays.
func (c *Core) GiveBack(now Time, budget int, spared int64) {
	c.pass(now)
	if c.promised[budget] > 0 {
		return
	}
	for i := 0; i < len(c.loans); {
		l := c.loans[i]
		if l.budget != budget || l.amount > spared && !l.last {
			i++
			continue
		}
		c.loans = slices.Delete(c.loans, i, i+1) // from here on it uses nothing of it
		if !c.covered(budget) {
			c.loans = slices.Insert(c.loans, i, l)
			i++
			continue
		}
		if !l.last {
			spared -= l.amount
		}
		if c.plan.planted != takesAfterBack { // more time that was asked for is not taken when it comes: the lender has it back by then
			c.asks = slices.DeleteFunc(c.asks, func(a asked) bool { return a.budget == budget && a.of == l.with && a.id == l.id })
		}
		c.send(l.with, Message{Kind: Back, For: l.start, Budget: c.plan.IDs[l.budget], ID: l.id})
	}
}

// covered tells whether what is held is enough for what tasks use, to the end of each.
func (c *Core) covered(budget int) bool {
	ok := c.at(budget, c.now) >= c.used(budget, c.now)
	look := func(t Time) { ok = ok && (t <= c.now || c.at(budget, t) >= c.used(budget, t)) }
	for i := range c.claims {
		look(c.claims[i].until)
	}
	for i := range c.loans {
		look(c.loans[i].until)
	}
	return ok
}

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

// claimSeat asks all keepers to confirm a seat; only the answers to the last claim are counted.
func (c *Core) claimSeat(i int) {
	c.last++
	k := &c.claims[i]
	k.seq, k.asked, k.votes = c.last, c.now, nil
	if k.next = c.now + c.plan.Term/4; c.now >= k.until { // what isn't held is asked for more often: a keeper may not have been known yet
		k.next = c.now + min(c.plan.Term/4, second/2)
	}
	m := Message{Kind: Claim, Seat: k.seat, Seq: k.seq}
	if i == 0 {
		m.After = c.after
	}
	for _, keeper := range c.plan.Keepers {
		c.send(keeper, m)
	}
}

// takeOver has a keeper claim seats that nobody has held for a quarter of a term, or ever: what the dead had is used again. Keepers
// take turns at each, a term at a time, so that one that is gone itself leaves none idle.
func (c *Core) takeOver() {
	if c.keeper < 0 || c.now < c.openAt || c.openAt == Never {
		return
	}
	for n := range c.seats {
		since := c.now - max(c.seats[n].until, c.openAt)
		turn := (n + int(since/c.plan.Term)) % len(c.plan.Keepers)
		if since >= c.plan.Term/4 && turn == c.keeper && !slices.ContainsFunc(c.claims, func(k claim) bool { return k.seat == n }) {
			c.claims = append(c.claims, claim{seat: n, until: c.now, next: c.now})
		}
	}
}

// leaveSeat has a seat that was taken over end with its term: its own holder is back.
func (c *Core) leaveSeat(n int) {
	for i := range c.claims {
		if k := &c.claims[i]; i > 0 && k.seat == n {
			k.next = Never
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

func (c *Core) ofBudget(b int, m Message) {
	switch m.Kind {
	case Ask:
		c.told[b] = -1 // who asks counts with less from then on
		c.asksLoan(b, m)
	case Lend:
		c.lentTo(b, m)
	case Refuse:
		c.refused(b, m)
	case News:
		c.hears(b, m)
	case Back:
		c.told[b] = -1
		c.lent = slices.DeleteFunc(c.lent, func(l loan) bool {
			return m.For == c.start && l.with == m.From && l.start == m.Start && l.budget == b && l.id == m.ID
		})
	}
}

// asksSeat confirms a seat to one holder at a time, until its term has surely ended by that one's clock.
func (c *Core) asksSeat(m Message) {
	if c.keeper < 0 || c.now < c.openAt || m.Seat < 0 || m.Seat >= len(c.seats) || m.Number < c.highest {
		return
	}
	s := &c.seats[m.Seat]
	if s.holder == c.name && s.start == c.start && m.From != c.name {
		c.leaveSeat(m.Seat)
	}
	follows := s.holder == m.From && (slices.Contains(m.After, s.start) || len(m.After) > 0 && c.plan.planted == followsAnyone)
	if s.start > 0 && c.now < s.until && (s.holder != m.From || s.start != m.Start) && !follows {
		c.send(m.From, Message{Kind: Refuse, For: m.Start, Seat: m.Seat})
		return
	}
	*s = seat{m.From, m.Start, c.now + c.plan.margin(c.plan.Term)}
	c.send(m.From, Message{Kind: Confirm, For: m.Start, Seat: m.Seat, Seq: m.Seq, Starts: slices.Clone(c.starts), Known: slices.Clone(c.known)})
}

// confirmed counts the keepers that have confirmed the last claim: a majority of those that count together. The seat is held for a term
// from when the claim went out, however late its answers come.
func (c *Core) confirmed(m Message) {
	k := slices.Index(c.plan.Keepers, m.From)
	if n := len(c.plan.Keepers); k < 0 || m.For != c.start || len(m.Starts) != n || len(m.Known) != n {
		return
	}
	if c.keeper >= 0 && k != c.keeper && c.openAt != Never && m.Start > c.known[k] && m.Known[c.keeper] != c.start {
		c.unknown() // it began to confirm without this one, by another process of this name: nobody counts the two together
	}
	of := slices.IndexFunc(c.claims, func(k claim) bool { return k.seat == m.Seat && k.seq == m.Seq })
	if of < 0 {
		return
	}
	held := &c.claims[of]
	const most = 8 // processes of the keepers
	if len(held.votes) < most && !slices.ContainsFunc(held.votes, func(v vote) bool { return v.keeper == k && v.start == m.Start }) {
		held.votes = append(held.votes, vote{k, m.Start, m.Starts, m.Known})
	}
	if 2*together(held.votes, nil, c.plan.planted == countsStrangers) > len(c.plan.Keepers) {
		from := held.asked
		if c.plan.planted == fromArrival {
			from = c.now
		}
		held.until = max(held.until, from+c.plan.Term)
	}
}

// together is how many of some votes count with those chosen, and with each other, at most.
func together(votes, chosen []vote, strangers bool) int {
	most := len(chosen)
	for i := range votes {
		if !slices.ContainsFunc(chosen, func(w vote) bool { return !votes[i].with(&w, strangers) }) {
			most = max(most, together(votes[i+1:], append(slices.Clip(chosen), votes[i]), strangers))
		}
	}
	return most
}

// asksLoan lends what is free of the own part, or gives more time to what is lent, unless own tasks lack it; each ask is answered once.
func (c *Core) asksLoan(b int, m Message) {
	if m.Amount <= 0 || m.Number != c.plan.Number {
		return
	}
	end := c.now + c.plan.margin(c.plan.Loan)
	i := slices.IndexFunc(c.lent, func(l loan) bool {
		return l.with == m.From && l.start == m.Start && l.budget == b && l.id == m.ID
	})
	refuse := func() { c.send(m.From, Message{Kind: Refuse, For: m.Start, Budget: m.Budget, Seq: m.Seq, ID: m.ID}) }
	switch {
	case i >= 0 && c.now < c.lent[i].until:
		if c.lent[i].last = c.lent[i].last || c.needs(b)-max(0, c.free(b, c.now)) > c.recalled(b); c.lent[i].last {
			refuse()
			return
		}
		was := c.lent[i].until
		c.lent[i].until = max(was, end)
		if c.ownLeast(b, end) < 0 && c.plan.planted != lendsBeyond {
			c.lent[i].until = was // what is lent must end before the seat does of which it is
			return
		}
	case i >= 0 || slices.ContainsFunc(c.lent, func(l loan) bool {
		return l.with == m.From && l.start == m.Start && l.budget == b && l.id > m.ID
	}):
		return // it ended, or the ask is older than what is out
	default:
		n := min(m.Amount, c.lendable(b, end))
		if n <= 0 {
			c.deny(b, m.From)
			refuse()
			return
		}
		m.Amount = n
		c.deny(b, m.From) // who asks may lack more: it is told once there is
		c.lent = append(c.lent, loan{budget: b, with: m.From, start: m.Start, id: m.ID, amount: n, until: end})
	}
	if i >= 0 {
		m.Amount = c.lent[i].amount
	}
	c.send(m.From, Message{Kind: Lend, For: m.Start, Budget: m.Budget, Amount: m.Amount, Seq: m.Seq, ID: m.ID})
}

// recalled is what comes back as soon as it can.
func (c *Core) recalled(budget int) (n int64) {
	for i := range c.lent {
		if l := &c.lent[i]; l.budget == budget && l.last {
			n += l.amount
		}
	}
	return n
}

// lendable is what is free of the own part until a time, less what own tasks wait for or were promised.
func (c *Core) lendable(budget int, until Time) int64 {
	own := c.ownLeast(budget, until)
	switch c.plan.planted {
	case lendsBeyond:
		own = c.own(budget, c.now)
	case lendsNothing:
		return 0
	}
	return min(own, c.free(budget, until)-c.needs(budget)-c.promised[budget])
}

// lentTo takes a loan, or more time on one; it ends a loan's length after it was asked for.
func (c *Core) lentTo(b int, m Message) {
	k := slices.IndexFunc(c.asks, func(a asked) bool { return a.of == m.From && a.seq == m.Seq && a.id == m.ID && a.budget == b })
	if k < 0 || m.For != c.start || m.Amount <= 0 || m.Amount > c.asks[k].amount {
		return
	}
	until := c.asks[k].at + c.plan.Loan
	if c.asks[k].blind {
		c.credit = min(c.credit+2, atOnce)
	}
	if c.plan.planted != takesTwice {
		c.asks = slices.Delete(c.asks, k, k+1)
	}
	if m.Number != c.plan.Number { // it is of another total
		c.send(m.From, Message{Kind: Back, For: m.Start, Budget: m.Budget, ID: m.ID})
		return
	}
	if c.now >= until {
		return
	}
	i := slices.IndexFunc(c.loans, func(l loan) bool {
		return l.with == m.From && l.start == m.Start && l.budget == b && l.id == m.ID
	})
	if i >= 0 && c.plan.planted != takesTwice {
		c.loans[i].until = max(c.loans[i].until, until)
		return
	}
	c.loans = append(c.loans, loan{budget: b, with: m.From, start: m.Start, id: m.ID, amount: m.Amount, until: until})
}

// refused takes in that a member has nothing to lend, or gives no more time: others are asked at once.
func (c *Core) refused(b int, m Message) {
	k := slices.IndexFunc(c.asks, func(a asked) bool { return a.of == m.From && a.seq == m.Seq && a.id == m.ID && a.budget == b })
	if k < 0 || m.For != c.start {
		return
	}
	c.asks = slices.Delete(c.asks, k, k+1)
	for i := range c.loans {
		if l := &c.loans[i]; l.budget == b && l.with == m.From && l.start == m.Start && l.id == m.ID {
			l.last = true
		}
	}
	for i := range c.spares {
		if c.spares[i].of == m.From {
			c.spares[i].amount[b], c.spares[i].at = 0, c.now
		}
	}
}
