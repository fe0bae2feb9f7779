package router

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"
)

// A deadline counts the time of this process, and a process can stand still: for want of a core, or with its whole machine. Go then
// ends a read or a write by its deadline without trying it. What the peer sent in time must not be taken for its silence.

// readArrived takes in what the system has got of a connection, without waiting, until n bytes are buffered. The read deadline has
// passed after it.
func readArrived(tcp net.Conn, r *bufio.Reader, n int) error {
	tcp.SetReadDeadline(time.Time{}) // no read waits: something is there
	defer tcp.SetReadDeadline(expiredDeadline)
	for r.Buffered() < n && hasInput(tcp) {
		if _, err := r.Peek(r.Buffered() + 1); err != nil {
			return err
		}
	}
	return nil
}

// writeBy writes buffers, and tells how many bytes of them the system took. Once the deadline has passed it tries for lastLook more.
func writeBy(tcp net.Conn, by time.Time, buffers net.Buffers) (written int64, err error) {
	tcp.SetWriteDeadline(by)
	written, err = buffers.WriteTo(tcp)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	tcp.SetWriteDeadline(time.Now().Add(finalReadWait))
	more, err := buffers.WriteTo(tcp)
	return written + more, err
}
