package rollout

import (
	"math/rand/v2"
	"slices"

	"magpiebank/internal/cluster/consensus"
)

const (
	// The voters' log is stepped so often (consensus counts in it), and voters that are not in it tell their births so often.
	tick      = 50 * admissionMs
	bornEvery = second / 5
	// A voter that lost its folder is another one. It takes the place of the one before it once that was not heard for so long: a second
	// process under a living voter's name must not.
	goneAfter = 10 * second
)

const admissionMs = second / 1000

// Log is the voters' log as one voter has it; consensus.Node is one.
type Log interface {
	Append(entry []byte) bool
	Confirm(read uint64)
	Change(context []byte, learn, promote, remove []uint64) bool
	Heard(b []byte) error
	Tick()
	Leads() bool
	Leader() uint64
	Transfer(to uint64)
	Near(id uint64) bool
	Active(id uint64) bool
	Voters() (voters, learners []uint64)
	Failed() error
}

// birthRecord is what a folder says of a voter: drawn when the folder was new.
type birthRecord struct {
	Birth uint64 `cbor:"1,keyasint"`
}

// voter is this process's part as one of those that decide.
type voter struct {
	book   Book
	log    Log // nil: it is not begun
	birth  uint64
	kept   bool // the birth survives
	found  *consensus.Found
	lead   *lead
	seen   []bornSeen // of others that tell it
	tickAt Time
	bornAt Time
	noted  string  // the last thing said about not voting
	names  []Voter // of learners, which the book doesn't have
	forgot bool    // its folder lacks what others were told it has
}

type bornSeen struct {
	name string
	born
	at Time
}

func newVoter(c *Core, kept *Kept) *voter {
	v := &voter{found: &kept.log, tickAt: c.now}
	if kept.birth != nil {
		v.birth, v.kept = kept.birth.Birth, true
	} else {
		v.draw(c)
	}
	if !v.found.Empty() {
		v.begin(c)
	}
	return v
}

// draw draws a birth for a folder that has none.
func (v *voter) draw(c *Core) {
	v.birth, v.kept = c.chance.Uint64()|1, false
	birth := v.birth
	c.keep([]consensus.Record{{Key: birthKey, Value: encode(birthRecord{birth})}}, func(err error) {
		v.kept = v.birth == birth && err == nil
	})
}

// begin takes up the log in the folder, or waits for the others' word with an empty one.
func (v *voter) begin(c *Core) {
	n, err := consensus.New(v.birth, v.found, rand.New(rand.NewPCG(c.chance.Uint64(), 1)), voterHost{c, v})
	if err != nil {
		c.host.Say(CantKeep, "error", err.Error())
		v.anew(c)
		return
	}
	v.log = n
	v.found = &consensus.Found{}
}

// anew has this voter be another one: what it had can't be counted on.
func (v *voter) anew(c *Core) {
	drop := v.found.Drop()
	if n, ok := v.log.(*consensus.Node); ok {
		drop = n.Drop()
	}
	v.log, v.found, v.lead, v.book = nil, &consensus.Found{}, nil, Book{}
	c.keep(drop, func(error) {})
	v.draw(c)
}

// votes tells whether it is among the voters by the book that it knows.
func (v *voter) votes(c *Core) bool {
	k := v.book.voter(c.name)
	return k != nil && k.Birth == v.birth
}

func (v *voter) due(c *Core) {
	if v.forgot {
		v.forgot = false
		v.anew(c)
	}
	if v.log != nil && v.log.Failed() != nil {
		if v.lead = nil; v.noted != "failed" {
			v.noted = "failed"
			c.host.Say(CantKeep, "error", v.log.Failed().Error())
		}
		return
	}
	for ; v.log != nil && c.now >= v.tickAt; v.tickAt += tick {
		if v.log.Tick(); c.now-v.tickAt > second {
			v.tickAt = c.now // it stood still
		}
	}
	if c.now >= v.bornAt && v.kept {
		v.bornAt = c.now + bornEvery
		v.tell(c)
	}
	if v.lead != nil {
		v.call(c)
		v.read(c)
		v.judge(c)
		v.admit(c)
		v.watch(c)
		v.tend(c)
	}
}

// tell has the other voters know as whom this one votes, while it doesn't yet.
func (v *voter) tell(c *Core) {
	if v.log != nil && v.votes(c) {
		v.noted = ""
		return
	}
	if !slices.Contains(c.own.voters, c.name) && !slices.Contains(c.own.wanted, c.name) && !slices.Contains(c.plan.Voters, c.name) {
		return
	}
	for _, to := range v.others(c) {
		c.send(to, message{Born: v.myself(c, false)})
	}
	if v.log == nil {
		v.together(c)
	}
}

func (v *voter) myself(c *Core, reply bool) *born {
	lease := v.book.Lease
	if v.log == nil {
		lease = c.plan.Lease
	}
	return &born{Birth: v.birth, Lease: lease, Era: v.book.Era, First: v.log == nil, Reply: reply}
}

func (v *voter) others(c *Core) (out []string) {
	for _, list := range [][]string{c.own.voters, c.own.wanted, c.plan.Voters} {
		for _, n := range list {
			if n != c.name && !slices.Contains(out, n) {
				out = append(out, n)
			}
		}
	}
	return out
}

// born takes in what another voter tells of itself.
func (v *voter) born(c *Core, m *message) {
	b := *m.Born
	i := slices.IndexFunc(v.seen, func(s bornSeen) bool { return s.name == m.from })
	if i < 0 {
		if len(v.seen) >= 2*mostWaits || len(m.from) > mostName {
			return
		}
		i = len(v.seen)
		v.seen = append(v.seen, bornSeen{name: m.from})
	}
	v.seen[i].born, v.seen[i].at = b, c.now
	if !b.Reply && v.kept {
		c.send(m.from, message{Born: v.myself(c, true)})
	}
	if !b.First {
		v.overruled(c, b.Era, m.from)
	}
	if v.log == nil {
		v.together(c)
	}
}

// overruled has a voter whose group another was forced in the place of be none of it any more.
func (v *voter) overruled(c *Core, era uint64, by string) bool {
	if v.log == nil || len(v.book.Voters) == 0 || era <= v.book.Era {
		return false
	}
	c.host.Say(Overruled, "era", era, "by", by)
	v.anew(c)
	return true
}

// tidy has the folder lose texts that nothing leads back to.
func (v *voter) tidy(c *Core) {
	if !c.plan.Folder {
		return
	}
	keep := c.own.needs()
	for _, a := range v.book.Past {
		keep = append(keep, a.Digest)
	}
	if v.book.Open != nil {
		keep = append(keep, v.book.Open.Digest)
	}
	c.shelf.tidy(c, keep)
}

// heardLog takes in a message of the voters' log.
func (v *voter) heardLog(c *Core, b []byte) {
	if v.log == nil {
		return
	}
	if err := v.log.Heard(b); err != nil {
		c.host.Say(CantKeep, "error", err.Error())
	}
}

// leader is whom this voter follows, by name; empty: nobody.
func (v *voter) leader() string {
	if v.log == nil || v.log.Failed() != nil {
		return ""
	}
	return v.called(v.log.Leader())
}

func (v *voter) called(id uint64) string {
	for _, list := range [][]Voter{v.book.Voters, v.names} {
		for _, k := range list {
			if k.Birth == id {
				return k.Name
			}
		}
	}
	for _, s := range v.seen {
		if s.Birth == id {
			return s.name
		}
	}
	return ""
}
