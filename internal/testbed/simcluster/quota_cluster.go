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

// quotaCluster is a fleet in one process and virtual time, with links that lose, delay and double, processes that are killed, doubled and
// stopped, and clocks that run off.
type quotaCluster struct {
	network[quota.Message]
	plan     *quota.Plan
	members  []*quotaMember
	starts   uint64
	requests int
	byName   map[string][]int
}

type quotaMember struct {
	cluster      *quotaCluster
	share        int // its seat is this by the seats
	index        int // among all processes
	name         string
	core         *quota.Core
	clockRate    float64
	clockOffset  float64
	up           bool
	stopped      Time
	demand       int64 // requests that it would have at once
	requestUnits int64 // of each
	served       int
	running      []Time
	predecessors []uint64 // starts of its processes
}

func (p *quotaMember) Send(to string, m quota.Message) {
	p.cluster.send(p.index, p.cluster.byName[to], m, len(m.Encode()))
}

func (p *quotaMember) Peers() (out []string) {
	for _, q := range p.cluster.members {
		if q.share != p.share {
			out = append(out, q.name)
		}
	}
	return out
}

func (p *quotaMember) clock() Time { return Time(float64(p.cluster.now)*p.clockRate + p.clockOffset) }

func (p *quotaMember) start() {
	p.cluster.starts++
	p.up, p.running, p.requestUnits = true, nil, max(1, p.requestUnits)
	p.core = quota.New(p.clock(), quota.Options{Plan: p.cluster.plan, Name: p.name, Incarnation: p.cluster.starts, Share: p.share % p.cluster.plan.Shares, Host: p})
	p.predecessors = append(p.predecessors, p.cluster.starts)
}

// succeed has the process be followed, by one that knows that those before it on its machine have ended.
func (p *quotaMember) succeed() {
	before := p.predecessors
	p.start()
	p.core.SucceedIncarnations(before[max(0, len(before)-quota.MaxPredecessors):])
}

// newQuotaCluster starts a fleet of so many seats, the first of which are replicas.
func newQuotaCluster(seed uint64, seats, keepers int, total int64) *quotaCluster {
	t := &quotaCluster{byName: map[string][]int{}, plan: &quota.Plan{Shares: seats, ShareTerm: 2 * admission.Second, LeaseTerm: admission.Second, LongestUse: admission.Second / 4, DriftDivisor: 20, Number: 1, QuotaIDs: []uint32{7}, Totals: []int64{total}}}
	t.random, t.maxDelay = rand.New(rand.NewPCG(seed, 3)), 3*t.plan.ShareTerm
	for k := range keepers {
		t.plan.Voters = append(t.plan.Voters, fmt.Sprint("g", k))
	}
	for n := range seats {
		t.add(&quotaMember{cluster: t, share: n, clockRate: 0.955 + 0.09*t.random.Float64(), clockOffset: float64(t.random.IntN(1e6))})
	}
	return t
}

// add starts a process.
func (t *quotaCluster) add(p *quotaMember) {
	p.name, p.index = fmt.Sprint("g", p.share%t.plan.Shares), len(t.members)
	t.byName[p.name] = append(t.byName[p.name], len(t.members))
	t.members = append(t.members, p)
	p.start()
}

// advance plays some time; check is told after each step.
func (t *quotaCluster) advance(length Time, check func()) {
	t.network.advance(length, func(l datagram[quota.Message]) {
		if p := t.members[l.to]; p.up && p.stopped <= t.now {
			m, err := quota.Decode(l.message.Encode())
			if err != nil {
				panic(err)
			}
			p.core.HandleMessage(p.clock(), m)
		}
	}, func() {
		for _, p := range t.members {
			if p.up && p.stopped <= t.now {
				p.tick()
			}
		}
	}, check)
}

// step lets requests end and begin, as many as its demand and its rights have it.
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

// held is what all living processes may use at this instant, and used what they do.
func (t *quotaCluster) totals() (held, used int64) {
	for _, p := range t.members {
		if p.up {
			held += p.core.HeldUnits(p.clock(), 0)
			used += p.core.UsedUnits(p.clock(), 0)
		}
	}
	return held, used
}

// QuotaResult is how well a total was used, by the share of what one that knows all would have used at each instant.
type QuotaResult struct {
	Members     int
	Even, Zipf  float64 // demand of two thirds more than there is, alike and by Zipf's law
	Moving      float64 // nine tenths of it at one member, at another every five seconds
	EqualEven   float64 // the same with fixed equal parts
	EqualZipf   float64
	EqualMoving float64
	There       Time    // until nine tenths of the total are used at one, after it was wanted there alone; below 0: they never were
	Bytes       float64 // a second a member, under moving demand
	Messages    float64 // a request, under moving demand
}

// MeasureQuota plays a fleet whose total is twice its members.
func MeasureQuota(n int, seed uint64) QuotaResult {
	const second = admission.Second
	total := int64(2 * n)
	t := newQuotaCluster(seed, n, 3, total)
	d := QuotaResult{Members: n, There: -1}
	t.advance(6*second, func() {})
	share := func(length Time) (ours, equal float64) {
		var used, equals, could float64
		t.advance(length, func() {
			_, u := t.totals()
			want := int64(0)
			for _, p := range t.members {
				want += p.demand
				equals += float64(min(p.demand, 2))
			}
			used, could = used+float64(u), could+float64(min(want, total))
		})
		return used / could, equals / could
	}
	demand := func(f func(n int) float64) {
		sum := 0.0
		for _, p := range t.members {
			sum += f(p.share)
		}
		for _, p := range t.members {
			p.demand = int64(math.Round(float64(total) * 5 / 3 * f(p.share) / sum))
		}
	}
	demand(func(int) float64 { return 1 })
	t.advance(2*second, func() {})
	d.Even, d.EqualEven = share(5 * second)
	demand(func(n int) float64 { return 1 / float64(1+n) })
	t.advance(2*second, func() {})
	d.Zipf, d.EqualZipf = share(5 * second)
	t.bytes, t.sent, t.requests = 0, 0, 0
	began := t.now
	var ours, equal float64
	for k := range 4 {
		at := (7 + 13*k) % n
		demand(func(n int) float64 {
			if n == at {
				return 9
			}
			return 1 / float64(t.plan.Shares)
		})
		o, e := share(5 * second)
		ours, equal = ours+o/4, equal+e/4
	}
	d.Moving, d.EqualMoving = ours, equal
	d.Bytes = float64(t.bytes) / float64(n) / (float64(t.now-began) / float64(second))
	d.Messages = float64(t.sent) / float64(max(1, t.requests))
	for _, p := range t.members {
		p.demand = 0
	}
	t.advance(3*second, func() {})
	t.members[n/2].demand = total
	began = t.now
	t.advance(20*second, func() {
		if _, used := t.totals(); used*10 >= total*9 && d.There < 0 {
			d.There = t.now - began
		}
	})
	return d
}

// WriteQuota writes figures as a table.
func WriteQuota(out io.Writer, list []QuotaResult) {
	fmt.Fprintln(out, "         share of what one that knows all would use: lent (equal parts)")
	fmt.Fprintln(out, "members  even           Zipf           moving         all at one after s  bytes/s a member  messages a task")
	for _, d := range list {
		fmt.Fprintf(out, "%7d  %.3f (%.3f)  %.3f (%.3f)  %.3f (%.3f)  %18.2f  %16.0f  %15.2f\n", d.Members, d.Even, d.EqualEven, d.Zipf, d.EqualZipf, d.Moving, d.EqualMoving,
			float64(d.There)/float64(admission.Second), d.Bytes, d.Messages)
	}
}
