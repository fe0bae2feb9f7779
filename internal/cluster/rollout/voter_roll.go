package rollout

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/cluster/consensus"
)

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
