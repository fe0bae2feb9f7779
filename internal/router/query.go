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
	"magpiebank/internal/traffic/capture"
)

// handleQuery hands a statement in as a request and returns once it has its final answer.
func (s *clientSession) handleQuery(sql []byte) {
	parsed, err := mysql.ReadRequest(sql)
	class := slices.Index(s.owner.network.Classes, string(parsed.Class))
	if err == nil {
		err = validateRequest(&parsed, class, s.owner.network, s.owner.deployment)
	}
	if err != nil {
		s.rejectCommand(mysql.ErrParse, err.Error())
		return
	}
	if !s.mayRequest(&parsed) {
		return
	}
	copy(s.lastRequestID[:], parsed.ID)
	s.protocolErrors = 0
	request := s.newRequest(&parsed, class)
	wait := time.Duration(parsed.WaitMS) * time.Millisecond
	s.answerDeadline = time.Now().Add(wait + clientCloseDelay)
	s.awaitingAnswer, s.unanswered = true, false
	if s.statementReader != nil {
		s.statementReader.ReadStatement(request.statement, class, request.tableGroup)
	}
	s.owner.capture.RecordQuery(capture.Query{Class: request.className, Group: request.tableGroup, WaitMS: parsed.WaitMS, SQL: sql, Statement: request.statement})
	s.owner.post(requestReceived{session: s, request: request, wait: admission.Time(wait / timeUnit)})
	s.awaitAnswer(request)
	for _, attempt := range s.attempts {
		attempt.release()
	}
	clear(s.attempts) // an idle session keeps no results
	s.attempts = s.attempts[:0]
}

// mayRequest tells whether a query may become a request now. Otherwise it ends the session with an answer.
func (s *clientSession) mayRequest(parsed *mysql.Request) bool {
	switch {
	case s.owner.clients.isShuttingDown():
		s.endReason, s.dismissed = "stopped", true
		s.writeRejection(0)
	case s.hasPipelinedInput():
		s.dismiss("pipelined", mysql.ErrParse, "a command before the answer to the last")
	case string(parsed.ID) == string(s.lastRequestID[:]):
		s.dismiss("repeated", mysql.ErrParse, "the id was used before")
	default:
		return true
	}
	return false
}

// awaitAnswer handles events until the request in hand has its final answer. Meanwhile it reads ahead, so that it notices
// when the client leaves, also behind commands that came early. The request of a client that left is withdrawn.
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
		s.owner.post(clientLeft{request})
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

// validateRequest returns an error if a request doesn't fit the deployment. class is the index of its class, negative if the
// deployment has no such class.
func validateRequest(r *mysql.Request, class int, network *config.Network, deployment *admission.Deployment) error {
	switch {
	case class < 0:
		return mysql.ErrClass
	case network.LongestWaits[class] > 0 && r.WaitMS > 2*network.LongestWaits[class].Milliseconds():
		return mysql.ErrWait
	case len(r.Tenant) > 0 && !slices.Contains(network.Tenants, string(r.Tenant)):
		return mysql.ErrTenant
	case len(r.IdempotencyToken) > 0 && deployment.Classes[class].RepeatEffect != admission.Deduplicated:
		return mysql.ErrField
	}
	return nil
}

// newRequest returns the request of a query. Its statement and token lie in the session's buffer.
func (s *clientSession) newRequest(r *mysql.Request, class int) *request {
	return &request{
		id:               admission.RequestID(r.ID),
		responder:        s,
		class:            class,
		className:        s.owner.network.Classes[class],
		statement:        r.Statement,
		tableGroup:       mysql.TableGroup(r.Statement),
		tenant:           max(0, slices.Index(s.owner.network.Tenants, string(r.Tenant))),
		orderingKey:      string(r.Key),
		idempotencyToken: r.IdempotencyToken,
		statementReader:  s.statementReader,
		estimate:         s.owner.clientEstimate(r, class),
	}
}

// clientEstimate returns what a client says that its request will take, limited to what could be served at all, so that a
// wrong estimate doesn't spoil what is learned of the class: the longest wait on all threads of the class, and the memory
// of the largest engine.
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

// detectDeparture reads what the client has sent, and tells whether it has left, also behind commands that came early.
func (s *clientSession) detectDeparture() bool {
	if err := readAvailable(s.socket, s.input, maxReadAhead); err != nil {
		return false // the next read tells why
	}
	_, ended := peekSocket(s.socket)
	return ended
}

// hasPipelinedInput tells whether a command came before the answer to the one in hand. A client may quit, though.
func (s *clientSession) hasPipelinedInput() bool {
	next, _ := s.input.Peek(s.input.Buffered())
	quits := len(next) == mysql.HeaderSize+1 && next[mysql.HeaderSize] == mysql.Quit
	return len(next) > 0 && !quits
}

// usualHeadBytes is room for the packets before a result's rows.
const usualHeadBytes = 512

// writeResult writes a result.
func (s *clientSession) writeResult(pages [][]byte) {
	s.awaitingAnswer, s.rejections = false, 0
	head, number := mysql.AppendColumns(make([]byte, 0, usualHeadBytes), s.packetNumber+1)
	size := 0
	for _, page := range pages {
		size += len(page) + len(page)/2 // rows grow by half as packets, as a rule
	}
	rows := make([]byte, 0, size)
	for _, page := range pages {
		var err error
		rows, number, err = mysql.AppendRows(rows, number, page)
		if err != nil {
			s.writePackets(mysql.AppendError(nil, s.packetNumber+1, mysql.ErrInterrupted, "the engine's answer can't be read"))
			return
		}
	}
	s.writePackets(head, rows, mysql.AppendEOF(nil, number))
}

// writeDenial writes the final answer that an operator's rule has for a request.
func (s *clientSession) writeDenial(why string) {
	s.awaitingAnswer = false
	s.noteRejection()
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, mysql.ErrForbidden, why))
}

// writeRejection writes that a request was shed.
func (s *clientSession) writeRejection(retryAfterMS int64) {
	s.awaitingAnswer = false
	s.noteRejection()
	s.writePackets(mysql.AppendRejection(nil, s.packetNumber+1, retryAfterMS))
}

// writeFailure writes that a request failed and may have run.
func (s *clientSession) writeFailure() {
	s.awaitingAnswer = false
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, mysql.ErrInterrupted, "written off"))
}

// writeRefusal answers a query that never became a request.
func (s *clientSession) writeRefusal(why string) {
	s.awaitingAnswer = false
	s.rejectCommand(mysql.ErrParse, why)
}

// abandonRequest ends a request whose client stopped waiting. No answer is owed.
func (s *clientSession) abandonRequest() { s.awaitingAnswer, s.unanswered = false, true }
