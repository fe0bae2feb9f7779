package workload

import (
	"fmt"
	"log/slog"
	"reflect"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/cluster/agent"
	"magpiebank/internal/config"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/router"
)

// Desk joins the book of statements and the operator's classes to a gateway.
type Desk struct {
	file  *Statements
	book  *costmodel.Model
	route *resourcegroup.Desk
	lanes []string
	loads []bool // lanes whose tasks change tables
	log   *slog.Logger
	keeps string // the snapshot's file; empty: nothing is kept

	plan   atomic.Pointer[resourcegroup.Plan] // that sessions class by
	next   atomic.Pointer[Statements]         // a file that was read and is not yet gone by
	saidAt time.Time
	agedAt time.Time
	said   told
	zones  []string // the site's names
	kinds  []string
	now    admission.Time
	ruled
}

// told are the book's counts at the last line.
type told struct{ seen, parsed, answers, wrong int64 }

// NewDesk makes a desk for a gateway's deployment. With a snapshot's file that can't be used it begins without, and says so.
func NewDesk(s *Statements, start *config.Start, log *slog.Logger) (*Desk, error) {
	r, err := resourcegroup.New(0, &s.Plan, start.Site.Cores, start.Network.Zones, start.Network.Kinds)
	if err != nil {
		return nil, err
	}
	d := &Desk{zones: start.Network.Zones, kinds: start.Network.Kinds, file: s, book: s.Book(len(start.Network.Lanes)), route: r, lanes: start.Network.Lanes, log: log,
		keeps: s.Snapshot, saidAt: time.Now(), agedAt: time.Now()}
	for _, l := range start.Site.Classes {
		d.loads = append(d.loads, l.Load)
	}
	d.plan.Store(&s.Plan)
	if d.keeps != "" {
		d.recover(d.keeps)
	}
	return d, nil
}

// Share has classes of the fleet go by the rights that its gateways share.
func (d *Desk) Share(r resourcegroup.Rights) { d.route.Share(r) }

// Renew has another file gone by; it takes effect within the timer's pace, whole or not at all, and the log says which.
func (d *Desk) Renew(s *Statements) {
	if s == nil {
		s = &Statements{}
	}
	d.next.Store(s)
}

func (d *Desk) renew(now admission.Time, s *Statements) {
	if s.LogEvery == 0 { // the file has no statements any more: they are read as long as the gateway runs, and nothing limits them
		s.Memory, s.LogEvery, s.Snapshot = d.file.Memory, d.file.LogEvery, d.keeps
	}
	if d.law == nil {
		if err := d.route.Renew(now, &s.Plan); err != nil {
			d.log.Warn("operator's file", "code", "kept", "error", err)
			return
		}
	}
	for field, same := range map[string]bool{"memory": s.Memory == d.file.Memory, "snapshot": s.Snapshot == d.keeps} {
		if !same {
			d.log.Warn("operator's file", "code", "needs_restart", "field", "statements."+field)
		}
	}
	if !reflect.DeepEqual(s.Tables, d.file.Tables) {
		d.book.SetTables(s.Known())
	}
	d.file = s
	d.plan.Store(&s.Plan)
	d.log.Info("operator's file", "code", "renewed", "pools", len(s.Plan.Pools), "classes", len(s.Plan.Classes))
}

// Open tells whether one more task of a class may go out. The decisions ask it, as they ask Pool and In.
func (d *Desk) Open(now admission.Time, class int, threads float64) bool {
	d.now = now
	if d.law != nil {
		v := d.law.ActivePolicy()
		by := v.BasisAt(now)
		if by == 0 || !d.follow(now, v, by) {
			return false
		}
		d.opened = by
	}
	return d.route.Open(now, class, threads)
}

// Pool is the number of a class's pool.
func (d *Desk) Pool(class int) int { return d.route.Pool(class) }

// Name is a class's.
func (d *Desk) Name(class int) string { return d.route.Name(class) }

// In tells whether an engine belongs to a pool.
func (d *Desk) In(pool int, l *admission.Listing) bool { return d.route.In(pool, l) }

// Listed takes in a delivery of the engine list.
func (d *Desk) Listed(now admission.Time, form admission.Form, list []admission.Listing) {
	d.route.Listed(now, form, list)
	if d.shadow != nil {
		d.shadow.Listed(now, form, list)
	}
}

// Due is the timer.
func (d *Desk) Due(now admission.Time) {
	if s := d.next.Swap(nil); s != nil {
		d.renew(now, s)
	}
	d.now = now
	if d.law != nil {
		v := d.law.ActivePolicy()
		if by := v.BasisAt(now); by != 0 {
			d.follow(now, v, by)
		}
		d.rehearse(now, v)
		if d.shadow != nil {
			d.shadow.Due(now)
		}
		d.tell()
	}
	d.route.Due(now)
	wall := time.Now()
	if hours := int64(wall.Sub(d.agedAt) / time.Hour); hours > 0 {
		d.agedAt = d.agedAt.Add(time.Duration(hours) * time.Hour)
		d.book.AdvanceHours(hours)
	}
	if wall.Sub(d.saidAt) >= d.file.LogEvery {
		d.saidAt = wall
		d.say()
	}
}

// say writes what was counted since the last line.
func (d *Desk) say() {
	b := d.book
	now := told{b.Statements.Load(), b.Parsed.Load(), b.Observations.Load(), b.Mispredicted.Load()}
	last := d.said
	d.said = now
	d.log.Info("statements", "seen", now.seen-last.seen, "new_shapes", now.parsed-last.parsed, "answers", now.answers-last.answers,
		"wrong", now.wrong-last.wrong, "unread", b.Unparsed.Load(), "moved", b.Shifts.Load(), "split", b.SplitShapes.Load())
	if d.law != nil {
		d.log.Info("policy", "code", "counts", "number", d.count.Of, "tasks", d.count.Tasks, "classed", d.count.Classed, "refused", d.count.Refused, "held", d.count.Held,
			"unsure", d.Unsure)
	}
	for _, c := range d.route.States() {
		d.log.Info("class", "name", c.Name, "retired", c.Retired, "limit", fmt.Sprintf("%.1f", c.Limit), "running", c.Running,
			"waiting", c.Waiting, "taken", c.Taken, "crowded", c.Crowded, "refused", c.Refused, "delivered", c.Delivered)
	}
}

// Arrived rules on the task that a reader has read.
func (d *Desk) Arrived(now admission.Time, r router.Reader) (f admission.Foreseen, crowded bool, refuse string) {
	k := r.(*Reader)
	if d.now = now; d.law != nil {
		return d.arrivedBy(now, k)
	}
	if plan := d.plan.Load(); plan != k.plan { // another file has come in between
		k.plan, k.entry = plan, plan.Find(&k.subject)
	}
	number, ruling, text := d.route.Arrived(k.entry)
	switch ruling {
	case resourcegroup.Refused:
		return f, false, "class " + k.plan.Classes[k.entry-1].Name + ": " + text
	case resourcegroup.Crowded:
		return f, true, ""
	}
	f = k.foreseen()
	f.PolicyClass = number
	return f, false, ""
}

func (r *Reader) foreseen() (f admission.Foreseen) {
	if e := &r.subject.Estimate; e.Known {
		f = admission.Foreseen{Work: tenths(e.WorkMillis), Upper: tenths(e.UpperMillis), Memory: e.MemoryMB}
	}
	return f
}

// Sent takes in a hand-off.
func (d *Desk) Sent(f admission.Foreseen, threads float64) (charged float64, by uint64) {
	if n := d.triedAs(&f); n > 0 {
		if !d.shadow.Open(d.now, n, threads) {
			d.tried.Held++
		}
		d.shadow.Sent(n, threads, ms(f.Work))
	}
	if f.PolicyClass == 0 {
		return 0, 0
	}
	return d.route.Sent(f.PolicyClass, threads, ms(f.Work)), d.opened
}

// Back takes in a hand-off's end.
func (d *Desk) Back(f admission.Foreseen, threads, charged float64, work admission.Time, waits bool) {
	if n := d.triedAs(&f); n > 0 {
		d.shadow.Back(n, threads, charged, ms(work), waits)
	}
	if f.PolicyClass > 0 {
		d.route.Back(f.PolicyClass, threads, charged, ms(work), waits)
	}
}

// Left takes in that a waiting task got its final answer.
func (d *Desk) Left(f admission.Foreseen) {
	if n := d.triedAs(&f); n > 0 {
		d.shadow.Left(n)
	}
	if f.PolicyClass > 0 {
		d.route.Left(f.PolicyClass)
	}
}

// Pass tells whether a hand-off may be written that was decided by some number of the fleet's policies.
func (d *Desk) Pass(by uint64, task admission.RequestID) bool {
	return d.law == nil || d.law.TryBeginWrite(by, task)
}

// Passed takes in that it is written.
func (d *Desk) Passed(by uint64, task admission.RequestID) {
	if d.law != nil {
		d.law.EndWrite(by, task)
	}
}

// Reader is for one more session.
func (d *Desk) Reader() router.Reader { return &Reader{d: d} }

// Reader reads the statements of one session.
type Reader struct {
	d       *Desk
	sight   costmodel.Query
	subject resourcegroup.Subject
	plan    *resourcegroup.Plan
	entry   int // of the plan's classes, from 1; 0: none

	// Where the fleet decides.
	ruling  *agent.ActivePolicy
	second  int  // of the policy that may be gone by besides
	tried   int  // of the one that is rehearsed
	touched bool // some policy that was heard of has a class for it
}

// Read finds a statement's shape, cost and class.
func (r *Reader) Read(sql []byte, lane, tables int) {
	r.sight = r.d.book.Inspect(sql, tables, lane)
	r.subject = resourcegroup.Subject{Lane: r.d.lanes[lane], Features: r.sight.Features(), Estimate: r.d.book.Estimate(&r.sight)}
	if r.d.law != nil {
		r.look(r.d.law.ActivePolicy())
		return
	}
	r.plan = r.d.plan.Load()
	r.entry = r.plan.Find(&r.subject)
}

// Answered takes in what it has cost.
func (r *Reader) Answered(work admission.Time, memory float64) {
	r.d.book.Observe(&r.sight, ms(work), memory)
	if r.d.loads[r.sight.Class] {
		r.d.book.RecordLoad(r.sight.Group)
	}
}

func ms(t admission.Time) float64 { return float64(t) / float64(admission.Millisecond) }

func tenths(ms float64) admission.Time {
	return admission.Time(ms*float64(admission.Millisecond) + 0.5)
}
