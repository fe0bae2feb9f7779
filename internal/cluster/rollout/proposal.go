package rollout

import (
	"fmt"
	"slices"
	"strings"
)

// judge has the change go on, as far as it can.
func (v *voter) judge(c *Core) {
	l, p := v.lead, v.book.Open
	if l == nil || p == nil || l.behind {
		return
	}
	t := c.shelf.get(p.Digest)
	if t == nil || t.state == missing {
		from := []string{p.By}
		for i := range l.guests {
			if l.guests[i].ask.Ready == p.ID {
				from = append(from, l.guests[i].name)
			}
		}
		c.shelf.want(c, p.Digest, p.Size, from)
	}
	for i := range l.guests {
		if g := &l.guests[i]; g.ask.Refuses == p.ID && c.now-g.heardAt < v.book.Lease && l.phase < deciding {
			v.drop(c, WasDropped, fmt.Sprintf("%s: %s", g.name, g.ask.Why))
			return
		}
	}
	if c.now-l.opened >= v.limit(c, t) && l.phase < deciding {
		v.drop(c, WasDropped, "it could not take hold in time: "+v.state(c))
		return
	}
	switch l.phase {
	case taking:
		if v.taken(c) && t != nil && t.state == good {
			switch length := max(p.For, t.terms.Rehearse); {
			case length > 0 && !l.tried:
				l.begun = v.counts(p.ID)
				v.turn(c, trying)
				v.push(c)
			default:
				c.host.Say(Yielding, "proposal", name(p.ID), "number", v.book.Number+1)
				v.turn(c, yielding)
				for i := range l.guests {
					if g := &l.guests[i]; g.until > c.now {
						v.yieldTo(c, g)
					}
				}
				v.judge(c)
			}
		}
	case trying:
		if c.now-l.since >= max(p.For, t.terms.Rehearse) {
			l.tried = true
			report, worse := v.rehearsed(c, p, t)
			v.turn(c, taking)
			if worse || p.Kind == Rehearsal {
				how := WasDropped
				if p.Kind == Rehearsal {
					how = WasRehearsed
				}
				v.drop(c, how, report)
				return
			}
			v.push(c)
			v.judge(c)
		}
	case yielding:
		held := 0
		for i := range l.guests {
			if l.guests[i].until > c.now {
				held++
			}
		}
		switch {
		case held == 0:
			v.turn(c, deciding)
			v.decide(c, t)
		case c.now-l.since >= yieldFor:
			for i := range l.guests {
				if g := &l.guests[i]; g.until > c.now {
					g.out, g.outSeq = true, g.seq
					c.host.Say(LeftOut, "member", g.name, "proposal", name(p.ID))
				}
			}
			c.host.Say(Resumed, "proposal", name(p.ID), "number", v.book.Number)
			v.turn(c, taking)
			v.read(c)
		}
	case deciding:
		v.decide(c, t)
	}
}

func (v *voter) turn(c *Core, to phase) { v.lead.phase, v.lead.since = to, c.now }

func (v *voter) decide(c *Core, t *text) {
	p := v.book.Open
	v.write(c, "decide", &entry{Decide: &decide{p.ID, c.host.Wall(), t != nil && t.terms.Probation > 0}})
}

func (v *voter) drop(c *Core, how Outcome, why string) {
	v.write(c, "drop", &entry{Drop: &End{ID: v.book.Open.ID, End: how, Why: why}})
}

// taken tells whether all that are heard have taken the proposal, and none of the others can hold a lease, or go by another pair of
// policies, any more.
func (v *voter) taken(c *Core) bool {
	l, p := v.lead, v.book.Open
	if c.now < l.clear || c.now < v.clearBoth(c) {
		return false
	}
	all := true
	voters := 0
	for i := range l.guests {
		g := &l.guests[i]
		if g.both > c.now && g.bothID != p.ID && c.plan.planted != bothForever {
			all = false
		}
		if g.ask.Ready == p.ID && !g.out {
			if p.Both > 0 && p.Kind != Rehearsal && g.bothID != p.ID && c.now-g.heardAt < v.book.Lease {
				all = false // it is to have that first
			}
			if k := v.book.voter(g.name); k != nil && c.now-g.heardAt < v.book.Lease {
				voters++
			}
			continue
		}
		if g.until > c.now {
			all = false
		}
		if !g.out && c.now-g.heardAt < v.book.Lease {
			all = false
			if c.now-l.opened >= c.plan.Within {
				g.out, g.outSeq = true, g.seq
				c.host.Say(LeftOut, "member", g.name, "proposal", name(p.ID))
			}
		}
	}
	return all && 2*voters > len(v.book.Voters)
}

// clearBoth is when all that leaders before this one let go by two policies have ended that.
func (v *voter) clearBoth(c *Core) Time {
	if v.book.Both == 0 || c.plan.planted == bothForever || c.plan.planted == noWait {
		return v.lead.began
	}
	return v.lead.began + c.plan.margin(v.book.Both)
}

// state says how far a change is.
func (v *voter) state(c *Core) string {
	l, p := v.lead, v.book.Open
	switch {
	case l.behind:
		return "behind: somebody has gone by more than the voters know; policy force is the way out"
	case p == nil && v.book.Trial != nil:
		return fmt.Sprintf("number %d is on probation", v.book.Number)
	case p == nil:
		return ""
	}
	ready, silent := 0, []string{}
	var longest Time
	for i := range l.guests {
		g := &l.guests[i]
		if g.ask.Ready == p.ID && !g.out {
			ready++
		} else if len(silent) < 3 {
			silent = append(silent, g.name)
		}
		if g.ask.Ready != p.ID || g.out {
			longest = max(longest, g.until-c.now)
		}
	}
	s := fmt.Sprintf("%s: %d of %d ready", [...]string{"being taken", "rehearsed", "switching", "being decided"}[l.phase], ready, len(l.guests))
	if len(silent) > 0 {
		s += fmt.Sprintf("; not %s", strings.Join(silent, ", "))
	}
	if wait := max(longest, l.clear-c.now, v.clearBoth(c)-c.now); wait > 0 && l.phase == taking {
		s += fmt.Sprintf("; leases end in %.1f s", float64(wait)/float64(second))
	}
	return clip(s, 200)
}

// applied takes in what the log has decided.
func (v *voter) applied(c *Core, b []byte) {
	var e entry
	if unmarshal(b, &e) != nil {
		return // of another build; all of this one pass it over alike
	}
	was, ends := v.book.Number, len(v.book.Ends)
	var last End
	if ends > 0 {
		last = v.book.Ends[ends-1]
	}
	open := v.book.Open
	v.book.apply(&e)
	if n := len(v.book.Ends); n > 0 && v.book.Ends[n-1] != last {
		end := v.book.Ends[n-1]
		code := map[Outcome]Code{WasDecided: Decided, WasDropped: Dropped, WasRehearsed: Dropped, WasRefused: Refused}[end.End]
		c.host.Say(code, "proposal", name(end.ID), "number", v.book.Number, "digest", v.book.Digest.String(), "how", end.End.String(), "why", end.Why)
	}
	if v.book.Open != open && v.book.Open != nil {
		p := v.book.Open
		c.host.Say(Opened, "proposal", name(p.ID), "kind", p.Kind.String(), "digest", p.Digest.String(), "by", p.By)
	}
	v.tidy(c)
	l := v.lead
	if l == nil {
		return
	}
	if open != nil && v.book.Open == nil { // who made it waits
		c.send(open.By, message{Told: v.book.told(open.ID)})
	}
	l.wrote = ""
	if v.book.Open != open {
		if l.phase == deciding && v.book.Number != was { // by this leader, not one before it: so nobody knows of anything later
			l.proved = true
		}
		l.opened, l.tried = c.now, false
		v.turn(c, taking)
		if v.book.Number != was { // all that gave up what they held wait for this
			for i := range l.guests {
				l.guests[i].out = l.guests[i].out && l.guests[i].until > c.now
			}
			v.read(c)
		} else {
			v.push(c)
			v.read(c)
		}
		v.judge(c)
	}
}

// proposed takes in a member's proposal.
func (v *voter) proposed(c *Core, m *message) {
	p, l := *m.Propose, v.lead
	answer := func(t *told) { c.send(m.from, message{Told: t}) }
	if l == nil {
		if n := v.leader(); n != "" && n != c.name {
			answer(&told{ID: p.ID, Leader: n})
		}
		return
	}
	if t := v.book.told(p.ID); t != nil {
		if t.End == Pending {
			t.Why = v.state(c)
		}
		answer(t)
		return
	}
	if p.Kind == Rollback && p.Of == 0 {
		p.Digest, p.Size = Digest{}, 0
	} else if p.Kind == Rollback {
		a := v.book.act(p.Of)
		if a == nil {
			answer(&told{ID: p.ID, End: WasRefused, Why: fmt.Sprintf("number %d is not among the last %d", p.Of, mostPast)})
			return
		}
		p.Digest, p.Size = a.Digest, a.Size
	}
	if (p.Digest != Digest{}) && (p.Size <= 0 || p.Size > MostText) {
		answer(&told{ID: p.ID, End: WasRefused, Why: fmt.Sprintf("expected a policy of 1 to %d bytes, found %d", MostText, p.Size)})
		return
	}
	answer(&told{ID: p.ID})
	if i := slices.IndexFunc(l.waiting, func(w waiting) bool { return w.ID == p.ID }); i >= 0 {
		l.waiting[i].at = c.now
	} else if len(l.waiting) < mostWaits {
		l.waiting = append(l.waiting, waiting{m.from, p, c.now})
	}
	c.shelf.want(c, p.Digest, p.Size, []string{m.from})
	if t := c.shelf.get(p.Digest); t != nil && t.state == missing {
		if body := c.host.Load(p.Digest); len(body) > 0 && Of(body) == p.Digest {
			c.shelf.put(c, p.Digest, body, true)
		}
	}
	v.admit(c)
}

// admit has the log open the first proposal whose text is there.
func (v *voter) admit(c *Core) {
	l := v.lead
	l.waiting = slices.DeleteFunc(l.waiting, func(w waiting) bool {
		t := c.shelf.get(w.Digest)
		switch {
		case v.book.knows(w.ID) || c.now-w.at >= 10*second:
			return true
		case t != nil && t.state == bad:
			c.send(w.from, message{Told: &told{ID: w.ID, End: WasRefused, Why: c.name + ": " + t.why}})
			return c.now-w.at >= second
		case t != nil && t.state == good && l.wrote == "":
			p := &Offer{ID: w.ID, Digest: w.Digest, Size: w.Size, Kind: w.Kind, By: w.from, Base: w.Base, Of: w.Of, For: w.For, Both: t.terms.Both}
			v.write(c, "open", &entry{Open: p})
		}
		return false
	})
}

// shelved takes in that a text was looked at.
func (v *voter) shelved(c *Core) {
	if v.lead != nil {
		v.admit(c)
		v.judge(c)
	}
}

// needs tells whether the voters need a text at hand.
func (v *voter) needs(d Digest) bool {
	if p := v.book.Open; p != nil && p.Digest == d {
		return true
	}
	return v.lead != nil && slices.ContainsFunc(v.lead.waiting, func(w waiting) bool { return w.Digest == d })
}
