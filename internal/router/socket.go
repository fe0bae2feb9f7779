package router

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// A process can be stalled, because it gets no CPU time or because its whole machine is paused. If a deadline passes during
// the stall, Go fails the read or write without trying it. Bytes that the peer sent in time could then be mistaken for a peer
// that sent nothing. Therefore the functions below check what the kernel has already received.

// readAvailable reads the bytes that the kernel has already received into the reader's buffer, without blocking, until n
// bytes are buffered or no more are available. It leaves the connection with an expired read deadline.
func readAvailable(socket net.Conn, reader *bufio.Reader, n int) error {
	socket.SetReadDeadline(time.Time{}) // reads don't block, because each one follows a check for input
	defer socket.SetReadDeadline(expiredDeadline)
	for reader.Buffered() < n && hasInput(socket) {
		if _, err := reader.Peek(reader.Buffered() + 1); err != nil {
			return err
		}
	}
	return nil
}

// writeWithDeadline writes buffers and returns how many bytes the kernel accepted. If the deadline passes, it continues to
// write for up to finalReadWait, because this process may have been stalled.
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

// hasInput reports whether the kernel holds unread bytes of a connection.
func hasInput(socket net.Conn) bool {
	waiting, _ := peekSocket(socket)
	return waiting
}

// peekSocket checks, without blocking or consuming input, what the next read of a connection would return. waiting reports
// unread bytes; ended reports that the peer closed or reset the connection. Both are false if the read would block.
func peekSocket(socket net.Conn) (waiting, ended bool) {
	syscallConn, ok := socket.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = n > 0
		ended = n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	if err != nil { // this process has closed the connection
		return false, false
	}
	return waiting, ended
}

// closeWrite closes the sending direction of a connection, so that the peer reads the end of the stream. It ignores errors,
// because they mean that the connection has already ended.
func closeWrite(socket net.Conn) {
	if writeCloser, ok := socket.(interface{ CloseWrite() error }); ok {
		_ = writeCloser.CloseWrite()
	}
}
