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
	done     chan struct{} // closed once it accepts no more
}

// run accepts connections until stop. It is the acceptor's goroutine.
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
		default: // usually there are no descriptors left; some are free again soon
			a.owner.log.Warn("accept", "error", err)
			time.Sleep(finalReadWait)
		}
	}
}

// stop starts sessions for the connections that the system has accepted already, and accepts no more. A close alone would
// reset those connections.
func (a *acceptor) stop() {
	tcp, ok := a.listener.(*net.TCPListener)
	if !ok || tcp.SetDeadline(expiredDeadline) != nil {
		a.listener.Close()
	}
	<-a.done
	a.listener.Close()
}

// drainBacklog starts sessions for the connections that wait in the listener's backlog. Accept doesn't look for them any more
// once its deadline has passed, so the system is asked.
func (a *acceptor) drainBacklog() {
	socket, ok := a.listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
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
		_ = file.Close() // the connection has a descriptor of its own
		if err == nil {
			a.startSession(socket)
		}
	}
}

// acceptWaiting accepts the connections in a listener's backlog without waiting, and returns their descriptors.
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

// startSession starts a session for a client, or rejects it if there is no place for one.
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

// rejectClient answers a client for which there is no place. The client may have written its login and a query already, and a
// close over unread bytes would take the answer with it. So the connection is kept open for a while, if there are
// descriptors for that.
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

// newSession returns a session for a client. Whoever knows a connection's id may have its query killed, so ids are random.
func newSession(o *owner, socket net.Conn) *clientSession {
	s := &clientSession{owner: o, socket: socket, input: newClientReader(socket), connectionID: rand.Uint32(), startedAt: time.Now()}
	s.events = newSessionQueue(s.handleEvent)
	if o.resourceGroups != nil {
		s.statementReader = o.resourceGroups.NewStatementReader()
	}
	return s
}
