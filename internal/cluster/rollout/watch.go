package rollout

import "fmt"

// counts are what the members told of a rehearsal, or of a number, in the order of the guests.
func (v *voter) counts(of uint64) (out []Count) {
	for i := range v.lead.guests {
		if k := v.lead.guests[i].ask.Count; k.Of == of {
			out = append(out, k)
		}
	}
	return out
}

func sum(list []Count) (all Count) {
	for _, k := range list {
		all.Tasks += k.Tasks
		all.Classed += k.Classed
		all.Refused += k.Refused
		all.Held += k.Held
	}
	return all
}

func share(part, of uint64) float64 {
	if of == 0 {
		return 0
	}
	return float64(part) / float64(of)
}

// over tells which bound is passed, in words.
func (b Bounds) over(k Count) string {
	for _, s := range []struct {
		what string
		is   float64
		most float64
	}{{"refused", share(k.Refused, k.Tasks), b.Refused}, {"held", share(k.Held, k.Tasks), b.Held}} {
		if s.is > s.most {
			return fmt.Sprintf("%.3f of the tasks %s, at most %.3f may be", s.is, s.what, s.most)
		}
	}
	return ""
}

// rehearsed tells what a rehearsal came to, and whether it is worse than the proposal allows.
func (v *voter) rehearsed(c *Core, p *Offer, t *text) (report string, worse bool) {
	list := v.counts(p.ID)
	all := sum(list)
	report = fmt.Sprintf("rehearsed by %d members: of %d tasks %d classed, %d refused and %d held that are not now", len(list), all.Tasks, all.Classed, all.Refused, all.Held)
	if t == nil || t.terms.Guard == (Bounds{}) {
		return report, false
	}
	if over := t.terms.Guard.over(all); over != "" && all.Tasks >= leastTasks {
		return report + "; guard: " + over, true
	}
	return report, false
}

// watch has a policy on probation be taken back once it is worse than it says it may be: once, as a change of its own.
func (v *voter) watch(c *Core) {
	l, trial := v.lead, v.book.Trial
	if trial == nil {
		return
	}
	if l.watched != trial.Number {
		l.watched, l.watchAt = trial.Number, c.now
	}
	t := c.shelf.get(v.book.Digest)
	if t == nil || t.state != good || v.book.Open != nil {
		return
	}
	all := sum(v.counts(trial.Number))
	over := t.terms.Bounds.over(all)
	switch back := v.book.act(trial.Back); {
	case over != "" && all.Tasks >= leastTasks && (back != nil || trial.Back == 0):
		p := &Offer{ID: c.chance.Uint64() | 1, Kind: Rollback, By: c.name, Base: v.book.Number, Of: trial.Back, Back: true}
		if back != nil {
			p.Digest, p.Size = back.Digest, back.Size
		}
		if v.write(c, "open", &entry{Open: p}) {
			c.host.Say(TakenBack, "number", trial.Number, "to", trial.Back, "why", over)
		}
	case c.now-l.watchAt >= t.terms.Probation:
		v.write(c, "kept", &entry{Kept: trial.Number})
	}
}
