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
	Cut           bool
	Loss, Double  float64 // shares
	Delay, Spread Time    // Spread: how much more, at most
}

// Process is one member of the fleet.
type Process struct {
	N        int
	Name     string
	Core     *membership.Core
	Book     *healthreport.Table
	Up       bool
	Sent     int64 // bytes
	Messages int64
	said     int64 // of Sent, about engines
	crowd    *Crowd
	life     int // events of an earlier process are nothing to this one
	stopped  Time
	rate     float64 // of its clock
	ahead    Time
	waiting  []event
	due      bool
}

// Told is one change that a member noticed.
type Told struct {
	At     Time
	By     int
	Code   membership.EventCode
	Member membership.Member
}

// Crowd is a fleet.
type Crowd struct {
	Now       Time
	Processes []*Process
	Told      []Told
	Link      func(from, to int) Link
	OnTold    func(Told)
	chance    *rand.Rand
	events    events
	order     uint64
	seeds     []string
	starts    uint64
}

type event struct {
	at    Time
	order uint64
	to    *Process
	life  int
	from  *Process
	bytes []byte
	kind  uint8 // of the message: member's or health report's
	call  func()
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
func New(n int, seed uint64) *Crowd {
	c := &Crowd{chance: rand.New(rand.NewPCG(seed, 1)), starts: 1000, seeds: []string{"a0", "a1"}}
	c.Link = func(int, int) Link { return Link{Delay: 10, Spread: 20} }
	for i := range n {
		c.Processes = append(c.Processes, &Process{N: i, Name: fmt.Sprintf("g%03d", i), crowd: c, rate: 1})
	}
	return c
}

// At has something done at a time.
func (c *Crowd) At(at Time, call func()) { c.push(event{at: at, call: call}) }

func (c *Crowd) push(e event) {
	c.order++
	e.order = c.order
	heap.Push(&c.events, e)
}

// Begin starts a process; its start is later than any before, unless its clock is told to be behind.
func (p *Process) Begin(start uint64) {
	c := p.crowd
	c.starts++
	if start == 0 {
		start = c.starts
	}
	p.life++
	p.Up, p.stopped, p.waiting, p.due = true, 0, nil, false
	self := membership.Member{Name: p.Name, Incarnation: start, Address: fmt.Sprint("a", p.N)}
	p.Core = membership.New(p.clock(), self, c.seeds, rand.New(rand.NewPCG(c.chance.Uint64(), 2)), host{p})
	p.Book = healthreport.New(len(c.Processes)-1, 0.25, healthreport.RetryPhase(p.Name))
	p.timer()
}

// Kill ends a process at once.
func (p *Process) Kill() { p.Up = false; p.life++ }

// Stop has it stand still for a time; what comes meanwhile waits for it.
func (p *Process) Stop(length Time) {
	if p.Up && p.stopped == 0 {
		p.stopped = p.crowd.Now + length
		life := p.life
		p.crowd.At(p.stopped, func() {
			if p.life != life {
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

// Clock has its clock run at a rate from now on.
func (p *Process) Clock(rate float64) {
	now := p.clock()
	p.rate = rate
	p.ahead = now - Time(float64(p.crowd.Now)*rate)
}

func (p *Process) clock() Time { return Time(float64(p.crowd.Now)*p.rate) + p.ahead }

type host struct{ p *Process }

func (h host) Send(to string, m []byte) {
	var n int
	if _, err := fmt.Sscanf(to, "a%d", &n); err != nil || n >= len(h.p.crowd.Processes) {
		return
	}
	h.p.crowd.carry(h.p, h.p.crowd.Processes[n], m, ofMembers)
}

func (h host) MemberChanged(code membership.EventCode, m membership.Member) {
	c := h.p.crowd
	t := Told{c.Now, h.p.N, code, m}
	if c.OnTold != nil {
		c.OnTold(t)
		return
	}
	c.Told = append(c.Told, t)
}

func (c *Crowd) carry(from, to *Process, m []byte, kind uint8) {
	from.Sent += int64(len(m) + 28 + 60) // the datagram's own heads, and what sealing adds
	from.Messages++
	l := c.Link(from.N, to.N)
	if l.Cut || l.Loss > 0 && c.chance.Float64() < l.Loss {
		return
	}
	for range 1 + btoi(l.Double > 0 && c.chance.Float64() < l.Double) {
		at := c.Now + l.Delay
		if l.Spread > 0 {
			at += Time(c.chance.Int64N(int64(l.Spread)))
		}
		c.push(event{at: at, to: to, life: to.life, from: from, bytes: m, kind: kind})
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
	m := p.Book.NextMessage(p.clock())
	if m == nil {
		return
	}
	before := p.Sent
	for _, other := range p.Core.Members() {
		var n int
		if _, err := fmt.Sscanf(other.Address, "a%d", &n); err == nil && other.State <= membership.Suspect {
			p.crowd.carry(p, p.crowd.Processes[n], m, ofEngines)
		}
	}
	p.said += p.Sent - before
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
		p.due = false
		p.Core.Tick(now)
	case ofMembers:
		p.Core.HandleMessage(now, e.bytes)
	case ofEngines:
		p.Book.HandleMessage(now, source(e.from.Core.Self()), e.bytes)
	}
	p.timer()
}

func source(m membership.Member) healthreport.Source {
	return healthreport.Source{Name: m.Name, Incarnation: m.Incarnation}
}

// timer sets the next call of Due.
func (p *Process) timer() {
	if p.due || !p.Up {
		return
	}
	p.due = true
	wait := max(1, Time(float64(p.Core.NextTick()-p.clock())/p.rate))
	p.crowd.push(event{at: p.crowd.Now + wait, to: p, life: p.life, kind: ofTimer})
}

// Run plays until a time.
func (c *Crowd) Run(until Time) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.Now = max(c.Now, e.at)
		switch {
		case e.call != nil:
			e.call()
		case e.to.Up && (e.kind != ofTimer || e.life == e.to.life): // a message finds whoever has the address by then
			e.to.take(e)
		}
	}
	c.Now = until
}

// Start starts all, spread over a time, and lets them find each other.
func (c *Crowd) Start(over Time) {
	for i, p := range c.Processes {
		c.At(c.Now+over*Time(i)/Time(len(c.Processes)), func() { p.Begin(0) })
	}
}

// Agree tells how many ordered pairs of processes that are up don't take each other to be there, or not under the right start.
func (c *Crowd) Agree() (wrong int) {
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
