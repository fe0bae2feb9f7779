package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is one engine as the discovery service lists it.
type Endpoint struct {
	ID      string `json:"id"`
	Address string `json:"addr"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	Cell    int    `json:"cell"`
	State   string `json:"state"` // Ready, Terminating or Gone
	Weight  int    `json:"weight"`
	Started int64  `json:"started_ms"`
}

type listEvent struct {
	Index     int           `json:"index"`
	Endpoints listEndpoints `json:"endpoints"`
}

type listEndpoints struct {
	Version int        `json:"version"`
	Full    bool       `json:"full"`
	Servers []Endpoint `json:"servers"`
}

type listAnswer struct {
	Index   int         `json:"index"`
	Updates []listEvent `json:"updates"`
}

// Discovery is a fake of the discovery service.
type Discovery struct {
	Address string

	mu              sync.Mutex
	events          []listEvent
	changed         chan struct{}
	server          *http.Server
	truncateAnswers bool // answers break off in the middle
	holdPolls       bool // polls are held and never answered
}

// StartDiscovery starts a discovery service that lists some endpoints at first.
func StartDiscovery(address string, endpoints []Endpoint) (*Discovery, error) {
	d := &Discovery{changed: make(chan struct{})}
	d.events = append(d.events, listEvent{1, listEndpoints{1, true, endpoints}})
	listener, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("engine list: %w", err)
	}
	d.Address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/stream", d.stream)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(listener) }() // ends with an error when it is closed
	return d, nil
}

// Publish adds an event with the endpoints that have changed.
func (d *Discovery) Publish(changed ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	index := len(d.events) + 1
	d.events = append(d.events, listEvent{index, listEndpoints{index, false, changed}})
	close(d.changed)
	d.changed = make(chan struct{})
}

// Snapshot is the events so far, as a gateway's configuration holds them.
func (d *Discovery) Snapshot() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, err := json.Marshal(listAnswer{len(d.events), d.events})
	if err != nil {
		panic(err) // of plain texts and numbers
	}
	return b
}

// TruncateAnswers has answers break off in their middle from now on; Recover ends that.
func (d *Discovery) TruncateAnswers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truncateAnswers = true
}

// HoldPolls has polls be held and never answered from now on; Recover ends that.
func (d *Discovery) HoldPolls() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holdPolls = true
}

// Recover ends TruncateAnswers and HoldPolls.
func (d *Discovery) Recover() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truncateAnswers, d.holdPolls = false, false
}

// Close ends it with all its connections.
func (d *Discovery) Close() {
	_ = d.server.Close() // its listener is closed, whatever it returns
}

// maxWaitMillis is the longest that a poll is held without news.
const maxWaitMillis = 5000

// stream answers a poll with the events after one, at once or when there are some.
func (d *Discovery) stream(w http.ResponseWriter, r *http.Request) {
	afterIndex, followErr := strconv.Atoi(r.URL.Query().Get("follow"))
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if followErr != nil || waitErr != nil || afterIndex < 0 || wait < 0 {
		http.Error(w, "follow and wait_ms: expected numbers from 0", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(min(wait, maxWaitMillis)) * time.Millisecond)
	for {
		d.mu.Lock()
		changed, last, hold, truncate := d.changed, len(d.events), d.holdPolls, d.truncateAnswers
		var updates []listEvent
		if afterIndex < last {
			updates = d.events[afterIndex:]
		}
		d.mu.Unlock()
		switch {
		case hold:
			<-r.Context().Done()
			return
		case len(updates) > 0:
			d.answer(w, last, updates, truncate)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			d.answer(w, last, []listEvent{}, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer writes an answer, or half of it.
func (d *Discovery) answer(w http.ResponseWriter, last int, updates []listEvent, truncate bool) {
	text, err := json.Marshal(listAnswer{last, updates})
	if err != nil {
		panic(err) // of plain texts and numbers
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if !truncate {
		_, _ = w.Write(text) // a watcher that has gone polls again
		return
	}
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush() // the half is to arrive
	panic(http.ErrAbortHandler)
}
