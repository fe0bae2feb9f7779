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

// serve accepts until stop.
func (a *acceptor) run() {
	defer close(a.done)
	for {
		tcp, err := a.listener.Accept()
		switch {
		case err == nil:
			a.startSession(tcp)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			a.drainBacklog()
			return
		default: // out of descriptors, as a rule: some are free again soon
			a.owner.log.Warn("accept", "error", err)
			time.Sleep(finalReadWait)
		}
	}
}

// stop has it take what the system accepted before, and accept no more. A close alone would reset those connections.
func (a *acceptor) stop() {
	if tcp, ok := a.listener.(*net.TCPListener); ok {
		tcp.SetDeadline(expiredDeadline)
	} else {
		a.listener.Close()
	}
	<-a.done
	a.listener.Close()
}

// emptyBacklog takes the connections that the system accepted and nobody took. Accept doesn't try any more once its deadline has
// passed, so the system is asked.
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
	raw.Control(func(listener uintptr) {
		for {
			descriptor, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if err == syscall.EINTR || err == syscall.ECONNABORTED {
				continue
			}
			if err != nil {
				return
			}
			waiting = append(waiting, descriptor)
		}
	})
	for _, descriptor := range waiting {
		file := os.NewFile(uintptr(descriptor), "client")
		tcp, err := net.FileConn(file)
		file.Close()
		if err == nil {
			a.startSession(tcp)
		}
	}
}

// welcome starts a session for a client, or turns it away.
func (a *acceptor) startSession(tcp net.Conn) {
	o := a.owner
	o.usage.openConnections.Add(1)
	s := newSession(o, tcp)
	if o.clients.admit(s) == sessionRefused {
		a.rejectClient(s)
		return
	}
	go s.run()
}

// turnAway answers a client for which there is no session. It may have written its login and a query already, over which a close
// would take the answer with it: so the answer is lingered for, as far as there are descriptors for that.
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
