//go:build review

package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is an engine's entry in the list.
type Entry struct {
	ID        string `json:"id"`
	Address   string `json:"addr"`
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int    `json:"cell"`
	State     string `json:"state"` // Ready, Terminating or Gone
	Weight    int    `json:"weight"`
	StartedMS int64  `json:"started_ms"`
}

type listEvent struct {
	Index     int `json:"index"`
	Endpoints struct {
		Version int     `json:"version"`
		Full    bool    `json:"full"`
		Servers []Entry `json:"servers"`
	} `json:"endpoints"`
}

type listAnswer struct {
	Index   int         `json:"index"`
	Updates []listEvent `json:"updates"`
}

// Coordinator is a stand-in of the coordinator for one gateway. It notes when it has written an answer with a given event.
type Coordinator struct {
	Address string

	lab     *Lab
	mu      sync.Mutex
	events  []listEvent
	changed chan struct{}     // closed and replaced with each event
	told    map[int]time.Time // by event: when an answer with it was first written to the gateway's connection
}

// StartCoordinator starts a coordinator whose first event is the whole list.
func (l *Lab) StartCoordinator(list []Entry) (*Coordinator, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Coordinator{Address: listener.Addr().String(), lab: l, changed: make(chan struct{}), told: map[int]time.Time{}}
	c.publish(true, list)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/stream", c.stream)
	server := &http.Server{Handler: mux}
	l.atEnd(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return c, nil
}

// Publish adds an event with the entries that have changed, and returns its index.
func (c *Coordinator) Publish(changed ...Entry) (index int) { return c.publish(false, changed) }

func (c *Coordinator) publish(full bool, servers []Entry) (index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index = len(c.events) + 1
	event := listEvent{Index: index}
	event.Endpoints.Version, event.Endpoints.Full, event.Endpoints.Servers = index, full, servers
	c.events = append(c.events, event)
	close(c.changed)
	c.changed = make(chan struct{})
	return index
}

// ToldAt returns when an answer with an event was first written to the gateway's connection; ok is false if none was.
func (c *Coordinator) ToldAt(index int) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok = c.told[index]
	return at, ok
}

// Snapshot returns the events so far, as the configuration holds them under known.
func (c *Coordinator) Snapshot() json.RawMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, err := json.Marshal(listAnswer{len(c.events), c.events})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return text
}

func (c *Coordinator) stream(w http.ResponseWriter, r *http.Request) {
	const maxWait = 5000
	follow, _ := strconv.Atoi(r.URL.Query().Get("follow"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, maxWait)) * time.Millisecond)
	for {
		c.mu.Lock()
		changed, last := c.changed, len(c.events)
		updates := c.events[min(follow, last):]
		c.mu.Unlock()
		ended := false
		if len(updates) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				ended = true
			}
		}
		if len(updates) > 0 || ended {
			c.answer(w, last, updates)
			return
		}
	}
}

func (c *Coordinator) answer(w http.ResponseWriter, last int, updates []listEvent) {
	text, err := json.Marshal(listAnswer{last, append([]listEvent{}, updates...)})
	if err != nil {
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err != nil || http.NewResponseController(w).Flush() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, update := range updates {
		if _, ok := c.told[update.Index]; !ok {
			c.told[update.Index] = time.Now()
		}
	}
}
