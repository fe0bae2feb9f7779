package simcluster

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/quota"
)

// quotaCluster is a simulated cluster that shares a quota. Links lose, delay and duplicate messages, processes are killed and paused, a
// second process may run under a name, and clocks drift.
type quotaCluster struct {
	network[quota.Message]
	plan     *quota.Plan
	members  []*quotaMember
	starts   uint64
	requests int              // number of requests that have begun
	byName   map[string][]int // indices of the processes with a name
}

// quotaMember is one process.
type quotaMember struct {
	cluster      *quotaCluster
	share        int // number of its share, modulo the plan's number of shares
	index        int // index among all processes
	name         string
	core         *quota.Core
	clockRate    float64
	clockOffset  float64
	up           bool
	pausedUntil  Time
	demand       int64    // number of requests that it would run at the same time
	requestUnits int64    // units that each request needs
	served       int      // number of requests that have begun
	running      []Time   // when each running request ends, on the process's clock
	incarnations []uint64 // incarnations of all starts so far
}

func (p *quotaMember) Send(to string, m quota.Message) {
	p.cluster.send(p.index, p.cluster.byName[to], m, len(m.Encode()))
}

func (p *quotaMember) Peers() (names []string) {
	for _, other := range p.cluster.members {
		if other.share != p.share {
			names = append(names, other.name)
		}
	}
	return names
}

func (p *quotaMember) clock() Time { return Time(float64(p.cluster.now)*p.clockRate + p.clockOffset) }

func (p *quotaMember) isRunning() bool { return p.up && p.pausedUntil <= p.cluster.now }

// start starts a process that knows no predecessors.
func (p *quotaMember) start() {
	p.cluster.starts++
	p.up, p.running, p.requestUnits = true, nil, max(1, p.requestUnits)
	p.core = quota.New(p.clock(), quota.Options{Plan: p.cluster.plan, Name: p.name, Incarnation: p.cluster.starts, Share: p.share % p.cluster.plan.Shares, Host: p})
	p.incarnations = append(p.incarnations, p.cluster.starts)
}

// startSuccessor starts a process that knows that its earlier incarnations have ended, as a restart on the same machine does.
func (p *quotaMember) startSuccessor() {
	before := p.incarnations
	p.start()
	p.core.SetPredecessors(before[max(0, len(before)-quota.MaxPredecessors):])
}

// quotaVoters is the number of members that are voters of the quota.
const quotaVoters = 3

// newQuotaCluster starts a cluster of members that share a total.
func newQuotaCluster(seed uint64, members int, total int64) *quotaCluster {
	c := &quotaCluster{byName: map[string][]int{}, plan: &quota.Plan{Shares: members, ShareTerm: 2 * admission.Second, LeaseTerm: admission.Second, LongestUse: admission.Second / 4, DriftDivisor: 20, Revision: 1, QuotaIDs: []uint32{7}, Totals: []int64{total}}}
	c.random, c.maxDelay = rand.New(rand.NewPCG(seed, 3)), 3*c.plan.ShareTerm
	for k := range quotaVoters {
		c.plan.Voters = append(c.plan.Voters, fmt.Sprint("g", k))
	}
	for n := range members {
		c.add(&quotaMember{cluster: c, share: n, clockRate: 0.955 + 0.09*c.random.Float64(), clockOffset: float64(c.random.IntN(1e6))})
	}
	return c
}

// add adds a process to the cluster and starts it.
func (c *quotaCluster) add(p *quotaMember) {
	p.name, p.index = fmt.Sprint("g", p.share%c.plan.Shares), len(c.members)
	c.byName[p.name] = append(c.byName[p.name], len(c.members))
	c.members = append(c.members, p)
	p.start()
}

// advance simulates some time, and calls check after each simulation step.
func (c *quotaCluster) advance(length Time, check func()) {
	c.network.advance(length, func(d datagram[quota.Message]) {
		if p := c.members[d.to]; p.isRunning() {
			message, err := quota.Decode(d.message.Encode())
			if err != nil {
				panic(err)
			}
			p.core.HandleMessage(p.clock(), message)
		}
	}, func() {
		for _, p := range c.members {
			if p.isRunning() {
				p.tick()
			}
		}
	}, check)
}

// tick ends the requests that are due, and begins new ones up to the process's demand as far as the quota allows.
func (p *quotaMember) tick() {
	now := p.clock()
	p.running = slices.DeleteFunc(p.running, func(end Time) bool {
		if now >= end {
			p.core.Release(now, 0, p.requestUnits)
		}
		return now >= end
	})
	for int64(len(p.running)) < p.demand && p.core.TryAcquire(now, 0, p.requestUnits, now+p.cluster.plan.LongestUse) {
		p.cluster.requests++
		p.served++
		p.running = append(p.running, now+Time(p.cluster.random.Int64N(int64(p.cluster.plan.LongestUse))))
	}
	p.core.SetNextRequestUnits(0, p.requestUnits)
	p.core.SetDemand(now, 0, p.requestUnits*max(0, p.demand-int64(len(p.running))))
	p.core.Tick(now)
}

// totals returns how many units all processes that are up may use now, and how many they use.
func (c *quotaCluster) totals() (held, used int64) {
	for _, p := range c.members {
		if p.up {
			held += p.core.HeldUnits(p.clock(), 0)
			used += p.core.UsedUnits(p.clock(), 0)
		}
	}
	return held, used
}

// QuotaResult describes how well a cluster uses a total. The utilizations are shares of the units that an ideal distribution, which knows
// the demand of all members at every instant, would use.
type QuotaResult struct {
	Members     int
	Even, Zipf  float64 // utilization if the demand is two thirds above the total, and distributed evenly or by Zipf's law
	Moving      float64 // utilization if nine tenths of the demand are at one member, and at another one every five seconds
	EqualEven   float64 // like Even, for fixed equal shares
	EqualZipf   float64 // like Zipf, for fixed equal shares
	EqualMoving float64 // like Moving, for fixed equal shares
	BurstTime   Time    // time from a burst at a single member until it uses nine tenths of the total; below 0: it never did
	Bytes       float64 // bytes sent per second and member, under moving demand
	Messages    float64 // messages sent per request, under moving demand
}

// MeasureQuota simulates a cluster of n members with a total of 2n units.
func MeasureQuota(n int, seed uint64) QuotaResult {
	const second = admission.Second
	c := newQuotaCluster(seed, n, int64(2*n))
	result := QuotaResult{Members: n}
	c.advance(6*second, func() {})
	c.setDemand(func(int) float64 { return 1 })
	c.advance(2*second, func() {})
	result.Even, result.EqualEven = c.measureUse(5 * second)
	c.setDemand(func(n int) float64 { return 1 / float64(1+n) })
	c.advance(2*second, func() {})
	result.Zipf, result.EqualZipf = c.measureUse(5 * second)
	c.measureMovingDemand(&result)
	for _, p := range c.members {
		p.demand = 0
	}
	c.advance(3*second, func() {})
	result.BurstTime = c.measureBurst(c.members[n/2])
	return result
}

// setDemand distributes a demand of 5/3 of the total among the members in proportion to their weights.
func (c *quotaCluster) setDemand(weight func(n int) float64) {
	sum := 0.0
	for _, p := range c.members {
		sum += weight(p.share)
	}
	for _, p := range c.members {
		p.demand = int64(math.Round(float64(c.plan.Totals[0]) * 5 / 3 * weight(p.share) / sum))
	}
}

// measureUse simulates some time. It returns the utilization, and the utilization that fixed equal shares would reach, both as shares of
// the ideal use (see QuotaResult).
func (c *quotaCluster) measureUse(length Time) (share, equalShare float64) {
	var used, equal, ideal float64
	total := c.plan.Totals[0]
	c.advance(length, func() {
		_, usedNow := c.totals()
		demand := int64(0)
		for _, p := range c.members {
			demand += p.demand
			equal += float64(min(p.demand, 2))
		}
		used += float64(usedNow)
		ideal += float64(min(demand, total))
	})
	return used / ideal, equal / ideal
}

// measureMovingDemand measures the cluster while nine tenths of the demand are at one member, and at another one every five seconds.
func (c *quotaCluster) measureMovingDemand(result *QuotaResult) {
	const second, moves = admission.Second, 4
	n := result.Members
	c.bytes, c.sent, c.requests = 0, 0, 0
	began := c.now
	for move := range moves {
		busy := (7 + 13*move) % n
		c.setDemand(func(n int) float64 {
			if n == busy {
				return 9
			}
			return 1 / float64(c.plan.Shares)
		})
		share, equalShare := c.measureUse(5 * second)
		result.Moving += share / moves
		result.EqualMoving += equalShare / moves
	}
	result.Bytes = float64(c.bytes) / float64(n) / (float64(c.now-began) / float64(second))
	result.Messages = float64(c.sent) / float64(max(1, c.requests))
}

// measureBurst raises the demand of a member to the total, and returns the time until all members together use nine tenths of the total;
// -1: longer than twenty seconds.
func (c *quotaCluster) measureBurst(p *quotaMember) Time {
	total := c.plan.Totals[0]
	p.demand = total
	began, took := c.now, Time(-1)
	c.advance(20*admission.Second, func() {
		if _, used := c.totals(); used*10 >= total*9 && took < 0 {
			took = c.now - began
		}
	})
	return took
}

// WriteQuota writes a list of results as a table.
func WriteQuota(out io.Writer, list []QuotaResult) {
	fmt.Fprintln(out, "         share of what one that knows all would use: lent (equal parts)")
	fmt.Fprintln(out, "members  even           Zipf           moving         all at one after s  bytes/s a member  messages a task")
	for _, d := range list {
		fmt.Fprintf(out, "%7d  %.3f (%.3f)  %.3f (%.3f)  %.3f (%.3f)  %18.2f  %16.0f  %15.2f\n", d.Members, d.Even, d.EqualEven, d.Zipf, d.EqualZipf, d.Moving, d.EqualMoving,
			float64(d.BurstTime)/float64(admission.Second), d.Bytes, d.Messages)
	}
}
