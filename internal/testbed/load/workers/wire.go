package workers

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"magpiebank/internal/testbed/load/arrival"
	"magpiebank/internal/testbed/load/client"
)

// A frame on the wire between coordinator and worker is a kind (one byte), the payload's length (u32, little-endian)
// and the payload: JSON, but for reports.
const (
	frameHello   = 'h' // worker: who it is and what it knows
	frameLoad    = 'l' // coordinator: what is to be sent
	frameGrant   = 'g' // coordinator: the lease
	frameLosses  = 'x' // coordinator: the list of losses
	frameTook    = 't' // worker: from when on it sends what losses brought it
	frameBeat    = 'b' // worker: how far it is
	frameReports = 'r' // worker: outcomes, packed
	frameEnd     = 'e' // coordinator: the run is over
	mostFrame    = 1 << 24
)

type hello struct {
	Run    string        `json:"run"`
	Worker int           `json:"worker"`
	Losses []Loss        `json:"losses"`
	Until  time.Duration `json:"until_ns"` // end of its lease
}

type beat struct {
	Horizon time.Duration `json:"horizon_ns"`
	Done    bool          `json:"done"`
	Open    int64         `json:"open"`
}

// link is one end of a connection; writers take turns.
type link struct {
	tcp net.Conn
	r   *bufio.Reader
	mu  sync.Mutex
	out chan frame // to the writer
}

type frame struct {
	kind    byte
	payload []byte
}

func newLink(tcp net.Conn) *link {
	return &link{tcp: tcp, r: bufio.NewReaderSize(tcp, 1<<16), out: make(chan frame, 256)}
}

// writer sends what is queued until the queue is closed.
func (l *link) writer() {
	for f := range l.out {
		if l.write(f.kind, f.payload) != nil {
			l.tcp.Close()
		}
	}
}

// write sends a frame; who takes nothing for a lease's length is gone.
func (l *link) write(kind byte, payload []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	head := binary.LittleEndian.AppendUint32([]byte{kind}, uint32(len(payload)))
	l.tcp.SetWriteDeadline(time.Now().Add(LeasePeriod))
	b := net.Buffers{head, payload}
	_, err := b.WriteTo(l.tcp)
	return err
}

func (l *link) writeJSON(kind byte, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return l.write(kind, b)
}

func (l *link) read() (kind byte, payload []byte, err error) {
	var head [5]byte
	if _, err := io.ReadFull(l.r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.LittleEndian.Uint32(head[1:])
	if n > mostFrame {
		return 0, nil, fmt.Errorf("a frame of %d bytes", n)
	}
	payload = make([]byte, n)
	_, err = io.ReadFull(l.r, payload)
	return head[0], payload, err
}

// reportSize is a packed report's: seven numbers of eight bytes and four single bytes.
const reportSize = 7*8 + 4

// skipped stands for an outcome where a worker did not send a request as its lease had ended.
const skipped = 0xff

func packReport(dst []byte, r *client.Report) []byte {
	for _, v := range [...]int64{int64(r.Request.Number), int64(r.Request.At), int64(r.FinishedAt), int64(r.SentAt), int64(r.GeneratorDelay), int64(r.QueueDelay),
		int64(r.Attempts)} {
		dst = binary.LittleEndian.AppendUint64(dst, uint64(v))
	}
	odd := byte(0)
	if r.Misbehaving {
		odd = 1
	}
	return append(dst, byte(r.Outcome), byte(r.Request.Class), odd, 0)
}

func packSkipped(dst []byte, t *arrival.Request) []byte {
	return packReport(dst, &client.Report{Request: t, Outcome: skipped})
}

func unpackReport(b []byte, r *client.Report, t *arrival.Request) {
	v := func(i int) int64 { return int64(binary.LittleEndian.Uint64(b[8*i:])) }
	*t = arrival.Request{Number: uint64(v(0)), At: time.Duration(v(1)), Class: int(b[57])}
	*r = client.Report{Request: t, FinishedAt: time.Duration(v(2)), SentAt: time.Duration(v(3)), GeneratorDelay: time.Duration(v(4)),
		QueueDelay: time.Duration(v(5)), Attempts: int(v(6)), Outcome: client.Outcome(b[56]), Misbehaving: b[58] == 1}
}
