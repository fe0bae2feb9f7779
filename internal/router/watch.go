package router

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/jsonvalue"
	"magpiebank/internal/protocol/discovery"
)

// watcher polls the engine list. Its goroutine owns held and amiss.
type watcher struct {
	o     *owner
	held  int64 // number of the last event that was taken in
	amiss int   // how many times in a row the event after it could not be read
	quiet logLimiter

	mu      sync.Mutex
	address string
	known   *jsonvalue.Value // events of a new configuration, to be told; nil: none
	leave   func()           // ends the connection at hand
	moved   chan struct{}    // rung by a new configuration
}

func newWatcher(o *owner, address string) *watcher {
	return &watcher{o: o, address: address, moved: make(chan struct{}, 1)}
}

// move goes on at another address, with the events that a new configuration knows.
func (f *watcher) move(address string, known *jsonvalue.Value) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = known
	if f.address = address; f.leave != nil {
		f.leave()
	}
	select {
	case f.moved <- struct{}{}:
	default: // it is rung already
	}
}

// mostAmiss is how often an event that can't be read is asked for again before the entries that can are taken:
// it was spoilt on its way, as a rule, and several times in a row the list itself has it so.
const mostAmiss = 8

// tell takes in events; whole is the form of those that hold the whole list. It tells whether all could be read.
func (f *watcher) tell(s *jsonvalue.Value, whole admission.UpdateKind) bool {
	held := f.held
	reader := discovery.EventReader{Zones: f.o.network.Zones, Kinds: f.o.network.Kinds, AcceptPartial: f.amiss >= mostAmiss}
	f.held = reader.ReadEvents(s, held, func(event discovery.WatchEvent) {
		form := admission.PartialUpdate
		if event.Full {
			form = whole
		}
		f.o.tell(func(now admission.Time) { f.o.listed(now, form, event.Endpoints, event.Addresses) })
	})
	if f.held > held {
		f.amiss = 0
	}
	if s.Err() != nil {
		f.amiss++
		f.o.log.Warn("engine list", "code", "bad_event", "error", s.Err())
	}
	return s.Err() == nil
}

// pollWait is how long the list may hold a poll back: of the 7 s after which its events count as told, a
// silent connection then takes no more than a sixth, and a restart of the poll another.
const pollWait = time.Second

// serve polls until stop is closed. A connection that brought something and ended is followed by the next at
// once, as what the list could not finish counts as told soon; others begin no more often than one may take to come up.
func (f *watcher) serve(stop <-chan struct{}) {
	for {
		select { // a wait of nothing and the stop may come together
		case <-stop:
			return
		default:
		}
		life, leave := context.WithCancel(context.Background())
		f.mu.Lock()
		address, known := f.address, f.known
		f.known, f.leave = nil, leave
		f.mu.Unlock()
		if known != nil {
			f.tell(known, admission.FullUpdate)
		}
		begun := time.Now()
		useful := f.connect(life, address, stop)
		moved := life.Err() != nil
		leave()
		wait := time.Duration(0)
		if !useful && !moved {
			wait = restBefore(time.Since(begun), f.o.network.ConnectTimeout)
		}
		select {
		case <-stop:
			return
		case <-f.moved: // whose new address and events don't wait for the old one
		case <-time.After(wait):
		}
	}
}

// restBefore is how long to wait before the next connection, where the last one that brought nothing took so long: connections
// begin no more often than one may take to come up. A longer rest would be added to what drains are told late.
func restBefore(took, within time.Duration) time.Duration { return max(0, within-took) }

// logLimiter tells which of many failures in a row are worth a line: the first, and then ever fewer.
type logLimiter struct {
	rest time.Duration // until the next line, doubled each time
	next time.Time
}

// A list that is away for long has a line each minute: by then everybody knows.
const (
	firstRest = time.Second
	mostRest  = time.Minute
)

func (l *logLimiter) due(now time.Time, useful bool) bool {
	switch {
	case useful:
		*l = logLimiter{}
	case now.Before(l.next):
		return false
	default:
		l.rest = min(max(firstRest, 2*l.rest), mostRest)
		l.next = now.Add(l.rest)
	}
	return true
}

// connect polls on one connection until it ends, and tells whether a poll was answered on it.
func (f *watcher) connect(life context.Context, address string, stop <-chan struct{}) (useful bool) {
	code := "panic"
	f.o.connections.Add(1)
	defer func() {
		fault := recover()
		if fault == nil && !f.quiet.due(time.Now(), useful || life.Err() != nil) {
			f.o.connections.Add(-1) // its line would say what the last one said
			return
		}
		f.o.connectionEnded("engine list", address, code, 0, fault)
	}()
	useful, code = f.poll(life, address, stop)
	if life.Err() != nil {
		code = "moved"
	}
	return useful
}

func (f *watcher) poll(life context.Context, address string, stop <-chan struct{}) (useful bool, code string) {
	within := f.o.network.ConnectTimeout
	dialer := net.Dialer{Timeout: within}
	tcp, err := dialer.DialContext(life, "tcp", address)
	if err != nil {
		return false, endCode(err)
	}
	over := make(chan struct{})
	defer close(over)
	go func() { // closes it at the stop of the router or at a new address, too, where a poll would go on
		select {
		case <-stop:
		case <-over:
		case <-life.Done():
		}
		tcp.Close()
	}()
	r := bufio.NewReaderSize(tcp, 4096)
	var request, buffer []byte
	for {
		request = discovery.AppendPollRequest(request[:0], address, f.held, pollWait.Milliseconds())
		tcp.SetDeadline(time.Now().Add(pollWait + within))
		if _, err := tcp.Write(request); err != nil {
			return useful, endCode(err)
		}
		for {
			response, err := discovery.ParseResponse(buffer)
			if err != nil || len(buffer) > 2*discovery.MaxResponseBytes {
				return useful, "bad_answer"
			}
			if response.Length == 0 {
				if _, err := r.Peek(1); err != nil {
					return useful, endCode(err)
				}
				more, _ := r.Peek(r.Buffered())
				buffer = append(buffer, more...)
				r.Discard(len(more))
				continue
			}
			if response.Length < len(buffer) || r.Buffered() > 0 {
				response.Last = true // more than was asked for: the next answer would be taken for another poll's
			}
			if response.Status == 200 {
				s, err := jsonvalue.Parse("events", response.Body)
				if err != nil || !f.tell(s, admission.FullUpdate) {
					return useful, "bad_answer"
				}
				useful = true
			}
			if response.Last {
				return useful, "closed"
			}
			if status := response.Status; status != 200 && status != 204 && status != 304 {
				return useful, "status"
			}
			buffer = buffer[:0]
			break
		}
	}
}
