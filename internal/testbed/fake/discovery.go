package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is the entry of one engine in the discovery service.
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
	changed         chan struct{} // closed and replaced when an event is added
	server          *http.Server
	truncateAnswers bool // answers with events are cut off in the middle
	holdPolls       bool // polls are not answered until the client disconnects
}

// StartDiscovery starts a discovery service whose first event lists the given endpoints.
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
	go func() { _ = d.server.Serve(listener) }() // always returns an error when the server is closed
	return d, nil
}

// Publish adds an event with the endpoints that have changed, and wakes the polls that wait for one.
func (d *Discovery) Publish(changed ...Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	index := len(d.events) + 1
	d.events = append(d.events, listEvent{index, listEndpoints{index, false, changed}})
	close(d.changed)
	d.changed = make(chan struct{})
}

// Snapshot returns all events so far in the format of a gateway's configuration.
func (d *Discovery) Snapshot() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, err := json.Marshal(listAnswer{len(d.events), d.events})
	if err != nil {
		panic(err) // encoding strings, numbers and booleans doesn't fail
	}
	return b
}

// TruncateAnswers makes the service cut off answers that carry events in the middle from now on. Recover ends this.
func (d *Discovery) TruncateAnswers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.truncateAnswers = true
}

// HoldPolls makes the service leave new polls unanswered from now on. Recover ends this; polls that were held stay unanswered.
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

// Close stops the service and closes all its connections.
func (d *Discovery) Close() {
	_ = d.server.Close() // closes the listener even if it returns an error
}

// maxWaitMillis limits how long a poll waits for an event.
const maxWaitMillis = 5000

// stream answers a poll with the events after the index in the parameter follow. If there are none, it waits for one for up to wait_ms
// milliseconds, and then answers without events.
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

// answer writes an answer to a poll. With truncate it writes the first half and closes the connection.
func (d *Discovery) answer(w http.ResponseWriter, last int, updates []listEvent, truncate bool) {
	text, err := json.Marshal(listAnswer{last, updates})
	if err != nil {
		panic(err) // encoding strings, numbers and booleans doesn't fail
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if !truncate {
		_, _ = w.Write(text) // a watcher that lost its connection polls again
		return
	}
	_, _ = w.Write(text[:len(text)/2])
	_ = http.NewResponseController(w).Flush() // send the half before the connection is closed
	panic(http.ErrAbortHandler)
}
