package quota

import "slices"

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

func (c *Core) ofBudget(b int, m Message) {
	switch m.Kind {
	case KindLeaseRequest:
		c.told[b] = -1 // who asks counts with less from then on
		c.asksLoan(b, m)
	case KindLeaseGrant:
		c.lentTo(b, m)
	case KindReject:
		c.refused(b, m)
	case KindSpareUnits:
		c.hears(b, m)
	case KindLeaseReturn:
		c.told[b] = -1
		c.lent = slices.DeleteFunc(c.lent, func(l loan) bool {
			return m.RecipientIncarnation == c.start && l.with == m.Sender && l.start == m.SenderIncarnation && l.budget == b && l.id == m.LeaseID
		})
	}
}

// asksLoan lends what is free of the own part, or gives more time to what is lent, unless own tasks lack it; each ask is answered once.
func (c *Core) asksLoan(b int, m Message) {
	if m.Units <= 0 || m.PlanNumber != c.plan.Number {
		return
	}
	end := c.now + c.plan.margin(c.plan.LeaseTerm)
	i := slices.IndexFunc(c.lent, func(l loan) bool {
		return l.with == m.Sender && l.start == m.SenderIncarnation && l.budget == b && l.id == m.LeaseID
	})
	refuse := func() {
		c.send(m.Sender, Message{Kind: KindReject, RecipientIncarnation: m.SenderIncarnation, QuotaID: m.QuotaID, Sequence: m.Sequence, LeaseID: m.LeaseID})
	}
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
		return l.with == m.Sender && l.start == m.SenderIncarnation && l.budget == b && l.id > m.LeaseID
	}):
		return // it ended, or the ask is older than what is out
	default:
		n := min(m.Units, c.lendable(b, end))
		if n <= 0 {
			c.deny(b, m.Sender)
			refuse()
			return
		}
		m.Units = n
		c.deny(b, m.Sender) // who asks may lack more: it is told once there is
		c.lent = append(c.lent, loan{budget: b, with: m.Sender, start: m.SenderIncarnation, id: m.LeaseID, amount: n, until: end})
	}
	if i >= 0 {
		m.Units = c.lent[i].amount
	}
	c.send(m.Sender, Message{Kind: KindLeaseGrant, RecipientIncarnation: m.SenderIncarnation, QuotaID: m.QuotaID, Units: m.Units, Sequence: m.Sequence, LeaseID: m.LeaseID})
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
	k := slices.IndexFunc(c.asks, func(a asked) bool {
		return a.of == m.Sender && a.seq == m.Sequence && a.id == m.LeaseID && a.budget == b
	})
	if k < 0 || m.RecipientIncarnation != c.start || m.Units <= 0 || m.Units > c.asks[k].amount {
		return
	}
	until := c.asks[k].at + c.plan.LeaseTerm
	if c.asks[k].blind {
		c.credit = min(c.credit+2, atOnce)
	}
	if c.plan.planted != takesTwice {
		c.asks = slices.Delete(c.asks, k, k+1)
	}
	if m.PlanNumber != c.plan.Number { // it is of another total
		c.send(m.Sender, Message{Kind: KindLeaseReturn, RecipientIncarnation: m.SenderIncarnation, QuotaID: m.QuotaID, LeaseID: m.LeaseID})
		return
	}
	if c.now >= until {
		return
	}
	i := slices.IndexFunc(c.loans, func(l loan) bool {
		return l.with == m.Sender && l.start == m.SenderIncarnation && l.budget == b && l.id == m.LeaseID
	})
	if i >= 0 && c.plan.planted != takesTwice {
		c.loans[i].until = max(c.loans[i].until, until)
		return
	}
	c.loans = append(c.loans, loan{budget: b, with: m.Sender, start: m.SenderIncarnation, id: m.LeaseID, amount: m.Units, until: until})
}

// refused takes in that a member has nothing to lend, or gives no more time: others are asked at once.
func (c *Core) refused(b int, m Message) {
	k := slices.IndexFunc(c.asks, func(a asked) bool {
		return a.of == m.Sender && a.seq == m.Sequence && a.id == m.LeaseID && a.budget == b
	})
	if k < 0 || m.RecipientIncarnation != c.start {
		return
	}
	c.asks = slices.Delete(c.asks, k, k+1)
	for i := range c.loans {
		if l := &c.loans[i]; l.budget == b && l.with == m.Sender && l.start == m.SenderIncarnation && l.id == m.LeaseID {
			l.last = true
		}
	}
	for i := range c.spares {
		if c.spares[i].of == m.Sender {
			c.spares[i].amount[b], c.spares[i].at = 0, c.now
		}
	}
}
