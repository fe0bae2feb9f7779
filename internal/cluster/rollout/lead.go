package rollout

import (
	"cmp"
	"slices"
	"strings"
)

const (
	// So long all have to give up what they hold, before it is given to them again: some round trips, and what is on its way to engines.
	yieldFor = second / 4
	// An entry that was not decided after this long is appended anew; one that was meanwhile changes nothing a second time.
	againAfter = second
	// Who has had no answer to so many asks is taken for silent, though it is heard.
	deafAfter = 8
	// A probation looks at no share of fewer tasks.
	leastTasks = 50
	mostGuests = 2048
	callOften  = second / 4
	callRarely = 5 * second
	mostWaits  = 8
)

type phase uint8

const (
	taking   phase = iota // members fetch a proposal, look at it and keep it; leases on the old policy go on
	trying                // they try it on live tasks
	yielding              // they give up what they hold
	deciding              // nobody holds anything, and the decision is on its way through the log
)

// guest is a member as the leader knows it.
type guest struct {
	name    string
	start   uint64
	seq     uint32
	ask     ask
	heardAt Time
	until   Time // by then its lease has surely ended
	both    Time // and what it may go by besides
	bothID  uint64
	bothSeq uint32 // the latest ask that was answered so,
	gaveSeq uint32 // or with a lease
	out     bool   // it took no part in time: nothing is given to it until it is heard to hear
	outSeq  uint32 // its last ask by then
	waits   bool   // its ask has had no answer
	read    uint64 // whose answer it waits for
}

// lead is what a leader knows while it leads; nothing of it is handed on.
type lead struct {
	term     uint64
	began    Time
	clear    Time // by then all leases that leaders before it gave have ended
	proved   bool // somebody holds a lease on what this one knows as decided: so nothing later has been
	behind   bool // somebody has gone by more than is known here
	guests   []guest
	reading  uint64 // the question to a majority that is out; 0: none
	readAt   Time
	reads    uint64
	phase    phase
	since    Time // of the phase
	opened   Time // when the proposal was
	tried    bool
	begun    []Count // at the members, when the rehearsal began here
	wrote    string  // the entry on its way
	wroteAt  Time
	watched  uint64 // the probation that is watched,
	watchAt  Time   // since when
	waiting  []waiting
	tendAt   Time
	callAt   Time   // when all are told next who leads
	missed   uint64 // a voter that is not heard, whose place another could take,
	missedAt Time   // since when
}

// waiting is a proposal whose text is on its way.
type waiting struct {
	from string
	propose
	at Time
}

// led begins to lead, or ends it.
func (v *voter) led(c *Core, term uint64) {
	if term == 0 {
		v.lead = nil
		return
	}
	l := &lead{term: term, opened: c.now, since: c.now, began: c.now}
	if l.clear = c.now + c.plan.margin(v.book.Lease); c.plan.planted == noWait {
		l.clear = c.now
	}
	v.lead = l
	c.host.Say(Leads, "term", term, "number", v.book.Number)
	v.call(c)
}

// call has all that are there know who leads: often before the first lease is given, as whoever knows of more should say so by then.
func (v *voter) call(c *Core) {
	l := v.lead
	if c.now < l.callAt {
		return
	}
	if l.callAt = c.now + callRarely; !l.proved && c.now < l.clear {
		l.callAt = c.now + callOften
	}
	v.push(c)
}

// word is what the leader says to one member, or to all.
func (v *voter) word(c *Core, g *guest) *answer {
	b := &v.book
	a := &answer{Leader: c.name, At: b.mark(), Digest: b.Digest, Size: b.Size, State: v.state(c)}
	a.Voters = names(b.Voters)
	if slices.Sort(a.Voters); !slices.Equal(a.Voters, b.Want) {
		a.Want = b.Want
	}
	if p := b.Open; p != nil {
		a.Open = &open{ID: p.ID, Digest: p.Digest, Size: p.Size, Trial: v.lead.phase == trying, Sources: v.sources(c, g)}
	}
	return a
}

// sources are a few members that have the proposal's text: others in turn, so that not all ask the same.
func (v *voter) sources(c *Core, g *guest) []string {
	out := []string{c.name}
	l := v.lead
	for range min(len(l.guests), 2) {
		if k := &l.guests[c.chance.IntN(len(l.guests))]; k.ask.Ready == v.book.Open.ID && k != g {
			out = append(out, k.name)
		}
	}
	if len(out) > 1 {
		out = append(out[1:], out[0])
	}
	return out
}

// asked takes in a member's ask: it is answered once a majority has borne out that this voter leads.
func (v *voter) asked(c *Core, m *message) {
	if v.overruled(c, m.Ask.Floor.Era, m.from) {
		return
	}
	l := v.lead
	if l == nil {
		if n := v.leader(); n != "" && n != c.name {
			c.send(m.from, message{Answer: &answer{Seq: m.Ask.Seq, Leader: n}})
		}
		return
	}
	i, ok := slices.BinarySearchFunc(l.guests, guest{name: m.from, start: m.Start}, func(a, b guest) int {
		return cmp.Or(strings.Compare(a.name, b.name), cmp.Compare(a.start, b.start))
	})
	if !ok {
		if len(l.guests) >= mostGuests {
			return
		}
		l.guests = slices.Insert(l.guests, i, guest{name: m.from, start: m.Start})
	}
	g := &l.guests[i]
	if m.Ask.Seq <= g.seq {
		return
	}
	g.seq, g.ask, g.heardAt, g.waits, g.read = m.Ask.Seq, *m.Ask, c.now, true, 0
	if g.ask.Leaves {
		l.guests = slices.Delete(l.guests, i, i+1)
		v.judge(c)
		return
	}
	if g.ask.Both == 0 && g.seq > g.bothSeq {
		g.both, g.bothID = 0, 0
	}
	p := v.book.Open
	if g.ask.Released != 0 && g.ask.Least > g.gaveSeq && (p != nil && g.ask.Released == p.ID || g.ask.Released == v.book.Last) {
		g.until = 0
	}
	if g.out && g.ask.Got > g.outSeq {
		g.out = false
	}
	if l.phase == yielding && g.until > c.now && p != nil {
		v.yieldTo(c, g)
	}
	v.judge(c)
	v.read(c)
}

// read asks a majority, for all asks that came by now.
func (v *voter) read(c *Core) {
	l := v.lead
	if l == nil || l.phase >= yielding {
		return // answers wait for the decision
	}
	if l.reading != 0 && c.now-l.readAt < askLate {
		return
	}
	any := false
	for i := range l.guests {
		any = any || l.guests[i].waits
	}
	if !any {
		l.reading = 0
		return
	}
	l.reads++
	l.reading, l.readAt = l.term<<20|l.reads&(1<<20-1), c.now
	for i := range l.guests {
		if l.guests[i].waits {
			l.guests[i].read = l.reading
		}
	}
	if c.plan.planted == grantsUnasked {
		v.confirmed(c, l.reading)
		return
	}
	v.log.Confirm(l.reading)
}

// confirmed answers who asked before it was asked for.
func (v *voter) confirmed(c *Core, read uint64) {
	l := v.lead
	if l == nil || read != l.reading {
		return
	}
	l.reading = 0
	if l.phase >= yielding {
		return
	}
	for i := range l.guests {
		if g := &l.guests[i]; g.waits && g.read == read {
			v.prove(c, g)
		}
	}
	for i := range l.guests {
		if g := &l.guests[i]; g.waits && g.read == read {
			v.reply(c, g)
		}
	}
	v.judge(c)
	v.read(c)
}

// prove looks at what a member has gone by: more than is known here means that the voters have lost it; a lease on it, that they have not.
func (v *voter) prove(c *Core, g *guest) {
	l := v.lead
	switch at := v.book.mark(); {
	case at.before(g.ask.Floor):
		if !l.behind {
			l.behind = true
			c.host.Say(Behind, "member", g.name, "goes_by", g.ask.Floor.Number, "era", g.ask.Floor.Era, "number", v.book.Number)
		}
	case g.ask.Holds && g.ask.Floor == at:
		l.proved = true
	}
}

func (v *voter) reply(c *Core, g *guest) {
	l, p := v.lead, v.book.Open
	a := v.word(c, g)
	a.Seq, a.For, a.Confirm = g.seq, g.start, true
	g.waits = false
	has := g.ask.Has == v.book.Digest || g.ask.Ready != 0 && g.ask.Ready == v.book.Last
	deaf := g.seq-g.ask.Got > deafAfter
	if !l.behind && has && !g.out && !deaf && (l.proved || c.now >= l.clear) {
		a.Lease = v.book.Lease
		g.until, g.gaveSeq = max(g.until, c.now+c.plan.margin(a.Lease)), g.seq
		if p != nil && p.Both > 0 && g.ask.Ready == p.ID && p.Kind != Rehearsal {
			a.Both = p.Both
			g.both, g.bothID, g.bothSeq = max(g.both, c.now+c.plan.margin(a.Both)), p.ID, g.seq
		}
	}
	c.send(g.name, message{Answer: a})
}

func (v *voter) yieldTo(c *Core, g *guest) {
	a := v.word(c, g)
	a.Yield = v.book.Open.ID
	c.send(g.name, message{Answer: a})
}

// push has all members that are there know what the leader knows, unasked.
func (v *voter) push(c *Core) {
	to := c.host.Others()
	if !slices.Contains(to, c.name) {
		to = append(slices.Clone(to), c.name)
	}
	for i := range v.lead.guests {
		if n := v.lead.guests[i].name; !slices.Contains(to, n) {
			to = append(to, n)
		}
	}
	for _, n := range to {
		c.send(n, message{Answer: v.word(c, nil)})
	}
}

// write appends an entry; while it is on its way no other is.
func (v *voter) write(c *Core, what string, e *entry) bool {
	l := v.lead
	if l.wrote != "" && c.now-l.wroteAt < againAfter {
		return false
	}
	if !v.log.Append(encode(e)) {
		return false
	}
	if v.lead == l { // deciding may have come about within the call
		l.wrote, l.wroteAt = what, c.now
	}
	return true
}

// limit is how long a proposal may stay open: the time to take it, the longest lease that may have to end, its rehearsal, and some
// tries to switch.
func (v *voter) limit(c *Core, t *text) Time {
	n := c.plan.Within + 3*c.plan.margin(max(v.book.Lease, v.book.Both)) + 10*second + v.book.Open.For
	if t != nil {
		n += t.terms.Rehearse
	}
	return n
}
