package router

import (
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"time"

	"magpiebank/internal/protocol/mysql"
)

// acceptor starts a session for each client that connects.
type acceptor struct {
	owner    *owner
	listener net.Listener
	done     chan struct{} // closed when run returns
}

// run accepts connections until stop is called or the listener is closed. It runs on the acceptor's own goroutine.
func (a *acceptor) run() {
	defer close(a.done)
	for {
		socket, err := a.listener.Accept()
		switch {
		case err == nil:
			a.startSession(socket)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			a.drainBacklog()
			return
		default: // usually the process has no file descriptors left; some become free soon
			a.owner.log.Warn("accept", "error", err)
			time.Sleep(finalReadWait)
		}
	}
}

// stop makes the acceptor start sessions for the connections that the kernel has already accepted, and then closes the
// listener. Closing the listener first would reset those connections.
func (a *acceptor) stop() {
	tcp, ok := a.listener.(*net.TCPListener)
	if !ok || tcp.SetDeadline(expiredDeadline) != nil {
		a.listener.Close()
	}
	<-a.done
	a.listener.Close()
}

// drainBacklog starts sessions for the connections that wait in the listener's backlog. It calls the kernel's accept
// directly, because Go's Accept fails without looking at the backlog once the listener's deadline has passed.
func (a *acceptor) drainBacklog() {
	syscallListener, ok := a.listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := syscallListener.SyscallConn()
	if err != nil {
		return
	}
	var waiting []int
	if err := raw.Control(func(listener uintptr) { waiting = acceptWaiting(listener) }); err != nil {
		return // the listener is closed
	}
	for _, descriptor := range waiting {
		file := os.NewFile(uintptr(descriptor), "client")
		socket, err := net.FileConn(file)
		_ = file.Close() // FileConn duplicated the descriptor
		if err == nil {
			a.startSession(socket)
		}
	}
}

// acceptWaiting accepts the connections in a listener's backlog without blocking, and returns their file descriptors.
func acceptWaiting(listener uintptr) (descriptors []int) {
	for {
		descriptor, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		if err != nil {
			return descriptors
		}
		descriptors = append(descriptors, descriptor)
	}
}

// startSession starts a session for a client. It rejects the client if the connection limiter doesn't admit the session.
func (a *acceptor) startSession(socket net.Conn) {
	o := a.owner
	o.usage.openConnections.Add(1)
	s := newSession(o, socket)
	if !o.clients.admit(s) {
		a.rejectClient(s)
		return
	}
	go s.run()
}

// rejectClient sends an error to a client that the connection limiter did not admit. The client may already have sent its
// login and a query. Closing a connection with unread input resets it, and the client would lose the error. So the connection
// stays open and its input is read for up to lingerTimeout, unless too many connections linger already.
func (a *acceptor) rejectClient(s *clientSession) {
	end := func() {
		s.socket.Close()
		a.owner.connectionEnded("client", s.socket.RemoteAddr().String(), "no_room", 0, nil)
	}
	s.writePackets(mysql.AppendError(nil, 0, mysql.ErrTooManyConnections, "too many connections"))
	if !a.owner.clients.beginLinger() {
		end()
		return
	}
	go func() {
		defer a.owner.clients.endLinger()
		defer end()
		s.linger(lingerTimeout)
	}()
}

// newSession returns a session for a client. Its connection id is random, because a client that knows the id of another
// connection can kill the query on that connection.
func newSession(o *owner, socket net.Conn) *clientSession {
	s := &clientSession{owner: o, socket: socket, input: newClientReader(socket), connectionID: rand.Uint32(), startedAt: time.Now()}
	s.events = newSessionQueue(s.handleEvent)
	if o.resourceGroups != nil {
		s.statementReader = o.resourceGroups.NewStatementReader()
	}
	return s
}
