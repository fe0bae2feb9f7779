package rollout

import (
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// Who holds no lease asks again after a tenth of a second, and after twice as long each time, up to half a second: five hundred
	// that were started together cost the leader a thousand messages a second, and whom a change left out is back soon.
	askSoon = second / 10
	askLate = second / 2
	// A lease is asked for anew after this part of it: two asks may get lost before it ends.
	renewAfter = 4
	mostAsks   = 16
)

// own is this gateway's part as one of those that go by policies.
type own struct {
	at     mark // what it went by last
	digest Digest
	size   int
	until  Time // end of its lease
	lease  Time // length of the last one

	target  mark // the latest that was borne out as decided
	next    Digest
	heard   bool
	open    *open // the proposal there is, as far as heard
	ready   uint64
	refuses uint64
	why     string

	giving    uint64 // what is held is given up for this proposal; the word goes out once nothing decided by it is on its way
	released  uint64 // and it went out
	bothUntil Time
	bothWith  *open // what it may go by besides, if it hears nothing

	seq    uint32
	got    uint32 // the latest ask that was answered
	least  uint32 // answers to asks before this one count no more
	asks   [mostAsks]sent
	nextAt Time
	tries  int
	leader string
	voters []string
	wanted []string // who is to vote, where that is others
	turn   int
	state  string
	cannot Digest // a decided policy that it can't follow, as was said
	stood  Standing
	told   bool // the gateway knows it
	toldAt Time // when voters of an earlier era were last told
}

type sent struct {
	seq uint32
	at  Time
}

// floor is what a folder says of it.
type floorRecord struct {
	At     mark     `cbor:"1,keyasint"`
	Digest Digest   `cbor:"2,keyasint"`
	Size   int      `cbor:"3,keyasint"`
	Voters []string `cbor:"4,keyasint,omitempty"`
}

func (o *own) begin(c *Core, kept *Kept) {
	o.voters, o.nextAt = slices.Clone(c.plan.Voters), c.now
	o.turn = c.chance.IntN(max(1, len(o.voters)))
	if kept == nil || kept.floor == nil {
		return
	}
	f := kept.floor
	o.at, o.digest, o.size = f.At, f.Digest, f.Size
	o.target, o.next = f.At, f.Digest
	if len(f.Voters) > 0 {
		o.voters = f.Voters
	}
	if body := c.host.Load(f.Digest); Of(body) == f.Digest {
		c.shelf.put(c, f.Digest, body, true)
		o.heard = true
	}
	if c.plan.planted == believesFolder {
		o.until = c.now + 1000*second
	}
}

// stand has the gateway know what it may go by, where that has changed.
func (c *Core) stand() {
	o := &c.own
	s := Standing{Era: o.at.Era, Number: o.at.Number, Digest: o.digest, Until: o.until, Heard: o.heard}
	if o.heard {
		s.Known = append(s.Known, o.digest)
	}
	if o.target != o.at {
		s.Known = append(s.Known, o.next)
	}
	if o.open != nil {
		s.Known = append(s.Known, o.open.Digest)
		if o.open.Trial && o.ready == o.open.ID {
			s.Rehearse, s.Trial = o.open.Digest, o.open.ID
		}
	}
	if o.bothWith != nil {
		s.Other, s.BothUntil = o.bothWith.Digest, o.bothUntil
	}
	if c.plan.planted == switchesOnWord && o.open != nil && o.ready == o.open.ID {
		s.Number, s.Digest, s.Until = o.at.Number+1, o.open.Digest, 1<<50
	}
	was := &o.stood
	same := was.Era == s.Era && was.Number == s.Number && was.Digest == s.Digest && was.Until == s.Until && was.Other == s.Other && was.BothUntil == s.BothUntil &&
		was.Heard == s.Heard && was.Rehearse == s.Rehearse && slices.Equal(was.Known, s.Known)
	if !same || !o.told {
		o.stood, o.told = s, true
		c.host.Stand(&s)
	}
}

func (o *own) due(c *Core) {
	o.lapse(c)
	if o.giving != 0 && c.host.Drained() {
		o.released, o.giving, o.nextAt = o.giving, 0, c.now
	}
	if c.now >= o.nextAt {
		o.ask(c)
	}
}

// lapse ends what was only for a time.
func (o *own) lapse(c *Core) {
	if o.until != 0 && c.now >= o.until {
		o.until = 0
		c.host.Say(Lapsed, "number", o.at.Number)
		c.stand()
	}
	if o.bothWith != nil && c.now >= o.bothUntil {
		o.bothWith, o.bothUntil = nil, 0
		c.stand()
	}
}

// ask asks for a lease, or for more time on it: the leader, or whoever of the voters may know it.
func (o *own) ask(c *Core) {
	if o.giving != 0 {
		return // nothing is said before what is held is given up
	}
	to := o.leader
	if holds := c.now < o.until; holds {
		o.nextAt, o.tries = c.now+max(1, o.lease/renewAfter), 0
		if c.now > o.until-o.lease/2 {
			to = "" // it didn't answer: another may lead
			o.nextAt = c.now + askSoon
		}
	} else {
		o.nextAt = c.now + min(askLate, askSoon<<min(o.tries, 3))
		if o.tries++; o.tries%3 == 0 {
			to = ""
		}
	}
	if to == "" && len(o.voters) > 0 {
		o.leader = ""
		to = o.voters[o.turn%len(o.voters)]
		o.turn++
	}
	o.seq++
	o.asks[o.seq%mostAsks] = sent{o.seq, c.now}
	m := &ask{Seq: o.seq, Floor: o.at, Holds: c.now < o.until, Has: o.has(c), Released: o.released, Least: o.least, Got: o.got, Count: c.host.Count()}
	if o.open != nil {
		m.Ready, m.Refuses, m.Why = o.ready, o.refuses, o.why
	}
	if o.bothWith != nil {
		m.Both = o.bothWith.ID
	}
	c.send(to, message{Ask: m})
}

// has is the policy that it could go by next.
func (o *own) has(c *Core) Digest {
	if c.shelf.good(o.next) {
		return o.next
	}
	return o.digest
}

// answered takes in a voter's answer, or what a leader says unasked.
func (o *own) answered(c *Core, m *message) {
	a := m.Answer
	if a.Leader != m.from { // it only knows whom to ask
		if a.Leader != "" && a.Leader != o.leader && a.Leader != m.from {
			o.leader, o.nextAt = a.Leader, c.now
		}
		return
	}
	if a.At.Era < o.target.Era { // of voters that others have taken the place of: they are told
		if c.now-o.toldAt >= askLate {
			o.toldAt = c.now
			o.seq++
			c.send(m.from, message{Ask: &ask{Seq: o.seq, Floor: mark{o.target.Era, o.at.Number}, Has: o.has(c), Got: o.got}})
		}
		return
	}
	if len(a.Voters) > 0 {
		o.voters, o.wanted = a.Voters, a.Want
	}
	o.leader, o.state = m.from, a.State
	k := o.asks[a.Seq%mostAsks]
	counts := a.Seq != 0 && a.For == c.start && k.seq == a.Seq && a.Seq >= o.least
	if counts && a.Confirm && o.target.before(a.At) {
		o.target, o.next, o.size = a.At, a.Digest, a.Size
		o.nextAt = c.now
		c.shelf.want(c, a.Digest, a.Size, append([]string{m.from}, o.voters...))
	}
	if counts && a.Confirm {
		o.heard, o.got = true, max(o.got, a.Seq)
	}
	if !a.At.before(o.target) || counts && a.Confirm {
		o.hear(c, a.Open, m.from)
	}
	switch {
	case a.Yield != 0 && o.open != nil && o.open.ID == a.Yield && o.ready == a.Yield && a.At == o.at:
		o.yield(c, a.Yield)
	case counts && a.Lease > 0 && !a.At.before(o.at) && a.Digest == o.has(c):
		o.granted(c, a, k)
	}
	if o.bothWith != nil && counts && a.Confirm && (a.Open == nil || a.Open.ID != o.bothWith.ID || a.At != o.at) {
		o.bothWith, o.bothUntil = nil, 0 // it hears, and goes by what is decided
	}
	c.stand()
}

// granted takes a lease, from when it was asked for.
func (o *own) granted(c *Core, a *answer, k sent) {
	until := k.at + a.Lease
	if c.plan.planted == fromAnswer {
		until = c.now + a.Lease
	}
	if c.now >= until {
		return
	}
	if a.At != o.at || o.digest != a.Digest {
		o.at, o.digest, o.until, o.bothWith, o.bothUntil = a.At, a.Digest, 0, nil, 0
		if o.keep(c); c.voter == nil {
			c.shelf.tidy(c, o.needs())
		}
	}
	if o.until == 0 {
		c.host.Say(Holding, "number", a.At.Number, "era", a.At.Era, "digest", a.Digest.String())
	}
	if a.Both > 0 && a.Open != nil && a.Open.ID == o.ready && a.Seq == o.seq { // counted by the latest ask alone: the leader knows by it what is held
		o.bothWith, o.bothUntil = o.open, max(o.bothUntil, k.at+a.Both)
	}
	o.until, o.lease, o.released, o.tries = max(o.until, until), a.Lease, 0, 0
	o.nextAt = max(c.now, k.at+a.Lease/renewAfter)
}

// needs are the texts that this gateway itself has a use for.
func (o *own) needs() []Digest {
	out := []Digest{o.digest, o.next}
	if o.open != nil {
		out = append(out, o.open.Digest)
	}
	return out
}

// keep has the folder know what was gone by: it is told to whoever asks for leases with less later.
func (o *own) keep(c *Core) {
	f := floorRecord{o.at, o.digest, o.size, o.voters}
	c.keep([]consensus.Record{{Key: floorKey, Value: encode(f)}}, func(error) {})
}

// yield gives up what is held, for a proposal that all are ready for.
func (o *own) yield(c *Core, id uint64) {
	if o.giving == id {
		return
	}
	if c.plan.planted != keepsOnYield { // what both allow goes on being so, whichever is in force
		o.until = 0
	}
	o.least = o.seq + 1 // what is still under way counts no more
	o.giving, o.tries = id, 0
	c.stand()
	if c.host.Drained() {
		o.giving, o.released = 0, id
		o.ask(c)
	}
}

// hear takes in which proposal there is.
func (o *own) hear(c *Core, p *open, from string) {
	if p == nil {
		if o.open != nil {
			o.open, o.ready, o.refuses, o.why, o.released = nil, 0, 0, "", 0
		}
		return
	}
	if o.open != nil && o.open.ID == p.ID {
		o.open = p
		return
	}
	o.open, o.ready, o.refuses, o.why, o.released = p, 0, 0, "", 0
	c.host.Say(Heard, "proposal", name(p.ID), "digest", p.Digest.String())
	c.shelf.want(c, p.Digest, p.Size, append(slices.Clone(p.Sources), from))
	o.shelved(c, c.shelf.get(p.Digest))
}

// shelved takes in that a text is there and was looked at.
func (o *own) shelved(c *Core, t *text) {
	if t == nil || t.state < good {
		return
	}
	if o.open != nil && o.open.Digest == t.digest && o.ready != o.open.ID && o.refuses != o.open.ID {
		if t.state == good {
			o.ready, o.nextAt = o.open.ID, c.now
			c.host.Say(Took, "proposal", name(o.open.ID), "digest", t.digest.String())
		} else {
			o.refuses, o.why, o.nextAt = o.open.ID, t.why, c.now
			c.host.Say(Refuses, "proposal", name(o.open.ID), "why", t.why)
		}
		c.stand()
	}
	if o.next == t.digest && o.target != o.at {
		if o.nextAt = c.now; t.state == bad && o.cannot != t.digest {
			o.cannot = t.digest
			c.host.Say(Follows, "number", o.target.Number, "digest", t.digest.String(), "why", t.why)
		}
		c.stand()
	}
}

// leave gives everything up at once.
func (o *own) leave(c *Core) {
	o.until, o.bothWith = 0, nil
	c.stand()
	if o.leader != "" {
		o.seq++
		c.send(o.leader, message{Ask: &ask{Seq: o.seq, Floor: o.at, Has: o.digest, Leaves: true}})
	}
}
