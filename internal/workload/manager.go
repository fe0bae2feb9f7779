package workload

import (
	"fmt"
	"log/slog"
	"reflect"
	"sync/atomic"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
	"magpiebank/internal/query/costmodel"
	"magpiebank/internal/resourcegroup"
	"magpiebank/internal/router"
)

// Manager applies the cost model of statements and the operator's classes to the requests of a gateway. The router's owner goroutine
// owns it; other goroutines may call only the methods whose comments permit that.
type Manager struct {
	file           *StatementConfig
	costModel      *costmodel.Model
	limiter        *resourcegroup.Limiter
	requestClasses []string // names, indexed by request class
	loadsTables    []bool   // indexed by request class
	zones, kinds   []string // names of the site's zones and machine kinds
	snapshotFile   string   // empty: the cost model is not saved
	log            *slog.Logger
	now            admission.Time // time of the latest call

	plan        atomic.Pointer[resourcegroup.Plan] // plan of the file in force, which sessions use to classify statements
	pendingFile atomic.Pointer[StatementConfig]    // file to put in force at the next tick; nil: none

	clusterPolicyState
	rehearsal rehearsal

	agedAt     time.Time // time up to which the cost model was aged
	loggedAt   time.Time
	lastLogged costModelCounts
}

var _ router.ResourceGroups = (*Manager)(nil)

// costModelCounts holds the cost model's counters at the time of a log line.
type costModelCounts struct{ statements, parsed, observations, mispredicted int64 }

// NewManager returns a manager for a gateway's deployment. If the snapshot can't be read, it logs that and starts with an empty cost
// model. The error is a *resourcegroup.PlanError.
func NewManager(file *StatementConfig, start *config.Config, log *slog.Logger) (*Manager, error) {
	network := start.Network
	limiter, err := resourcegroup.New(0, &file.Plan, start.Deployment.CoresByKind, network.Zones, network.Kinds)
	if err != nil {
		return nil, err
	}
	m := &Manager{
		file:           file,
		costModel:      file.NewCostModel(len(network.Classes)),
		limiter:        limiter,
		requestClasses: network.Classes,
		zones:          network.Zones,
		kinds:          network.Kinds,
		snapshotFile:   file.SnapshotFile,
		log:            log,
		agedAt:         time.Now(),
		loggedAt:       time.Now(),
	}
	for _, class := range start.Deployment.Classes {
		m.loadsTables = append(m.loadsTables, class.LoadsTables)
	}
	m.plan.Store(&file.Plan)
	if m.snapshotFile != "" {
		m.loadSnapshot(m.snapshotFile)
	}
	return m, nil
}

// UseQuota makes ClusterWide classes use a quota that the gateways share.
func (m *Manager) UseQuota(quota resourcegroup.Quota) { m.limiter.UseQuota(quota) }

// ReplaceFile puts another file in force at the next tick, or none of it if its plan is invalid; either outcome is logged. nil stands for
// a file without statements. Any goroutine may call it.
func (m *Manager) ReplaceFile(file *StatementConfig) {
	if file == nil {
		file = &StatementConfig{}
	}
	m.pendingFile.Store(file)
}

func (m *Manager) applyFile(now admission.Time, file *StatementConfig) {
	if file.LogInterval == 0 {
		// The new file has no statements section. The gateway still parses statements until it stops, but without pools or classes.
		file.MemoryBytes, file.LogInterval, file.SnapshotFile = m.file.MemoryBytes, m.file.LogInterval, m.snapshotFile
	}
	if m.policySource == nil {
		if err := m.limiter.ReplacePlan(now, &file.Plan); err != nil {
			m.log.Warn("operator's file", "code", "kept", "error", err)
			return
		}
	}
	if file.MemoryBytes != m.file.MemoryBytes {
		m.logNeedsRestart("memory")
	}
	if file.SnapshotFile != m.snapshotFile {
		m.logNeedsRestart("snapshot")
	}
	if !reflect.DeepEqual(file.Tables, m.file.Tables) {
		m.costModel.SetTables(file.TableLookup())
	}
	m.file = file
	m.plan.Store(&file.Plan)
	m.log.Info("operator's file", "code", "renewed", "pools", len(file.Plan.Pools), "classes", len(file.Plan.Classes))
}

func (m *Manager) logNeedsRestart(field string) {
	m.log.Warn("operator's file", "code", "needs_restart", "field", "statements."+field)
}

// HandleEndpoints applies an update of the endpoint list.
func (m *Manager) HandleEndpoints(now admission.Time, kind admission.UpdateKind, list []admission.Endpoint) {
	m.limiter.UpdateEndpoints(now, kind, list)
	if m.rehearsal.limiter != nil {
		m.rehearsal.limiter.UpdateEndpoints(now, kind, list)
	}
}

// Tick does the periodic work: it puts a new file or policy in force, raises limits, ages the cost model and logs counts. The router's
// timer calls it.
func (m *Manager) Tick(now admission.Time) {
	if file := m.pendingFile.Swap(nil); file != nil {
		m.applyFile(now, file)
	}
	m.now = now
	if m.policySource != nil {
		m.tickClusterPolicy(now)
	}
	m.limiter.Tick(now)
	wallTime := time.Now()
	if hours := int64(wallTime.Sub(m.agedAt) / time.Hour); hours > 0 {
		m.agedAt = m.agedAt.Add(time.Duration(hours) * time.Hour)
		m.costModel.AdvanceHours(hours)
	}
	if wallTime.Sub(m.loggedAt) >= m.file.LogInterval {
		m.loggedAt = wallTime
		m.logCounts()
	}
}

// logCounts logs the counts of statements since its last call, and the state of each class.
func (m *Manager) logCounts() {
	model := m.costModel
	now := costModelCounts{
		statements:   model.Statements.Load(),
		parsed:       model.Parsed.Load(),
		observations: model.Observations.Load(),
		mispredicted: model.Mispredicted.Load(),
	}
	last := m.lastLogged
	m.lastLogged = now
	m.log.Info("statements", "seen", now.statements-last.statements, "new_shapes", now.parsed-last.parsed,
		"answers", now.observations-last.observations, "wrong", now.mispredicted-last.mispredicted,
		"unread", model.Unparsed.Load(), "moved", model.Shifts.Load(), "split", model.SplitShapes.Load())
	if m.policySource != nil {
		m.log.Info("policy", "code", "counts", "number", m.counts.Subject, "tasks", m.counts.Requests, "classed", m.counts.Classified,
			"refused", m.counts.Rejected, "held", m.counts.Shed, "unsure", m.undecided)
	}
	for _, class := range m.limiter.ClassStates() {
		m.log.Info("class", "name", class.Name, "retired", class.Retired, "limit", fmt.Sprintf("%.1f", class.ThreadLimit),
			"running", class.RunningThreads, "waiting", class.Waiting, "taken", class.Admitted, "crowded", class.OverCapacity,
			"refused", class.Denied, "delivered", class.Served)
	}
}
