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

// quotaCluster is a simulated cluster that shares a quota, with links that lose, delay and duplicate, processes that are killed,
// started twice and paused, and clocks that drift.
type quotaCluster struct {
	network[quota.Message]
	plan     *quota.Plan
	members  []*quotaMember
	starts   uint64
	requests int
	byName   map[string][]int
}

// quotaMember is one process.
type quotaMember struct {
	cluster      *quotaCluster
	share        int // modulo the plan's shares
	index        int // among all processes
	name         string
	core         *quota.Core
	clockRate    float64
	clockOffset  float64
	up           bool
	pausedUntil  Time
	demand       int64 // requests that it would run at once
	requestUnits int64 // that each needs
	served       int
	running      []Time   // when each running request ends
	incarnations []uint64 // of its processes so far
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

// start starts a process that knows of none before it.
func (p *quotaMember) start() {
	p.cluster.starts++
	p.up, p.running, p.requestUnits = true, nil, max(1, p.requestUnits)
	p.core = quota.New(p.clock(), quota.Options{Plan: p.cluster.plan, Name: p.name, Incarnation: p.cluster.starts, Share: p.share % p.cluster.plan.Shares, Host: p})
	p.incarnations = append(p.incarnations, p.cluster.starts)
}

// succeed starts a process that knows that those before it on its machine have ended.
func (p *quotaMember) succeed() {
	before := p.incarnations
	p.start()
	p.core.SetPredecessors(before[max(0, len(before)-quota.MaxPredecessors):])
}

// quotaVoters is how many members replicate the quota.
const quotaVoters = 3

// newQuotaCluster starts a cluster of so many members that share a total.
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

// add starts a process.
func (c *quotaCluster) add(p *quotaMember) {
	p.name, p.index = fmt.Sprint("g", p.share%c.plan.Shares), len(c.members)
	c.byName[p.name] = append(c.byName[p.name], len(c.members))
	c.members = append(c.members, p)
	p.start()
}

// advance simulates some time, and calls check after each step.
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

// tick lets requests end, and begin as far as its demand and the quota allow.
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

// totals are the units that all processes that are up may use now, and that they do use.
func (c *quotaCluster) totals() (held, used int64) {
	for _, p := range c.members {
		if p.up {
			held += p.core.HeldUnits(p.clock(), 0)
			used += p.core.UsedUnits(p.clock(), 0)
		}
	}
	return held, used
}

// QuotaResult is how well a total was used, as a share of what an all-knowing one would have used at each instant.
type QuotaResult struct {
	Members     int
	Even, Zipf  float64 // with a demand of two thirds more than the total, even and by Zipf's law
	Moving      float64 // with nine tenths of the demand at one member, at another every five seconds
	EqualEven   float64 // the same with fixed equal shares
	EqualZipf   float64
	EqualMoving float64
	BurstTime   Time    // until nine tenths of the total are used at one member, after it was wanted there alone; below 0: they never were
	Bytes       float64 // a second a member, under moving demand
	Messages    float64 // a request, under moving demand
}

// MeasureQuota simulates a cluster whose total is twice its members.
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

// setDemand shares a demand of two thirds more than the total among the members by their weights.
func (c *quotaCluster) setDemand(weight func(n int) float64) {
	sum := 0.0
	for _, p := range c.members {
		sum += weight(p.share)
	}
	for _, p := range c.members {
		p.demand = int64(math.Round(float64(c.plan.Totals[0]) * 5 / 3 * weight(p.share) / sum))
	}
}

// measureUse measures for a time how much is used, and would be with fixed equal shares, of what an all-knowing one would use.
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

// measureMovingDemand has nine tenths of the demand at one member, and every five seconds at another.
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

// measureBurst is how long it takes until one member uses nine tenths of the total; below 0: longer than twenty seconds.
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

// WriteQuota writes results as a table.
func WriteQuota(out io.Writer, list []QuotaResult) {
	fmt.Fprintln(out, "         share of what one that knows all would use: lent (equal parts)")
	fmt.Fprintln(out, "members  even           Zipf           moving         all at one after s  bytes/s a member  messages a task")
	for _, d := range list {
		fmt.Fprintf(out, "%7d  %.3f (%.3f)  %.3f (%.3f)  %.3f (%.3f)  %18.2f  %16.0f  %15.2f\n", d.Members, d.Even, d.EqualEven, d.Zipf, d.EqualZipf, d.Moving, d.EqualMoving,
			float64(d.BurstTime)/float64(admission.Second), d.Bytes, d.Messages)
	}
}
