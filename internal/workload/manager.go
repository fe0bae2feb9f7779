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
type Manager struct {
	file           *Statements
	costModel      *costmodel.Model
	limiter        *resourcegroup.Limiter
	requestClasses []string
	writes         []bool // lanes whose tasks change tables
	log            *slog.Logger
	snapshotFile   string // the snapshot's file; empty: nothing is kept

	plan        atomic.Pointer[resourcegroup.Plan] // that sessions class by
	pendingFile atomic.Pointer[Statements]         // a file that was read and is not yet gone by
	loggedAt    time.Time
	agedAt      time.Time
	lastLogged  costModelCounts
	zones       []string // the site's names
	kinds       []string
	now         admission.Time
	fleetPolicy
}

// told are the book's counts at the last line.
type costModelCounts struct{ seen, parsed, answers, wrong int64 }

// NewDesk makes a desk for a gateway's deployment. With a snapshot's file that can't be used it begins without, and says so.
func NewManager(s *Statements, start *config.Config, log *slog.Logger) (*Manager, error) {
	r, err := resourcegroup.New(0, &s.Plan, start.Deployment.CoresByKind, start.Network.Zones, start.Network.Kinds)
	if err != nil {
		return nil, err
	}
	d := &Manager{zones: start.Network.Zones, kinds: start.Network.Kinds, file: s, costModel: s.NewCostModel(len(start.Network.Classes)), limiter: r, requestClasses: start.Network.Classes, log: log,
		snapshotFile: s.SnapshotFile, loggedAt: time.Now(), agedAt: time.Now()}
	for _, l := range start.Deployment.Classes {
		d.writes = append(d.writes, l.LoadsTables)
	}
	d.plan.Store(&s.Plan)
	if d.snapshotFile != "" {
		d.loadSnapshot(d.snapshotFile)
	}
	return d, nil
}

// Share has classes of the fleet go by the rights that its gateways share.
func (d *Manager) UseQuota(r resourcegroup.Quota) { d.limiter.UseQuota(r) }

// Renew has another file gone by; it takes effect within the timer's pace, whole or not at all, and the log says which.
func (d *Manager) ReplaceFile(s *Statements) {
	if s == nil {
		s = &Statements{}
	}
	d.pendingFile.Store(s)
}

func (d *Manager) applyFile(now admission.Time, s *Statements) {
	if s.LogInterval == 0 { // the file has no statements any more: they are read as long as the gateway runs, and nothing limits them
		s.MemoryBytes, s.LogInterval, s.SnapshotFile = d.file.MemoryBytes, d.file.LogInterval, d.snapshotFile
	}
	if d.inForce == nil {
		if err := d.limiter.ReplacePlan(now, &s.Plan); err != nil {
			d.log.Warn("operator's file", "code", "kept", "error", err)
			return
		}
	}
	for field, same := range map[string]bool{"memory": s.MemoryBytes == d.file.MemoryBytes, "snapshot": s.SnapshotFile == d.snapshotFile} {
		if !same {
			d.log.Warn("operator's file", "code", "needs_restart", "field", "statements."+field)
		}
	}
	if !reflect.DeepEqual(s.Tables, d.file.Tables) {
		d.costModel.SetTables(s.TableLookup())
	}
	d.file = s
	d.plan.Store(&s.Plan)
	d.log.Info("operator's file", "code", "renewed", "pools", len(s.Plan.Pools), "classes", len(s.Plan.Classes))
}

// AllowsAttempt tells whether one more task of a class may go out. The decisions ask it, as they ask Pool and In.
func (d *Manager) AllowsAttempt(now admission.Time, class int, threads float64) bool {
	d.now = now
	if d.inForce != nil {
		v := d.inForce.ActivePolicy()
		by := v.BasisAt(now)
		if by == 0 || !d.applyPolicy(now, v, by) {
			return false
		}
		d.openedBy = by
	}
	return d.limiter.AllowsAttempt(now, class, threads)
}

// Pool is the number of a class's pool.
func (d *Manager) Pool(class int) int { return d.limiter.Pool(class) }

// Name is a class's.
func (d *Manager) ClassName(class int) string { return d.limiter.ClassName(class) }

// InPool tells whether an engine belongs to a pool.
func (d *Manager) InPool(pool int, l *admission.Endpoint) bool { return d.limiter.InPool(pool, l) }

// Listed takes in a delivery of the engine list.
func (d *Manager) HandleEndpoints(now admission.Time, form admission.UpdateKind, list []admission.Endpoint) {
	d.limiter.UpdateEndpoints(now, form, list)
	if d.shadow != nil {
		d.shadow.UpdateEndpoints(now, form, list)
	}
}

// Due is the timer.
func (d *Manager) Tick(now admission.Time) {
	if s := d.pendingFile.Swap(nil); s != nil {
		d.applyFile(now, s)
	}
	d.now = now
	if d.inForce != nil {
		v := d.inForce.ActivePolicy()
		if by := v.BasisAt(now); by != 0 {
			d.applyPolicy(now, v, by)
		}
		d.updateRehearsal(now, v)
		if d.shadow != nil {
			d.shadow.Tick(now)
		}
		d.publishCounts()
	}
	d.limiter.Tick(now)
	wall := time.Now()
	if hours := int64(wall.Sub(d.agedAt) / time.Hour); hours > 0 {
		d.agedAt = d.agedAt.Add(time.Duration(hours) * time.Hour)
		d.costModel.AdvanceHours(hours)
	}
	if wall.Sub(d.loggedAt) >= d.file.LogInterval {
		d.loggedAt = wall
		d.logCounts()
	}
}

// say writes what was counted since the last line.
func (d *Manager) logCounts() {
	b := d.costModel
	now := costModelCounts{b.Statements.Load(), b.Parsed.Load(), b.Observations.Load(), b.Mispredicted.Load()}
	last := d.lastLogged
	d.lastLogged = now
	d.log.Info("statements", "seen", now.seen-last.seen, "new_shapes", now.parsed-last.parsed, "answers", now.answers-last.answers,
		"wrong", now.wrong-last.wrong, "unread", b.Unparsed.Load(), "moved", b.Shifts.Load(), "split", b.SplitShapes.Load())
	if d.inForce != nil {
		d.log.Info("policy", "code", "counts", "number", d.count.Subject, "tasks", d.count.Requests, "classed", d.count.Classified, "refused", d.count.Rejected, "held", d.count.Shed,
			"unsure", d.Unsure)
	}
	for _, c := range d.limiter.ClassStates() {
		d.log.Info("class", "name", c.Name, "retired", c.Retired, "limit", fmt.Sprintf("%.1f", c.ThreadLimit), "running", c.RunningThreads,
			"waiting", c.Waiting, "taken", c.Admitted, "crowded", c.OverCapacity, "refused", c.Rejected, "delivered", c.Served)
	}
}

// Arrived rules on the task that a reader has read.
func (d *Manager) Classify(now admission.Time, r router.StatementReader) (f admission.Estimate, crowded bool, refuse string) {
	k := r.(*StatementReader)
	if d.now = now; d.inForce != nil {
		return d.admitByPolicy(now, k)
	}
	if plan := d.plan.Load(); plan != k.plan { // another file has come in between
		k.plan, k.planClass = plan, plan.Classify(&k.subject)
	}
	number, ruling, text := d.limiter.Admit(k.planClass)
	switch ruling {
	case resourcegroup.Rejected:
		return f, false, "class " + k.plan.Classes[k.planClass-1].Name + ": " + text
	case resourcegroup.OverCapacity:
		return f, true, ""
	}
	f = k.forecast()
	f.PolicyClass = number
	return f, false, ""
}

func (r *StatementReader) forecast() (f admission.Estimate) {
	if e := &r.subject.Estimate; e.Known {
		f = admission.Estimate{Work: toTime(e.WorkMillis), WorkP90: toTime(e.UpperMillis), Memory: e.MemoryMB}
	}
	return f
}

// Sent takes in a hand-off.
func (d *Manager) RecordAttempt(f admission.Estimate, threads float64) (charged float64, by uint64) {
	if n := d.rehearsedClass(&f); n > 0 {
		if !d.shadow.AllowsAttempt(d.now, n, threads) {
			d.rehearsalCount.Shed++
		}
		d.shadow.BeginAttempt(n, threads, toMillis(f.Work))
	}
	if f.PolicyClass == 0 {
		return 0, 0
	}
	return d.limiter.BeginAttempt(f.PolicyClass, threads, toMillis(f.Work)), d.openedBy
}

// Back takes in a hand-off's end.
func (d *Manager) RecordAttemptEnd(f admission.Estimate, threads, charged float64, work admission.Time, waits bool) {
	if n := d.rehearsedClass(&f); n > 0 {
		d.shadow.EndAttempt(n, threads, charged, toMillis(work), waits)
	}
	if f.PolicyClass > 0 {
		d.limiter.EndAttempt(f.PolicyClass, threads, charged, toMillis(work), waits)
	}
}

// Left takes in that a waiting task got its final answer.
func (d *Manager) RecordDeparture(f admission.Estimate) {
	if n := d.rehearsedClass(&f); n > 0 {
		d.shadow.EndWaiting(n)
	}
	if f.PolicyClass > 0 {
		d.limiter.EndWaiting(f.PolicyClass)
	}
}

// Pass tells whether a hand-off may be written that was decided by some number of the fleet's policies.
func (d *Manager) BeginWrite(by uint64, task admission.RequestID) bool {
	return d.inForce == nil || d.inForce.TryBeginWrite(by, task)
}

// Passed takes in that it is written.
func (d *Manager) EndWrite(by uint64, task admission.RequestID) {
	if d.inForce != nil {
		d.inForce.EndWrite(by, task)
	}
}

// Reader is for one more session.
func (d *Manager) NewStatementReader() router.StatementReader { return &StatementReader{manager: d} }

// Reader reads the statements of one session.
type StatementReader struct {
	manager   *Manager
	sight     costmodel.Query
	subject   resourcegroup.Subject
	plan      *resourcegroup.Plan
	planClass int // of the plan's classes, from 1; 0: none

	// Where the fleet decides.
	ruling           *agent.ActivePolicy
	otherClass       int  // of the policy that may be gone by besides
	rehearsedClass   int  // of the one that is rehearsed
	anyPolicyApplies bool // some policy that was heard of has a class for it
}

// Read finds a statement's shape, cost and class.
func (r *StatementReader) ReadStatement(sql []byte, lane, tables int) {
	r.sight = r.manager.costModel.Inspect(sql, tables, lane)
	r.subject = resourcegroup.Subject{RequestClass: r.manager.requestClasses[lane], Features: r.sight.Features(), Estimate: r.manager.costModel.Estimate(&r.sight)}
	if r.manager.inForce != nil {
		r.classify(r.manager.inForce.ActivePolicy())
		return
	}
	r.plan = r.manager.plan.Load()
	r.planClass = r.plan.Classify(&r.subject)
}

// Answered takes in what it has cost.
func (r *StatementReader) RecordCost(work admission.Time, memory float64) {
	r.manager.costModel.Observe(&r.sight, toMillis(work), memory)
	if r.manager.writes[r.sight.Class] {
		r.manager.costModel.RecordLoad(r.sight.Group)
	}
}

func toMillis(t admission.Time) float64 { return float64(t) / float64(admission.Millisecond) }

func toTime(ms float64) admission.Time {
	return admission.Time(ms*float64(admission.Millisecond) + 0.5)
}
