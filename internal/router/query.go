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

// handleQuery submits a statement to the owner as a request, and returns once the request has its final answer.
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
	clear(s.attempts) // so that an idle session retains no results
	s.attempts = s.attempts[:0]
}

// mayRequest reports whether a query may be submitted as a request now. If not, it answers the query and ends the session.
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

// awaitAnswer handles events until the request has its final answer. Meanwhile it reads ahead from the client, so that it
// notices a disconnect even after commands that the client sent early. If the client disconnects or sends too much,
// awaitAnswer asks the owner to abandon the request.
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

// endFlooded dismisses a client that sent too much before its answer. It sends an error if the request was not answered.
func (s *clientSession) endFlooded() {
	if s.unanswered {
		s.writePackets(mysql.AppendError(nil, s.packetNumber+1, mysql.ErrInterrupted, "too much was sent before the answer"))
	}
	s.dismissed = true
}

// validateRequest returns an error if a request is invalid in this deployment. class is the index of the request's class, or
// negative if the deployment has no such class.
func validateRequest(r *mysql.Request, class int, network *config.Network, deployment *admission.Deployment) error {
	switch {
	case class < 0:
		return mysql.ErrClass
	case network.LongestWaits[class] > 0 && r.WaitMS > 2*network.LongestWaits[class].Milliseconds():
		return mysql.ErrWait
	case len(r.Tenant) > 0 && !slices.Contains(network.Tenants, string(r.Tenant)):
		return mysql.ErrTenant
	case len(r.IdempotencyToken) > 0 && deployment.Classes[class].RepeatEffect != admission.Deduplicated:
		return mysql.ErrUnexpectedField
	}
	return nil
}

// newRequest returns a request for a parsed query. The request's statement and idempotency token point into the session's
// payload buffer.
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

// clientEstimate returns the client's own estimate of the work and memory that its request needs. It limits the estimate to
// the most that could be served at all, so that a wrong one doesn't distort what is learned about the class: for work, the
// longest wait of the class times the threads that its requests use; for memory, the size of the largest engine.
func (o *owner) clientEstimate(r *mysql.Request, class int) admission.Estimate {
	work, memory := r.WorkMS, r.MemoryMB
	if longestWait := o.network.LongestWaits[class]; longestWait > 0 {
		work = min(work, float64(longestWait.Milliseconds())*float64(o.deployment.Classes[class].Threads))
	}
	if memorySizes := o.deployment.MemoryByKind; len(memorySizes) > 0 {
		memory = min(memory, slices.Max(memorySizes))
	}
	return admission.Estimate{Work: admission.Time(work * float64(admission.Millisecond)), Memory: memory}
}

// detectDeparture reads the input that has already arrived, and reports whether the client has disconnected. It detects a
// disconnect even after commands that the client sent early.
func (s *clientSession) detectDeparture() bool {
	if err := readAvailable(s.socket, s.input, maxReadAhead); err != nil {
		return false // the session's next read returns the error
	}
	_, ended := peekSocket(s.socket)
	return ended
}

// hasPipelinedInput reports whether the client sent another command before the answer to the current one. A single quit
// command is allowed and doesn't count.
func (s *clientSession) hasPipelinedInput() bool {
	buffered, _ := s.input.Peek(s.input.Buffered())
	quits := len(buffered) == mysql.HeaderSize+1 && buffered[mysql.HeaderSize] == mysql.Quit
	return len(buffered) > 0 && !quits
}

// usualHeadBytes is the initial buffer capacity for the packets before a result's rows.
const usualHeadBytes = 512

// writeResult writes a result to the client, or an error if the engine's rows are malformed.
func (s *clientSession) writeResult(pages [][]byte) {
	s.awaitingAnswer, s.rejections = false, 0
	head, number := mysql.AppendColumns(make([]byte, 0, usualHeadBytes), s.packetNumber+1)
	size := 0
	for _, page := range pages {
		size += len(page) + len(page)/2 // encoding rows as packets usually makes them half as long again
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

// writeDenial writes that a request is denied, and why. See requestDenied.
func (s *clientSession) writeDenial(reason string) {
	s.awaitingAnswer = false
	s.noteRejection()
	s.writePackets(mysql.AppendError(nil, s.packetNumber+1, mysql.ErrForbidden, reason))
}

// writeRejection writes that a request is rejected. The client may retry after retryAfterMS; 0 states no time.
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

// writeInvalid writes that a query is not a valid request, and why. See requestInvalid.
func (s *clientSession) writeInvalid(reason string) {
	s.awaitingAnswer = false
	s.rejectCommand(mysql.ErrParse, reason)
}

// abandonRequest ends a request whose client no longer waits. Nothing is written.
func (s *clientSession) abandonRequest() { s.awaitingAnswer, s.unanswered = false, true }
