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

// rolloutCluster is a fleet that goes by one policy rollout, in one process and virtual time: links that lose, delay, double and cut, processes that are
// killed, doubled and stopped, disks that are slow, full or lie, clocks that run off.
type rolloutCluster struct {
	network[[]byte]
	plan              *rollout.Config
	members           []*rolloutMember
	starts            uint64
	byName            map[string][]int
	highestDecision   [2]uint64 // the highest era and number that anyone has decided by,
	highestDecisionBy string    // who,
	decisions         int       // how many times decisions were looked at
	undecided         int       // and how many times a living process could decide nothing
	violation         string    // the first decision that was made by an older one
	voters            []string
	onEvent           func(p *rolloutMember, code rollout.EventCode, more []any)
	policies          map[rollout.Digest]bool // that went into force anywhere
}

type rolloutMember struct {
	cluster       *rolloutCluster
	index         int
	name          string
	core          *rollout.Core
	clockRate     float64
	clockOffset   float64
	up            bool
	stopped       Time
	inForce       rollout.InForce
	disk          []consensus.Record // what survives
	unsynced      []consensus.Record // what doesn't yet
	pending       []pendingWrite
	syncTime      Time // a sync takes so long
	diskFull      bool // the disk is,
	diskLies      bool // or says that it has what it has not
	heldMessages  [][]byte
	heldFrom      []string
	drainingUntil Time // until when something decided is still on its way out
	rejectsHalf   bool // half of its requests find no room
}

type pendingWrite struct {
	at   Time
	core *rollout.Core
	do   func()
	save int // records of behind that survive with it
}

func newRolloutCluster(seed uint64, n, voters int, lease Time) *rolloutCluster {
	a := &rolloutCluster{byName: map[string][]int{}, policies: map[rollout.Digest]bool{}}
	a.random = rand.New(rand.NewPCG(seed, 9))
	for k := range voters {
		a.voters = append(a.voters, fmt.Sprint("g", k))
	}
	a.plan = &rollout.Config{Voters: a.voters, LeaseDuration: lease, PrepareTimeout: 3 * admission.Second, ClockDriftDivisor: 20, Persistent: true}
	a.highestDecision, a.highestDecisionBy = [2]uint64{}, "nobody"
	for k := range n {
		p := &rolloutMember{cluster: a, name: fmt.Sprint("g", k), clockRate: 0.955 + 0.09*a.random.Float64(), clockOffset: float64(a.random.IntN(1e6)), syncTime: 2 * admission.Millisecond}
		a.add(p)
	}
	a.maxDelay = 2 * lease
	return a
}

func (a *rolloutCluster) add(p *rolloutMember) {
	p.index = len(a.members)
	a.byName[p.name] = append(a.byName[p.name], p.index)
	a.members = append(a.members, p)
	p.start()
}

func (p *rolloutMember) clock() Time { return Time(float64(p.cluster.now)*p.clockRate + p.clockOffset) }

func (p *rolloutMember) start() {
	p.cluster.starts++
	p.up, p.inForce, p.pending, p.heldMessages, p.heldFrom, p.unsynced, p.drainingUntil = true, rollout.InForce{}, nil, nil, nil, nil, 0
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
	p.core = rollout.New(p.clock(), p.cluster.plan, rollout.Process{
		Name: p.name, Incarnation: p.cluster.starts, Random: rand.New(rand.NewPCG(p.cluster.random.Uint64(), 4)), Stored: kept,
	}, p)
}

// kill ends a process; of what its disk had not yet, any first part survives.
func (p *rolloutMember) kill() {
	p.up = false
	if !p.diskLies {
		p.disk = append(p.disk, p.unsynced[:p.cluster.random.IntN(len(p.unsynced)+1)]...)
	}
	p.unsynced = nil
}

func (p *rolloutMember) Send(to string, m []byte) {
	p.cluster.send(p.index, p.cluster.byName[to], p.wrap(m), len(m))
}

// wrap puts the sender's name before a message, as the fleet's datagrams have it.
func (p *rolloutMember) wrap(m []byte) []byte {
	return append(append([]byte{byte(len(p.name))}, p.name...), m...)
}

func (p *rolloutMember) Peers() (out []string) {
	for _, q := range p.cluster.members {
		if q.name != p.name && !slices.Contains(out, q.name) {
			out = append(out, q.name)
		}
	}
	return out
}

// Check can't follow what says so of it.
func (p *rolloutMember) CheckPolicy(d rollout.Digest, text []byte, done func(rollout.Terms, error)) {
	p.later(Time(p.cluster.random.IntN(50)), 0, func() {
		var t rollout.Terms
		if bytes.Contains(text, []byte("not for "+p.name+";")) {
			done(t, errors.New("statements.pools[0].zones: expected some of [norte], found [este]"))
			return
		}
		if bytes.Contains(text, []byte("both;")) {
			t.Overlap = 3 * p.cluster.plan.LeaseDuration
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

func (p *rolloutMember) SaveRecords(records []consensus.Record, done func(error)) {
	if p.diskFull {
		p.later(1, 0, func() { done(errFull) })
		return
	}
	p.unsynced = append(p.unsynced, records...)
	p.later(p.syncTime+Time(p.cluster.random.IntN(20)), len(records), func() { done(nil) })
}

// later does something some time on, in the order in which it was asked for.
func (p *rolloutMember) later(wait Time, save int, do func()) {
	at := p.cluster.now + wait
	if n := len(p.pending); n > 0 {
		at = max(at, p.pending[n-1].at)
	}
	p.pending = append(p.pending, pendingWrite{at, p.core, do, save})
}

func (p *rolloutMember) LoadPolicy(d rollout.Digest) []byte {
	return rollout.ReadPolicyText(d, func(key [16]byte) (out []byte) {
		for _, list := range [][]consensus.Record{p.disk, p.unsynced} {
			for _, r := range list {
				if r.Key == key {
					out = r.Value
				}
			}
		}
		return out
	})
}

func (p *rolloutMember) SetInForce(s *rollout.InForce) {
	if p.inForce.HoldsLease(p.clock()) && p.cluster.random.IntN(4) == 0 {
		p.drainingUntil = p.cluster.now + Time(p.cluster.random.IntN(200))
	}
	p.inForce = *s
}

func (p *rolloutMember) Drained() bool { return p.cluster.now >= p.drainingUntil }

func (p *rolloutMember) RequestCounts() rollout.RequestCounts {
	k := rollout.RequestCounts{Subject: p.inForce.Number, Requests: 100}
	if p.rejectsHalf {
		k.Shed = 50
	}
	return k
}

func (p *rolloutMember) UnixSeconds() int64 { return int64(p.cluster.now / admission.Second) }

func (p *rolloutMember) LogEvent(code rollout.EventCode, more ...any) {
	if p.cluster.onEvent != nil {
		p.cluster.onEvent(p, code, more)
	}
}

// step has a process do what is due, and looks what it may go by.
func (p *rolloutMember) tick() {
	for len(p.pending) > 0 && p.pending[0].at <= p.cluster.now {
		t := p.pending[0]
		p.pending = p.pending[1:]
		if !p.diskLies {
			p.disk = append(p.disk, p.unsynced[:t.save]...)
			p.unsynced = p.unsynced[t.save:]
		}
		if t.core == p.core || t.core == nil {
			t.do()
		}
	}
	held, from := p.heldMessages, p.heldFrom
	p.heldMessages, p.heldFrom = nil, nil
	for i, m := range held {
		p.handleMessage(from[i], m)
	}
	p.core.Tick(p.clock())
	p.decide()
}

func (p *rolloutMember) handleMessage(from string, m []byte) {
	if err := p.core.HandleMessage(p.clock(), from, m); err != nil {
		panic(err)
	}
}

// decide has a process that may decide something, by a number or, without a lease, by what two policies allow.
func (p *rolloutMember) decide() {
	a, s := p.cluster, &p.inForce
	at := [2]uint64{s.Era, s.Number}
	later := func(x, y [2]uint64) bool { return x[0] > y[0] || x[0] == y[0] && x[1] > y[1] }
	switch now := p.clock(); {
	case s.HoldsLease(now):
		a.decisions++
		if later(a.highestDecision, at) && a.violation == "" {
			a.violation = fmt.Sprintf("%.3f s: %s decides by number %d of era %d, after %s has decided by %d of %d", float64(a.now)/float64(admission.Second), p.name, s.Number, s.Era, a.highestDecisionBy,
				a.highestDecision[1], a.highestDecision[0])
		}
		if later(at, a.highestDecision) {
			a.highestDecision, a.highestDecisionBy = at, p.name
		}
		a.policies[s.Digest] = true
	case s.OverlapDigest != (rollout.Digest{}) && now < s.OverlapUntil:
		next := [2]uint64{s.Era, s.Number + 1}
		if a.violation == "" && (later(a.highestDecision, next) || a.highestDecision == next && !a.policies[s.OverlapDigest]) {
			a.violation = fmt.Sprintf("%.3f s: %s decides by what number %d and a proposal after it allow, after %s has decided by %d", float64(a.now)/float64(admission.Second), p.name, s.Number,
				a.highestDecisionBy, a.highestDecision[1])
		}
	default:
		a.undecided++
	}
}

// advance plays some time.
func (a *rolloutCluster) advance(length Time) {
	a.network.advance(length, func(l datagram[[]byte]) {
		p := a.members[l.to]
		n := int(l.message[0])
		from, m := string(l.message[1:1+n]), l.message[1+n:]
		switch {
		case !p.up:
		case p.stopped > a.now:
			if len(p.heldMessages) < 500 { // its socket's buffer
				p.heldMessages, p.heldFrom = append(p.heldMessages, m), append(p.heldFrom, from)
			}
		default:
			p.handleMessage(from, m)
		}
	}, func() {
		for _, p := range a.members {
			if p.up && p.stopped <= a.now {
				p.tick()
			}
		}
	}, func() {})
}

// propose has a process propose a policy.
func (a *rolloutCluster) propose(p *rolloutMember, text string, done func(rollout.Result)) {
	id := a.random.Uint64() | 1
	if err := p.core.Propose(p.clock(), rollout.Proposal{ID: id, Kind: rollout.KindChange, Text: []byte(text)}, done); err != nil {
		done(rollout.Result{ID: id, Outcome: rollout.OutcomeRejected, Reason: err.Error()})
	}
}

// holding is how many processes may decide by a policy now.
func (a *rolloutCluster) countInForce(d rollout.Digest) (n int) {
	for _, p := range a.members {
		if p.up && p.inForce.HoldsLease(p.clock()) && p.inForce.Digest == d {
			n++
		}
	}
	return n
}

// RolloutResult is what changes came to in a fleet of some size.
type RolloutResult struct {
	Members  int
	Voters   int
	Took     Time    // from a proposal until all go by it, the mean of some
	Gap      float64 // share of a second for which a member could decide nothing, a change
	Silent   Time    // the same with a third of the members cut off, until the others go by it
	Messages float64 // a member, a change
	Bytes    float64 // a second a member, at rest
}

// MeasureRollout plays changes of a policy of some kB in a fleet of n.
func MeasureRollout(n int, seed uint64) RolloutResult {
	const second = admission.Second
	e := RolloutResult{Members: n, Voters: 5}
	lease := 3 * second
	a := newRolloutCluster(seed, n, e.Voters, lease)
	a.advance(8 * second)
	a.bytes, a.sent = 0, 0
	a.advance(10 * second)
	e.Bytes = float64(a.bytes) / float64(n) / 10
	rest := a.sent
	const changes = 5
	var took Time
	a.sent, a.undecided = 0, 0
	began := a.now
	change := func(k, of int) Time {
		text := fmt.Sprintf("policy %d %s", k, bytes.Repeat([]byte("x"), 3000))
		at := a.now
		a.propose(a.members[n-1], text, func(rollout.Result) {})
		for a.countInForce(rollout.DigestOf([]byte(text))) < of && a.now-at < 60*second {
			a.advance(10 * admission.Millisecond)
		}
		return a.now - at
	}
	for k := range changes {
		took += change(k, n)
	}
	e.Took = took / changes
	e.Messages = (float64(a.sent) - float64(rest)/10*float64(a.now-began)/float64(second)) / float64(n) / changes
	e.Gap = float64(a.undecided) * 0.01 / float64(n) / changes
	third := n / 3
	a.cut = func(from, to int) bool {
		away := func(k int) bool { return k >= e.Voters && k < e.Voters+third }
		return away(from) != away(to)
	}
	a.advance(second / 2)
	e.Silent = change(changes, n-third)
	return e
}

// WriteRollout writes figures as a table.
func WriteRollout(out io.Writer, list []RolloutResult) {
	fmt.Fprintln(out, "members  voters  until all go by it s  no lease ms a change  a third silent s  messages a member a change  bytes/s a member at rest")
	for _, e := range list {
		fmt.Fprintf(out, "%7d  %6d  %20.2f  %20.1f  %16.2f  %26.1f  %24.0f\n", e.Members, e.Voters, float64(e.Took)/float64(admission.Second), 1000*e.Gap, float64(e.Silent)/float64(admission.Second),
			e.Messages, e.Bytes)
	}
}
