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

// The times of a run. Requests take some tens of milliseconds, so that many are in flight when the gateway is killed. The
// gateway runs for some hundreds of milliseconds, so that at each kill some requests are recorded in the journal, some
// are in flight and some are answered.
const (
	meanLoadServiceTime   = 30 * time.Millisecond
	meanLookupServiceTime = 4 * time.Millisecond
	minUptime             = 100 * time.Millisecond
	maxUptime             = 400 * time.Millisecond
	maxWait               = 8 * time.Second
	answerTimeout         = 20 * time.Second // a request that has no answer by then counts as unanswered
	// maxRecovery is how long a run waits for a started gateway to accept connections.
	maxRecovery = 5 * time.Second
	// maxRetryDelay is the upper bound of the random delay between a lost connection and the next attempt.
	maxRetryDelay  = 20 * time.Millisecond
	lookupInterval = 2 * time.Millisecond
)

// Ids of non-idempotent requests begin with loadIDPrefix, those of look-ups with lookupIDPrefix.
const (
	loadIDPrefix   = "1"
	lookupIDPrefix = "2"
)

// runner is the state of a run.
type runner struct {
	plan    Plan
	db      *sql.DB
	stopped atomic.Bool
	clients sync.WaitGroup

	mu              sync.Mutex // guards the fields below
	result          Result
	outcomes        map[string]string // outcomes of non-idempotent requests, by id
	lookupLatencies []time.Duration   // latencies of served look-ups
	loadLatencies   []time.Duration   // latencies of non-idempotent requests that were sent once
}

// Run sends a load to a gateway that is killed and started again plan.Kills times. It returns the context's error if the
// context is done before the last kill.
func Run(ctx context.Context, plan Plan) (*Result, error) {
	site, err := installation.Start(newInstallationPlan(&plan), plan.Folder)
	if err != nil {
		return nil, err
	}
	defer site.Stop()
	run := &runner{plan: plan, outcomes: map[string]string{}}
	run.db, err = sqlclient.Open(site.Targets()[0])
	if err != nil {
		return nil, err
	}
	defer func() { _ = run.db.Close() }() // all clients have ended, so an error doesn't matter
	run.db.SetMaxIdleConns(0)             // each attempt uses a new connection, because the gateway may have been killed since the last one
	run.startClients()
	gateway := site.Gateways[0]
	err = run.killRepeatedly(ctx, gateway)
	if err == nil {
		time.Sleep(maxUptime)
	}
	run.stopped.Store(true)
	run.clients.Wait()
	if err != nil {
		return nil, err
	}
	gateway.Signal(syscall.SIGTERM)
	run.checkAnswers(site.Log)
	run.result.LookupsP50, run.result.LoadsP50 = median(run.lookupLatencies), median(run.loadLatencies)
	return &run.result, nil
}

func newInstallationPlan(plan *Plan) installation.Plan {
	installationPlan := installation.Plan{Gateways: 1, Engines: 4, Zones: []string{"norte", "sur"}, Cores: 8, MemoryMB: 192, Sockets: 512,
		ConnectWithin: 250 * time.Millisecond, IdleTimeout: 30 * time.Second, Seed: plan.Seed, Program: plan.Program,
		Classes: []installation.Class{{Name: "look", LatencyObjective: time.Second, MaxWait: maxWait, Weight: 1, Effect: "idempotent", Threads: 1},
			{Name: "load", LatencyObjective: 4 * time.Second, MaxWait: maxWait, Weight: 10, Effect: "unrepeatable", Threads: 1}},
		Behavior: fake.EngineBehavior{Threads: 16, Cores: 8, Works: []fake.Work{{Class: "load", Rows: 2, Service: fake.ServiceTime{Kind: "exponential", Mean: meanLoadServiceTime}},
			{Class: "look", Rows: 1, Service: fake.ServiceTime{Kind: "exponential", Mean: meanLookupServiceTime}}}}}
	if !plan.NoJournal {
		installationPlan.ExtraArguments = []string{"--state", filepath.Join(plan.Folder, "state")}
	}
	return installationPlan
}

func (r *runner) startClients() {
	for number := range r.plan.LoadClients {
		r.clients.Go(func() { r.sendLoads(number) })
	}
	for number := range r.plan.LookupClients {
		r.clients.Go(func() { r.sendLookups(number) })
	}
}

// killRepeatedly kills the gateway after random times and starts it again at once.
func (r *runner) killRepeatedly(ctx context.Context, gateway *installation.Gateway) error {
	random := rand.New(rand.NewSource(r.plan.Seed))
	for range r.plan.Kills {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(minUptime + time.Duration(random.Int63n(int64(maxUptime-minUptime)))):
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

// awaitConnection waits until the gateway accepts a connection, at most until the deadline.
func (r *runner) awaitConnection(deadline time.Time) {
	for r.db.PingContext(context.Background()) != nil && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
}

// send sends one statement and returns its outcome. If the gateway can't be reached or doesn't answer in time, the outcome is
// ConnectionLost.
func (r *runner) send(class, id, statement string) string {
	outcome := sqlclient.Query(r.db, class, id, statement, maxWait)
	if outcome == sqlclient.NotConnected || outcome == sqlclient.TimedOut {
		return sqlclient.ConnectionLost
	}
	return outcome
}

// sendLoads sends non-idempotent requests one after the other until the run stops. It sends each until it is answered, and
// some of them again after that.
func (r *runner) sendLoads(client int) {
	random := rand.New(rand.NewSource(r.plan.Seed*100 + int64(client)))
	for number := 0; !r.stopped.Load(); number++ {
		request := loadRequest{id: fmt.Sprintf("%s%07x%08x", loadIDPrefix, client, number),
			statement: fmt.Sprintf("INSERT INTO actas_%d.mesas SELECT * FROM staging.lote_%d", client%4+1, number), startedAt: time.Now()}
		r.sendUntilAnswered(&request, random)
		r.recordLoad(&request)
	}
}

// loadRequest is a non-idempotent request, with its outcomes.
type loadRequest struct {
	id, statement string
	startedAt     time.Time
	attempts      int
	latency       time.Duration // until the answer, or until the client stopped retrying
	outcome       string        // of the last attempt before the repetition
	repeatOutcome string        // outcome when the request was sent again after its answer; the same as outcome if it was not
}

// sendUntilAnswered sends a request until it has an answer or answerTimeout has passed. It sends one in three of the answered
// requests again, to compare the answers.
func (r *runner) sendUntilAnswered(request *loadRequest, random *rand.Rand) {
	request.outcome = sqlclient.ConnectionLost
	for request.outcome == sqlclient.ConnectionLost && time.Since(request.startedAt) < answerTimeout {
		if request.attempts > 0 {
			time.Sleep(time.Duration(random.Int63n(int64(maxRetryDelay))))
		}
		request.outcome = r.send("load", request.id, request.statement)
		request.attempts++
	}
	request.latency = time.Since(request.startedAt)
	request.repeatOutcome = request.outcome
	if request.outcome == sqlclient.ConnectionLost || random.Intn(3) != 0 {
		return
	}
	request.repeatOutcome = sqlclient.ConnectionLost
	for request.repeatOutcome == sqlclient.ConnectionLost && time.Since(request.startedAt) < 2*answerTimeout {
		request.repeatOutcome = r.send("load", request.id, request.statement)
		request.attempts++
	}
}

func (r *runner) recordLoad(request *loadRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	r.result.Retries += request.attempts - 1
	switch request.outcome {
	case sqlclient.Served:
		r.result.Served++
	case sqlclient.Rejected:
		r.result.Rejected++
	case sqlclient.Failed:
		r.result.Failed++
	case sqlclient.ConnectionLost:
		r.result.Unanswered = append(r.result.Unanswered, request.id)
	default:
		r.result.FalseAnswers = append(r.result.FalseAnswers, request.id+": "+request.outcome)
	}
	if request.attempts == 1 {
		r.loadLatencies = append(r.loadLatencies, request.latency)
	}
	if request.repeatOutcome != request.outcome {
		r.result.AnsweredDifferently = append(r.result.AnsweredDifferently, fmt.Sprintf("%s: %s, then %s", request.id, request.outcome, request.repeatOutcome))
	}
	r.outcomes[request.id] = request.outcome
}

// checkAnswers compares the outcomes with what the engines ran.
func (r *runner) checkAnswers(log *fake.ExecutionLog) {
	log.Each(func(record fake.ExecutionRecord) {
		if strings.HasPrefix(record.ID, loadIDPrefix) && record.Starts > 1 {
			r.result.RunTwice = append(r.result.RunTwice, fmt.Sprintf("%s began %d times", record.ID, record.Starts))
		}
	})
	for id, outcome := range r.outcomes {
		record, _ := log.Find(id)
		if outcome == sqlclient.Served && record.Completions != 1 || outcome == sqlclient.Rejected && record.Starts > 0 {
			r.result.FalseAnswers = append(r.result.FalseAnswers, fmt.Sprintf("%s was %s, and ran %d times", id, outcome, record.Starts))
		}
	}
	slices.Sort(r.result.FalseAnswers)
}

// sendLookups sends look-ups one after the other, each once, until the run stops.
func (r *runner) sendLookups(client int) {
	for number := 0; !r.stopped.Load(); number++ {
		startedAt := time.Now()
		id := fmt.Sprintf("%s%07x%08x", lookupIDPrefix, client, number)
		statement := fmt.Sprintf("SELECT nota FROM actas_%d.mesas WHERE clave = 'v%d'", number%4+1, number)
		if r.send("look", id, statement) == sqlclient.Served {
			r.mu.Lock()
			r.lookupLatencies = append(r.lookupLatencies, time.Since(startedAt))
			r.mu.Unlock()
		}
		time.Sleep(lookupInterval)
	}
}

func median(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}
