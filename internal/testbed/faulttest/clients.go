package faulttest

import (
	"context"
	"database/sql"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"magpiebank/internal/testbed/installation"
	"magpiebank/internal/testbed/load/sqlclient"
)

// requestRate returns the requests per second that a gateway receives at a time since the start of the load.
func (p *run) requestRate(g *installation.Gateway, at time.Duration) float64 {
	rate := p.scenario.RequestRate
	for _, step := range p.scenario.Steps {
		isActive := at >= step.At && (step.Until == 0 || at < step.Until)
		if step.Action == "surge" && isActive && matchesAny(step.Gateways, g.Label()) {
			rate += step.ExtraRate
		}
	}
	return rate
}

const (
	idleConnections = 8
	// maxGap is the longest time between two requests that is used as drawn. After a longer gap was drawn, the client waits for maxGap
	// and draws again, because the rate may have changed.
	maxGap = 250 * time.Millisecond
)

// client sends the load to a gateway. It sends each request when it is due, even if earlier requests have not been answered.
type client struct {
	run     *run
	gateway *installation.Gateway
	db      *sql.DB
	random  *rand.Rand
	number  int // number of the client, which is part of the ids of its requests
}

// runClient starts the client of a gateway, which runs until ctx ends.
func (p *run) runClient(ctx context.Context, g *installation.Gateway) {
	if p.scenario.RequestRate == 0 {
		return
	}
	db, err := sqlclient.Open(g.Address)
	if err != nil {
		return
	}
	db.SetMaxIdleConns(idleConnections)
	c := &client{run: p, gateway: g, db: db, random: rand.New(rand.NewPCG(p.scenario.Seed, uint64(len(p.dbs))+17))}
	p.dbs[g.Label()] = db
	c.number = len(p.dbs)
	p.clients.Add(1)
	go func() {
		defer p.clients.Done()
		c.sendRequests(ctx)
		_ = db.Close() // all requests have ended, and a connection that cannot be closed ends with its gateway
	}()
}

// sendRequests sends requests until ctx ends, and returns when all of them have ended.
func (c *client) sendRequests(ctx context.Context) {
	var requests sync.WaitGroup
	defer requests.Wait()
	due := c.run.startedAt
	for index := 0; ; index++ {
		gap := time.Duration(c.random.ExpFloat64() / c.run.requestRate(c.gateway, due.Sub(c.run.startedAt)) * float64(time.Second))
		due = due.Add(min(gap, maxGap))
		if gap > maxGap {
			continue
		}
		isLoad := c.random.Float64() < c.run.scenario.LoadShare
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		requests.Add(1)
		go func(due time.Time) {
			defer requests.Done()
			c.sendRequest(due, isLoad, index)
		}(due)
	}
}

// sendRequest sends the client's request with the given index and records how it ended. Its time is measured from when it was due.
func (c *client) sendRequest(due time.Time, isLoad bool, index int) {
	request := Request{
		Gateway: c.gateway.Label(),
		At:      due.Sub(c.run.startedAt),
		Load:    isLoad,
		id:      fmt.Sprintf("%d%07x%08x", 2-btoi(isLoad), c.number, index),
	}
	request.End = query(c.db, &request, index, c.run.scenario.MaxWait)
	request.Took = time.Since(due)
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	c.run.requests = append(c.run.requests, request)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// query sends the statement of a request and returns how the request ended.
func query(db *sql.DB, request *Request, index int, wait time.Duration) string {
	class, statement := "look", fmt.Sprintf("SELECT nota FROM actas_%d.mesas WHERE clave = 'v%d'", index%4+1, index)
	if request.Load {
		class, statement = "load", fmt.Sprintf("INSERT INTO actas_%d.mesas SELECT * FROM staging.lote_%d", index%4+1, index)
	}
	return sqlclient.Query(db, class, request.id, statement, wait)
}
