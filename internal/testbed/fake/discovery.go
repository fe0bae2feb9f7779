package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Endpoint is one engine as the list names it.
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

// Discovery is a fake for the discovery service.
type Discovery struct {
	Address string

	mu      sync.Mutex
	events  []listEvent
	changed chan struct{}
	server  *http.Server
	broken  bool // answers break off in the middle
	silent  bool // polls are held and never answered
}

// StartDiscovery starts a list that begins with some entries.
func StartDiscovery(address string, first []Endpoint) (*Discovery, error) {
	l := &Discovery{changed: make(chan struct{})}
	l.events = append(l.events, listEvent{1, listEndpoints{1, true, first}})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("engine list: %w", err)
	}
	l.Address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/stream", l.stream)
	l.server = &http.Server{Handler: mux}
	go l.server.Serve(listener)
	return l, nil
}

// Publish adds an event with the entries that have changed.
func (l *Discovery) Publish(changed ...Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.events) + 1
	l.events = append(l.events, listEvent{n, listEndpoints{n, false, changed}})
	close(l.changed)
	l.changed = make(chan struct{})
}

// Snapshot is the events so far, as a gateway's configuration holds them.
func (l *Discovery) Snapshot() json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, err := json.Marshal(listAnswer{len(l.events), l.events})
	if err != nil {
		panic(err) // of plain texts and numbers
	}
	return b
}

// TruncateAnswers has answers break off in their middle, Hold has polls held for good; Mend ends both.
func (l *Discovery) TruncateAnswers() { l.mu.Lock(); l.broken = true; l.mu.Unlock() }
func (l *Discovery) HoldPolls()       { l.mu.Lock(); l.silent = true; l.mu.Unlock() }
func (l *Discovery) Recover()         { l.mu.Lock(); l.broken, l.silent = false, false; l.mu.Unlock() }

// Close ends it with all its connections.
func (l *Discovery) Close() { l.server.Close() }

func (l *Discovery) stream(w http.ResponseWriter, r *http.Request) {
	follow, err1 := strconv.Atoi(r.URL.Query().Get("follow"))
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err1 != nil || err2 != nil || follow < 0 || wait < 0 {
		http.Error(w, "follow and wait_ms: expected numbers from 0", http.StatusBadRequest)
		return
	}
	over := time.After(time.Duration(min(wait, 5000)) * time.Millisecond)
	for {
		l.mu.Lock()
		changed, n, silent, broken := l.changed, len(l.events), l.silent, l.broken
		var updates []listEvent
		if follow < n {
			updates = l.events[follow:]
		}
		l.mu.Unlock()
		switch {
		case silent:
			<-r.Context().Done()
			return
		case len(updates) > 0:
			l.answer(w, n, updates, broken)
			return
		}
		select {
		case <-changed:
		case <-over:
			l.answer(w, n, []listEvent{}, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Discovery) answer(w http.ResponseWriter, last int, updates []listEvent, broken bool) {
	b, err := json.Marshal(listAnswer{last, updates})
	if err != nil {
		panic(err) // of plain texts and numbers
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if broken {
		w.Write(b[:len(b)/2])
		http.NewResponseController(w).Flush() // the half is to arrive
		panic(http.ErrAbortHandler)
	}
	w.Write(b)
}
