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

// rolloutCluster is a simulated cluster that rolls out policies. Links lose, delay, duplicate and cut off messages, processes are killed
// and paused, a second process may run under a name, disks may be slow, be full or report writes that they have not done, and clocks
// drift.
type rolloutCluster struct {
	network[[]byte]
	config             *rollout.Config
	members            []*rolloutMember
	starts             uint64
	byName             map[string][]int // indices of the processes with a name
	highestApplied     policyNumber     // the highest policy number that any process has applied with a lease
	highestAppliedBy   string           // name of the process that was the first to apply it
	leaseSteps         int              // number of simulation steps in which a process had a lease, over all processes
	stepsWithoutPolicy int              // number of simulation steps in which a process could apply no policy, over all processes
	violation          string           // the first application of an older policy
	voters             []string
	onEvent            func(p *rolloutMember, code rollout.EventCode, more []any)
	policies           map[rollout.Digest]bool // policies that any process has applied with a lease
}

// policyNumber identifies a policy by its era and its number in the era.
type policyNumber struct{ era, number uint64 }

func (n policyNumber) isLaterThan(other policyNumber) bool {
	return n.era > other.era || n.era == other.era && n.number > other.number
}

// rolloutMember is one process.
type rolloutMember struct {
	cluster       *rolloutCluster
	index         int
	name          string
	core          *rollout.Core
	clockRate     float64
	clockOffset   float64
	up            bool
	pausedUntil   Time
	inForce       rollout.InForce
	disk          []consensus.Record // synced records, which survive a kill
	unsynced      []consensus.Record // written records that may be lost in a kill
	pending       []pendingWrite
	syncTime      Time              // duration of a sync
	diskFull      bool              // every write fails; no test sets this yet
	diskLies      bool              // the disk reports records as synced that it has not written
	deferred      []deferredMessage // messages that arrived during the pause
	drainingUntil Time              // until this time, requests that the previous policy admitted are in progress
	shedsHalf     bool              // half of its requests are shed
}

// pendingWrite is a write, or another asynchronous call of a core, that is not complete yet.
type pendingWrite struct {
	dueAt   Time
	core    *rollout.Core // the core that waits for it; nil: any core
	finish  func()
	records int // number of unsynced records that are synced when it completes
}

// deferredMessage is a message in the socket buffer of a paused process.
type deferredMessage struct {
	from    string
	message []byte
}

// maxDeferred is the maximum number of messages in a socket buffer.
const maxDeferred = 500

func newRolloutCluster(seed uint64, n, voters int, lease Time) *rolloutCluster {
	c := &rolloutCluster{byName: map[string][]int{}, policies: map[rollout.Digest]bool{}}
	c.random = rand.New(rand.NewPCG(seed, 9))
	for k := range voters {
		c.voters = append(c.voters, fmt.Sprint("g", k))
	}
	c.config = &rollout.Config{Voters: c.voters, LeaseDuration: lease, PrepareTimeout: 3 * admission.Second, ClockDriftDivisor: 20, Persistent: true}
	c.highestAppliedBy = "nobody"
	for k := range n {
		p := &rolloutMember{cluster: c, name: fmt.Sprint("g", k), clockRate: 0.955 + 0.09*c.random.Float64(), clockOffset: float64(c.random.IntN(1e6)), syncTime: 2 * admission.Millisecond}
		c.add(p)
	}
	c.maxDelay = 2 * lease
	return c
}

func (c *rolloutCluster) add(p *rolloutMember) {
	p.index = len(c.members)
	c.byName[p.name] = append(c.byName[p.name], p.index)
	c.members = append(c.members, p)
	p.start()
}

func (p *rolloutMember) clock() Time { return Time(float64(p.cluster.now)*p.clockRate + p.clockOffset) }

func (p *rolloutMember) isRunning() bool { return p.up && p.pausedUntil <= p.cluster.now }

// start starts a process with the records on its disk.
func (p *rolloutMember) start() {
	p.cluster.starts++
	p.up, p.inForce, p.pending, p.deferred, p.unsynced, p.drainingUntil = true, rollout.InForce{}, nil, nil, nil, 0
	stored := &rollout.StoredState{}
	for _, record := range p.latestRecords() {
		stored.AddRecord(record.Key, record.Value, record.Value == nil)
	}
	if stored.Err() != nil {
		panic(stored.Err())
	}
	p.core = nil
	p.core = rollout.New(p.clock(), p.cluster.config, rollout.Process{
		Name: p.name, Incarnation: p.cluster.starts, Random: rand.New(rand.NewPCG(p.cluster.random.Uint64(), 4)), Stored: stored,
	}, p)
}

// latestRecords returns the last record of each key on the disk, in the order of the writes.
func (p *rolloutMember) latestRecords() (records []consensus.Record) {
	last := map[[16]byte]int{}
	for i, record := range p.disk {
		last[record.Key] = i
	}
	for i, record := range p.disk {
		if last[record.Key] == i {
			records = append(records, record)
		}
	}
	return records
}

// kill ends a process. Of the unsynced records, a random number of the first ones survives, or none if the disk lies.
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

// wrap prepends the sender's name to a message, like the datagrams of a real cluster.
func (p *rolloutMember) wrap(m []byte) []byte {
	return append(append([]byte{byte(len(p.name))}, p.name...), m...)
}

func (p *rolloutMember) Peers() (names []string) {
	for _, other := range p.cluster.members {
		if other.name != p.name && !slices.Contains(names, other.name) {
			names = append(names, other.name)
		}
	}
	return names
}

// CheckPolicy reads the parameters of a policy from words in its text. A policy with the text "not for" and this process's name is
// invalid here.
func (p *rolloutMember) CheckPolicy(_ rollout.Digest, text []byte, done func(rollout.Parameters, error)) {
	p.later(Time(p.cluster.random.IntN(50)), 0, func() {
		var parameters rollout.Parameters
		if bytes.Contains(text, []byte("not for "+p.name+";")) {
			done(parameters, errors.New("statements.pools[0].zones: expected some of [norte], found [este]"))
			return
		}
		if bytes.Contains(text, []byte("both;")) {
			parameters.Overlap = 3 * p.cluster.config.LeaseDuration
		}
		if bytes.Contains(text, []byte("rehearse;")) {
			parameters.RehearsalLength = admission.Second / 2
		}
		if bytes.Contains(text, []byte("probation;")) {
			parameters.Probation, parameters.ProbationBounds = 2*admission.Second, rollout.Bounds{Rejected: 0.1, Shed: 0.1}
		}
		done(parameters, nil)
	})
}

var errDiskFull = errors.New("no space left on device")

func (p *rolloutMember) SaveRecords(records []consensus.Record, done func(error)) {
	if p.diskFull {
		p.later(1, 0, func() { done(errDiskFull) })
		return
	}
	p.unsynced = append(p.unsynced, records...)
	p.later(p.syncTime+Time(p.cluster.random.IntN(20)), len(records), func() { done(nil) })
}

// later schedules a call of finish after some time, and after all functions that were scheduled before. Just before the call, the given
// number of unsynced records is synced.
func (p *rolloutMember) later(wait Time, records int, finish func()) {
	dueAt := p.cluster.now + wait
	if n := len(p.pending); n > 0 {
		dueAt = max(dueAt, p.pending[n-1].dueAt)
	}
	p.pending = append(p.pending, pendingWrite{dueAt, p.core, finish, records})
}

func (p *rolloutMember) LoadPolicy(d rollout.Digest) []byte {
	return rollout.ReadPolicyText(d, func(key [16]byte) (value []byte) {
		for _, record := range slices.Concat(p.disk, p.unsynced) {
			if record.Key == key {
				value = record.Value
			}
		}
		return value
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
	counts := rollout.RequestCounts{Subject: p.inForce.Number, Requests: 100}
	if p.shedsHalf {
		counts.Shed = 50
	}
	return counts
}

func (p *rolloutMember) UnixSeconds() int64 { return int64(p.cluster.now / admission.Second) }

func (p *rolloutMember) LogEvent(code rollout.EventCode, more ...any) {
	if p.cluster.onEvent != nil {
		p.cluster.onEvent(p, code, more)
	}
}

// tick completes the due writes of a process, handles its deferred messages, ticks its core, and checks which policy it applies.
func (p *rolloutMember) tick() {
	for len(p.pending) > 0 && p.pending[0].dueAt <= p.cluster.now {
		write := p.pending[0]
		p.pending = p.pending[1:]
		if !p.diskLies {
			p.disk = append(p.disk, p.unsynced[:write.records]...)
			p.unsynced = p.unsynced[write.records:]
		}
		if write.core == p.core || write.core == nil {
			write.finish()
		}
	}
	deferred := p.deferred
	p.deferred = nil
	for _, held := range deferred {
		p.handleMessage(held.from, held.message)
	}
	p.core.Tick(p.clock())
	p.checkDecision()
}

func (p *rolloutMember) handleMessage(from string, m []byte) {
	if err := p.core.HandleMessage(p.clock(), from, m); err != nil {
		panic(err)
	}
}

// checkDecision treats a process as if it admitted a request now, by the policy of its lease, or without a lease by the overlap of two
// policies. It records a violation if another process has already applied a later policy.
func (p *rolloutMember) checkDecision() {
	c, s := p.cluster, &p.inForce
	current := policyNumber{s.Era, s.Number}
	switch now := p.clock(); {
	case s.HoldsLease(now):
		c.leaseSteps++
		if c.highestApplied.isLaterThan(current) && c.violation == "" {
			c.violation = fmt.Sprintf("%.3f s: %s decides by number %d of era %d, after %s has decided by %d of %d", float64(c.now)/float64(admission.Second), p.name, s.Number, s.Era, c.highestAppliedBy,
				c.highestApplied.number, c.highestApplied.era)
		}
		if current.isLaterThan(c.highestApplied) {
			c.highestApplied, c.highestAppliedBy = current, p.name
		}
		c.policies[s.Digest] = true
	case s.OverlapDigest != (rollout.Digest{}) && now < s.OverlapUntil:
		next := policyNumber{s.Era, s.Number + 1}
		if c.violation == "" && (c.highestApplied.isLaterThan(next) || c.highestApplied == next && !c.policies[s.OverlapDigest]) {
			c.violation = fmt.Sprintf("%.3f s: %s decides by what number %d and a proposal after it allow, after %s has decided by %d", float64(c.now)/float64(admission.Second), p.name, s.Number,
				c.highestAppliedBy, c.highestApplied.number)
		}
	default:
		c.stepsWithoutPolicy++
	}
}

// advance simulates some time.
func (c *rolloutCluster) advance(length Time) {
	c.network.advance(length, func(d datagram[[]byte]) {
		p := c.members[d.to]
		nameLength := int(d.message[0])
		from, message := string(d.message[1:1+nameLength]), d.message[1+nameLength:]
		switch {
		case !p.up:
		case p.pausedUntil > c.now:
			if len(p.deferred) < maxDeferred {
				p.deferred = append(p.deferred, deferredMessage{from, message})
			}
		default:
			p.handleMessage(from, message)
		}
	}, func() {
		for _, p := range c.members {
			if p.isRunning() {
				p.tick()
			}
		}
	}, func() {})
}

// propose makes a process propose a policy, and calls done with the result.
func (c *rolloutCluster) propose(p *rolloutMember, text string, done func(rollout.Result)) {
	id := c.random.Uint64() | 1
	if err := p.core.Propose(p.clock(), rollout.Proposal{ID: id, Kind: rollout.KindChange, Text: []byte(text)}, done); err != nil {
		done(rollout.Result{ID: id, Outcome: rollout.OutcomeRejected, Reason: err.Error()})
	}
}

// countInForce returns the number of processes that hold a lease on a policy now.
func (c *rolloutCluster) countInForce(d rollout.Digest) (n int) {
	for _, p := range c.members {
		if p.up && p.inForce.HoldsLease(p.clock()) && p.inForce.Digest == d {
			n++
		}
	}
	return n
}

// RolloutResult is the result of a simulation of policy changes.
type RolloutResult struct {
	Members  int
	Voters   int
	Took     Time    // mean time from a proposal until all members apply the policy
	Gap      float64 // mean time per member and change in which the member could apply no policy, in seconds
	Silent   Time    // time from a proposal until all connected members apply the policy, while a third of the members is cut off
	Messages float64 // messages sent per member and change, beyond those sent without changes
	Bytes    float64 // bytes sent per second and member, without changes
}

// MeasureRollout simulates policy changes in a cluster of n members. Each policy has about 3 kB.
func MeasureRollout(n int, seed uint64) RolloutResult {
	const second, voters, changes = admission.Second, 5, 5
	result := RolloutResult{Members: n, Voters: voters}
	c := newRolloutCluster(seed, n, voters, 3*second)
	c.advance(8 * second)
	c.bytes, c.sent = 0, 0
	c.advance(10 * second)
	result.Bytes = float64(c.bytes) / float64(n) / 10
	sentAtRest := c.sent
	c.sent, c.stepsWithoutPolicy = 0, 0
	began := c.now
	var took Time
	for k := range changes {
		took += c.measureChange(k, n)
	}
	result.Took = took / changes
	result.Messages = (float64(c.sent) - float64(sentAtRest)/10*float64(c.now-began)/float64(second)) / float64(n) / changes
	result.Gap = float64(c.stepsWithoutPolicy) * 0.01 / float64(n) / changes
	third := n / 3
	isAway := func(member int) bool { return member >= voters && member < voters+third }
	c.cut = func(from, to int) bool { return isAway(from) != isAway(to) }
	c.advance(second / 2)
	result.Silent = c.measureChange(changes, n-third)
	return result
}

// measureChange proposes a new policy, and returns the time until the given number of members apply it, or a minute if it takes longer.
func (c *rolloutCluster) measureChange(number, members int) Time {
	text := fmt.Sprintf("policy %d %s", number, bytes.Repeat([]byte("x"), 3000))
	began := c.now
	c.propose(c.members[len(c.members)-1], text, func(rollout.Result) {})
	for c.countInForce(rollout.DigestOf([]byte(text))) < members && c.now-began < 60*admission.Second {
		c.advance(networkStep)
	}
	return c.now - began
}

// WriteRollout writes a list of results as a table.
func WriteRollout(out io.Writer, list []RolloutResult) {
	fmt.Fprintln(out, "members  voters  until all go by it s  no lease ms a change  a third silent s  messages a member a change  bytes/s a member at rest")
	for _, e := range list {
		fmt.Fprintf(out, "%7d  %6d  %20.2f  %20.1f  %16.2f  %26.1f  %24.0f\n", e.Members, e.Voters, float64(e.Took)/float64(admission.Second), 1000*e.Gap, float64(e.Silent)/float64(admission.Second),
			e.Messages, e.Bytes)
	}
}
