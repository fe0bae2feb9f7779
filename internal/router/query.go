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
func (s *session) query(sql []byte) {
	request, err := mysql.ReadRequest(sql)
	class := slices.Index(s.o.network.Classes, string(request.Class))
	if err == nil {
		err = checkRequest(&request, class, s.o.network, s.o.site)
	}
	if err != nil {
		s.amiss(mysql.ErrParse, err.Error())
		return
	}
	if s.o.clients.shutting() {
		s.code, s.dismissed = "stopped", true
		s.reject(0)
		return
	}
	if s.ahead() {
		s.dismiss("pipelined", mysql.ErrParse, "a command before the answer to the last")
		return
	}
	if string(request.ID) == string(s.lastID[:]) {
		s.dismiss("repeated", mysql.ErrParse, "the id was used before")
		return
	}
	copy(s.lastID[:], request.ID)
	s.odd = 0
	t := s.newRequest(&request, class)
	wait := time.Duration(request.WaitMS) * time.Millisecond
	s.answerBy = time.Now().Add(wait + afterCutoff)
	s.waiting, s.unanswered = true, false
	if s.reader != nil {
		s.reader.ReadStatement(t.statement, class, t.tables)
	}
	s.o.tape.RecordQuery(t.className, t.tables, request.WaitMS, sql, t.statement)
	s.o.tell(func(now admission.Time) {
		t.deadline = now + admission.Time(wait/tenth)
		s.taken = t
		s.o.arrived(now, t)
	})
	s.await(t)
	for _, h := range s.made {
		h.forget()
	}
	clear(s.made) // an idle session keeps no results
	s.made = s.made[:0]
}

// await makes the calls of the mailbox until the request in hand has its answer. Meanwhile it reads ahead, so that it sees a
// client leave, also behind commands that came early; the request of one who left is withdrawn, wherever it waits.
func (s *session) await(t *request) {
	for watching := true; s.waiting; s.mail.run() {
		if !watching {
			s.mail.wait()
			continue
		}
		if !s.mail.interrupt(s.tcp) {
			continue
		}
		_, err := s.r.Peek(s.r.Buffered() + 1)
		s.mail.resume()
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			s.code = "flooded"
		default:
			s.code = endCode(err)
		}
		watching = false
		s.o.tell(func(now admission.Time) { s.o.left(now, t) })
	}
	if s.code == "flooded" {
		s.endFlooded()
	}
}

// endFlooded ends a session whose client sends without waiting for answers, with an error if its request had no answer yet.
func (s *session) endFlooded() {
	if s.unanswered {
		s.write(mysql.AppendError(nil, s.number+1, mysql.ErrInterrupted, "too much was sent before the answer"))
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
func (s *session) newRequest(r *mysql.Request, class int) *request {
	return &request{id: admission.RequestID(r.ID), by: s, class: class, className: s.o.network.Classes[class], statement: r.Statement,
		tables: mysql.TableGroup(r.Statement), tenant: max(0, slices.Index(s.o.network.Tenants, string(r.Tenant))),
		key: string(r.Key), token: r.IdempotencyToken, reader: s.reader, foreseen: s.o.estimate(r, class)}
}

// estimate is what a client says that its request will take, within what could be served at all: a wrong one must not
// spoil what is learned of the class. Work has the longest wait on all its threads, memory the largest machine's.
func (o *owner) estimate(r *mysql.Request, class int) admission.Estimate {
	work, memory := r.WorkMS, r.MemoryMB
	if longest := o.network.LongestWaits[class]; longest > 0 {
		work = min(work, float64(longest.Milliseconds())*float64(o.site.Classes[class].Threads))
	}
	if sizes := o.site.MemoryByKind; len(sizes) > 0 {
		memory = min(memory, slices.Max(sizes))
	}
	return admission.Estimate{Work: admission.Time(work * float64(admission.Millisecond)), Memory: memory}
}

// departed tells whether the client has left already, also behind commands that came early.
func (s *session) departed() bool {
	if err := readArrived(s.tcp, s.r, mostAhead); err != nil {
		return false // the next read tells why
	}
	_, ended := look(s.tcp)
	return ended
}

// ahead tells of commands that came before the answer to the one in hand; that the client leaves then is fine.
func (s *session) ahead() bool {
	next, _ := s.r.Peek(s.r.Buffered())
	return len(next) > 0 && !(len(next) == mysql.HeaderSize+1 && next[mysql.HeaderSize] == mysql.Quit)
}

// What the owner tells it; the calls that write are made by the session's goroutine.

func (s *session) do(call func()) { s.mail.Put(call) }

func (s *session) carry(h *attempt, to engineClient) {
	first := !h.again
	s.mail.Put(func() {
		if s.departed() { // while this process stood still, say, so that the read has not told yet
			s.o.tell(func(now admission.Time) { s.o.left(now, h.of) })
			return
		}
		if first {
			s.made = append(s.made, h)
		}
		to.send(h)
	})
}

func (s *session) gone() bool {
	_, ended := look(s.tcp)
	return ended
}

// over has a call be the last of a request.
func (s *session) over(call func()) {
	s.taken = nil
	s.mail.Put(call)
}

func (s *session) served(h *attempt) {
	s.over(func() {
		s.deliver(h.pages)
		if s.reader != nil && h.to != nil { // not an answer of before
			s.reader.RecordCost(h.work, h.needs)
		}
	})
}

func (s *session) rejected(retryAfter admission.Time) {
	s.over(func() { s.reject(int64(retryAfter / admission.Millisecond)) })
}
func (s *session) failed()            { s.over(s.fail) }
func (s *session) denied(why string)  { s.over(func() { s.deny(why) }) }
func (s *session) refused(why string) { s.over(func() { s.refuse(why) }) }
func (s *session) left()              { s.over(s.leave) }

// deliver writes a result.
func (s *session) deliver(pages [][]byte) {
	s.waiting, s.turns = false, 0
	head, number := mysql.AppendColumns(make([]byte, 0, 512), s.number+1)
	size := 0
	for _, page := range pages {
		size += len(page) + len(page)/2
	}
	rows, err := make([]byte, 0, size), error(nil)
	for _, page := range pages {
		if rows, number, err = mysql.AppendRows(rows, number, page); err != nil {
			s.write(mysql.AppendError(nil, s.number+1, mysql.ErrInterrupted, "the engine's answer can't be read"))
			return
		}
	}
	s.write(head, rows, mysql.AppendEOF(nil, number))
}

// deny gives a request the final answer that an operator's rule has for it.
func (s *session) deny(why string) {
	s.waiting = false
	s.turnAway()
	s.write(mysql.AppendError(nil, s.number+1, mysql.ErrForbidden, why))
}

func (s *session) reject(retryAfterMS int64) {
	s.waiting = false
	s.turnAway()
	s.write(mysql.AppendRejection(nil, s.number+1, retryAfterMS))
}

func (s *session) fail() {
	s.waiting = false
	s.write(mysql.AppendError(nil, s.number+1, mysql.ErrInterrupted, "written off"))
}

// refuse answers a query that never became a request.
func (s *session) refuse(why string) {
	s.waiting = false
	s.amiss(mysql.ErrParse, why)
}

// leave ends a request whose client stopped waiting; no answer is owed.
func (s *session) leave() { s.waiting, s.unanswered = false, true }
