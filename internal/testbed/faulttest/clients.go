package faulttest

import (
	"context"
	"database/sql"
	"fmt"
	"math/rand/v2"
	"path"
	"sync"
	"time"

	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/sqlclient"
)

// rate is how many requests a second come to a gateway at a time.
func (p *run) requestRate(g *installation.Gateway, at time.Duration) float64 {
	rate := p.scenario.RequestRate
	for _, t := range p.scenario.Steps {
		if t.Action == "surge" && at >= t.At && (t.Until == 0 || at < t.Until) {
			for _, n := range t.Gateways {
				if ok, _ := path.Match(n, g.Label()); ok {
					rate += t.ExtraRate
					break
				}
			}
		}
	}
	return rate
}

// client sends a gateway its load: open, each request at its time, whatever became of the others.
func (p *run) runClient(ctx context.Context, g *installation.Gateway) {
	if p.scenario.RequestRate == 0 {
		return
	}
	db, err := sqlclient.Open(g.Address)
	if err != nil {
		return
	}
	db.SetMaxIdleConns(8)
	chance := rand.New(rand.NewPCG(p.scenario.Seed, uint64(len(p.dbs))+17))
	p.dbs[g.Label()] = db
	n := len(p.dbs)
	p.clients.Add(1)
	go func() {
		defer p.clients.Done()
		defer db.Close()
		var all sync.WaitGroup
		defer all.Wait()
		at := p.startedAt
		for k := 0; ; k++ {
			const look = 250 * time.Millisecond // a gap this long is drawn anew from there: the rate may have changed
			gap := time.Duration(chance.ExpFloat64() / p.requestRate(g, at.Sub(p.startedAt)) * float64(time.Second))
			if at = at.Add(min(gap, look)); gap > look {
				continue
			}
			load := chance.Float64() < p.scenario.LoadShare
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(at)):
			}
			all.Add(1)
			due := at // time counts from when the request was to come
			go func() {
				defer all.Done()
				t := Request{Gateway: g.Label(), At: due.Sub(p.startedAt), Load: load, id: fmt.Sprintf("%d%07x%08x", 2-btoi(load), n, k)}
				t.End = query(db, &t, k, p.scenario.MaxWait)
				t.Took = time.Since(due)
				p.mu.Lock()
				p.requests = append(p.requests, t)
				p.mu.Unlock()
			}()
		}
	}()
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ask sends one request and tells how it ended.
func query(db *sql.DB, t *Request, k int, wait time.Duration) string {
	lane, statement := "look", fmt.Sprintf("SELECT nota FROM actas_%d.mesas WHERE clave = 'v%d'", k%4+1, k)
	if t.Load {
		lane, statement = "load", fmt.Sprintf("INSERT INTO actas_%d.mesas SELECT * FROM staging.lote_%d", k%4+1, k)
	}
	return sqlclient.Query(db, lane, t.id, statement, wait)
}
