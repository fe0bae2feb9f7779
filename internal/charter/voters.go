package charter

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"magpiebank/internal/consensus"
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

// together begins the log: all voters of the file are there, none of them has one, and all are of one mind on leases. Where another has
// one already, this voter waits to be told.
func (v *voter) together(c *Core) {
	note := func(s string, more ...any) {
		if v.noted != s {
			v.noted = s
			c.host.Say(Waits, append([]any{"for", s}, more...)...)
		}
	}
	if !v.kept {
		return
	}
	list := []Voter{}
	if slices.Contains(c.plan.Voters, c.name) {
		list = append(list, Voter{c.name, v.birth})
	}
	for _, n := range c.plan.Voters {
		if n == c.name {
			continue
		}
		i := slices.IndexFunc(v.seen, func(s bornSeen) bool { return s.name == n && c.now-s.at < 10*bornEvery })
		switch {
		case i >= 0 && !v.seen[i].First:
			note("the others, which have begun without it")
			v.begin(c)
			return
		case i < 0:
			note("voter " + n + ", which is not heard: all must be there for the first start")
			return
		}
		list = append(list, Voter{n, v.seen[i].Birth})
	}
	for _, s := range v.seen {
		if slices.ContainsFunc(list, func(k Voter) bool { return k.Name == s.name }) && s.Lease != 0 && s.Lease != c.plan.Lease {
			note("one mind on leases", "voter", s.name, "lease", s.Lease)
			return
		}
	}
	if len(list) != len(c.plan.Voters) {
		return
	}
	v.establish(c, list, Book{Lease: c.plan.Lease, Want: slices.Clone(c.plan.Voters)})
}

// establish begins the log with some voters.
func (v *voter) establish(c *Core, list []Voter, book Book) {
	slices.SortFunc(list, func(a, b Voter) int { return strings.Compare(a.Name, b.Name) })
	book.Voters = list
	slices.Sort(book.Want)
	v.begin(c)
	n, ok := v.log.(*consensus.Node)
	if !ok {
		return
	}
	var ids []uint64
	for _, k := range list {
		ids = append(ids, k.Birth)
	}
	if err := n.Begin(ids, encode(book)); err != nil {
		c.host.Say(CantKeep, "error", err.Error())
		return
	}
	c.host.Say(Begun, "voters", fmt.Sprint(names(list)), "lease", book.Lease)
}

func names(list []Voter) (out []string) {
	for _, k := range list {
		out = append(out, k.Name)
	}
	return out
}

// tend has the voters be those that are wanted: one change at a time, first by learning, then in the place of one that leaves.
func (v *voter) tend(c *Core) {
	l := v.lead
	if c.now < l.tendAt {
		return
	}
	l.tendAt = c.now + second/2
	_, learners := v.log.Voters()
	for _, n := range v.book.Want {
		i := slices.IndexFunc(v.seen, func(s bornSeen) bool { return s.name == n && c.now-s.at < 10*bornEvery })
		if i < 0 {
			continue // it votes, or isn't there
		}
		s, old := &v.seen[i], v.book.voter(n)
		if old != nil && (old.Birth == s.Birth || !v.gone(c, old.Birth)) {
			continue
		}
		if !slices.Contains(learners, s.Birth) {
			v.log.Change(encode([]Voter{{n, s.Birth}}), []uint64{s.Birth}, nil, nil)
			return
		}
		if v.log.Near(s.Birth) {
			var remove []uint64
			if old != nil {
				remove = append(remove, old.Birth)
			} else if k := v.unwanted(); k != nil && k.Birth != v.birth {
				remove = append(remove, k.Birth)
			}
			v.log.Change(encode([]Voter{{n, s.Birth}}), nil, []uint64{s.Birth}, remove)
			return
		}
	}
	var next *Voter
	for _, n := range v.book.Want {
		k := v.book.voter(n)
		if k == nil {
			return
		}
		if k.Birth != v.birth && v.log.Near(k.Birth) {
			next = k
		}
	}
	switch k := v.unwanted(); {
	case k == nil:
	case k.Birth != v.birth:
		v.log.Change(nil, nil, nil, []uint64{k.Birth})
	case next != nil: // the others go on without a pause
		v.log.Transfer(next.Birth)
	}
}

// gone tells whether a voter was not heard for long enough that another may take its place.
func (v *voter) gone(c *Core, birth uint64) bool {
	l := v.lead
	if v.log.Active(birth) || l.missed != birth {
		l.missed, l.missedAt = 0, c.now
		if !v.log.Active(birth) {
			l.missed = birth
		}
		return false
	}
	return c.now-l.missedAt >= goneAfter
}

// unwanted is a voter that is to be none; the leader itself comes last.
func (v *voter) unwanted() (out *Voter) {
	for i := range v.book.Voters {
		if k := &v.book.Voters[i]; !slices.Contains(v.book.Want, k.Name) && (out == nil || k.Birth != v.birth) {
			out = k
		}
	}
	return out
}

// want has other members vote from then on.
func (v *voter) want(c *Core, list []string) {
	list = slices.Clone(list)
	slices.Sort(list)
	if len(list) > 0 && !slices.Equal(list, v.book.Want) {
		v.write(c, "want", &entry{Want: list})
	}
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

// Force begins a new log with this voter alone, and the policy that it knows as the latest, under a number of its own; the others that
// are named join it one by one. It is for the loss of a majority for good: what the lost ones decided last may be lost.
func (c *Core) Force(now Time, voters []string) error {
	c.pass(now)
	v, o := c.voter, &c.own
	if v == nil {
		return errors.New("this gateway keeps no folder for policies (fleet.policy.folder), so it can't vote")
	}
	if !slices.Contains(voters, c.name) {
		return fmt.Errorf("expected %s among the voters, as it begins", c.name)
	}
	if n := len(voters); n != 1 && n != 3 && n != 5 && n != 7 {
		return fmt.Errorf("expected 1, 3, 5 or 7 voters, found %d", n)
	}
	b := v.book.clone()
	if b.mark().before(o.at) {
		b.Number, b.Digest, b.Size, b.Era = o.at.Number, o.digest, o.size, o.at.Era
	}
	if b.mark().before(o.target) && c.shelf.good(o.next) {
		b.Number, b.Digest, b.Size, b.Era = o.target.Number, o.next, o.size, o.target.Era
	}
	if body := c.host.Load(b.Digest); b.Digest != (Digest{}) && !c.shelf.good(b.Digest) && Of(body) != b.Digest {
		return fmt.Errorf("the text of number %d, %s, isn't here: force it at another gateway", b.Number, b.Digest)
	}
	lost := b.Number
	b.Era, b.Number, b.Open, b.Trial, b.Last, b.Want = max(b.Era, o.target.Era)+1, max(b.Number, o.target.Number)+1, nil, nil, 0, slices.Clone(voters)
	b.Past = append(b.Past, Act{b.Number, b.Digest, b.Size, Change, c.name, c.host.Wall(), lost})
	if b.Lease == 0 {
		b.Lease = c.plan.Lease
	}
	b.Both = max(b.Both, second)
	v.anew(c)
	v.seen = nil
	c.host.Say(Forced, "era", b.Era, "number", b.Number, "digest", b.Digest.String(), "voters", strings.Join(voters, " "))
	v.establish(c, []Voter{{c.name, v.birth}}, *b)
	return nil
}

// voterHost is what the voters' log acts on.
type voterHost struct {
	c *Core
	v *voter
}

func (h voterHost) Send(to uint64, m []byte) {
	if n := h.v.called(to); n != "" && n != h.c.name {
		h.c.send(n, message{Log: m})
	}
}

func (h voterHost) Save(records []consensus.Record, done func(error)) {
	log := h.v.log
	h.c.host.Keep(records, func(err error) {
		if h.v.log == log || log == nil { // it is another voter by now
			done(err)
		}
	})
}

func (h voterHost) Applied(_ uint64, e []byte) { h.v.applied(h.c, e) }

func (h voterHost) Changed(_ uint64, context []byte, voters, learners []uint64) {
	v, c := h.v, h.c
	var more []Voter
	if len(context) > 0 && unmarshal(context, &more) != nil {
		more = nil
	}
	v.names = append(v.names, more...)
	v.names = v.names[max(0, len(v.names)-2*mostWaits):]
	var list []Voter
	for _, id := range voters { // by what the log itself says, so that all come to the same
		known := append(slices.Clone(v.book.Voters), more...)
		if i := slices.IndexFunc(known, func(k Voter) bool { return k.Birth == id }); i >= 0 {
			list = append(list, known[i])
		}
	}
	slices.SortFunc(list, func(a, b Voter) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Birth, b.Birth))
	})
	if !slices.Equal(list, v.book.Voters) {
		v.book.Voters = list
		c.host.Say(Voting, "voters", strings.Join(names(list), " "), "learners", len(learners))
	}
}

func (h voterHost) Installed(_ uint64, state []byte) {
	var b Book
	if unmarshal(state, &b) == nil {
		h.v.book = b
	}
}

func (h voterHost) State() []byte         { return encode(h.v.book) }
func (h voterHost) Led(term uint64)       { h.v.led(h.c, term) }
func (h voterHost) Confirmed(read uint64) { h.v.confirmed(h.c, read) }

func (h voterHost) Forgot() {
	h.c.host.Say(Lost, "birth", fmt.Sprintf("%016x", h.v.birth))
	h.v.forgot = true
}
