// Package membership knows which gateways of a fleet are there. It is the protocol of SWIM (probes, indirect probes, suspicion
// that the suspected can refute, news carried by the probes) with the local health of Lifeguard. It does no I/O: its caller
// steps it with clock and chance handed in, and carries its messages. docs/fleet.md has the reasons and the figures.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
)

// Time is a point on the caller's monotonic clock.
type Time = admission.Time

// State is what a member is taken for.
type State uint8

// The states, each overriding the ones before it for the same start and refutation.
const (
	Alive State = iota
	Suspect
	Dead
	Left // it said so itself
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// Member is one process of the fleet as it is known here. Start tells processes under one name apart: the later one counts.
type Member struct {
	Name        string
	Incarnation uint64
	Refutations uint32 // times that it has refuted a suspicion
	State       State
	Address     string
	Accuser     string // who suspects it
	StateSince  Time   // when it came to this state here
}

// EventCode names what happened to a member.
type EventCode string

// What is told of members, and of the fleet as a whole.
const (
	Joined      EventCode = "joined"
	Restarted   EventCode = "restarted" // another process under its name
	Suspected   EventCode = "suspected"
	Refuted     EventCode = "refuted"
	Died        EventCode = "dead"
	Departed    EventCode = "left"
	Superseded  EventCode = "displaced" // a later process has this one's own name
	Partitioned EventCode = "split"     // a quarter of the fleet, or more, is lost
	Healed      EventCode = "healed"
)

// Host is what a core acts on.
type Host interface {
	Send(to string, message []byte)
	MemberChanged(code EventCode, m Member)
}

// The protocol's figures. A probe's answer is a loopback or hall away, some milliseconds, so half of the interval is far
// more than it needs; the rest of the interval is for the three that are asked to look as well, the number of SWIM's paper.
const (
	ProbeInterval = 500 * admission.Millisecond
	helpers       = 3
	mostHealth    = 8                            // Lifeguard's: how many times slower a member in doubt of itself judges
	mostName      = 40                           // bytes
	mostAddress   = 64                           // bytes
	mostMembers   = 1024                         // twice the largest fleet that is spoken of
	ForgetAfter   = 24 * 3600 * admission.Second // the dead; more than any split that is meant to find itself again
	reach         = 5 * admission.Second         // how often the lost and the seeds are called: a fleet of ten finds itself in seconds
	settled       = 5 * admission.Second         // a process that has served so long under its name doesn't outbid a later one
	growing       = 2 * admission.Second         // after a member new to it, it asks for as many more as fit: a newcomer knows 500 in seconds
	usualFill     = 8                            // members told in turn with each message: 500 are told anew in half a minute
)

// Core is one process's part. Its calls come one at a time, with a clock that never goes back.
type Core struct {
	host    Host
	chance  *rand.Rand
	now     Time
	began   Time
	self    Member
	seeds   []string
	members []Member // by name; not itself
	news    []rumour
	seq     uint32
	round   []string // names yet to be probed in this round
	told    int      // where the next names told in turn begin
	probe   probe
	relays  []relay
	doubts  []doubt // of the suspects
	health  int
	dueAt   Time // when Due is to be called at the latest
	reachAt Time
	grewAt  Time // when it last heard of a member for the first time
	outbid  bool // it took a later start than it began with
	silent  bool // displaced, or left
	split   bool
}

// rumour is a state that is still passed on.
type rumour struct {
	name string
	sent int
}

// probe is the one that is out.
type probe struct {
	seq       uint32
	name      string
	helpAt    Time // when others are asked to look as well
	until     Time
	out, help bool
	begun     Time
}

// relay is a probe made for another member.
type relay struct {
	seq, theirs uint32
	to          string
	until       Time
}

// doubt is a suspicion that has begun to run; those who share it shorten it.
type doubt struct {
	name     string
	start    uint64
	refuted  uint32
	began    Time
	accusers []string
}

// New begins a process's part under a name; start must be higher than that of any process before it, as far as known.
func New(now Time, self Member, seeds []string, chance *rand.Rand, host Host) *Core {
	self.State, self.StateSince = Alive, now
	return &Core{host: host, chance: chance, now: now, began: now, self: self, seeds: seeds, dueAt: now}
}

// Self is this process.
func (c *Core) Self() Member { return c.self }

// IsInactive tells whether it takes no part any more: a later process has its name, or it has left.
func (c *Core) IsInactive() bool { return c.silent }

// LocalHealth is how many times slower than usual it judges others, from 0.
func (c *Core) LocalHealth() int { return c.health }

// Members are all that it knows of besides itself, by name. They are the core's: not to be kept or changed.
func (c *Core) Members() []Member { return c.members }

// CountDead is how many are dead that did not leave.
func (c *Core) CountDead() (n int) {
	for i := range c.members {
		if c.members[i].State == Dead {
			n++
		}
	}
	return n
}

// CountReachable is how many others are taken to be there, suspects among them.
func (c *Core) CountReachable() (n int) {
	for i := range c.members {
		if c.members[i].State <= Suspect {
			n++
		}
	}
	return n
}

// Find is what is known of a member.
func (c *Core) Find(name string) (Member, bool) {
	if i, ok := c.at(name); ok {
		return c.members[i], true
	}
	return Member{}, false
}

func (c *Core) at(name string) (int, bool) {
	return slices.BinarySearchFunc(c.members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
}

// NextTick is when Due is to be called.
func (c *Core) NextTick() Time { return c.dueAt }

// Tick is the timer. One that comes far too late tells that this process stood still: it then can't know what it missed, so
// it judges nobody by it and trusts itself less.
func (c *Core) Tick(now Time) {
	late := now - c.dueAt
	c.now = now
	if c.silent {
		c.dueAt = now + ProbeInterval
		return
	}
	if late > ProbeInterval {
		c.probe.out = false
		for i := range c.doubts {
			c.doubts[i].began += late
		}
		c.ail(2)
	}
	if c.probe.out && now >= c.probe.until {
		c.unanswered()
	}
	if p := &c.probe; p.out && !p.help && now >= p.helpAt {
		p.help = true
		c.askHelpers()
	}
	c.convict()
	if !c.probe.out && now >= c.probe.until {
		c.next()
	}
	if now >= c.reachAt {
		c.call()
	}
	c.forget()
	c.dueAt = now + ProbeInterval/5
	if c.probe.out && !c.probe.help {
		c.dueAt = min(c.dueAt, max(now+1, c.probe.helpAt))
	}
}

// scale is a time as a member in doubt of itself takes it.
func (c *Core) scale(t Time) Time { return t * Time(1+c.health) }

func (c *Core) ail(by int) { c.health = max(0, min(mostHealth, c.health+by)) }

// next probes the next of the round; each round has its own order, so that every member is looked at once a round.
func (c *Core) next() {
	for len(c.round) > 0 {
		name := c.round[len(c.round)-1]
		c.round = c.round[:len(c.round)-1]
		if i, ok := c.at(name); ok && c.members[i].State <= Suspect {
			c.seq++
			c.probe = probe{seq: c.seq, name: name, begun: c.now, helpAt: c.now + c.scale(ProbeInterval/2), until: c.now + c.scale(ProbeInterval), out: true}
			c.send(c.members[i].Address, message{kind: ping, seq: c.seq, about: name}, c.now-c.grewAt < growing)
			return
		}
	}
	for i := range c.members {
		if c.members[i].State <= Suspect {
			c.round = append(c.round, c.members[i].Name)
		}
	}
	c.chance.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	c.probe.until = c.now + ProbeInterval/5 // nobody is there, or the next round begins
}

func (c *Core) askHelpers() {
	i, ok := c.at(c.probe.name)
	if !ok {
		return
	}
	target := c.members[i]
	c.send(target.Address, message{kind: ping, seq: c.probe.seq, about: target.Name}, false) // once more, as the first may be lost
	for range helpers {
		if h, ok := c.any(func(m *Member) bool { return m.State == Alive && m.Name != target.Name }); ok {
			c.send(h.Address, message{kind: ask, seq: c.probe.seq, about: target.Name, target: target.Address}, false)
		}
	}
}

// any draws one of the members that fit.
func (c *Core) any(fits func(*Member) bool) (Member, bool) {
	n, pick := 0, -1
	for i := range c.members {
		if fits(&c.members[i]) {
			if n++; c.chance.IntN(n) == 0 {
				pick = i
			}
		}
	}
	if pick < 0 {
		return Member{}, false
	}
	return c.members[pick], true
}

// unanswered ends a probe without an answer: its target is suspected, and this process trusts itself less.
func (c *Core) unanswered() {
	c.probe.out = false
	c.ail(1)
	if i, ok := c.at(c.probe.name); ok && c.members[i].State == Alive {
		m := c.members[i]
		m.State, m.Accuser = Suspect, c.self.Name
		c.learn(m)
	} else if ok && c.members[i].State == Suspect {
		c.accuse(&c.members[i], c.self.Name)
	}
}

// call reaches out to what may have come back: the seeds while nobody else is there, and one of the lost or the seeds else.
func (c *Core) call() {
	c.reachAt = c.now + reach
	if c.CountReachable() == 0 {
		c.reachAt = c.now + admission.Second
	}
	var to []string
	if lost, ok := c.any(func(m *Member) bool { return m.State == Dead }); ok {
		to = append(to, lost.Address)
	}
	for _, s := range c.seeds {
		if s != c.self.Address && !slices.ContainsFunc(c.members, func(m Member) bool { return m.Address == s && m.State <= Suspect }) {
			to = append(to, s)
		}
	}
	if len(to) > 2 { // a few at a time: seeds that are down cost next to nothing
		c.chance.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:2]
	}
	for _, address := range to {
		c.seq++
		c.send(address, message{kind: ping, seq: c.seq}, true)
	}
}

// patience is how long a suspicion runs: by the logarithm of the fleet, as news takes so many rounds to come about, thrice that
// while nobody shares it. One in doubt of itself waits longer, but a part that is cut off and whose probes mostly fail
// still comes to know it within two minutes.
func (c *Core) patience(d *doubt) Time {
	least := float64(ProbeInterval) * (1 + float64(c.health)/4) * 2 * max(1, math.Log2(float64(len(c.members)+2)))
	const most, shared = 3, 3.0
	part := math.Log2(float64(len(d.accusers))) / math.Log2(shared+1)
	return Time(least * max(1, most-(most-1)*part))
}

func (c *Core) convict() {
	for i := 0; i < len(c.doubts); {
		d := &c.doubts[i]
		k, ok := c.at(d.name)
		if !ok || c.members[k].State != Suspect || !d.is(&c.members[k]) {
			c.doubts = slices.Delete(c.doubts, i, i+1)
			continue
		}
		if c.now-d.began >= c.patience(d) {
			m := c.members[k]
			m.State = Dead
			c.doubts = slices.Delete(c.doubts, i, i+1)
			c.learn(m)
			continue
		}
		i++
	}
}

// is tells whether a suspicion is the one that a member is under: one that it has refuted is over.
func (d *doubt) is(m *Member) bool {
	return d.name == m.Name && d.start == m.Incarnation && d.refuted == m.Refutations
}

// accuse notes who shares a suspicion.
func (c *Core) accuse(m *Member, by string) {
	i := slices.IndexFunc(c.doubts, func(d doubt) bool { return d.is(m) })
	if i < 0 {
		i = len(c.doubts)
		c.doubts = append(c.doubts, doubt{name: m.Name, start: m.Incarnation, refuted: m.Refutations, began: c.now})
	}
	if d := &c.doubts[i]; len(d.accusers) < 4 && !slices.Contains(d.accusers, by) {
		d.accusers = append(d.accusers, by)
		if len(d.accusers) > 1 {
			c.spread(m.Name) // a further accuser is news
		}
	}
}

// forget drops the dead after their time, and the longest dead where there are too many.
func (c *Core) forget() {
	for i := 0; i < len(c.members); {
		if m := &c.members[i]; m.State >= Dead && c.now-m.StateSince >= ForgetAfter {
			c.members = slices.Delete(c.members, i, i+1)
			continue
		}
		i++
	}
	for len(c.members) > mostMembers {
		oldest := 0
		for i := range c.members {
			a, b := &c.members[i], &c.members[oldest]
			if a.State >= Dead && b.State < Dead || (a.State >= Dead) == (b.State >= Dead) && a.StateSince < b.StateSince {
				oldest = i
			}
		}
		c.members = slices.Delete(c.members, oldest, oldest+1)
	}
}

// overrides tells whether what is said replaces what is known.
func overrides(said, known *Member) bool {
	if ignoresStart { // a defect planted by the laboratory
		return cmp.Or(cmp.Compare(said.Refutations, known.Refutations), cmp.Compare(said.State, known.State)) > 0
	}
	return cmp.Or(cmp.Compare(said.Incarnation, known.Incarnation), cmp.Compare(said.Refutations, known.Refutations), cmp.Compare(said.State, known.State)) > 0
}

// learn takes in what is said of a member, and passes it on if it is new.
func (c *Core) learn(said Member) {
	if said.Name == c.self.Name {
		c.ofMyself(said)
		return
	}
	said.StateSince = c.now
	i, known := c.at(said.Name)
	if !known {
		if len(c.members) >= 2*mostMembers {
			return
		}
		c.members = slices.Insert(c.members, i, said)
		c.grewAt = c.now
		c.spread(said.Name)
		if said.State <= Suspect {
			c.host.MemberChanged(Joined, said)
		}
		if said.State == Suspect {
			c.accuse(&c.members[i], said.Accuser)
		}
		c.weigh()
		return
	}
	was := c.members[i]
	if said.State == Suspect && was.State == Suspect && said.Incarnation == was.Incarnation && said.Refutations == was.Refutations {
		c.accuse(&c.members[i], said.Accuser)
		return
	}
	if !overrides(&said, &was) {
		return
	}
	c.members[i] = said
	c.spread(said.Name)
	switch {
	case said.Incarnation > was.Incarnation && said.State <= Suspect:
		c.host.MemberChanged(Restarted, said)
	case said.State <= Suspect && was.State >= Dead:
		c.host.MemberChanged(Joined, said)
	case said.State == Alive && was.State == Suspect:
		c.host.MemberChanged(Refuted, said)
	case said.State == Dead && was.State != Dead:
		c.host.MemberChanged(Died, said)
	case said.State == Left && was.State != Left:
		c.host.MemberChanged(Departed, said)
	}
	if said.State == Suspect {
		if was.State != Suspect {
			c.host.MemberChanged(Suspected, said)
		}
		c.accuse(&c.members[i], said.Accuser)
	}
	c.weigh()
}

// ofMyself answers what is said of this process: a suspicion is refuted; a later start under the same name counts, and ends this
// one's part, unless this one has only just begun and so must be the later.
func (c *Core) ofMyself(said Member) {
	switch {
	case said.Incarnation > c.self.Incarnation && c.now-c.began < settled && !c.outbid:
		c.outbid = true // its clock is behind that of the process before it
		c.self.Incarnation, c.self.Refutations = said.Incarnation+1, 0
		c.spread(c.self.Name)
	case said.Incarnation > c.self.Incarnation:
		c.silent = true
		c.host.MemberChanged(Superseded, said)
	case said.Incarnation == c.self.Incarnation && said.State != Alive && said.Refutations >= c.self.Refutations:
		c.self.Refutations = said.Refutations + 1
		c.ail(1)
		c.spread(c.self.Name)
	}
}

// weigh notices when much of the fleet is lost at a time, and when it is back.
func (c *Core) weigh() {
	all, lost := 1, 0
	for i := range c.members {
		if s := c.members[i].State; s != Left {
			all++
			if s == Dead {
				lost++
			}
		}
	}
	if split := lost >= max(2, all/4); split != c.split {
		c.split = split
		code := Healed
		if split {
			code = Partitioned
		}
		c.host.MemberChanged(code, c.self)
	}
}

// spread has a member's state passed on.
func (c *Core) spread(name string) {
	c.news = slices.DeleteFunc(c.news, func(r rumour) bool { return r.name == name })
	c.news = append(c.news, rumour{name: name})
}

// Leave says farewell to some; they pass it on.
func (c *Core) Leave(now Time) {
	c.now = now
	if c.silent {
		return
	}
	c.self.State = Left
	c.self.Refutations++
	for range 3 * helpers {
		if m, ok := c.any(func(m *Member) bool { return m.State == Alive }); ok {
			c.send(m.Address, message{kind: ack}, false)
		}
	}
	c.silent = true
}

// HandleMessage takes in a message. It is an error if it can't be read.
func (c *Core) HandleMessage(now Time, b []byte) error {
	m, err := decode(b)
	if err != nil {
		return err
	}
	c.now = now
	if c.silent {
		return nil
	}
	from := m.from.Name
	for i := range m.said {
		c.learn(m.said[i])
	}
	if from == c.self.Name {
		return nil // what was said of this name has been taken in
	}
	c.learn(m.from)
	i, known := c.at(from)
	if !known || c.members[i].Incarnation > m.from.Incarnation && !ignoresStart {
		// A process that has been replaced still speaks: it is told, and nothing it says counts as a sign of the one that is there.
		if known {
			c.send(m.from.Address, message{kind: ack, seq: 0, about: from}, false)
		}
		return nil
	}
	switch m.kind {
	case ping:
		c.send(m.from.Address, message{kind: ack, seq: m.seq, about: from}, m.full)
	case ask:
		if len(c.relays) < 64 {
			c.seq++
			c.relays = append(c.relays, relay{seq: c.seq, theirs: m.seq, to: m.from.Address, until: now + 2*admission.Second})
			c.send(m.target, message{kind: ping, seq: c.seq, about: m.about}, false)
		}
	case ack:
		if p := &c.probe; p.out && m.seq == p.seq && (from == p.name || m.about == p.name) {
			p.out = false
			if p.until = p.begun + ProbeInterval; c.now-c.grewAt < growing {
				p.until = p.begun + ProbeInterval/5
			}
			if !p.help {
				c.ail(-1)
			}
		}
		for k := range c.relays {
			if r := c.relays[k]; r.seq == m.seq && m.seq != 0 {
				c.send(r.to, message{kind: ack, seq: r.theirs, about: from}, false)
				c.relays = slices.Delete(c.relays, k, k+1)
				break
			}
		}
	}
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return r.until <= now })
	return nil
}

// send writes a message: about whom it is, what is new, and then some members in turn.
func (c *Core) send(to string, m message, full bool) {
	m.from, m.full = c.self, full && m.kind == ping
	fill := usualFill
	if full {
		fill = mostMembers
	}
	w := newWriter(m)
	if i, ok := c.at(m.about); ok && m.about != "" {
		w.add(&c.members[i])
	}
	most := 3 * int(math.Ceil(math.Log2(float64(len(c.members)+2))))
	slices.SortStableFunc(c.news, func(a, b rumour) int { return cmp.Compare(a.sent, b.sent) })
	for k := range c.news {
		if c.news[k].name == c.self.Name {
			c.news[k].sent++ // the sender's own state stands in every message
		} else if i, ok := c.at(c.news[k].name); !ok || w.add(&c.members[i]) {
			c.news[k].sent++
		} else {
			break
		}
	}
	c.news = slices.DeleteFunc(c.news, func(r rumour) bool { return r.sent >= most })
	for n := 0; n < min(fill, len(c.members)); n++ {
		c.told++
		if !w.add(&c.members[c.told%len(c.members)]) {
			break
		}
	}
	c.host.Send(to, w.bytes())
}
