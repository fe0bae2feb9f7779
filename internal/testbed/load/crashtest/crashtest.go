// Package crashtest kills a gateway that keeps a record of its requests, again and again under load, and holds what its clients and
// engines have seen against the rules: no request that may not run twice runs twice, each gets one answer, and whoever asks
// again is told the same.
package crashtest

import (
	"context"
	"database/sql"
	"fmt"
	"io"
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

// Plan is what is done.
type Plan struct {
	Program   string // the gateway's
	Folder    string
	Kills     int
	Loads     int // clients that ask for requests that may not run twice, one after the other
	Looks     int // and for look-ups
	Seed      int64
	NoJournal bool // no record is kept: for what that would be like
}

// Result is what was seen.
type Result struct {
	Kills               int           `json:"kills"`
	Requests            int           `json:"tasks"`     // that may not run twice
	Served              int           `json:"delivered"` // by their final answers
	Rejected            int           `json:"nacked"`
	Failed              int           `json:"written_off"`
	AskedAgain          int           `json:"asked_again"` // asks for a request whose connection broke, or that was answered
	RunTwice            []string      `json:"begun_twice"`
	AnsweredDifferently []string      `json:"answered_differently"`
	FalseAnswers        []string      `json:"answers_that_are_not_true"` // served that did not run, rejected that did
	Unanswered          []string      `json:"without_an_answer"`
	LooksP50            time.Duration `json:"look_ups_p50_ns"`
	LoadsP50            time.Duration `json:"loads_p50_ns"`
	Recovery            time.Duration `json:"longest_recovery_ns"` // from a start to the first connection taken
}

// Good tells whether the rules were kept.
func (r *Result) Good() bool {
	return len(r.RunTwice)+len(r.AnsweredDifferently)+len(r.FalseAnswers)+len(r.Unanswered) == 0 && r.Served > 0
}

// The times of a run: requests are some tens of milliseconds, so that many are under way at each kill; a gateway lives for some
// hundreds, so that some are recorded, some out and some answered when it dies.
const (
	loadService = 30 * time.Millisecond
	lookService = 4 * time.Millisecond
	leastLife   = 100 * time.Millisecond
	mostLife    = 400 * time.Millisecond
	patience    = 8 * time.Second
	answerBy    = 20 * time.Second // a client that had no answer by then never gets one
)

type runner struct {
	p      Plan
	db     *sql.DB
	result Result
	mu     sync.Mutex
	over   atomic.Bool
	gots   map[string]string // by request
	looks  []time.Duration
	loads  []time.Duration
}

// Run makes a run.
func Run(ctx context.Context, p Plan) (*Result, error) {
	plan := installation.Plan{Gateways: 1, Engines: 4, Zones: []string{"norte", "sur"}, Cores: 8, MemoryMB: 192, Sockets: 512,
		ConnectWithin: 250 * time.Millisecond, Idle: 30 * time.Second, Seed: p.Seed, Program: p.Program,
		Classes: []installation.Class{{Name: "look", LatencyObjective: time.Second, MaxWait: patience, Weight: 1, Effect: "idempotent", Threads: 1},
			{Name: "load", LatencyObjective: 4 * time.Second, MaxWait: patience, Weight: 10, Effect: "unrepeatable", Threads: 1}},
		Behavior: fake.EngineBehavior{Threads: 16, Cores: 8, Works: []fake.Work{{Class: "load", Rows: 2, Service: fake.ServiceTime{Kind: "exponential", Mean: loadService}},
			{Class: "look", Rows: 1, Service: fake.ServiceTime{Kind: "exponential", Mean: lookService}}}}}
	if !p.NoJournal {
		plan.ExtraArguments = []string{"--state", filepath.Join(p.Folder, "state")}
	}
	s, err := installation.Start(plan, p.Folder)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	r := &runner{p: p, gots: map[string]string{}}
	if r.db, err = sqlclient.Open(s.Targets()[0]); err != nil {
		return nil, err
	}
	defer r.db.Close()
	r.db.SetMaxIdleConns(0) // each ask on a connection of its own, as the last one may be dead
	var all sync.WaitGroup
	for c := range p.Loads {
		all.Add(1)
		go func() { defer all.Done(); r.loader(c) }()
	}
	for c := range p.Looks {
		all.Add(1)
		go func() { defer all.Done(); r.looker(c) }()
	}
	chance := rand.New(rand.NewSource(p.Seed))
	gateway := s.Gateways[0]
	for range p.Kills {
		select {
		case <-ctx.Done():
			r.over.Store(true)
			all.Wait()
			return nil, ctx.Err()
		case <-time.After(leastLife + time.Duration(chance.Int63n(int64(mostLife-leastLife)))):
		}
		gateway.Kill()
		began := time.Now()
		if err = gateway.Start(); err != nil {
			break
		}
		for by := began.Add(5 * time.Second); r.db.Ping() != nil && time.Now().Before(by); time.Sleep(time.Millisecond) {
		}
		r.result.Recovery = max(r.result.Recovery, time.Since(began))
		r.result.Kills++
	}
	time.Sleep(mostLife)
	r.over.Store(true)
	all.Wait()
	if err != nil {
		return nil, err
	}
	gateway.Signal(syscall.SIGTERM)
	s.Log.Each(func(t fake.ExecutionRecord) {
		if strings.HasPrefix(t.ID, "1") && t.Starts > 1 {
			r.result.RunTwice = append(r.result.RunTwice, fmt.Sprintf("%s began %d times", t.ID, t.Starts))
		}
	})
	r.judge(s.Log)
	r.result.LooksP50, r.result.LoadsP50 = middle(r.looks), middle(r.loads)
	return &r.result, nil
}

// ask sends one statement and tells how it ended. A gateway that is not there, or says nothing, is asked again like one that broke.
func (r *runner) ask(lane, id, statement string) string {
	end := sqlclient.Query(r.db, lane, id, statement, patience)
	if end == sqlclient.NotConnected || end == sqlclient.TimedOut {
		return sqlclient.ConnectionLost
	}
	return end
}

// loader asks for one request after the other, and again for each until it has its answer; some are asked for once more then.
func (r *runner) loader(c int) {
	chance := rand.New(rand.NewSource(r.p.Seed*100 + int64(c)))
	for n := 0; !r.over.Load(); n++ {
		id := fmt.Sprintf("1%07x%08x", c, n)
		statement := fmt.Sprintf("INSERT INTO actas_%d.mesas SELECT * FROM staging.lote_%d", c%4+1, n)
		began := time.Now()
		got, asks := sqlclient.ConnectionLost, 0
		for got == sqlclient.ConnectionLost && time.Since(began) < answerBy {
			if asks > 0 {
				time.Sleep(time.Duration(chance.Int63n(int64(20 * time.Millisecond))))
			}
			got = r.ask("load", id, statement)
			asks++
		}
		took := time.Since(began)
		again := got
		if got != sqlclient.ConnectionLost && chance.Intn(3) == 0 {
			for again = sqlclient.ConnectionLost; again == sqlclient.ConnectionLost && time.Since(began) < 2*answerBy; asks++ {
				again = r.ask("load", id, statement)
			}
		}
		r.mu.Lock()
		r.result.Requests++
		r.result.AskedAgain += asks - 1
		switch got {
		case sqlclient.Served:
			r.result.Served++
		case sqlclient.Rejected:
			r.result.Rejected++
		case sqlclient.Failed:
			r.result.Failed++
		case sqlclient.ConnectionLost:
			r.result.Unanswered = append(r.result.Unanswered, id)
		default:
			r.result.FalseAnswers = append(r.result.FalseAnswers, id+": "+got)
		}
		if asks == 1 {
			r.loads = append(r.loads, took)
		}
		if again != got {
			r.result.AnsweredDifferently = append(r.result.AnsweredDifferently, fmt.Sprintf("%s: %s, then %s", id, got, again))
		}
		r.gots[id] = got
		r.mu.Unlock()
	}
}

// judge holds answers against what engines did.
func (r *runner) judge(log *fake.ExecutionLog) {
	for id, got := range r.gots {
		if t, _ := log.Find(id); got == sqlclient.Served && t.Completions != 1 || got == sqlclient.Rejected && t.Starts > 0 {
			r.result.FalseAnswers = append(r.result.FalseAnswers, fmt.Sprintf("%s was %s, and ran %d times", id, got, t.Starts))
		}
	}
	slices.Sort(r.result.FalseAnswers)
}

func (r *runner) looker(c int) {
	for n := 0; !r.over.Load(); n++ {
		began := time.Now()
		if r.ask("look", fmt.Sprintf("2%07x%08x", c, n), fmt.Sprintf("SELECT nota FROM actas_%d.mesas WHERE clave = 'v%d'", n%4+1, n)) == sqlclient.Served {
			r.mu.Lock()
			r.looks = append(r.looks, time.Since(began))
			r.mu.Unlock()
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func middle(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}

// Text writes a result.
func (r *Result) Text(out io.Writer) {
	fmt.Fprintf(out, "%d kills, %d tasks that may not run twice, %d asked again: %d delivered, %d nacked, %d written off (real sockets on loopback)\n",
		r.Kills, r.Requests, r.AskedAgain, r.Served, r.Rejected, r.Failed)
	fmt.Fprintf(out, "medians of those answered at the first ask: loads %.1f ms, look-ups %.1f ms; longest from a start to a connection %.0f ms\n",
		float64(r.LoadsP50)/1e6, float64(r.LooksP50)/1e6, float64(r.Recovery)/1e6)
	for _, v := range []struct {
		what string
		list []string
	}{{"run twice", r.RunTwice}, {"answered differently when asked again", r.AnsweredDifferently}, {"answers that are not true", r.FalseAnswers}, {"without an answer", r.Unanswered}} {
		word := "good"
		if len(v.list) > 0 {
			word = "BAD "
		}
		fmt.Fprintf(out, "%s   %d %s\n", word, len(v.list), v.what)
		for i, line := range v.list {
			if i < 5 {
				fmt.Fprintln(out, "         "+line)
			}
		}
	}
}
