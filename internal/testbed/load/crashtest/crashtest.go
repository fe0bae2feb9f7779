package crashtest

import (
	"context"
	"database/sql"
	"fmt"
	"math/rand"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"magpiebank/internal/testbed/fake"
	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/sqlclient"
)

// The times of a run: requests take some tens of milliseconds, so that many are in flight at each kill; a gateway lives
// for some hundreds, so that some requests are recorded, some in flight and some answered when it dies.
const (
	loadService  = 30 * time.Millisecond
	lookService  = 4 * time.Millisecond
	minLifetime  = 100 * time.Millisecond
	maxLifetime  = 400 * time.Millisecond
	maxWait      = 8 * time.Second
	answerPeriod = 20 * time.Second // a client that had no answer within it never gets one
	// maxRecovery is for how long a gateway that was started is waited for.
	maxRecovery = 5 * time.Second
	// maxRetryDelay bounds the random time between a lost connection and the next attempt.
	maxRetryDelay = 20 * time.Millisecond
	lookInterval  = 2 * time.Millisecond
)

// Ids of non-idempotent requests begin with loadIDPrefix, those of look-ups with lookIDPrefix.
const (
	loadIDPrefix = "1"
	lookIDPrefix = "2"
)

type runner struct {
	plan    Plan
	db      *sql.DB
	stopped atomic.Bool
	clients sync.WaitGroup

	mu      sync.Mutex // of all below
	result  Result
	answers map[string]string // by request
	looks   []time.Duration   // latencies
	loads   []time.Duration
}

// Run runs a load with a gateway that is killed and started again as often as the plan says. It returns the context's
// error where that is done before.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	site, err := installation.Start(newInstallationPlan(&plan), plan.Folder)
	if err != nil {
		return nil, err
	}
	defer site.Stop()
	run := &runner{plan: plan, answers: map[string]string{}}
	run.db, err = sqlclient.Open(site.Targets()[0])
	if err != nil {
		return nil, err
	}
	defer func() { _ = run.db.Close() }() // all clients have ended, so nothing is lost with an error
	run.db.SetMaxIdleConns(0)             // each attempt on a connection of its own, as the last one may be dead
	run.startClients()
	gateway := site.Gateways[0]
	err = run.killRepeatedly(ctx, gateway)
	if err == nil {
		time.Sleep(maxLifetime)
	}
	run.stopped.Store(true)
	run.clients.Wait()
	if err != nil {
		return nil, err
	}
	gateway.Signal(syscall.SIGTERM)
	run.judge(site.Log)
	run.result.LooksP50, run.result.LoadsP50 = median(run.looks), median(run.loads)
	return &run.result, nil
}

func newInstallationPlan(plan *Plan) installation.Plan {
	created := installation.Plan{Gateways: 1, Engines: 4, Zones: []string{"norte", "sur"}, Cores: 8, MemoryMB: 192, Sockets: 512,
		ConnectWithin: 250 * time.Millisecond, IdleTimeout: 30 * time.Second, Seed: plan.Seed, Program: plan.Program,
		Classes: []installation.Class{{Name: "look", LatencyObjective: time.Second, MaxWait: maxWait, Weight: 1, Effect: "idempotent", Threads: 1},
			{Name: "load", LatencyObjective: 4 * time.Second, MaxWait: maxWait, Weight: 10, Effect: "unrepeatable", Threads: 1}},
		Behavior: fake.EngineBehavior{Threads: 16, Cores: 8, Works: []fake.Work{{Class: "load", Rows: 2, Service: fake.ServiceTime{Kind: "exponential", Mean: loadService}},
			{Class: "look", Rows: 1, Service: fake.ServiceTime{Kind: "exponential", Mean: lookService}}}}}
	if !plan.NoJournal {
		created.ExtraArguments = []string{"--state", filepath.Join(plan.Folder, "state")}
	}
	return created
}

func (r *runner) startClients() {
	for number := range r.plan.LoadClients {
		r.clients.Go(func() { r.sendLoads(number) })
	}
	for number := range r.plan.LookupClients {
		r.clients.Go(func() { r.sendLooks(number) })
	}
}

// killRepeatedly kills the gateway and starts it again, after random lifetimes.
func (r *runner) killRepeatedly(ctx context.Context, gateway *installation.Gateway) error {
	random := rand.New(rand.NewSource(r.plan.Seed))
	for range r.plan.Kills {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(minLifetime + time.Duration(random.Int63n(int64(maxLifetime-minLifetime)))):
		}
		gateway.Kill()
		startedAt := time.Now()
		err := gateway.Start()
		if err != nil {
			return err
		}
		r.awaitConnection(startedAt.Add(maxRecovery))
		r.mu.Lock()
		r.result.Recovery = max(r.result.Recovery, time.Since(startedAt))
		r.result.Kills++
		r.mu.Unlock()
	}
	return nil
}

// awaitConnection waits until the gateway accepts a connection, or a time.
func (r *runner) awaitConnection(deadline time.Time) {
	for r.db.PingContext(context.Background()) != nil && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// send sends one statement and returns its outcome. A gateway that is not there or doesn't answer counts like one whose
// connection was lost.
func (r *runner) send(class, id, statement string) string {
	outcome := sqlclient.Query(r.db, class, id, statement, maxWait)
	if outcome == sqlclient.NotConnected || outcome == sqlclient.TimedOut {
		return sqlclient.ConnectionLost
	}
	return outcome
}

// sendLoads sends one request after the other, and each again until it has its answer; some are sent once more then.
func (r *runner) sendLoads(client int) {
	random := rand.New(rand.NewSource(r.plan.Seed*100 + int64(client)))
	for number := 0; !r.stopped.Load(); number++ {
		sent := loadRequest{id: fmt.Sprintf("%s%07x%08x", loadIDPrefix, client, number),
			statement: fmt.Sprintf("INSERT INTO actas_%d.mesas SELECT * FROM staging.lote_%d", client%4+1, number), startedAt: time.Now()}
		r.sendUntilAnswered(&sent, random)
		r.recordLoad(&sent)
	}
}

// loadRequest is a non-idempotent request and its outcomes.
type loadRequest struct {
	id, statement string
	startedAt     time.Time
	attempts      int
	latency       time.Duration // of the first outcome
	outcome       string
	repeated      string // outcome after the answer, or the first one where the request was not sent again
}

func (r *runner) sendUntilAnswered(sent *loadRequest, random *rand.Rand) {
	sent.outcome = sqlclient.ConnectionLost
	for sent.outcome == sqlclient.ConnectionLost && time.Since(sent.startedAt) < answerPeriod {
		if sent.attempts > 0 {
			time.Sleep(time.Duration(random.Int63n(int64(maxRetryDelay))))
		}
		sent.outcome = r.send("load", sent.id, sent.statement)
		sent.attempts++
	}
	sent.latency = time.Since(sent.startedAt)
	sent.repeated = sent.outcome
	if sent.outcome == sqlclient.ConnectionLost || random.Intn(3) != 0 {
		return
	}
	sent.repeated = sqlclient.ConnectionLost
	for sent.repeated == sqlclient.ConnectionLost && time.Since(sent.startedAt) < 2*answerPeriod {
		sent.repeated = r.send("load", sent.id, sent.statement)
		sent.attempts++
	}
}

func (r *runner) recordLoad(sent *loadRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	r.result.Retries += sent.attempts - 1
	switch sent.outcome {
	case sqlclient.Served:
		r.result.Served++
	case sqlclient.Rejected:
		r.result.Rejected++
	case sqlclient.Failed:
		r.result.Failed++
	case sqlclient.ConnectionLost:
		r.result.Unanswered = append(r.result.Unanswered, sent.id)
	default:
		r.result.FalseAnswers = append(r.result.FalseAnswers, sent.id+": "+sent.outcome)
	}
	if sent.attempts == 1 {
		r.loads = append(r.loads, sent.latency)
	}
	if sent.repeated != sent.outcome {
		r.result.AnsweredDifferently = append(r.result.AnsweredDifferently, fmt.Sprintf("%s: %s, then %s", sent.id, sent.outcome, sent.repeated))
	}
	r.answers[sent.id] = sent.outcome
}

// judge checks the answers against what the engines ran.
func (r *runner) judge(log *fake.ExecutionLog) {
	log.Each(func(record fake.ExecutionRecord) {
		if strings.HasPrefix(record.ID, loadIDPrefix) && record.Starts > 1 {
			r.result.RunTwice = append(r.result.RunTwice, fmt.Sprintf("%s began %d times", record.ID, record.Starts))
		}
	})
	for id, answer := range r.answers {
		record, _ := log.Find(id)
		if answer == sqlclient.Served && record.Completions != 1 || answer == sqlclient.Rejected && record.Starts > 0 {
			r.result.FalseAnswers = append(r.result.FalseAnswers, fmt.Sprintf("%s was %s, and ran %d times", id, answer, record.Starts))
		}
	}
	slices.Sort(r.result.FalseAnswers)
}

func (r *runner) sendLooks(client int) {
	for number := 0; !r.stopped.Load(); number++ {
		startedAt := time.Now()
		id := fmt.Sprintf("%s%07x%08x", lookIDPrefix, client, number)
		statement := fmt.Sprintf("SELECT nota FROM actas_%d.mesas WHERE clave = 'v%d'", number%4+1, number)
		if r.send("look", id, statement) == sqlclient.Served {
			r.mu.Lock()
			r.looks = append(r.looks, time.Since(startedAt))
			r.mu.Unlock()
		}
		time.Sleep(lookInterval)
	}
}

func median(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}
