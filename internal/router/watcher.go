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

// HTTP statuses with which the discovery service may answer a poll. The constants of net/http are not used, because importing
// it would link TLS and HTTP/2 code into the program, which needs neither.
const (
	statusOK          = 200
	statusNoContent   = 204
	statusNotModified = 304
)

// watcher polls the engine list of the discovery service, and posts the list's events to the owner.
type watcher struct {
	owner *owner

	// Only the watcher's goroutine uses these fields while it runs.
	lastIndex  int64 // index of the last event that was posted
	badEvents  int   // consecutive failures to read the event after lastIndex
	failureLog logLimiter

	mu            sync.Mutex       // guards the fields below up to disconnect
	address       string           // of the discovery service
	pendingEvents *jsonvalue.Value // events from a new configuration that are not posted yet; nil if there are none
	disconnect    func()           // cancels the current connection; nil before the first one

	configChanged chan struct{} // holds a value while a new configuration is pending
}

func newWatcher(o *owner, address string) *watcher {
	return &watcher{owner: o, address: address, configChanged: make(chan struct{}, 1)}
}

// reconfigure makes the watcher post the events that a new configuration contains, and poll at the new address. It cancels
// the current connection.
func (w *watcher) reconfigure(address string, events *jsonvalue.Value) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.pendingEvents = address, events
	if w.disconnect != nil {
		w.disconnect()
	}
	select {
	case w.configChanged <- struct{}{}:
	default: // a change is pending already
	}
}

const (
	// maxBadEvents is how many times in a row an event that can't be read is polled again, before the watcher uses those of its
	// entries that it can read. Usually such an event was damaged in transit; if it fails several times in a row, the list
	// itself contains the damage.
	maxBadEvents = 8
	// pollTimeout is how long the discovery service may wait for an event before it answers a poll. The gateway is expected to
	// know an event 7 s after it happens. A connection that went silent takes about a sixth of that time, and a new poll
	// another sixth.
	pollTimeout = time.Second
	// pollBufferSize is the size in bytes of the read buffer for the answers to polls.
	pollBufferSize = 4096
)

// postEvents posts events to the owner. fullKind is the update kind of events that contain the whole list. It reports whether
// all events could be read.
func (w *watcher) postEvents(events *jsonvalue.Value, fullKind admission.UpdateKind) bool {
	lastIndex := w.lastIndex
	network := w.owner.network
	reader := discovery.EventReader{Zones: network.Zones, Kinds: network.Kinds, AcceptPartial: w.badEvents >= maxBadEvents}
	w.lastIndex = reader.ReadEvents(events, lastIndex, func(e discovery.WatchEvent) {
		kind := admission.PartialUpdate
		if e.Full {
			kind = fullKind
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

// run polls until stop is closed. It runs on the watcher's own goroutine. After a connection on which it received valid
// events, it connects again at once, because the gateway must soon know the events that the connection didn't deliver. After
// other connections it waits as long as reconnectDelay returns, unless a new configuration ended the connection or arrives.
func (w *watcher) run(stop <-chan struct{}) {
	for {
		select { // checked first, because the select below chooses at random if stop is closed when a zero wait ends
		case <-stop:
			return
		default:
		}
		startedAt := time.Now()
		useful, reconfigured := w.connectOnce(stop)
		wait := time.Duration(0)
		if !useful && !reconfigured {
			wait = reconnectDelay(time.Since(startedAt), w.owner.network.ConnectTimeout)
		}
		select {
		case <-stop:
			return
		case <-w.configChanged: // use the new address and events at once
		case <-time.After(wait):
		}
	}
}

// connectOnce posts the events of a new configuration, if one is pending, and polls on one connection until the connection
// ends. useful reports whether valid events were received, reconfigured whether a new configuration ended the connection.
func (w *watcher) connectOnce(stop <-chan struct{}) (useful, reconfigured bool) {
	connectionCtx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	w.mu.Lock()
	address, events := w.address, w.pendingEvents
	w.pendingEvents, w.disconnect = nil, disconnect
	w.mu.Unlock()
	if events != nil {
		w.postEvents(events, admission.FullUpdate)
	}
	useful = w.connect(connectionCtx, address, stop)
	return useful, connectionCtx.Err() != nil
}

// reconnectDelay returns how long to wait before the next connection, after one without valid events. elapsed is the time since
// that connection's dial began. Connections then start at least connectTimeout apart. A longer delay would make events reach
// the gateway later.
func reconnectDelay(elapsed, connectTimeout time.Duration) time.Duration {
	return max(0, connectTimeout-elapsed)
}

// logLimiter limits the log lines of repeated failures. It allows the first failure to be logged, and later ones at intervals
// that double up to maxLogInterval.
type logLimiter struct {
	interval time.Duration // the current minimum between two lines
	next     time.Time     // when the next failure may be logged
}

const (
	firstLogInterval = time.Second
	maxLogInterval   = time.Minute // by then, operators know of a failure that lasts
)

// allow reports whether to log an attempt that ended now. A success is always logged, and resets the limiter.
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

// connect polls on one connection until the connection ends, and logs the end. useful reports whether valid events were
// received.
func (w *watcher) connect(connectionCtx context.Context, address string, stop <-chan struct{}) (useful bool) {
	code := "panic"
	w.owner.usage.openConnections.Add(1)
	defer func() {
		fault := recover()
		if fault == nil && !w.failureLog.allow(time.Now(), useful || connectionCtx.Err() != nil) {
			w.owner.usage.openConnections.Add(-1) // no line is logged, because a recent one reports such a failure
			return
		}
		w.owner.connectionEnded("engine list", address, code, 0, fault)
	}()
	useful, code = w.poll(connectionCtx, address, stop)
	if connectionCtx.Err() != nil {
		code = "moved"
	}
	return useful
}

// poll dials the discovery service and polls the engine list until the connection ends. useful reports whether a poll was
// answered with status 200 and valid events. code is the reason for the end, as it appears in the log.
func (w *watcher) poll(connectionCtx context.Context, address string, stop <-chan struct{}) (useful bool, code string) {
	connectTimeout := w.owner.network.ConnectTimeout
	dialer := net.Dialer{Timeout: connectTimeout}
	socket, err := dialer.DialContext(connectionCtx, "tcp", address)
	if err != nil {
		return false, endCode(err)
	}
	pollEnded := make(chan struct{})
	defer close(pollEnded)
	go func() { // closes the connection to interrupt a poll on a stop or a new configuration
		select {
		case <-stop:
		case <-pollEnded:
		case <-connectionCtx.Done():
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
		if response.ClosesConnection {
			return useful, "closed"
		}
		if !pollStatusOK(response.Status) {
			return useful, "status"
		}
	}
}

// pollStatusOK reports whether polling may continue on the connection after an answer with the given status. The answer
// either has events, or says that none happened before the poll timed out.
func pollStatusOK(status int) bool {
	return status == statusOK || status == statusNoContent || status == statusNotModified
}

// pollConnection reads the answers to polls from a connection.
type pollConnection struct {
	socket net.Conn
	reader *bufio.Reader
	buffer []byte // the bytes of the current response
}

// readResponse reads the answer to a poll. The response's body points into the connection's buffer and is valid until the
// next call. If no valid answer can be read, code is the reason, as it appears in the log; otherwise it is empty.
func (c *pollConnection) readResponse() (response discovery.Response, code string) {
	c.buffer = c.buffer[:0]
	for {
		response, err := discovery.ParseResponse(c.buffer)
		if err != nil || len(c.buffer) > 2*discovery.MaxResponseBytes {
			return discovery.Response{}, "bad_answer"
		}
		if response.Length > 0 {
			if response.Length < len(c.buffer) || c.reader.Buffered() > 0 {
				response.ClosesConnection = true // the surplus bytes answer no poll, and would be mistaken for the answer to the next one
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
