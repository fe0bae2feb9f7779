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

// The HTTP statuses that discovery may answer a poll with. They are not taken from net/http, which would link its TLS and
// HTTP/2 into a program that needs neither.
const (
	statusOK          = 200
	statusNoContent   = 204
	statusNotModified = 304
)

// watcher polls the engine list and posts its events to the owner.
type watcher struct {
	owner *owner

	// The watcher's goroutine's.
	lastIndex  int64 // of the last event that was posted
	badEvents  int   // how many times in a row the event after it could not be read
	failureLog logLimiter

	mu            sync.Mutex
	address       string
	pendingEvents *jsonvalue.Value // events of a new configuration that are not posted yet; nil: none
	disconnect    func()           // ends the connection in use; nil: none was begun

	configChanged chan struct{} // holds a value while a new configuration waits
}

func newWatcher(o *owner, address string) *watcher {
	return &watcher{owner: o, address: address, configChanged: make(chan struct{}, 1)}
}

// reconfigure has the watcher go on at another address, with the events that a new configuration knows.
func (w *watcher) reconfigure(address string, known *jsonvalue.Value) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.pendingEvents = address, known
	if w.disconnect != nil {
		w.disconnect()
	}
	select {
	case w.configChanged <- struct{}{}:
	default: // one waits already
	}
}

const (
	// maxBadEvents is how often an event that can't be read is polled again before those of its entries that can be read are
	// used. Usually it was damaged on its way; several times in a row means that the list itself has it so.
	maxBadEvents = 8
	// pollTimeout is how long the list may hold a poll back. Its events count as known 7 s after they happen, of which a
	// silent connection then takes no more than a sixth, and a new poll another.
	pollTimeout = time.Second
	// pollBufferSize is what is read at a time of a poll's answer, in bytes.
	pollBufferSize = 4096
)

// postEvents posts events to the owner. full is the kind of those that hold the whole list. It reports whether all events
// could be read.
func (w *watcher) postEvents(events *jsonvalue.Value, full admission.UpdateKind) bool {
	lastIndex := w.lastIndex
	network := w.owner.network
	reader := discovery.EventReader{Zones: network.Zones, Kinds: network.Kinds, AcceptPartial: w.badEvents >= maxBadEvents}
	w.lastIndex = reader.ReadEvents(events, lastIndex, func(e discovery.WatchEvent) {
		kind := admission.PartialUpdate
		if e.Full {
			kind = full
		}
		w.owner.post(endpointsUpdated{kind: kind, endpoints: e.Endpoints, addresses: e.Addresses})
	})
	if w.lastIndex > lastIndex {
		w.badEvents = 0
	}
	if events.Err() != nil {
		w.badEvents++
		w.owner.log.Warn("engine list", "code", "bad_event", "error", events.Err())
	}
	return events.Err() == nil
}

// run polls until stop is closed. It is the watcher's goroutine. A connection that brought something and ended is followed
// by the next one at once, because what the list could not finish counts as known soon. Others begin no more often than one
// may take to come up.
func (w *watcher) run(stop <-chan struct{}) {
	for {
		select { // a wait of no time may be over together with the stop
		case <-stop:
			return
		default:
		}
		begun := time.Now()
		useful, reconfigured := w.connectOnce(stop)
		wait := time.Duration(0)
		if !useful && !reconfigured {
			wait = reconnectDelay(time.Since(begun), w.owner.network.ConnectTimeout)
		}
		select {
		case <-stop:
			return
		case <-w.configChanged: // its address and events don't wait
		case <-time.After(wait):
		}
	}
}

// connectOnce posts the events of a new configuration, if there is one, and polls on one connection until that ends. It
// reports whether a poll was answered, and whether a new configuration ended the connection.
func (w *watcher) connectOnce(stop <-chan struct{}) (useful, reconfigured bool) {
	connected, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	w.mu.Lock()
	address, events := w.address, w.pendingEvents
	w.pendingEvents, w.disconnect = nil, disconnect
	w.mu.Unlock()
	if events != nil {
		w.postEvents(events, admission.FullUpdate)
	}
	useful = w.connect(connected, address, stop)
	return useful, connected.Err() != nil
}

// reconnectDelay returns how long to wait before the next connection, where the last one brought nothing and took a given
// time: connections begin no more often than one may take to come up. A longer delay would add to what is told late.
func reconnectDelay(took, connectTimeout time.Duration) time.Duration {
	return max(0, connectTimeout-took)
}

// logLimiter limits the log lines of repeated failures: the first one is logged, and then ever fewer.
type logLimiter struct {
	interval time.Duration // until the next line; it doubles each time
	next     time.Time
}

const (
	firstLogInterval = time.Second
	maxLogInterval   = time.Minute // a failure that lasts is known by then
)

// allow tells whether to log what happened now. A success is logged, and resets the limiter.
func (l *logLimiter) allow(now time.Time, success bool) bool {
	if success {
		*l = logLimiter{}
		return true
	}
	if now.Before(l.next) {
		return false
	}
	l.interval = min(max(firstLogInterval, 2*l.interval), maxLogInterval)
	l.next = now.Add(l.interval)
	return true
}

// connect polls on one connection until that ends, logs its end and reports whether a poll was answered.
func (w *watcher) connect(connected context.Context, address string, stop <-chan struct{}) (useful bool) {
	code := "panic"
	w.owner.usage.openConnections.Add(1)
	defer func() {
		fault := recover()
		if fault == nil && !w.failureLog.allow(time.Now(), useful || connected.Err() != nil) {
			w.owner.usage.openConnections.Add(-1) // its line would say what the last one said
			return
		}
		w.owner.connectionEnded("engine list", address, code, 0, fault)
	}()
	useful, code = w.poll(connected, address, stop)
	if connected.Err() != nil {
		code = "moved"
	}
	return useful
}

// poll dials the list and polls it until the connection ends. It reports whether a poll was answered, and the reason for the
// end as the log has it.
func (w *watcher) poll(connected context.Context, address string, stop <-chan struct{}) (useful bool, code string) {
	connectTimeout := w.owner.network.ConnectTimeout
	dialer := net.Dialer{Timeout: connectTimeout}
	socket, err := dialer.DialContext(connected, "tcp", address)
	if err != nil {
		return false, endCode(err)
	}
	over := make(chan struct{})
	defer close(over)
	go func() { // a poll would go on after a stop or a new configuration
		select {
		case <-stop:
		case <-over:
		case <-connected.Done():
		}
		socket.Close()
	}()
	connection := pollConnection{socket: socket, reader: bufio.NewReaderSize(socket, pollBufferSize)}
	var request []byte
	for {
		request = discovery.AppendPollRequest(request[:0], address, w.lastIndex, pollTimeout.Milliseconds())
		socket.SetDeadline(time.Now().Add(pollTimeout + connectTimeout))
		if _, err := socket.Write(request); err != nil {
			return useful, endCode(err)
		}
		response, code := connection.readResponse()
		if code != "" {
			return useful, code
		}
		if response.Status == statusOK {
			events, err := jsonvalue.Parse("events", response.Body)
			if err != nil || !w.postEvents(events, admission.FullUpdate) {
				return useful, "bad_answer"
			}
			useful = true
		}
		if response.Last {
			return useful, "closed"
		}
		if !pollStatusOK(response.Status) {
			return useful, "status"
		}
	}
}

// pollStatusOK tells whether a status lets polls go on: events, or none before the poll was over.
func pollStatusOK(status int) bool {
	return status == statusOK || status == statusNoContent || status == statusNotModified
}

// pollConnection is a connection on which polls are answered.
type pollConnection struct {
	socket net.Conn
	reader *bufio.Reader
	buffer []byte // of the response at hand
}

// readResponse reads the answer to a poll, whose body lies in the connection's buffer until the next one is read. If there
// is none that can be read it returns the reason, as the log has it.
func (c *pollConnection) readResponse() (response discovery.Response, code string) {
	c.buffer = c.buffer[:0]
	for {
		response, err := discovery.ParseResponse(c.buffer)
		if err != nil || len(c.buffer) > 2*discovery.MaxResponseBytes {
			return discovery.Response{}, "bad_answer"
		}
		if response.Length > 0 {
			if response.Length < len(c.buffer) || c.reader.Buffered() > 0 {
				response.Last = true // what follows was not asked for, and would be taken for the answer to another poll
			}
			return response, ""
		}
		if _, err := c.reader.Peek(1); err != nil {
			return discovery.Response{}, endCode(err)
		}
		more, _ := c.reader.Peek(c.reader.Buffered())
		c.buffer = append(c.buffer, more...)
		discard(c.reader, len(more))
	}
}
