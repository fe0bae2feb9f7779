package quota

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"magpiebank/internal/testbed/modelcheck"
)

// The two models that are walked. Safety falls into two parts, which meet only in that a loan must end before its lender's seat
// does: one seat has one holder at a time, whatever becomes of holders and keepers; and of what a holder has, what is lent and what
// is left together are never more than it. Clocks run a quarter fast or slow here, so that few steps tell.
const (
	modelDrift = 4
	unit       = Time(4) // of a true clock, at each step of time; a fast one goes 5, a slow one 3
)

// envelope is a message under way.
type envelope struct {
	to  string
	m   Message
	key string // the message in bytes, by which equal ones are told
}

func seal(to string, m Message) envelope {
	b := append([]byte(to), byte(m.Kind), byte(m.Share))
	b = append(b, m.Sender...)
	for _, v := range []uint64{m.SenderIncarnation, m.RecipientIncarnation, m.PlanNumber, uint64(m.Sequence), uint64(m.QuotaID), uint64(m.Units), uint64(m.LeaseID)} {
		b = binary.AppendUvarint(b, v)
	}
	for _, v := range slices.Concat(m.VoterIncarnations, m.KnownIncarnations, m.Predecessors) {
		b = binary.AppendUvarint(b, v)
	}
	return envelope{to, m, string(b)}
}

// actor is one process of a model.
type actor struct {
	core  *Core
	rate  Time // of its clock, in a unit
	alive bool
}

// world is a state of either model.
type world struct {
	plan    *Plan
	at      Time // in units
	actors  []*actor
	mail    []envelope
	most    int // messages under way
	crashes int // still to come
	returns int // times that a process is followed by one that knows it has ended
	twins   int
	starts  uint64
	doubles int
	pairs   bool // of the keepers two hear what is asked, no more
	lacks   int  // times that a lender's own tasks begin to lack what is out
	walk    func(*world) []modelcheck.Transition
	bad     func(*world) string
}

// post takes messages of a core.
type post struct{ w *world }

func (p post) Send(to string, m Message) { p.w.mail = append(p.w.mail, seal(to, m)) }
func (p post) Peers() []string           { return nil }

func (c *Core) clone(h Host) *Core {
	d := *c
	d.host = h
	d.starts, d.known, d.seats = slices.Clone(c.starts), slices.Clone(c.known), slices.Clone(c.seats)
	d.claims = slices.Clone(c.claims)
	d.lent, d.loans, d.asks, d.wanted = slices.Clone(c.lent), slices.Clone(c.loans), slices.Clone(c.asks), slices.Clone(c.wanted)
	d.uses, d.needAt, d.spares = slices.Clone(c.uses), slices.Clone(c.needAt), slices.Clone(c.spares)
	d.standing, d.scale, d.promised = slices.Clone(c.standing), slices.Clone(c.scale), slices.Clone(c.promised)
	d.promisedTo, d.one = slices.Clone(c.promisedTo), slices.Clone(c.one)
	d.collects, d.pauseTo = slices.Clone(c.collects), slices.Clone(c.pauseTo)
	d.failed = slices.Clone(c.failed)
	d.told, d.toldAt, d.denied = slices.Clone(c.told), slices.Clone(c.toldAt), slices.Clone(c.denied)
	return &d
}

// after is the world after something is done in a copy of it.
func (w *world) after(do func(*world)) modelcheck.State {
	n := *w
	n.actors = make([]*actor, len(w.actors))
	for i, a := range w.actors {
		b := *a
		b.core = a.core.clone(post{&n})
		n.actors[i] = &b
	}
	n.mail = slices.Clone(w.mail)
	do(&n)
	n.settle()
	return &n
}

// settle delivers what members say to themselves, which no network loses, and loses the oldest of what is too much.
func (w *world) settle() {
	for again := true; again; {
		again = false
		for i, e := range w.mail {
			if a := w.speaker(e.m); a != nil && a.alive && a.core.name == e.to {
				w.mail = slices.Delete(w.mail, i, i+1)
				a.core.HandleMessage(w.clock(a), e.m)
				again = true
				break
			}
		}
	}
	if over := len(w.mail) - w.most; over > 0 {
		w.mail = slices.Clone(w.mail[over:])
	}
	slices.SortFunc(w.mail, func(a, b envelope) int { return strings.Compare(a.key, b.key) })
	w.mail = slices.CompactFunc(w.mail, func(a, b envelope) bool { return a.key == b.key })
}

func (w *world) speaker(m Message) *actor {
	for _, a := range w.actors {
		if a.core.name == m.Sender && a.core.start == m.SenderIncarnation {
			return a
		}
	}
	return nil
}

func (w *world) clock(a *actor) Time { return w.at * a.rate }

// pass has time go on by some units; clocks by their rates.
func (w *world) pass(units Time) {
	w.at += units
	for _, a := range w.actors {
		if a.alive {
			a.core.now = w.clock(a)
			a.core.tidy()
		}
	}
}

// Transitions are the model's.
func (w *world) Transitions() []modelcheck.Transition { return w.walk(w) }

// Violation is the model's.
func (w *world) Violation() string { return w.bad(w) }

// common are the moves of both models: time passes, a message comes to whoever bears the name, once or once more.
func (w *world) common(moves []modelcheck.Transition, steps ...Time) []modelcheck.Transition {
	for _, units := range steps {
		moves = append(moves, modelcheck.Transition{Name: fmt.Sprintf("%d units of time pass", units), Next: func() modelcheck.State { return w.after(func(w *world) { w.pass(units) }) }})
	}
	for i, e := range w.mail {
		for k, a := range w.actors {
			if !a.alive || a.core.name != e.to || e.m.Sender == a.core.name && e.m.SenderIncarnation == a.core.start {
				continue
			}
			comes := func(again bool) modelcheck.Transition {
				name := fmt.Sprintf("%s of %s/%d comes to %s/%d", kinds[e.m.Kind], e.m.Sender, e.m.SenderIncarnation, a.core.name, a.core.start)
				if again {
					name += ", and is still under way"
				}
				return modelcheck.Transition{Name: name, Next: func() modelcheck.State {
					return w.after(func(w *world) {
						if again {
							w.doubles--
						} else {
							w.mail = slices.Delete(w.mail, i, i+1)
						}
						w.actors[k].core.HandleMessage(w.clock(w.actors[k]), e.m)
					})
				}}
			}
			moves = append(moves, comes(false))
			if w.doubles > 0 {
				moves = append(moves, comes(true))
			}
		}
	}
	return moves
}

var kinds = [...]string{"", "enter", "entered", "claim", "confirm", "refuse", "ask", "lend", "back", "news", "leave"}

// Key is the state without absolute times: all that counts is how far off things are.
func (w *world) Key() []byte {
	b := []byte{byte(w.crashes), byte(w.returns), byte(w.twins), byte(w.doubles), byte(w.lacks)}
	num := func(v int64) { b = binary.AppendVarint(b, v) }
	for _, a := range w.actors {
		c, now := a.core, w.clock(a)
		rel := func(t Time) { num(int64(max(-1, t-now))) }
		b = append(b, c.name...)
		num(int64(c.start))
		if !a.alive {
			b = append(b, 0)
			continue
		}
		b = append(b, 1)
		rel(min(c.openAt, now+1000))
		for _, k := range c.claims {
			num(int64(k.seat))
			rel(k.from)
			rel(k.until)
			if k.seq > 0 {
				num(int64(max(-100, k.asked-now)))
			}
			for _, v := range k.votes {
				num(int64(v.keeper))
				num(int64(v.start))
				for _, s := range slices.Concat(v.starts, v.known) {
					num(int64(s))
				}
			}
		}
		num(int64(c.last))
		for _, s := range c.after {
			num(int64(s))
		}
		for _, s := range c.starts {
			num(int64(s))
		}
		for _, k := range c.known {
			num(int64(k))
		}
		for _, s := range c.seats {
			b = append(b, s.holder...)
			num(int64(s.start))
			rel(s.until)
		}
		for _, list := range [][]loan{c.lent, c.loans} {
			num(int64(len(list)))
			for _, l := range list {
				b = append(b, l.with...)
				num(int64(l.start))
				num(int64(l.id))
				num(l.amount)
				rel(l.until)
				if l.last {
					num(1)
				} else {
					num(0)
				}
			}
		}
		for _, k := range c.asks {
			b = append(b, k.of...)
			num(int64(k.seq))
			num(int64(k.id))
			num(k.amount)
			num(int64(k.at - now))
		}
		num(c.wanted[0])
	}
	for _, e := range w.mail {
		b = append(append(b, e.key...), 0xff)
	}
	return b
}

// again asks for a loan of one, or for more time on the one there is.
func (c *Core) again(of string) {
	if i := slices.IndexFunc(c.loans, func(l loan) bool { return l.with == of }); i >= 0 {
		c.borrow(0, of, c.loans[i].amount, c.loans[i].id)
		return
	}
	c.ids++
	c.borrow(0, of, 1, c.ids)
}

// loans is the model of lending: three holders whose seats stand, one of them with a fast clock and one with a slow one.
func loans(p defect, total int64) *world {
	plan := &Plan{Shares: 3, Voters: []string{"a", "b", "c"}, ShareTerm: 1000 * unit, LeaseTerm: 2 * unit, DriftDivisor: modelDrift, Number: 1, QuotaIDs: []uint32{0}, Totals: []int64{total}, planted: p}
	w := &world{plan: plan, most: 3, crashes: 1, doubles: 1, starts: 3}
	for i, name := range plan.Voters {
		a := &actor{rate: []Time{5, 4, 3}[i], alive: true}
		a.core = New(0, plan, name, uint64(i+1), i, post{w})
		a.core.claims[0].until, a.core.claims[0].next = Never-1, Never
		w.actors = append(w.actors, a)
	}
	w.mail = nil
	w.bad = func(w *world) string {
		sum, parts := int64(0), ""
		for _, a := range w.actors {
			if a.alive {
				n := a.core.HeldUnits(w.clock(a), 0)
				sum += n
				parts += fmt.Sprintf(" %s/%d %d", a.core.name, a.core.start, n)
			}
		}
		if sum > total {
			return fmt.Sprintf("%d may be used of %d:%s", sum, total, parts)
		}
		return ""
	}
	w.walk = func(w *world) []modelcheck.Transition {
		moves := w.common(nil, 1)
		do := func(name string, f func(*world)) {
			moves = append(moves, modelcheck.Transition{Name: name, Next: func() modelcheck.State { return w.after(f) }})
		}
		for i, a := range w.actors {
			if !a.alive {
				continue
			}
			of := w.actors[(i+1)%3].core.name
			if i != 1 && len(a.core.asks) < 2 { // the slow one borrows of the fast one, and the fast one of the true one
				do(fmt.Sprintf("%s asks %s", a.core.name, of), func(w *world) { w.actors[i].core.again(of) })
			}
			if len(a.core.loans) > 0 {
				do(a.core.name+" gives back", func(w *world) { w.actors[i].core.ReturnLeases(w.clock(w.actors[i]), 0, 100) })
			}
			if w.lacks > 0 && len(a.core.lent) > 0 {
				do(a.core.name+"'s own tasks lack it", func(w *world) {
					w.lacks--
					w.actors[i].core.wanted[0] = total
				})
			}
			begins := func(w *world) {
				w.starts++
				w.actors[i].core = New(w.clock(w.actors[i]), plan, a.core.name, w.starts, i, post{w})
				w.actors[i].core.claims[0].next = Never
				w.mail = slices.DeleteFunc(w.mail, func(e envelope) bool { return e.m.Kind == KindVoterJoin })
			}
			if w.crashes > 0 {
				do(a.core.name+" is killed and starts with nothing", func(w *world) { w.crashes--; begins(w) })
			}
			if w.returns > 0 {
				do(a.core.name+" is killed, and who follows has its seat", func(w *world) {
					w.returns--
					begins(w)
					w.actors[i].core.SucceedIncarnations([]uint64{a.core.start})
					w.actors[i].core.claims[0].until = Never - 1
				})
			}
		}
		return moves
	}
	return w
}

// recalls is that with a lender that calls back what is out, and nobody killed.
func recalls(p defect) *world {
	w := loans(p, 3)
	w.crashes, w.lacks = 0, 1
	return w
}

// returns is that with a holder that is killed and followed.
func returns(p defect) *world {
	w := loans(p, 3)
	w.crashes, w.returns = 0, 1
	return w
}

// seats is the model of holding: three keepers with clocks true, fast and slow, and a member that holds the one seat and is doubled,
// or killed and followed; keepers are killed and doubled as well, each a new process that knows nothing. Time passes by some numbers of units.
func seats(p defect, crashes, returns, twins int, steps ...Time) *world {
	plan := &Plan{Shares: 1, Voters: []string{"a", "b", "c"}, ShareTerm: 4 * unit, LeaseTerm: unit, DriftDivisor: modelDrift, Number: 1, QuotaIDs: []uint32{0}, Totals: []int64{1}, planted: p}
	w := &world{plan: plan, most: 3, crashes: crashes, returns: returns, twins: twins, doubles: 0, starts: 5}
	for i, name := range plan.Voters {
		a := &actor{rate: []Time{4, 5, 3}[i], alive: true}
		a.core = New(0, plan, name, uint64(i+1), -1, post{w})
		for k := range plan.Voters {
			a.core.starts[k], a.core.known[k] = uint64(k+1), uint64(k+1)
		}
		a.core.openAt = 0 // they have long been there
		w.actors = append(w.actors, a)
	}
	for k := range 2 { // the second is a process under the first one's name
		w.actors = append(w.actors, &actor{rate: []Time{3, 5}[k], alive: true})
		w.actors[3+k].core = New(0, plan, "m", uint64(4+k), 0, post{w})
	}
	w.mail = nil
	w.bad = func(w *world) string {
		var holders []string
		for _, a := range w.actors {
			if a.alive && a.core.HeldUnits(w.clock(a), 0) > 0 {
				holders = append(holders, fmt.Sprintf("%s/%d", a.core.name, a.core.start))
			}
		}
		if len(holders) > 1 {
			return "one seat, held by " + strings.Join(holders, " and ")
		}
		return ""
	}
	w.walk = func(w *world) []modelcheck.Transition {
		moves := w.common(nil, steps...)
		do := func(name string, f func(*world)) {
			moves = append(moves, modelcheck.Transition{Name: name, Next: func() modelcheck.State { return w.after(f) }})
		}
		for i, a := range w.actors {
			if !a.alive {
				continue
			}
			who := fmt.Sprintf("%s/%d", a.core.name, a.core.start)
			if a.core.keeper < 0 {
				if a.core.last < 2 && (a.core.claims[0].seq == 0 || w.clock(a)-a.core.claims[0].asked >= plan.ShareTerm/2) {
					for _, set := range subsets(w) {
						do(fmt.Sprintf("%s claims the seat, heard by%s", who, set.names), func(w *world) {
							w.actors[i].core.claimSeat(0)
							w.toldTo(set.actors)
						})
					}
				}
				if w.returns > 0 {
					do(who+" is killed and followed", func(w *world) {
						w.returns--
						w.starts++
						w.actors[i].core = New(w.clock(w.actors[i]), plan, a.core.name, w.starts, 0, post{w})
						w.actors[i].core.SucceedIncarnations([]uint64{a.core.start})
					})
				}
				continue
			}
			if a.core.openAt == Never {
				for _, set := range subsets(w) {
					do(fmt.Sprintf("%s tells its start, heard and answered by%s", who, set.names), func(w *world) {
						w.actors[i].core.announce()
						w.toldTo(set.actors)
						w.toldTo([]int{i})
					})
				}
			}
			begin := func(w *world) *Core {
				w.starts++
				return New(w.clock(w.actors[i]), plan, a.core.name, w.starts, -1, post{w})
			}
			if w.crashes > 0 {
				do(who+" is killed and starts with nothing", func(w *world) { w.crashes--; w.actors[i].core = begin(w) })
			}
			if w.twins > 0 {
				do("another process starts under the name "+a.core.name, func(w *world) {
					w.twins--
					w.actors = append(w.actors, &actor{core: begin(w), rate: a.rate, alive: true})
				})
			}
		}
		return moves
	}
	return w
}

// doubled is that with a keeper's double there, which one other knows, and nobody killed.
func doubled(p defect) *world {
	w := seats(p, 0, 0, 0, 7)
	w.starts++
	w.actors = append(w.actors, &actor{core: New(0, w.plan, "a", w.starts, -1, post{w}), rate: 4, alive: true})
	w.mail, w.pairs = nil, true
	a := w.actors[5]
	a.core.announce()
	w.toldTo([]int{2})
	w.toldTo([]int{5})
	w.mail = nil
	return w
}

// forgotten is that with two keepers that were both started again since the third was doubled, by word of its earlier process: neither has
// heard of the later one, which has long been there.
func forgotten(p defect) *world {
	w := seats(p, 0, 0, 0, 1, 7)
	w.starts, w.pairs = 8, true
	begin := func(name string, start uint64, known ...uint64) *Core {
		c := New(0, w.plan, name, start, -1, post{w})
		c.openAt = 0
		copy(c.starts, known)
		copy(c.known, known)
		return c
	}
	copy(w.actors[0].core.starts, []uint64{1, 7, 8})
	w.actors[1].core, w.actors[2].core = begin("b", 7, 1, 7, 8), begin("c", 8, 1, 7, 8)
	w.actors = append(w.actors, &actor{core: begin("a", 6, 6, 2, 3), rate: 4, alive: true})
	w.mail = nil
	return w
}

// entering is that with one of the two still to enter, by either process of the third; it was answered by the later one and by the other.
func entering(p defect) *world {
	w := forgotten(p)
	c := w.actors[2].core
	c.unknown()
	c.announce()
	w.toldTo([]int{1, 5})
	w.toldTo([]int{2})
	w.mail = nil
	return w
}

// subset is some of the keepers' processes.
type subset struct {
	actors []int
	names  string
}

// subsets are those that can make a difference: two of them at least.
func subsets(w *world) (out []subset) {
	var keepers []int
	for i, a := range w.actors {
		if a.alive && a.core.keeper >= 0 {
			keepers = append(keepers, i)
		}
	}
	for bits := range 1 << len(keepers) {
		var s subset
		for k, i := range keepers {
			if bits>>k&1 == 1 {
				s.actors = append(s.actors, i)
				s.names += fmt.Sprintf(" %s/%d", w.actors[i].core.name, w.actors[i].core.start)
			}
		}
		if n := len(s.actors); n == 2 || n > 2 && !w.pairs {
			out = append(out, s)
		}
	}
	return out
}

// toldTo has some hear at once what is meant for their names and was just said, and nobody else: what matters of a question's way
// is in the answer's, as its time counts from the asking.
func (w *world) toldTo(some []int) {
	var said []envelope
	w.mail = slices.DeleteFunc(w.mail, func(e envelope) bool {
		now := e.m.Kind != KindShareConfirm && e.m.Kind != KindReject
		if now {
			said = append(said, e)
		}
		return now
	})
	for _, e := range said {
		for _, i := range some {
			if a := w.actors[i]; a.alive && a.core.name == e.to {
				a.core.HandleMessage(w.clock(a), e.m)
			}
		}
	}
	w.mail = slices.DeleteFunc(w.mail, func(e envelope) bool { return e.m.Kind == KindReject })
}

// Explore walks both models, each up to a number of states, and tells what it came to by name.
func Explore(most int, each func(what string, r modelcheck.Result)) {
	for _, total := range []int64{2, 3} {
		r := modelcheck.Explore(loans(none, total), most, 1000)
		each(fmt.Sprintf("lending, 3 members, a total of %d, one killed, a message doubled", total), r)
	}
	each("lending, 3 members, a total of 3, a lender's own tasks lack it, a message doubled", modelcheck.Explore(recalls(none), most, 1000))
	each("lending, 3 members, a total of 3, one killed and followed, a message doubled", modelcheck.Explore(returns(none), most, 1000))
	each("seats, 3 keepers, a member and its double, one of them killed and followed", modelcheck.Explore(seats(none, 0, 1, 0, 1, 3), most, 1000))
	each("seats, 3 keepers, a member and its double, a keeper's double, known by one", modelcheck.Explore(doubled(none), most, 1000))
	each("seats, 3 keepers, a member and its double, a keeper's double, known by none any more", modelcheck.Explore(forgotten(none), most, 1000))
	each("seats, 3 keepers, a member and its double, a keeper's double, and another that enters", modelcheck.Explore(entering(none), most, 1000))
	each("seats, 3 keepers, a member and its double, a keeper killed", modelcheck.Explore(seats(none, 1, 0, 0, 1, 3), most, 1000))
	each("seats, 3 keepers, a member and its double, a keeper doubled", modelcheck.Explore(seats(none, 0, 0, 1, 1, 7), most, 1000))
}
