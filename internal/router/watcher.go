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
	owner      *owner
	lastIndex  int64 // number of the last event that was taken in
	badEvents  int   // how many times in a row the event after it could not be read
	failureLog logLimiter

	mu            sync.Mutex
	address       string
	pendingEvents *jsonvalue.Value // events of a new configuration, to be told; nil: none
	disconnect    func()           // ends the connection at hand
	configChanged chan struct{}    // rung by a new configuration
}

func newWatcher(o *owner, address string) *watcher {
	return &watcher{owner: o, address: address, configChanged: make(chan struct{}, 1)}
}

// move goes on at another address, with the events that a new configuration knows.
func (w *watcher) reconfigure(address string, known *jsonvalue.Value) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pendingEvents = known
	if w.address = address; w.disconnect != nil {
		w.disconnect()
	}
	select {
	case w.configChanged <- struct{}{}:
	default: // it is rung already
	}
}

// mostAmiss is how often an event that can't be read is asked for again before the entries that can are taken:
// it was spoilt on its way, as a rule, and several times in a row the list itself has it so.
const maxBadEvents = 8

// tell takes in events; whole is the form of those that hold the whole list. It tells whether all could be read.
func (w *watcher) postEvents(s *jsonvalue.Value, whole admission.UpdateKind) bool {
	held := w.lastIndex
	reader := discovery.EventReader{Zones: w.owner.network.Zones, Kinds: w.owner.network.Kinds, AcceptPartial: w.badEvents >= maxBadEvents}
	w.lastIndex = reader.ReadEvents(s, held, func(event discovery.WatchEvent) {
		form := admission.PartialUpdate
		if event.Full {
			form = whole
		}
		w.owner.post(endpointsUpdated{kind: form, endpoints: event.Endpoints, addresses: event.Addresses})
	})
	if w.lastIndex > held {
		w.badEvents = 0
	}
	if s.Err() != nil {
		w.badEvents++
		w.owner.log.Warn("engine list", "code", "bad_event", "error", s.Err())
	}
	return s.Err() == nil
}

// pollWait is how long the list may hold a poll back: of the 7 s after which its events count as told, a
// silent connection then takes no more than a sixth, and a restart of the poll another.
const pollTimeout = time.Second

// serve polls until stop is closed. A connection that brought something and ended is followed by the next at
// once, as what the list could not finish counts as told soon; others begin no more often than one may take to come up.
func (w *watcher) run(stop <-chan struct{}) {
	for {
		select { // a wait of nothing and the stop may come together
		case <-stop:
			return
		default:
		}
		life, leave := context.WithCancel(context.Background())
		w.mu.Lock()
		address, known := w.address, w.pendingEvents
		w.pendingEvents, w.disconnect = nil, leave
		w.mu.Unlock()
		if known != nil {
			w.postEvents(known, admission.FullUpdate)
		}
		begun := time.Now()
		useful := w.connect(life, address, stop)
		moved := life.Err() != nil
		leave()
		wait := time.Duration(0)
		if !useful && !moved {
			wait = reconnectDelay(time.Since(begun), w.owner.network.ConnectTimeout)
		}
		select {
		case <-stop:
			return
		case <-w.configChanged: // whose new address and events don't wait for the old one
		case <-time.After(wait):
		}
	}
}

// restBefore is how long to wait before the next connection, where the last one that brought nothing took so long: connections
// begin no more often than one may take to come up. A longer rest would be added to what drains are told late.
func reconnectDelay(took, within time.Duration) time.Duration { return max(0, within-took) }

// logLimiter tells which of many failures in a row are worth a line: the first, and then ever fewer.
type logLimiter struct {
	interval time.Duration // until the next line, doubled each time
	next     time.Time
}

// A list that is away for long has a line each minute: by then everybody knows.
const (
	firstLogInterval = time.Second
	maxLogInterval   = time.Minute
)

func (l *logLimiter) allow(now time.Time, useful bool) bool {
	switch {
	case useful:
		*l = logLimiter{}
	case now.Before(l.next):
		return false
	default:
		l.interval = min(max(firstLogInterval, 2*l.interval), maxLogInterval)
		l.next = now.Add(l.interval)
	}
	return true
}

// connect polls on one connection until it ends, and tells whether a poll was answered on it.
func (w *watcher) connect(life context.Context, address string, stop <-chan struct{}) (useful bool) {
	code := "panic"
	w.owner.usage.openConnections.Add(1)
	defer func() {
		fault := recover()
		if fault == nil && !w.failureLog.allow(time.Now(), useful || life.Err() != nil) {
			w.owner.usage.openConnections.Add(-1) // its line would say what the last one said
			return
		}
		w.owner.connectionEnded("engine list", address, code, 0, fault)
	}()
	useful, code = w.poll(life, address, stop)
	if life.Err() != nil {
		code = "moved"
	}
	return useful
}

func (w *watcher) poll(life context.Context, address string, stop <-chan struct{}) (useful bool, code string) {
	within := w.owner.network.ConnectTimeout
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
		request = discovery.AppendPollRequest(request[:0], address, w.lastIndex, pollTimeout.Milliseconds())
		tcp.SetDeadline(time.Now().Add(pollTimeout + within))
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
				if err != nil || !w.postEvents(s, admission.FullUpdate) {
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
