package rollout

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"magpiebank/internal/cluster/consensus"
	"magpiebank/internal/testbed/modelcheck"
)

// The model that is walked: three voters, of which two can be elected, with clocks true and fast, and a member with a slow one, all gateways
// that go by policies; and two proposals. The voters' log is what a log by majority promises and no more (draft): one leader counts, others may
// believe that they lead; what a leader appended and no majority had may be lost with it, or be decided by the next one; a majority's word is
// had by the one that counts alone. What matters of an ask's way is in its answer's, as a lease counts from the asking: asks come at once, but
// for one that may stay under way. Who leads has a lease of its own at any time. Texts are there and looked at. Clocks run a quarter fast
// or slow, so that few steps tell.
const (
	modelDrift = 4
	unit       = yieldTimeout // of a true clock at each step of time; a fast one goes five quarters of it, a slow one three
)

// draft is the log, as all voters share it.
type draft struct {
	term    uint64
	leader  int // whose word counts; below 0: nobody's
	decided [][]byte
	next    []byte // appended by the leader, and not decided
}

// seat is a voter's view of it.
type seat struct {
	w    *world
	n    int
	term uint64 // by which it leads; 0: it doesn't
	at   int    // entries that it was told
	ask  uint64 // a majority's word that it waits for
}

func (s *seat) Append(e []byte) bool {
	d := &s.w.draft
	if s.term == 0 {
		return false
	}
	if d.leader == s.n && d.term == s.term { // what others append is lost
		if d.next != nil {
			return false
		}
		d.next = e
	}
	return true
}

func (s *seat) ConfirmLeadership(read uint64)                { s.ask = read }
func (s *seat) ChangeVoters(_ []byte, _, _, _ []uint64) bool { return false }
func (s *seat) HandleMessage([]byte) error                   { return nil }
func (s *seat) Tick()                                        {}
func (s *seat) IsLeader() bool                               { return s.term > 0 }
func (s *seat) LeaderID() uint64                             { return 0 }
func (s *seat) TransferLeadership(uint64)                    {}
func (s *seat) IsCaughtUp(uint64) bool                       { return true }
func (s *seat) IsActive(uint64) bool                         { return true }
func (s *seat) Voters() (voters, learners []uint64)          { return nil, nil }
func (s *seat) Err() error                                   { return nil }
func (s *seat) tell(c *Core, d *draft)                       { c.voter.entryApplied(c, d.decided[s.at]); s.at++ }

// actor is one process of the model.
type actor struct {
	core     *Core
	seat     *seat // nil: it doesn't vote
	rate     Time  // of its clock, in quarters
	standing InForce
	decides  bool // it is a gateway that goes by policies
}

// letterTo is a message under way.
type letterTo struct {
	to, from string
	m        *Message
}

type world struct {
	plan    *Config
	at      Time
	draft   draft
	actors  []*actor
	mail    []letterTo
	most    int
	kills   int // still to come
	elects  int
	doubles int
	asks    int               // of the member, still to come
	lateAsk bool              // asks stay under way
	offers  []*LoggedProposal // still to be made
	starts  uint64
	latest  uint64 // the highest number that anyone has decided by
	by      string
	wrong   string
}

// post is what a core of the model acts on.
type post struct {
	w *world
	n int
}

func (p post) Send(string, []byte) {}

// carry takes a message as it is, in place of its bytes.
func (p post) carry(to string, m *Message) {
	p.w.mail = append(p.w.mail, letterTo{to, p.w.actors[p.n].core.name, m})
}

func (p post) Peers() (out []string) {
	for i, a := range p.w.actors {
		if i != p.n && a.decides {
			out = append(out, a.core.name)
		}
	}
	return out
}

func (p post) CheckPolicy(Digest, []byte, func(Terms, error))  {}
func (p post) SaveRecords(_ []consensus.Record, _ func(error)) {}
func (p post) LoadPolicy(Digest) []byte                        { return nil }
func (p post) SetInForce(s *InForce)                           { p.w.actors[p.n].standing = *s }
func (p post) Drained() bool                                   { return true }
func (p post) RequestCounts() RequestCounts                    { return RequestCounts{} }
func (p post) UnixSeconds() int64                              { return 0 }
func (p post) LogEvent(EventCode, ...any)                      {}

func (w *world) clock(a *actor) Time { return w.at * unit * a.rate / 4 }

// after is the world after something is done in a copy of it.
func (w *world) after(do func(*world)) modelcheck.State {
	n := *w
	n.draft.decided = slices.Clone(w.draft.decided)
	n.actors = make([]*actor, len(w.actors))
	n.mail, n.offers = slices.Clone(w.mail), slices.Clone(w.offers)
	for i, a := range w.actors {
		b := *a
		c := *a.core
		b.core, c.host, c.transport = &c, post{&n, i}, post{&n, i}.carry
		c.random = rand.New(rand.NewPCG(1, 1)) // who has a text is no matter here
		c.follower.voters = slices.Clone(c.follower.voters)
		if a.seat != nil {
			s := *a.seat
			s.w, b.seat = &n, &s
			v := *c.voter
			v.log, v.table = &s, *c.voter.table.clone()
			if v.leadership != nil {
				l := *v.leadership
				l.holders = slices.Clone(l.holders)
				v.leadership = &l
			}
			c.voter = &v
		}
		n.actors[i] = &b
	}
	do(&n)
	n.settle()
	return &n
}

// settle delivers what a gateway says to itself and what a leader is asked, has the leader that counts renew its own lease, loses the oldest
// of what is too much, and looks who decides by what.
func (w *world) settle() {
	w.inside()
	if i := w.draft.leader; i >= 0 && w.actors[i].seat.term == w.draft.term && w.actors[i].core.voter.leadership.phase < switching {
		c := w.actors[i].core
		c.follower.leader, c.follower.leaseDuration = c.name, 100*w.plan.LeaseDuration
		c.follower.requestLease(c)
		w.inside()
	}
	if over := len(w.mail) - w.most; over > 0 {
		w.mail = slices.Clone(w.mail[over:])
	}
	slices.SortFunc(w.mail, func(a, b letterTo) int { return strings.Compare(w.letterKey(&a), w.letterKey(&b)) })
	w.mail = slices.CompactFunc(w.mail, func(a, b letterTo) bool { return w.letterKey(&a) == w.letterKey(&b) })
	w.look()
}

func (w *world) inside() {
	for again := true; again; {
		again = false
		for i, e := range w.mail {
			late := e.m.LeaseRequest != nil && w.lateAsk
			if e.to != e.from && (e.m.LeaseRequest == nil || late) {
				continue
			}
			if w.mail = slices.Delete(w.mail, i, i+1); e.to != e.from || w.speaker(e) != nil {
				for _, a := range w.actors {
					if a.core.name == e.to {
						w.deliver(a, e)
					}
				}
			}
			again = true
			break
		}
		for i, a := range w.actors { // a majority's word is had at once, by whose it is
			if s := a.seat; s != nil && s.ask != 0 && w.draft.leader == i && s.term == w.draft.term {
				read := s.ask
				s.ask = 0
				a.core.voter.leadershipConfirmed(a.core, read)
				again = true
			}
		}
		if d := &w.draft; d.next != nil && (w.elects == 0 || !w.isDecision(d.next)) { // nothing can come between
			d.decided, d.next = append(d.decided, d.next), nil
			a := w.actors[d.leader]
			a.seat.tell(a.core, d)
			again = true
		}
	}
}

func (w *world) speaker(e letterTo) *actor {
	for _, a := range w.actors {
		if a.core.name == e.from && a.core.incarnation == e.m.Incarnation {
			return a
		}
	}
	return nil
}

func (w *world) isDecision(b []byte) bool {
	var e logEntry
	return unmarshal(b, &e) == nil && e.Decide != nil
}

// letterKey tells messages apart, with an ask's number as how many it is behind the latest.
func (w *world) letterKey(e *letterTo) string {
	m := e.m
	s := fmt.Sprint(e.to, e.from, m.Incarnation, m.what())
	if a := m.LeaseReply; a != nil {
		behind := int64(-1)
		for _, k := range w.actors {
			if k.core.name == e.to && k.core.incarnation == a.ForIncarnation {
				behind = int64(k.core.follower.seq - a.Seq)
			}
		}
		id := uint64(0)
		if a.Proposal != nil {
			id = a.Proposal.ID
		}
		return fmt.Sprint(e.to, e.from, m.Incarnation, a.ForIncarnation, behind, a.Decided.Number, a.Lease, id, a.Overlap, a.YieldFor, a.Confirmed, a.Leader)
	}
	return s
}

func (w *world) deliver(a *actor, e letterTo) {
	c := a.core
	c.now = max(c.now, w.clock(a))
	if a.decides || e.m.LeaseRequest != nil {
		m := *e.m
		m.from = e.from
		c.dispatch(&m)
	}
}

// look takes each gateway that may decide by a number as having done so.
func (w *world) look() {
	for _, later := range []bool{false, true} { // those that lag first: it is all one instant
		for _, a := range w.actors {
			s, now := &a.standing, w.clock(a)
			if !a.decides || later != (s.Number > w.latest) {
				continue
			}
			who := fmt.Sprintf("%s/%d", a.core.name, a.core.incarnation)
			switch {
			case s.HoldsLease(now) && s.Number < w.latest && w.wrong == "":
				w.wrong = fmt.Sprintf("%s decides by number %d, after %s has decided by %d", who, s.Number, w.by, w.latest)
			case s.HoldsLease(now) && s.Number > w.latest:
				w.latest, w.by = s.Number, who
			case s.HoldsLease(now):
			case s.OverlapDigest != (Digest{}) && now < s.OverlapUntil && w.wrong == "" && (w.latest > s.Number+1 || w.latest == s.Number+1 && w.inForce(w.latest) != s.OverlapDigest):
				w.wrong = fmt.Sprintf("%s decides by what number %d and a proposal allow, after %s has decided by %d", who, s.Number, w.by, w.latest)
			}
		}
	}
}

// inForce is the policy of a number, as the log has it.
func (w *world) inForce(number uint64) Digest {
	var b Table
	for _, e := range w.draft.decided {
		var k logEntry
		if unmarshal(e, &k) == nil {
			b.apply(&k)
		}
		if b.Number == number {
			break
		}
	}
	return b.Digest
}

// Violation is the first decision by an older policy.
func (w *world) Violation() string { return w.wrong }

// Transitions are all that can happen next.
func (w *world) Transitions() (moves []modelcheck.Transition) {
	add := func(name string, do func(*world)) {
		moves = append(moves, modelcheck.Transition{Name: name, Next: func() modelcheck.State { return w.after(do) }})
	}
	add("time passes", func(w *world) {
		w.at++
		for _, a := range w.actors {
			c := a.core
			if c.now = w.clock(a); a.decides {
				c.follower.expire(c)
			}
			if c.voter != nil && c.voter.leadership != nil {
				c.voter.advanceProposal(c)
			}
		}
	})
	for i, a := range w.actors {
		c, s := a.core, a.seat
		who := fmt.Sprintf("%s/%d", c.name, c.incarnation)
		if a.decides {
			for k, v := range w.actors {
				if v.seat != nil && v.seat.term > 0 && k != i && s == nil && w.asks > 0 {
					to := v.core.name
					add(who+" asks "+to, func(w *world) {
						w.asks--
						o := &w.actors[i].core.follower
						o.leader, o.leaseDuration = to, 100*w.plan.LeaseDuration
						o.requestLease(w.actors[i].core)
					})
				}
			}
			if s == nil && w.kills > 0 {
				add(who+" is killed and starts by its folder", func(w *world) {
					w.kills--
					w.begin(i, &floorRecord{Version: a.core.follower.current, Digest: a.core.follower.currentDigest})
				})
			}
		}
		if s == nil {
			continue
		}
		if w.elects > 0 {
			for _, kept := range []bool{false, true} {
				if kept && w.draft.next == nil || s.term == w.draft.term && s.term > 0 {
					continue
				}
				name := who + " is elected"
				if kept {
					name += ", and has what was appended before"
				}
				add(name, func(w *world) {
					w.elects--
					w.elect(i, kept)
				})
			}
		}
		if s.term > 0 && s.term < w.draft.term {
			add(who+" learns that another leads", func(w *world) {
				a := w.actors[i]
				a.seat.term, a.seat.ask = 0, 0
				a.core.voter.leadershipChanged(a.core, 0)
			})
		}
		if w.draft.leader != i || s.term != w.draft.term {
			continue
		}
		if w.draft.next != nil {
			add("what "+who+" appended is decided", func(w *world) {
				w.draft.decided, w.draft.next = append(w.draft.decided, w.draft.next), nil
				a := w.actors[i]
				a.seat.tell(a.core, &w.draft)
			})
		}
		if len(w.offers) > 0 && w.draft.next == nil {
			add(fmt.Sprintf("%s takes in proposal %d", who, w.offers[0].ID), func(w *world) {
				a := w.actors[i]
				a.core.voter.appendEntry(a.core, "open", &logEntry{Proposal: w.offers[0]})
				w.offers = w.offers[1:]
			})
		}
	}
	for i, e := range w.mail {
		for k, a := range w.actors {
			if a.core.name != e.to {
				continue
			}
			name := fmt.Sprintf("%s of %s/%d comes to %s/%d", e.m.what(), e.from, e.m.Incarnation, a.core.name, a.core.incarnation)
			add(name, func(w *world) {
				w.mail = slices.Delete(w.mail, i, i+1)
				w.deliver(w.actors[k], e)
			})
			if w.doubles > 0 {
				add(name+", and is still under way", func(w *world) {
					w.doubles--
					w.deliver(w.actors[k], e)
				})
			}
		}
	}
	return moves
}

func (m *Message) what() string {
	switch {
	case m.LeaseRequest != nil && m.LeaseRequest.ReleasedFor != 0:
		return fmt.Sprintf("release %d", m.LeaseRequest.Seq)
	case m.LeaseRequest != nil:
		return fmt.Sprintf("ask %d", m.LeaseRequest.Seq)
	case m.LeaseReply != nil && m.LeaseReply.YieldFor != 0:
		return "word to yield"
	case m.LeaseReply != nil && m.LeaseReply.Lease > 0:
		return fmt.Sprintf("lease on %d for ask %d", m.LeaseReply.Decided.Number, m.LeaseReply.Seq)
	case m.LeaseReply != nil:
		return fmt.Sprintf("word that %d is in force", m.LeaseReply.Decided.Number)
	}
	return "message"
}

// elect has a voter lead by a majority: what was decided before is told to it first.
func (w *world) elect(i int, kept bool) {
	d := &w.draft
	d.term++
	d.leader = i
	if kept {
		d.decided = append(d.decided, d.next)
	}
	d.next = nil
	a := w.actors[i]
	a.core.voter.leadershipChanged(a.core, 0)
	for a.seat.at < len(d.decided) {
		a.seat.tell(a.core, d)
	}
	a.seat.term, a.seat.ask = d.term, 0
	a.core.voter.leadershipChanged(a.core, d.term)
}

// begin has a process start anew.
func (w *world) begin(i int, floor *floorRecord) {
	a := w.actors[i]
	w.starts++
	c := &Core{config: w.plan, host: post{w, i}, transport: post{w, i}.carry, random: rand.New(rand.NewPCG(1, 1)), now: w.clock(a), name: a.core.name, incarnation: w.starts}
	c.policies = a.core.policies
	var kept *StoredState
	if floor != nil {
		kept = &StoredState{floor: floor}
	}
	c.follower.restore(c, kept)
	c.follower.informed = false
	a.core, a.standing = c, InForce{}
	c.publishInForce()
}

// modelled is the model with a defect planted, and proposals that let gateways go on by two policies for so long.
func modelled(p Mutation, both Time, kills, elects, doubles int) *world {
	plan := &Config{Voters: []string{"a", "b", "c"}, LeaseDuration: 2 * unit, PrepareTimeout: unit, ClockDriftDivisor: modelDrift, Mutation: p}
	w := &world{plan: plan, most: 2, kills: kills, elects: elects, doubles: doubles, asks: 4, draft: draft{leader: -1}}
	names := []string{"a", "b", "m"}
	digests := []Digest{DigestOf([]byte("one")), DigestOf([]byte("two"))}
	for i, n := range names {
		a := &actor{rate: []Time{4, 5, 3}[i], decides: i != 1 || elects > 0, core: &Core{name: n}}
		w.actors = append(w.actors, a)
		for _, d := range digests {
			a.core.policies.texts = append(a.core.policies.texts, &policyText{digest: d, size: 3, state: textUsable})
		}
		w.begin(i, nil)
		if i < 2 { // of the voters the leader's own word is enough here: what a majority is, the log says
			a.seat = &seat{w: w, n: i}
			a.core.voter = &voter{log: a.seat, replicaID: uint64(i + 1), replicaIDSaved: true, table: Table{LeaseDuration: plan.LeaseDuration, Voters: []Voter{{n, uint64(i + 1)}}}}
		}
	}
	for i, d := range digests {
		w.offers = append(w.offers, &LoggedProposal{ID: uint64(i + 1), Digest: d, Size: 3, Kind: KindChange, By: "m", Overlap: both})
	}
	w.elect(0, false) // it has led for long
	w.actors[0].core.voter.leadership.leasesClearAt, w.actors[0].core.voter.leadership.startedAt = 0, -100*unit
	w.mail = nil
	return w
}

// Key is the state without absolute times.
func (w *world) Key() []byte {
	var b []byte
	num := func(list ...int64) {
		for _, v := range list {
			b = binary.AppendVarint(b, v)
		}
	}
	flag := func(list ...bool) {
		for _, v := range list {
			b = append(b, byte(len(b)*0))
			if v {
				b[len(b)-1] = 1
			}
		}
	}
	num(int64(w.kills), int64(w.elects), int64(w.asks), int64(w.doubles), int64(len(w.offers)), int64(w.latest), int64(w.draft.leader), int64(w.draft.term))
	for _, e := range append(slices.Clone(w.draft.decided), w.draft.next) {
		b = append(append(b, e...), 0xff)
	}
	for _, a := range w.actors {
		c, now := a.core, w.clock(a)
		rel := func(t Time) { num(int64(max(-1, t-now))) }
		num(int64(c.incarnation))
		if o := &c.follower; a.decides {
			num(int64(o.current.Number), int64(o.decided.Number), int64(o.readyFor), int64(o.releasedFor))
			if a.seat == nil {
				num(int64(min(maxUnansweredRequests+1, o.seq-o.answeredSeq)), int64(o.seq-min(o.seq, o.minValidSeq)))
			}
			rel(o.leaseUntil)
			if o.proposal != nil {
				num(int64(o.proposal.ID))
			}
			if o.overlapWith != nil {
				num(int64(o.overlapWith.ID))
				rel(o.overlapUntil)
			}
			for _, k := range o.requests {
				if a.seat == nil && k.seq >= o.minValidSeq && k.seq > 0 && k.sentAt+max(w.plan.LeaseDuration, 6*unit) > now {
					num(int64(o.seq-k.seq), int64(k.sentAt-now))
				}
			}
		}
		if a.seat == nil {
			continue
		}
		num(int64(a.seat.term), int64(a.seat.at), btoi(a.seat.ask != 0))
		l := c.voter.leadership
		if l == nil {
			continue
		}
		rel(l.leasesClearAt)
		rel(l.startedAt + w.plan.leaseMargin(c.voter.table.Overlap))
		flag(l.proved, l.behind, l.pendingEntry != "")
		num(int64(l.phase), btoi(l.confirmingRead != 0))
		if c.voter.table.Proposal != nil {
			num(int64(max(-4*unit, l.proposalOpenedAt-now)), int64(max(-2*unit, l.phaseSince-now)))
		}
		for i := range l.holders {
			g := &l.holders[i]
			b = append(b, g.name...)
			num(int64(g.incarnation), int64(g.overlapWith), int64(g.request.ReadyFor), btoi(g.awaitedRead != 0))
			if g.name == "m" {
				num(int64(g.seq-min(g.seq, g.overlapSeq)), int64(g.seq-min(g.seq, g.grantedSeq)), int64(g.seq-min(g.seq, g.excludedSeq)), int64(g.seq-w.actors[2].core.follower.seq))
			}
			rel(g.leaseClearAt)
			rel(g.overlapClearAt)
			num(int64(max(-w.plan.LeaseDuration, g.lastHeardAt-now)))
			flag(g.excluded, g.awaitsReply, g.request.Holds)
		}
	}
	for i := range w.mail {
		b = append(append(b, w.letterKey(&w.mail[i])...), 0xff)
	}
	return b
}

func btoi(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// Explore walks the model in some forms, each up to a number of states, and tells what it came to by name.
func Explore(most int, each func(what string, r modelcheck.Result)) {
	walk := func(what string, w *world) {
		each("policy, 3 voters, 1 member, 2 proposals, "+what, modelcheck.Explore(w, most, 1000))
	}
	walk("the member killed, a message doubled", modelled(NoMutation, 0, 1, 0, 1))
	walk("two elections", modelled(NoMutation, 0, 0, 2, 0))
	walk("an election, gateways go by what both allow", modelled(NoMutation, 4*unit, 0, 1, 0))
	late := modelled(NoMutation, 0, 0, 1, 0)
	late.lateAsk = true
	walk("an election, asks are late", late)
}
