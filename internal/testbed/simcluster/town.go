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

// perDatagram is what a message costs besides itself: the datagram's heads, and what sealing and the sender's name add.
const perDatagram = 28 + 70

// town is a fleet in one process and virtual time, with links that lose, delay and double, processes that are killed, doubled and
// stopped, and clocks that run off.
type town struct {
	post[quota.Message]
	plan   *quota.Plan
	people []*person
	starts uint64
	tasks  int
	byName map[string][]int
}

type person struct {
	t       *town
	n       int // its seat is this by the seats
	place   int // among all processes
	name    string
	core    *quota.Core
	rate    float64
	ahead   float64
	up      bool
	stopped Time
	want    int64 // requests that it would have at once
	width   int64 // of each
	served  int
	jobs    []Time
	before  []uint64 // starts of its processes
}

func (p *person) Send(to string, m quota.Message) {
	p.t.send(p.place, p.t.byName[to], m, len(m.Encode()))
}

func (p *person) Peers() (out []string) {
	for _, q := range p.t.people {
		if q.n != p.n {
			out = append(out, q.name)
		}
	}
	return out
}

func (p *person) clock() Time { return Time(float64(p.t.now)*p.rate + p.ahead) }

func (p *person) begin() {
	p.t.starts++
	p.up, p.jobs, p.width = true, nil, max(1, p.width)
	p.core = quota.New(p.clock(), p.t.plan, p.name, p.t.starts, p.n%p.t.plan.Shares, p)
	p.before = append(p.before, p.t.starts)
}

// follow has the process be followed, by one that knows that those before it on its machine have ended.
func (p *person) follow() {
	before := p.before
	p.begin()
	p.core.SucceedIncarnations(before[max(0, len(before)-quota.MaxPredecessors):])
}

// newTown starts a fleet of so many seats, the first of which are replicas.
func newTown(seed uint64, seats, keepers int, total int64) *town {
	t := &town{byName: map[string][]int{}, plan: &quota.Plan{Shares: seats, ShareTerm: 2 * admission.Second, LeaseTerm: admission.Second, LongestUse: admission.Second / 4, DriftDivisor: 20, Number: 1, QuotaIDs: []uint32{7}, Totals: []int64{total}}}
	t.chance, t.latest = rand.New(rand.NewPCG(seed, 3)), 3*t.plan.ShareTerm
	for k := range keepers {
		t.plan.Voters = append(t.plan.Voters, fmt.Sprint("g", k))
	}
	for n := range seats {
		t.add(&person{t: t, n: n, rate: 0.955 + 0.09*t.chance.Float64(), ahead: float64(t.chance.IntN(1e6))})
	}
	return t
}

// add starts a process.
func (t *town) add(p *person) {
	p.name, p.place = fmt.Sprint("g", p.n%t.plan.Shares), len(t.people)
	t.byName[p.name] = append(t.byName[p.name], len(t.people))
	t.people = append(t.people, p)
	p.begin()
}

// pass plays some time; check is told after each step.
func (t *town) pass(length Time, check func()) {
	t.post.pass(length, func(l letter[quota.Message]) {
		if p := t.people[l.to]; p.up && p.stopped <= t.now {
			m, err := quota.Decode(l.message.Encode())
			if err != nil {
				panic(err)
			}
			p.core.HandleMessage(p.clock(), m)
		}
	}, func() {
		for _, p := range t.people {
			if p.up && p.stopped <= t.now {
				p.step()
			}
		}
	}, check)
}

// step lets requests end and begin, as many as its demand and its rights have it.
func (p *person) step() {
	now := p.clock()
	p.jobs = slices.DeleteFunc(p.jobs, func(end Time) bool {
		if now >= end {
			p.core.Release(now, 0, p.width)
		}
		return now >= end
	})
	for int64(len(p.jobs)) < p.want && p.core.TryAcquire(now, 0, p.width, now+p.t.plan.LongestUse) {
		p.t.tasks++
		p.served++
		p.jobs = append(p.jobs, now+Time(p.t.chance.Int64N(int64(p.t.plan.LongestUse))))
	}
	p.core.SetNextRequestUnits(0, p.width)
	p.core.SetDemand(now, 0, p.width*max(0, p.want-int64(len(p.jobs))))
	p.core.Tick(now)
}

// held is what all living processes may use at this instant, and used what they do.
func (t *town) held() (held, used int64) {
	for _, p := range t.people {
		if p.up {
			held += p.core.HeldUnits(p.clock(), 0)
			used += p.core.UsedUnits(p.clock(), 0)
		}
	}
	return held, used
}

// Division is how well a total was used, by the share of what one that knows all would have used at each instant.
type Division struct {
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

// Divide plays a fleet whose total is twice its members.
func Divide(n int, seed uint64) Division {
	const second = admission.Second
	total := int64(2 * n)
	t := newTown(seed, n, 3, total)
	d := Division{Members: n, There: -1}
	t.pass(6*second, func() {})
	share := func(length Time) (ours, equal float64) {
		var used, equals, could float64
		t.pass(length, func() {
			_, u := t.held()
			want := int64(0)
			for _, p := range t.people {
				want += p.want
				equals += float64(min(p.want, 2))
			}
			used, could = used+float64(u), could+float64(min(want, total))
		})
		return used / could, equals / could
	}
	demand := func(f func(n int) float64) {
		sum := 0.0
		for _, p := range t.people {
			sum += f(p.n)
		}
		for _, p := range t.people {
			p.want = int64(math.Round(float64(total) * 5 / 3 * f(p.n) / sum))
		}
	}
	demand(func(int) float64 { return 1 })
	t.pass(2*second, func() {})
	d.Even, d.EqualEven = share(5 * second)
	demand(func(n int) float64 { return 1 / float64(1+n) })
	t.pass(2*second, func() {})
	d.Zipf, d.EqualZipf = share(5 * second)
	t.bytes, t.sent, t.tasks = 0, 0, 0
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
	d.Messages = float64(t.sent) / float64(max(1, t.tasks))
	for _, p := range t.people {
		p.want = 0
	}
	t.pass(3*second, func() {})
	t.people[n/2].want = total
	began = t.now
	t.pass(20*second, func() {
		if _, used := t.held(); used*10 >= total*9 && d.There < 0 {
			d.There = t.now - began
		}
	})
	return d
}

// DivideText writes figures as a table.
func DivideText(out io.Writer, list []Division) {
	fmt.Fprintln(out, "         share of what one that knows all would use: lent (equal parts)")
	fmt.Fprintln(out, "members  even           Zipf           moving         all at one after s  bytes/s a member  messages a task")
	for _, d := range list {
		fmt.Fprintf(out, "%7d  %.3f (%.3f)  %.3f (%.3f)  %.3f (%.3f)  %18.2f  %16.0f  %15.2f\n", d.Members, d.Even, d.EqualEven, d.Zipf, d.EqualZipf, d.Moving, d.EqualMoving,
			float64(d.There)/float64(admission.Second), d.Bytes, d.Messages)
	}
}
