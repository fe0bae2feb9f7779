package quota

import "slices"

// seat is what a keeper remembers of one.
type seat struct {
	holder string
	start  uint64
	until  Time
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

// SucceedIncarnations tells that processes under this name have surely ended, by their starts: their seat passes to this one without their term having
// to end. What the last of them lent, and what its tasks use, is waited for: it is over when a loan is. It is called right after New.
func (c *Core) SucceedIncarnations(after []uint64) {
	c.after = after
	if c.claims[0].from = c.now + c.plan.margin(c.plan.LeaseTerm); c.plan.planted == followsAtOnce {
		c.claims[0].from = c.now
	}
}

// ShareStatus tells whether the own seat is held, and whether its part may be used.
func (c *Core) ShareStatus(now Time) (held, usable bool) {
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
	if c.openAt = c.now + c.plan.margin(c.plan.ShareTerm); c.plan.planted == noWait {
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

// claimSeat asks all keepers to confirm a seat; only the answers to the last claim are counted.
func (c *Core) claimSeat(i int) {
	c.last++
	k := &c.claims[i]
	k.seq, k.asked, k.votes = c.last, c.now, nil
	if k.next = c.now + c.plan.ShareTerm/4; c.now >= k.until { // what isn't held is asked for more often: a keeper may not have been known yet
		k.next = c.now + min(c.plan.ShareTerm/4, second/2)
	}
	m := Message{Kind: KindShareClaim, Share: k.seat, Sequence: k.seq}
	if i == 0 {
		m.Predecessors = c.after
	}
	for _, keeper := range c.plan.Voters {
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
		turn := (n + int(since/c.plan.ShareTerm)) % len(c.plan.Voters)
		if since >= c.plan.ShareTerm/4 && turn == c.keeper && !slices.ContainsFunc(c.claims, func(k claim) bool { return k.seat == n }) {
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

// asksSeat confirms a seat to one holder at a time, until its term has surely ended by that one's clock.
func (c *Core) asksSeat(m Message) {
	if c.keeper < 0 || c.now < c.openAt || m.Share < 0 || m.Share >= len(c.seats) || m.PlanNumber < c.highest {
		return
	}
	s := &c.seats[m.Share]
	if s.holder == c.name && s.start == c.start && m.Sender != c.name {
		c.leaveSeat(m.Share)
	}
	follows := s.holder == m.Sender && (slices.Contains(m.Predecessors, s.start) || len(m.Predecessors) > 0 && c.plan.planted == followsAnyone)
	if s.start > 0 && c.now < s.until && (s.holder != m.Sender || s.start != m.SenderIncarnation) && !follows {
		c.send(m.Sender, Message{Kind: KindReject, RecipientIncarnation: m.SenderIncarnation, Share: m.Share})
		return
	}
	*s = seat{m.Sender, m.SenderIncarnation, c.now + c.plan.margin(c.plan.ShareTerm)}
	c.send(m.Sender, Message{Kind: KindShareConfirm, RecipientIncarnation: m.SenderIncarnation, Share: m.Share, Sequence: m.Sequence, VoterIncarnations: slices.Clone(c.starts), KnownIncarnations: slices.Clone(c.known)})
}

// confirmed counts the keepers that have confirmed the last claim: a majority of those that count together. The seat is held for a term
// from when the claim went out, however late its answers come.
func (c *Core) confirmed(m Message) {
	k := slices.Index(c.plan.Voters, m.Sender)
	if n := len(c.plan.Voters); k < 0 || m.RecipientIncarnation != c.start || len(m.VoterIncarnations) != n || len(m.KnownIncarnations) != n {
		return
	}
	if c.keeper >= 0 && k != c.keeper && c.openAt != Never && m.SenderIncarnation > c.known[k] && m.KnownIncarnations[c.keeper] != c.start {
		c.unknown() // it began to confirm without this one, by another process of this name: nobody counts the two together
	}
	of := slices.IndexFunc(c.claims, func(k claim) bool { return k.seat == m.Share && k.seq == m.Sequence })
	if of < 0 {
		return
	}
	held := &c.claims[of]
	const most = 8 // processes of the keepers
	if len(held.votes) < most && !slices.ContainsFunc(held.votes, func(v vote) bool { return v.keeper == k && v.start == m.SenderIncarnation }) {
		held.votes = append(held.votes, vote{k, m.SenderIncarnation, m.VoterIncarnations, m.KnownIncarnations})
	}
	if 2*together(held.votes, nil, c.plan.planted == countsStrangers) > len(c.plan.Voters) {
		from := held.asked
		if c.plan.planted == fromArrival {
			from = c.now
		}
		held.until = max(held.until, from+c.plan.ShareTerm)
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
