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
	frameHello     = 'h'     // worker: its number and what it knows
	frameLoad      = 'l'     // coordinator: what is to be sent
	frameGrant     = 'g'     // coordinator: the lease
	frameLosses    = 'x'     // coordinator: the list of losses
	frameTakeovers = 't'     // worker: from when on it sends what losses bring it
	frameHeartbeat = 'b'     // worker: heartbeat
	frameReports   = 'r'     // worker: outcomes, packed
	frameEnd       = 'e'     // coordinator: the run is over
	maxFrameSize   = 1 << 24 // bytes
)

type hello struct {
	Run    string        `json:"run"`
	Worker int           `json:"worker"`
	Losses []Loss        `json:"losses"`
	Until  time.Duration `json:"until_ns"` // end of its lease
}

type heartbeat struct {
	Horizon time.Duration `json:"horizon_ns"`
	Done    bool          `json:"done"`
	Open    int64         `json:"open"`
}

// loadMessage tells a worker what to send; Received is how many of its reports the coordinator has.
type loadMessage struct {
	Run
	Received int64 `json:"got"`
}

const (
	// outgoingFrames is how many frames a connection queues. A worker that reads none of so many has stalled for longer
	// than a lease.
	outgoingFrames = 256
	readBufferSize = 1 << 16 // bytes
	headerSize     = 5       // bytes
)

// connection is one end of a connection between coordinator and worker; writers take turns.
type connection struct {
	tcp      net.Conn
	reader   *bufio.Reader
	mu       sync.Mutex // of writing
	outgoing chan frame // to writeQueued
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

// write sends a frame; it fails where the other side reads nothing for a lease's length.
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
		return 0, nil, fmt.Errorf("a frame of %d bytes", length)
	}
	payload = make([]byte, length)
	_, err = io.ReadFull(c.reader, payload)
	return header[0], payload, err
}

// The layout of a packed report: numbers of eight bytes, little-endian, and single bytes.
const (
	reportNumbers     = 7
	outcomeOffset     = 8 * reportNumbers
	classOffset       = outcomeOffset + 1
	misbehavingOffset = outcomeOffset + 2
	reportSize        = outcomeOffset + 4
	skipped           = 0xff // in place of an outcome: the worker did not send the request, as its lease had ended
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
	return packReport(dst, &client.Report{Request: request, Outcome: skipped})
}

func unpackReport(packed []byte, report *client.Report, request *arrival.Request) {
	number := func(index int) int64 { return int64(binary.LittleEndian.Uint64(packed[8*index:])) }
	*request = arrival.Request{Number: uint64(number(0)), At: time.Duration(number(1)), Class: int(packed[classOffset])}
	*report = client.Report{Request: request, FinishedAt: time.Duration(number(2)), SentAt: time.Duration(number(3)),
		GeneratorDelay: time.Duration(number(4)), QueueDelay: time.Duration(number(5)), Attempts: int(number(6)),
		Outcome: client.Outcome(packed[outcomeOffset]), Misbehaving: packed[misbehavingOffset] == 1}
}
