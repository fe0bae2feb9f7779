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

// A frame on the wire between coordinator and worker consists of its kind (one byte), the length of its payload (32 bits,
// little-endian), and the payload. The payload is JSON, except that reports are packed. The comments name the sender.
const (
	frameHello     = 'h'     // worker: a hello message
	frameLoad      = 'l'     // coordinator: the run, as a loadMessage
	frameGrant     = 'g'     // coordinator: the end of the worker's lease
	frameLosses    = 'x'     // coordinator: the complete list of losses
	frameTakeovers = 't'     // worker: by index of the loss, the time from which it sends the requests that it inherited
	frameHeartbeat = 'b'     // worker: a heartbeat message
	frameReports   = 'r'     // worker: packed reports
	frameEnd       = 'e'     // coordinator: the run is over
	maxFrameSize   = 1 << 24 // bytes
)

// hello is the first message of a worker on a connection.
type hello struct {
	Run    string        `json:"run"` // id of the run; empty at the first connection
	Worker int           `json:"worker"`
	Losses []Loss        `json:"losses"`   // list of losses that the worker applies
	Until  time.Duration `json:"until_ns"` // end of the worker's lease
}

// heartbeat is the periodic message of a worker.
type heartbeat struct {
	Horizon time.Duration `json:"horizon_ns"` // the worker has handed out its schedule up to this time
	Done    bool          `json:"done"`       // all requests of the worker have ended
	Open    int64         `json:"open"`       // number of open sessions
}

// loadMessage is the coordinator's answer to hello. Received is the number of the worker's reports that the coordinator has.
type loadMessage struct {
	Run
	Received int64 `json:"got"`
}

const (
	// outgoingFrames is the number of frames that a connection queues. A worker that has left this many frames unread has
	// stalled for longer than a lease.
	outgoingFrames = 256
	readBufferSize = 1 << 16 // bytes
	headerSize     = 5       // bytes
)

// connection is one end of a connection between coordinator and worker.
type connection struct {
	tcp      net.Conn
	reader   *bufio.Reader
	mu       sync.Mutex // serializes writes
	outgoing chan frame // read by writeQueued
}

type frame struct {
	kind    byte
	payload []byte
}

func newConnection(tcp net.Conn) *connection {
	return &connection{tcp: tcp, reader: bufio.NewReaderSize(tcp, readBufferSize), outgoing: make(chan frame, outgoingFrames)}
}

// writeQueued sends the queued frames until the queue is closed.
func (c *connection) writeQueued() {
	for queued := range c.outgoing {
		if c.write(queued.kind, queued.payload) != nil {
			c.tcp.Close()
		}
	}
}

// write sends a frame. It fails if the frame can't be written within LeasePeriod, because the other side doesn't read.
func (c *connection) write(kind byte, payload []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	header := binary.LittleEndian.AppendUint32([]byte{kind}, uint32(len(payload)))
	c.tcp.SetWriteDeadline(time.Now().Add(LeasePeriod))
	buffers := net.Buffers{header, payload}
	_, err := buffers.WriteTo(c.tcp)
	return err
}

func (c *connection) writeJSON(kind byte, message any) error {
	payload, err := json.Marshal(message)
	if err != nil {
		return err
	}
	return c.write(kind, payload)
}

func (c *connection) read() (kind byte, payload []byte, err error) {
	var header [headerSize]byte
	_, err = io.ReadFull(c.reader, header[:])
	if err != nil {
		return 0, nil, err
	}
	length := binary.LittleEndian.Uint32(header[1:])
	if length > maxFrameSize {
		return 0, nil, fmt.Errorf("a frame of %d bytes is too long", length)
	}
	payload = make([]byte, length)
	_, err = io.ReadFull(c.reader, payload)
	return header[0], payload, err
}

// The layout of a packed report: reportNumbers little-endian numbers of eight bytes each, then the outcome, the class, the
// misbehaving flag and a zero byte.
const (
	reportNumbers     = 7
	outcomeOffset     = 8 * reportNumbers
	classOffset       = outcomeOffset + 1
	misbehavingOffset = outcomeOffset + 2
	reportSize        = outcomeOffset + 4
	outcomeSkipped    = 0xff // in place of an outcome: the worker did not send the request, because its lease was over
)

func packReport(dst []byte, report *client.Report) []byte {
	for _, number := range [reportNumbers]int64{int64(report.Request.Number), int64(report.Request.At), int64(report.FinishedAt),
		int64(report.SentAt), int64(report.GeneratorDelay), int64(report.QueueDelay), int64(report.Attempts)} {
		dst = binary.LittleEndian.AppendUint64(dst, uint64(number))
	}
	misbehaving := byte(0)
	if report.Misbehaving {
		misbehaving = 1
	}
	return append(dst, byte(report.Outcome), byte(report.Request.Class), misbehaving, 0)
}

func packSkipped(dst []byte, request *arrival.Request) []byte {
	return packReport(dst, &client.Report{Request: request, Outcome: outcomeSkipped})
}

func unpackReport(packed []byte, report *client.Report, request *arrival.Request) {
	number := func(index int) int64 { return int64(binary.LittleEndian.Uint64(packed[8*index:])) }
	*request = arrival.Request{Number: uint64(number(0)), At: time.Duration(number(1)), Class: int(packed[classOffset])}
	*report = client.Report{Request: request, FinishedAt: time.Duration(number(2)), SentAt: time.Duration(number(3)),
		GeneratorDelay: time.Duration(number(4)), QueueDelay: time.Duration(number(5)), Attempts: int(number(6)),
		Outcome: client.Outcome(packed[outcomeOffset]), Misbehaving: packed[misbehavingOffset] == 1}
}
