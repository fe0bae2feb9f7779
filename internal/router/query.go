package router

import (
	"bufio"
	"errors"
	"os"
	"slices"
	"time"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
	"magpiebank/internal/protocol/mysql"
)

// query queues a statement as a request and sees it through.
func (s *clientSession) handleQuery(sql []byte) {
	parsed, err := mysql.ReadRequest(sql)
	class := slices.Index(s.owner.network.Classes, string(parsed.Class))
	if err == nil {
		err = checkRequest(&parsed, class, s.owner.network, s.owner.deployment)
	}
	if err != nil {
		s.rejectCommand(mysql.ErrParse, err.Error())
		return
	}
	if s.owner.clients.isShuttingDown() {
		s.endReason, s.dismissed = "stopped", true
		s.writeRejection(0)
		return
	}
	if s.hasPipelinedInput() {
		s.dismiss("pipelined", mysql.ErrParse, "a command before the answer to the last")
		return
	}
	if string(parsed.ID) == string(s.lastRequestID[:]) {
		s.dismiss("repeated", mysql.ErrParse, "the id was used before")
		return
	}
	copy(s.lastRequestID[:], parsed.ID)
	s.protocolErrors = 0
	request := s.newRequest(&parsed, class)
	wait := time.Duration(parsed.WaitMS) * time.Millisecond
	s.answerDeadline = time.Now().Add(wait + clientCloseDelay)
	s.awaitingAnswer, s.unanswered = true, false
	if s.statementReader != nil {
		s.statementReader.ReadStatement(request.statement, class, request.tables)
	}
	s.owner.capture.RecordQuery(request.className, request.tables, parsed.WaitMS, sql, request.statement)
	s.owner.post(requestReceived{session: s, request: request, wait: admission.Time(wait / timeUnit)})
	s.awaitAnswer(request)
	for _, attempt := range s.attempts {
		attempt.release()
	}
	clear(s.attempts) // an idle session keeps no results
	s.attempts = s.attempts[:0]
}

// await makes the calls of the mailbox until the request in hand has its answer. Meanwhile it reads ahead, so that it sees a
// client leave, also behind commands that came early; the request of one who left is withdrawn, wherever it waits.
func (s *clientSession) awaitAnswer(request *request) {
	for watching := true; s.awaitingAnswer; s.events.run() {
		if !watching {
			s.events.wait()
			continue
		}
		if !s.events.beginInterruptibleRead(s.socket) {
			continue
		}
		_, err := s.input.Peek(s.input.Buffered() + 1)
		s.events.endInterruptibleRead()
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			s.endReason = "flooded"
		default:
			s.endReason = endCode(err)
		}
		watching = false
		s.owner.post(clientClosed{request})
	}
	if s.endReason == "flooded" {
		s.endFlooded()
	}
}

// endFlooded ends a session whose client sends without waiting for answers, with an error if its request had no answer yet.
func (s *clientSession) endFlooded() {
	if s.unanswered {
		s.writePackets(mysql.AppendError(nil, s.packetNumber+1, mysql.ErrInterrupted, "too much was sent before the answer"))
	}
	s.dismissed = true
}

// checkRequest tells what of a request doesn't fit the deployment's settings: its class has the given number, below 0 where it
// is none of theirs.
func checkRequest(r *mysql.Request, class int, n *config.Network, site *admission.Deployment) error {
	switch {
	case class < 0:
		return mysql.ErrClass
	case n.LongestWaits[class] > 0 && r.WaitMS > 2*n.LongestWaits[class].Milliseconds():
		return mysql.ErrWait
	case len(r.Tenant) > 0 && !slices.Contains(n.Tenants, string(r.Tenant)):
		return mysql.ErrTenant
	case len(r.IdempotencyToken) > 0 && site.Classes[class].Effect != admission.Deduplicated:
		return mysql.ErrField
	}
	return nil
}

// newRequest makes a request of a request; its statement and token lie in the session's buffer.
func (s *clientSession) newRequest(r *mysql.Request, class int) *request {
	return &request{id: admission.RequestID(r.ID), responder: s, class: class, className: s.owner.network.Classes[class], statement: r.Statement,
		tables: mysql.TableGroup(r.Statement), tenant: max(0, slices.Index(s.owner.network.Tenants, string(r.Tenant))),
		key: string(r.Key), idempotencyToken: r.IdempotencyToken, statementReader: s.statementReader, estimate: s.owner.clientEstimate(r, class)}
}

// estimate is what a client says that its request will take, within what could be served at all: a wrong one must not
// spoil what is learned of the class. Work has the longest wait on all its threads, memory the largest machine's.
func (o *owner) clientEstimate(r *mysql.Request, class int) admission.Estimate {
	work, memory := r.WorkMS, r.MemoryMB
	if longest := o.network.LongestWaits[class]; longest > 0 {
		work = min(work, float64(longest.Milliseconds())*float64(o.deployment.Classes[class].Threads))
	}
	if sizes := o.deployment.MemoryByKind; len(sizes) > 0 {
		memory = min(memory, slices.Max(sizes))
	}
	return admission.Estimate{Work: admission.Time(work * float64(admission.Millisecond)), Memory: memory}
}

// departed tells whether the client has left already, also behind commands that came early.
func (s *clientSession) clientHasLeft() bool {
	if err := readArrived(s.socket, s.input, maxReadAhead); err != nil {
		return false // the next read tells why
	}
	_, ended := peekSocket(s.socket)
	return ended
}

// ahead tells of commands that came before the answer to the one in hand; that the client leaves then is fine.
func (s *clientSession) hasPipelinedInput() bool {
	next, _ := s.input.Peek(s.input.Buffered())
	return len(next) > 0 && !(len(next) == mysql.HeaderSize+1 && next[mysql.HeaderSize] == mysql.Quit)
}

// deliver writes a result.
func (s *clientSession) writeResult(pages [][]byte) {
	s.awaitingAnswer, s.rejections = false, 0
	head, number := mysql.AppendColumns(make([]byte, 0, 512), s.packetNumber+1)
	size := 0
	for _, page := range pages {
		size += len(page) + len(page)/2
	}
	rows, err := make([]byte, 0, size), error(nil)
	for _, page := range pages {
		if rows, number, err = mysql.AppendRows(rows, number, page); err != nil {
			s.writePackets(mysql.AppendError(nil, s.packetNumber+1, mysql.ErrInterrupted, "the engine's answer can't be read"))
			return
		}
	}
	s.writePackets(head, rows, mysql.AppendEOF(nil, number))
}

// deny gives a request the final answer that an operator's rule has for it.
func (s *clientSession) writeDenial(why string) {
	s.awaitingAnswer = false
	s.noteRejection()
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, mysql.ErrForbidden, why))
}

func (s *clientSession) writeRejection(retryAfterMS int64) {
	s.awaitingAnswer = false
	s.noteRejection()
	s.writePackets(mysql.AppendRejection(nil, s.packetNumber+1, retryAfterMS))
}

func (s *clientSession) writeFailure() {
	s.awaitingAnswer = false
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, mysql.ErrInterrupted, "written off"))
}

// refuse answers a query that never became a request.
func (s *clientSession) writeRefusal(why string) {
	s.awaitingAnswer = false
	s.rejectCommand(mysql.ErrParse, why)
}

// leave ends a request whose client stopped waiting; no answer is owed.
func (s *clientSession) abandonRequest() { s.awaitingAnswer, s.unanswered = false, true }
