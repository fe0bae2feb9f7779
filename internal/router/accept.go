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
	o        *owner
	listener net.Listener
	ended    chan struct{} // closed once it accepts no more
}

// serve accepts until stop.
func (a *acceptor) serve() {
	defer close(a.ended)
	for {
		tcp, err := a.listener.Accept()
		switch {
		case err == nil:
			a.welcome(tcp)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			a.emptyBacklog()
			return
		default: // out of descriptors, as a rule: some are free again soon
			a.o.log.Warn("accept", "error", err)
			time.Sleep(lastLook)
		}
	}
}

// stop has it take what the system accepted before, and accept no more. A close alone would reset those connections.
func (a *acceptor) stop() {
	if tcp, ok := a.listener.(*net.TCPListener); ok {
		tcp.SetDeadline(longAgo)
	} else {
		a.listener.Close()
	}
	<-a.ended
	a.listener.Close()
}

// emptyBacklog takes the connections that the system accepted and nobody took. Accept doesn't try any more once its deadline has
// passed, so the system is asked.
func (a *acceptor) emptyBacklog() {
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
			a.welcome(tcp)
		}
	}
}

// welcome starts a session for a client, or turns it away.
func (a *acceptor) welcome(tcp net.Conn) {
	o := a.o
	o.connections.Add(1)
	s := newSession(o, tcp)
	if o.clients.enter(s) == refusedFull {
		a.turnAway(s)
		return
	}
	go s.run()
}

// turnAway answers a client for which there is no session. It may have written its login and a query already, over which a close
// would take the answer with it: so the answer is lingered for, as far as there are descriptors for that.
func (a *acceptor) turnAway(s *session) {
	end := func() {
		s.tcp.Close()
		a.o.connectionEnded("client", s.tcp.RemoteAddr().String(), "no_room", 0, nil)
	}
	s.write(mysql.AppendError(nil, 0, mysql.ErrTooManyConnections, "too many connections"))
	if !a.o.clients.linger() {
		end()
		return
	}
	go func() {
		defer a.o.clients.lingered()
		defer end()
		s.linger(lingering)
	}()
}

// newSession makes a session for a client. Who knows a connection's id may have its query killed, so ids are not to be guessed.
func newSession(o *owner, tcp net.Conn) *session {
	s := &session{o: o, tcp: tcp, r: newReader(tcp), mail: newMailbox(), connection: rand.Uint32(), began: time.Now()}
	if o.desk != nil {
		s.reader = o.desk.NewStatementReader()
	}
	return s
}
