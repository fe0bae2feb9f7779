// Package simcluster simulates a cluster of up to several hundred members in one process, in virtual time and with a seeded random
// schedule. Members run the same cores as gateways. Links lose, delay, duplicate and cut off messages, processes are killed, paused and
// restarted, and clocks drift. The same seed gives the same run.
package simcluster

import (
	"fmt"
	"math/rand/v2"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/healthreport"
	"magpiebank/internal/cluster/membership"
)

// Time is virtual time in tenths of a millisecond since the start of the run.
type Time = admission.Time

// Link describes the path of a message from one process to another.
type Link struct {
	Cut             bool
	Loss, Duplicate float64 // shares of the messages that are lost and that arrive twice
	Delay, Jitter   Time    // Jitter is the maximum of a random time that is added to Delay
}

// Process is one member of a cluster.
type Process struct {
	Index             int
	Name              string
	Core              *membership.Core
	HealthReports     *healthreport.Table
	Up                bool
	Sent              int64 // number of bytes sent
	Messages          int64 // number of messages sent
	healthReportBytes int64 // number of bytes of health reports included in Sent
	cluster           *Cluster
	incarnation       int     // number of starts and kills; timers set before the last one are ignored
	pausedUntil       Time    // 0: not paused
	clockRate         float64 // speed of its clock relative to virtual time
	clockOffset       Time
	waiting           []event // events that happened during the pause
	timerSet          bool
}

// MembershipChange is a change of a member's state that another member noticed.
type MembershipChange struct {
	At     Time
	By     int // index of the process that noticed the change
	Code   membership.EventCode
	Member membership.Member
}

// Cluster is a simulated cluster.
type Cluster struct {
	Now             Time
	Processes       []*Process
	Changes         []MembershipChange
	Link            func(from, to int) Link
	OnChange        func(MembershipChange)
	random          *rand.Rand
	events          eventQueue
	nextOrder       uint64
	seeds           []string
	lastIncarnation uint64
}

const (
	firstIncarnation = 1000
	messageOverhead  = 28 + 60 // bytes that the headers of the datagram and the encryption add to a message
)

// New creates a cluster of size processes, none of which is up. The first two are the seeds of all processes.
func New(size int, seed uint64) *Cluster {
	cluster := &Cluster{random: rand.New(rand.NewPCG(seed, 1)), lastIncarnation: firstIncarnation, seeds: []string{"a0", "a1"}}
	cluster.Link = func(int, int) Link { return Link{Delay: 10, Jitter: 20} }
	for index := range size {
		cluster.Processes = append(cluster.Processes, &Process{Index: index, Name: fmt.Sprintf("g%03d", index), cluster: cluster, clockRate: 1})
	}
	return cluster
}

// Start starts a process. For incarnation 0, the process gets a later incarnation than any process started before. A test can set an
// earlier incarnation, which a process whose clock is behind would have.
func (p *Process) Start(incarnation uint64) {
	cluster := p.cluster
	cluster.lastIncarnation++
	if incarnation == 0 {
		incarnation = cluster.lastIncarnation
	}
	p.incarnation++
	p.Up, p.pausedUntil, p.waiting, p.timerSet = true, 0, nil, false
	self := membership.Member{Name: p.Name, Incarnation: incarnation, Address: fmt.Sprint("a", p.Index)}
	p.Core = membership.New(p.clock(), self, cluster.seeds, rand.New(rand.NewPCG(cluster.random.Uint64(), 2)), membershipHost{p})
	p.HealthReports = healthreport.New(len(cluster.Processes)-1, 0.25, healthreport.RetryPhase(p.Name))
	p.setTimer()
}

// Kill ends a process at once.
func (p *Process) Kill() {
	p.Up = false
	p.incarnation++
}

// Pause stops a process for a time. The process handles the events of that time at the end of the pause.
func (p *Process) Pause(length Time) {
	if !p.Up || p.pausedUntil != 0 {
		return
	}
	p.pausedUntil = p.cluster.Now + length
	incarnation := p.incarnation
	p.cluster.Schedule(p.pausedUntil, func() {
		if p.incarnation != incarnation {
			return
		}
		p.pausedUntil = 0
		waiting := p.waiting
		p.waiting = nil
		for _, delayed := range waiting {
			p.handle(delayed)
		}
	})
}

// SetClockRate sets the speed of the process's clock relative to virtual time, from now on.
func (p *Process) SetClockRate(rate float64) {
	now := p.clock()
	p.clockRate = rate
	p.clockOffset = now - Time(float64(p.cluster.Now)*rate)
}

func (p *Process) clock() Time { return Time(float64(p.cluster.Now)*p.clockRate) + p.clockOffset }

// membershipHost sends the messages of a process's membership core and records the changes that it notices. It implements membership.Host.
type membershipHost struct{ process *Process }

// Send implements membership.Host.
func (h membershipHost) Send(to string, message []byte) {
	cluster := h.process.cluster
	target, ok := cluster.processAt(to)
	if !ok {
		return
	}
	cluster.transmit(h.process, target, message, eventMembership)
}

// MemberChanged implements membership.Host.
func (h membershipHost) MemberChanged(code membership.EventCode, member membership.Member) {
	cluster := h.process.cluster
	change := MembershipChange{cluster.Now, h.process.Index, code, member}
	if cluster.OnChange != nil {
		cluster.OnChange(change)
		return
	}
	cluster.Changes = append(cluster.Changes, change)
}

// processAt returns the process with an address such as "a7".
func (c *Cluster) processAt(address string) (process *Process, ok bool) {
	var index int
	_, err := fmt.Sscanf(address, "a%d", &index)
	if err != nil || index >= len(c.Processes) {
		return nil, false
	}
	return c.Processes[index], true
}

// transmit sends a message over the link between two processes.
func (c *Cluster) transmit(from, to *Process, message []byte, kind eventKind) {
	from.Sent += int64(len(message) + messageOverhead)
	from.Messages++
	link := c.Link(from.Index, to.Index)
	if link.Cut || link.Loss > 0 && c.random.Float64() < link.Loss {
		return
	}
	for range 1 + boolToInt(link.Duplicate > 0 && c.random.Float64() < link.Duplicate) {
		at := c.Now + link.Delay
		if link.Jitter > 0 {
			at += Time(c.random.Int64N(int64(link.Jitter)))
		}
		c.push(event{at: at, to: to, incarnation: to.incarnation, from: from, message: message, kind: kind})
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// SendHealthReport sends the process's health report to all members that the process considers alive or suspects.
func (p *Process) SendHealthReport() {
	if !p.Up || p.pausedUntil > 0 {
		return
	}
	message := p.HealthReports.NextMessage(p.clock())
	if message == nil {
		return
	}
	before := p.Sent
	for _, member := range p.Core.Members() {
		target, ok := p.cluster.processAt(member.Address)
		if ok && member.State <= membership.Suspect {
			p.cluster.transmit(p, target, message, eventHealthReport)
		}
	}
	p.healthReportBytes += p.Sent - before
}

// handle handles an event of a process that is up.
func (p *Process) handle(received event) {
	if p.pausedUntil > 0 {
		p.waiting = append(p.waiting, received)
		return
	}
	now := p.clock()
	switch received.kind {
	case eventCall: // Cluster.Run handles it
	case eventTimer:
		p.timerSet = false
		p.Core.Tick(now)
	case eventMembership:
		_ = p.Core.HandleMessage(now, received.message) // invalid messages are dropped, as gateways do
	case eventHealthReport:
		_ = p.HealthReports.HandleMessage(now, sourceOf(received.from.Core.Self()), received.message) // invalid messages are dropped, as gateways do
	}
	p.setTimer()
}

func sourceOf(member membership.Member) healthreport.Source {
	return healthreport.Source{Name: member.Name, Incarnation: member.Incarnation}
}

// setTimer schedules the next tick of the membership core.
func (p *Process) setTimer() {
	if p.timerSet || !p.Up {
		return
	}
	p.timerSet = true
	wait := max(1, Time(float64(p.Core.NextTick()-p.clock())/p.clockRate))
	p.cluster.push(event{at: p.cluster.Now + wait, to: p, incarnation: p.incarnation, kind: eventTimer})
}

// Run advances the virtual time and handles the events until then.
func (c *Cluster) Run(until Time) {
	for len(c.events) > 0 && c.events[0].at <= until {
		next := c.events.popFirst()
		c.Now = max(c.Now, next.at)
		switch {
		case next.call != nil:
			next.call()
		case next.to.Up && (next.kind != eventTimer || next.incarnation == next.to.incarnation): // messages also reach a restarted process
			next.to.handle(next)
		}
	}
	c.Now = until
}

// Start schedules the start of all processes, evenly spread over a time.
func (c *Cluster) Start(over Time) {
	for index, process := range c.Processes {
		c.Schedule(c.Now+over*Time(index)/Time(len(c.Processes)), func() { process.Start(0) })
	}
}

// WrongViews counts the ordered pairs of processes that are up in which the first process considers the second neither alive nor suspected,
// or knows it by a wrong incarnation.
func (c *Cluster) WrongViews() (wrong int) {
	for _, viewer := range c.Processes {
		if !viewer.Up || viewer.Core.IsInactive() {
			continue
		}
		for _, other := range c.Processes {
			if other == viewer || !other.Up || other.Core.IsInactive() || other.Name == viewer.Name {
				continue
			}
			member, ok := viewer.Core.Find(other.Name)
			if !ok || member.State > membership.Suspect || member.Incarnation != other.Core.Self().Incarnation {
				wrong++
			}
		}
	}
	return wrong
}
