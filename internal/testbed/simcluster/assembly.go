package simcluster

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/consensus"
	"magpiebank/internal/cluster/rollout"
)

// assembly is a fleet that goes by one policy rollout, in one process and virtual time: links that lose, delay, double and cut, processes that are
// killed, doubled and stopped, disks that are slow, full or lie, clocks that run off.
type assembly struct {
	post[[]byte]
	plan     *rollout.Config
	people   []*citizen
	starts   uint64
	byName   map[string][]int
	latest   [2]uint64 // the highest era and number that anyone has decided by,
	by       string    // who,
	decided  int       // how many times decisions were looked at
	without  int       // and how many times a living process could decide nothing
	wrong    string    // the first decision that was made by an older one
	voters   []string
	onSay    func(p *citizen, code rollout.EventCode, more []any)
	policies map[rollout.Digest]bool // that went into force anywhere
}

type citizen struct {
	a        *assembly
	place    int
	name     string
	core     *rollout.Core
	rate     float64
	ahead    float64
	up       bool
	stopped  Time
	standing rollout.InForce
	disk     []consensus.Record // what survives
	behind   []consensus.Record // what doesn't yet
	done     []todo
	sync     Time // a sync takes so long
	full     bool // the disk is,
	lies     bool // or says that it has what it has not
	held     [][]byte
	from     []string
	busy     Time // until when something decided is still on its way out
	worse    bool // half of its requests find no room
}

type todo struct {
	at   Time
	life *rollout.Core
	do   func()
	save int // records of behind that survive with it
}

func newAssembly(seed uint64, n, voters int, lease Time) *assembly {
	a := &assembly{byName: map[string][]int{}, policies: map[rollout.Digest]bool{}}
	a.chance = rand.New(rand.NewPCG(seed, 9))
	for k := range voters {
		a.voters = append(a.voters, fmt.Sprint("g", k))
	}
	a.plan = &rollout.Config{Voters: a.voters, LeaseDuration: lease, PrepareTimeout: 3 * admission.Second, ClockDriftDivisor: 20, Persistent: true}
	a.latest, a.by = [2]uint64{}, "nobody"
	for k := range n {
		p := &citizen{a: a, name: fmt.Sprint("g", k), rate: 0.955 + 0.09*a.chance.Float64(), ahead: float64(a.chance.IntN(1e6)), sync: 2 * admission.Millisecond}
		a.add(p)
	}
	a.post.latest = 2 * lease
	return a
}

func (a *assembly) add(p *citizen) {
	p.place = len(a.people)
	a.byName[p.name] = append(a.byName[p.name], p.place)
	a.people = append(a.people, p)
	p.begin()
}

func (p *citizen) clock() Time { return Time(float64(p.a.now)*p.rate + p.ahead) }

func (p *citizen) begin() {
	p.a.starts++
	p.up, p.standing, p.done, p.held, p.from, p.behind, p.busy = true, rollout.InForce{}, nil, nil, nil, nil, 0
	kept := &rollout.StoredState{}
	last := map[[16]byte]int{}
	for i, r := range p.disk {
		last[r.Key] = i
	}
	for i, r := range p.disk {
		if last[r.Key] == i {
			kept.AddRecord(r.Key, r.Value, r.Value == nil)
		}
	}
	if kept.Err() != nil {
		panic(kept.Err())
	}
	p.core = nil
	p.core = rollout.New(p.clock(), p.a.plan, p.name, p.a.starts, rand.New(rand.NewPCG(p.a.chance.Uint64(), 4)), kept, p)
}

// kill ends a process; of what its disk had not yet, any first part survives.
func (p *citizen) kill() {
	p.up = false
	if !p.lies {
		p.disk = append(p.disk, p.behind[:p.a.chance.IntN(len(p.behind)+1)]...)
	}
	p.behind = nil
}

func (p *citizen) Send(to string, m []byte) { p.a.send(p.place, p.a.byName[to], p.wrap(m), len(m)) }

// wrap puts the sender's name before a message, as the fleet's datagrams have it.
func (p *citizen) wrap(m []byte) []byte {
	return append(append([]byte{byte(len(p.name))}, p.name...), m...)
}

func (p *citizen) Peers() (out []string) {
	for _, q := range p.a.people {
		if q.name != p.name && !slices.Contains(out, q.name) {
			out = append(out, q.name)
		}
	}
	return out
}

// Check can't follow what says so of it.
func (p *citizen) CheckPolicy(d rollout.Digest, text []byte, done func(rollout.Terms, error)) {
	p.later(Time(p.a.chance.IntN(50)), 0, func() {
		var t rollout.Terms
		if bytes.Contains(text, []byte("not for "+p.name+";")) {
			done(t, errors.New("statements.pools[0].zones: expected some of [norte], found [este]"))
			return
		}
		if bytes.Contains(text, []byte("both;")) {
			t.Overlap = 3 * p.a.plan.LeaseDuration
		}
		if bytes.Contains(text, []byte("rehearse;")) {
			t.RehearsalLength = admission.Second / 2
		}
		if bytes.Contains(text, []byte("probation;")) {
			t.Probation, t.ProbationBounds = 2*admission.Second, rollout.Bounds{Rejected: 0.1, Shed: 0.1}
		}
		done(t, nil)
	})
}

var errFull = errors.New("no space left on device")

func (p *citizen) SaveRecords(records []consensus.Record, done func(error)) {
	if p.full {
		p.later(1, 0, func() { done(errFull) })
		return
	}
	p.behind = append(p.behind, records...)
	p.later(p.sync+Time(p.a.chance.IntN(20)), len(records), func() { done(nil) })
}

// later does something some time on, in the order in which it was asked for.
func (p *citizen) later(wait Time, save int, do func()) {
	at := p.a.now + wait
	if n := len(p.done); n > 0 {
		at = max(at, p.done[n-1].at)
	}
	p.done = append(p.done, todo{at, p.core, do, save})
}

func (p *citizen) LoadPolicy(d rollout.Digest) []byte {
	return rollout.ReadPolicyText(d, func(key [16]byte) (out []byte) {
		for _, list := range [][]consensus.Record{p.disk, p.behind} {
			for _, r := range list {
				if r.Key == key {
					out = r.Value
				}
			}
		}
		return out
	})
}

func (p *citizen) SetInForce(s *rollout.InForce) {
	if p.standing.HoldsLease(p.clock()) && p.a.chance.IntN(4) == 0 {
		p.busy = p.a.now + Time(p.a.chance.IntN(200))
	}
	p.standing = *s
}

func (p *citizen) Drained() bool { return p.a.now >= p.busy }

func (p *citizen) RequestCounts() rollout.RequestCounts {
	k := rollout.RequestCounts{Subject: p.standing.Number, Requests: 100}
	if p.worse {
		k.Shed = 50
	}
	return k
}

func (p *citizen) UnixSeconds() int64 { return int64(p.a.now / admission.Second) }

func (p *citizen) LogEvent(code rollout.EventCode, more ...any) {
	if p.a.onSay != nil {
		p.a.onSay(p, code, more)
	}
}

// step has a process do what is due, and looks what it may go by.
func (p *citizen) step() {
	for len(p.done) > 0 && p.done[0].at <= p.a.now {
		t := p.done[0]
		p.done = p.done[1:]
		if !p.lies {
			p.disk = append(p.disk, p.behind[:t.save]...)
			p.behind = p.behind[t.save:]
		}
		if t.life == p.core || t.life == nil {
			t.do()
		}
	}
	held, from := p.held, p.from
	p.held, p.from = nil, nil
	for i, m := range held {
		p.heard(from[i], m)
	}
	p.core.Tick(p.clock())
	p.decide()
}

func (p *citizen) heard(from string, m []byte) {
	if err := p.core.HandleMessage(p.clock(), from, m); err != nil {
		panic(err)
	}
}

// decide has a process that may decide something, by a number or, without a lease, by what two policies allow.
func (p *citizen) decide() {
	a, s := p.a, &p.standing
	at := [2]uint64{s.Era, s.Number}
	later := func(x, y [2]uint64) bool { return x[0] > y[0] || x[0] == y[0] && x[1] > y[1] }
	switch now := p.clock(); {
	case s.HoldsLease(now):
		a.decided++
		if later(a.latest, at) && a.wrong == "" {
			a.wrong = fmt.Sprintf("%.3f s: %s decides by number %d of era %d, after %s has decided by %d of %d", float64(a.now)/float64(admission.Second), p.name, s.Number, s.Era, a.by,
				a.latest[1], a.latest[0])
		}
		if later(at, a.latest) {
			a.latest, a.by = at, p.name
		}
		a.policies[s.Digest] = true
	case s.OverlapDigest != (rollout.Digest{}) && now < s.OverlapUntil:
		next := [2]uint64{s.Era, s.Number + 1}
		if a.wrong == "" && (later(a.latest, next) || a.latest == next && !a.policies[s.OverlapDigest]) {
			a.wrong = fmt.Sprintf("%.3f s: %s decides by what number %d and a proposal after it allow, after %s has decided by %d", float64(a.now)/float64(admission.Second), p.name, s.Number,
				a.by, a.latest[1])
		}
	default:
		a.without++
	}
}

// pass plays some time.
func (a *assembly) pass(length Time) {
	a.post.pass(length, func(l letter[[]byte]) {
		p := a.people[l.to]
		n := int(l.message[0])
		from, m := string(l.message[1:1+n]), l.message[1+n:]
		switch {
		case !p.up:
		case p.stopped > a.now:
			if len(p.held) < 500 { // its socket's buffer
				p.held, p.from = append(p.held, m), append(p.from, from)
			}
		default:
			p.heard(from, m)
		}
	}, func() {
		for _, p := range a.people {
			if p.up && p.stopped <= a.now {
				p.step()
			}
		}
	}, func() {})
}

// propose has a process propose a policy.
func (a *assembly) propose(p *citizen, text string, done func(rollout.Result)) {
	id := a.chance.Uint64() | 1
	if err := p.core.Propose(p.clock(), rollout.Proposal{ID: id, Kind: rollout.KindChange, Text: []byte(text)}, done); err != nil {
		done(rollout.Result{ID: id, Outcome: rollout.OutcomeRejected, Reason: err.Error()})
	}
}

// holding is how many processes may decide by a policy now.
func (a *assembly) holding(d rollout.Digest) (n int) {
	for _, p := range a.people {
		if p.up && p.standing.HoldsLease(p.clock()) && p.standing.Digest == d {
			n++
		}
	}
	return n
}

// Enacted is what changes came to in a fleet of some size.
type Enacted struct {
	Members  int
	Voters   int
	Took     Time    // from a proposal until all go by it, the mean of some
	Gap      float64 // share of a second for which a member could decide nothing, a change
	Silent   Time    // the same with a third of the members cut off, until the others go by it
	Messages float64 // a member, a change
	Bytes    float64 // a second a member, at rest
}

// Enact plays changes of a policy of some kB in a fleet of n.
func Enact(n int, seed uint64) Enacted {
	const second = admission.Second
	e := Enacted{Members: n, Voters: 5}
	lease := 3 * second
	a := newAssembly(seed, n, e.Voters, lease)
	a.pass(8 * second)
	a.bytes, a.sent = 0, 0
	a.pass(10 * second)
	e.Bytes = float64(a.bytes) / float64(n) / 10
	rest := a.sent
	const changes = 5
	var took Time
	a.sent, a.without = 0, 0
	began := a.now
	change := func(k, of int) Time {
		text := fmt.Sprintf("policy %d %s", k, bytes.Repeat([]byte("x"), 3000))
		at := a.now
		a.propose(a.people[n-1], text, func(rollout.Result) {})
		for a.holding(rollout.DigestOf([]byte(text))) < of && a.now-at < 60*second {
			a.pass(10 * admission.Millisecond)
		}
		return a.now - at
	}
	for k := range changes {
		took += change(k, n)
	}
	e.Took = took / changes
	e.Messages = (float64(a.sent) - float64(rest)/10*float64(a.now-began)/float64(second)) / float64(n) / changes
	e.Gap = float64(a.without) * 0.01 / float64(n) / changes
	third := n / 3
	a.cut = func(from, to int) bool {
		away := func(k int) bool { return k >= e.Voters && k < e.Voters+third }
		return away(from) != away(to)
	}
	a.pass(second / 2)
	e.Silent = change(changes, n-third)
	return e
}

// EnactText writes figures as a table.
func EnactText(out io.Writer, list []Enacted) {
	fmt.Fprintln(out, "members  voters  until all go by it s  no lease ms a change  a third silent s  messages a member a change  bytes/s a member at rest")
	for _, e := range list {
		fmt.Fprintf(out, "%7d  %6d  %20.2f  %20.1f  %16.2f  %26.1f  %24.0f\n", e.Members, e.Voters, float64(e.Took)/float64(admission.Second), 1000*e.Gap, float64(e.Silent)/float64(admission.Second),
			e.Messages, e.Bytes)
	}
}
