// Package simcluster plays a fleet of some hundred members in one process, in virtual time under a seeded schedule: the same
// cores that gateways run, with links that lose, delay, double and cut, processes that die, stop and come back, and clocks
// that run off. Same seed, same run.
package simcluster

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/cluster/membership"
)

// Time is virtual, in tenths of a millisecond from the run's begin.
type Time = admission.Time

// Link is what a message from one process to another meets.
type Link struct {
	Cut             bool
	Loss, Duplicate float64 // shares
	Delay, Jitter   Time    // Spread: how much more, at most
}

// Process is one member of the fleet.
type Process struct {
	Index             int
	Name              string
	Core              *membership.Core
	HealthReports     *healthreport.Table
	Up                bool
	Sent              int64 // bytes
	Messages          int64
	healthReportBytes int64 // of Sent, about engines
	cluster           *Cluster
	incarnation       int // events of an earlier process are nothing to this one
	stopped           Time
	rate              float64 // of its clock
	ahead             Time
	waiting           []event
	timerSet          bool
}

// MembershipChange is one change that a member noticed.
type MembershipChange struct {
	At     Time
	By     int
	Code   membership.EventCode
	Member membership.Member
}

// Cluster is a fleet.
type Cluster struct {
	Now       Time
	Processes []*Process
	Changes   []MembershipChange
	Link      func(from, to int) Link
	OnChange  func(MembershipChange)
	random    *rand.Rand
	events    events
	order     uint64
	seeds     []string
	starts    uint64
}

type event struct {
	at          Time
	order       uint64
	to          *Process
	incarnation int
	from        *Process
	bytes       []byte
	kind        uint8 // of the message: member's or health report's
	call        func()
}

const (
	ofMembers = iota
	ofEngines
	ofTimer
)

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// New makes a fleet of so many processes, none of which is up. The first two are everybody's seeds.
func New(n int, seed uint64) *Cluster {
	c := &Cluster{random: rand.New(rand.NewPCG(seed, 1)), starts: 1000, seeds: []string{"a0", "a1"}}
	c.Link = func(int, int) Link { return Link{Delay: 10, Jitter: 20} }
	for i := range n {
		c.Processes = append(c.Processes, &Process{Index: i, Name: fmt.Sprintf("g%03d", i), cluster: c, rate: 1})
	}
	return c
}

// Schedule has something done at a time.
func (c *Cluster) Schedule(at Time, call func()) { c.push(event{at: at, call: call}) }

func (c *Cluster) push(e event) {
	c.order++
	e.order = c.order
	heap.Push(&c.events, e)
}

// Start starts a process; its start is later than any before, unless its clock is told to be behind.
func (p *Process) Start(start uint64) {
	c := p.cluster
	c.starts++
	if start == 0 {
		start = c.starts
	}
	p.incarnation++
	p.Up, p.stopped, p.waiting, p.timerSet = true, 0, nil, false
	self := membership.Member{Name: p.Name, Incarnation: start, Address: fmt.Sprint("a", p.Index)}
	p.Core = membership.New(p.clock(), self, c.seeds, rand.New(rand.NewPCG(c.random.Uint64(), 2)), host{p})
	p.HealthReports = healthreport.New(len(c.Processes)-1, 0.25, healthreport.RetryPhase(p.Name))
	p.timer()
}

// Kill ends a process at once.
func (p *Process) Kill() { p.Up = false; p.incarnation++ }

// Pause has it stand still for a time; what comes meanwhile waits for it.
func (p *Process) Pause(length Time) {
	if p.Up && p.stopped == 0 {
		p.stopped = p.cluster.Now + length
		life := p.incarnation
		p.cluster.Schedule(p.stopped, func() {
			if p.incarnation != life {
				return
			}
			p.stopped = 0
			waiting := p.waiting
			p.waiting = nil
			for _, e := range waiting {
				p.take(e)
			}
		})
	}
}

// SetClockRate has its clock run at a rate from now on.
func (p *Process) SetClockRate(rate float64) {
	now := p.clock()
	p.rate = rate
	p.ahead = now - Time(float64(p.cluster.Now)*rate)
}

func (p *Process) clock() Time { return Time(float64(p.cluster.Now)*p.rate) + p.ahead }

type host struct{ p *Process }

func (h host) Send(to string, m []byte) {
	var n int
	if _, err := fmt.Sscanf(to, "a%d", &n); err != nil || n >= len(h.p.cluster.Processes) {
		return
	}
	h.p.cluster.carry(h.p, h.p.cluster.Processes[n], m, ofMembers)
}

func (h host) MemberChanged(code membership.EventCode, m membership.Member) {
	c := h.p.cluster
	t := MembershipChange{c.Now, h.p.Index, code, m}
	if c.OnChange != nil {
		c.OnChange(t)
		return
	}
	c.Changes = append(c.Changes, t)
}

func (c *Cluster) carry(from, to *Process, m []byte, kind uint8) {
	from.Sent += int64(len(m) + 28 + 60) // the datagram's own heads, and what sealing adds
	from.Messages++
	l := c.Link(from.Index, to.Index)
	if l.Cut || l.Loss > 0 && c.random.Float64() < l.Loss {
		return
	}
	for range 1 + btoi(l.Duplicate > 0 && c.random.Float64() < l.Duplicate) {
		at := c.Now + l.Delay
		if l.Jitter > 0 {
			at += Time(c.random.Int64N(int64(l.Jitter)))
		}
		c.push(event{at: at, to: to, incarnation: to.incarnation, from: from, bytes: m, kind: kind})
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Say has a process tell all it takes to be there what it has to say of engines.
func (p *Process) Say() {
	if !p.Up || p.stopped > 0 {
		return
	}
	m := p.HealthReports.NextMessage(p.clock())
	if m == nil {
		return
	}
	before := p.Sent
	for _, other := range p.Core.Members() {
		var n int
		if _, err := fmt.Sscanf(other.Address, "a%d", &n); err == nil && other.State <= membership.Suspect {
			p.cluster.carry(p, p.cluster.Processes[n], m, ofEngines)
		}
	}
	p.healthReportBytes += p.Sent - before
}

// take is one event of a process that is up.
func (p *Process) take(e event) {
	if p.stopped > 0 {
		p.waiting = append(p.waiting, e)
		return
	}
	now := p.clock()
	switch e.kind {
	case ofTimer:
		p.timerSet = false
		p.Core.Tick(now)
	case ofMembers:
		p.Core.HandleMessage(now, e.bytes)
	case ofEngines:
		p.HealthReports.HandleMessage(now, source(e.from.Core.Self()), e.bytes)
	}
	p.timer()
}

func source(m membership.Member) healthreport.Source {
	return healthreport.Source{Name: m.Name, Incarnation: m.Incarnation}
}

// timer sets the next call of Due.
func (p *Process) timer() {
	if p.timerSet || !p.Up {
		return
	}
	p.timerSet = true
	wait := max(1, Time(float64(p.Core.NextTick()-p.clock())/p.rate))
	p.cluster.push(event{at: p.cluster.Now + wait, to: p, incarnation: p.incarnation, kind: ofTimer})
}

// Run plays until a time.
func (c *Cluster) Run(until Time) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.Now = max(c.Now, e.at)
		switch {
		case e.call != nil:
			e.call()
		case e.to.Up && (e.kind != ofTimer || e.incarnation == e.to.incarnation): // a message finds whoever has the address by then
			e.to.take(e)
		}
	}
	c.Now = until
}

// Start starts all, spread over a time, and lets them find each other.
func (c *Cluster) Start(over Time) {
	for i, p := range c.Processes {
		c.Schedule(c.Now+over*Time(i)/Time(len(c.Processes)), func() { p.Start(0) })
	}
}

// WrongViews tells how many ordered pairs of processes that are up don't take each other to be there, or not under the right start.
func (c *Cluster) WrongViews() (wrong int) {
	for _, p := range c.Processes {
		if !p.Up || p.Core.IsInactive() {
			continue
		}
		for _, q := range c.Processes {
			if q == p || !q.Up || q.Core.IsInactive() || q.Name == p.Name {
				continue
			}
			m, ok := p.Core.Find(q.Name)
			if !ok || m.State > membership.Suspect || m.Incarnation != q.Core.Self().Incarnation {
				wrong++
			}
		}
	}
	return wrong
}
