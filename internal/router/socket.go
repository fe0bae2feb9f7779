package router

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Deadlines count the time of this process, and a process can stand still: for want of a core, or with its whole machine. Go
// then ends a read or a write by its deadline without trying it. What the peer sent in time must not be taken for its
// silence, so the functions below look at what the system has already got.

// readAvailable buffers what the system has got of a connection, without waiting, until n bytes are buffered. The read
// deadline has passed after it.
func readAvailable(socket net.Conn, reader *bufio.Reader, n int) error {
	socket.SetReadDeadline(time.Time{}) // no read waits, because something is there
	defer socket.SetReadDeadline(expiredDeadline)
	for reader.Buffered() < n && hasInput(socket) {
		if _, err := reader.Peek(reader.Buffered() + 1); err != nil {
			return err
		}
	}
	return nil
}

// writeWithDeadline writes buffers and returns how many bytes of them the system took. Once the deadline has passed it tries for
// finalReadWait more.
func writeWithDeadline(socket net.Conn, deadline time.Time, buffers net.Buffers) (written int64, err error) {
	socket.SetWriteDeadline(deadline)
	written, err = buffers.WriteTo(socket)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	socket.SetWriteDeadline(time.Now().Add(finalReadWait))
	more, err := buffers.WriteTo(socket)
	return written + more, err
}

// hasInput tells whether bytes of a connection wait to be read.
func hasInput(socket net.Conn) bool {
	waiting, _ := peekSocket(socket)
	return waiting
}

// peekSocket asks the system, without waiting, what the next read of a connection would bring: bytes, or its end.
func peekSocket(socket net.Conn) (waiting, ended bool) {
	system, ok := socket.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = n > 0
		ended = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	if err != nil { // this side has closed it
		return false, false
	}
	return waiting, ended
}

// closeWrite ends what a connection's peer reads. An error means that the connection has ended already.
func closeWrite(socket net.Conn) {
	if half, ok := socket.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
