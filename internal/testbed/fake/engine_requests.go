package fake

import (
	"fmt"
	"strconv"
	"time"

	"magpiebank/internal/protocol/resp"
	"magpiebank/internal/testbed/load/timerwheel"
)

// handleMessage executes a message. While the engine is paused, it defers the message until Resume. Messages of connections that
// were removed and unknown messages are ignored.
func (e *Engine) handleMessage(m message) {
	if e.clock.paused {
		e.deferred = append(e.deferred, m)
		return
	}
	if !e.conns[m.conn] {
		return
	}
	key := requestKey{m.conn, m.element(1)}
	switch m.elements[0] {
	case "ping", "top":
		e.answer(m.conn, key.id, "well", "gauges="+e.gauges(), "")
	case "do":
		if len(m.elements) == 4 {
			e.admit(key, m.elements[2], m.elements[3])
		}
	case "undo", "forget":
		if request := e.requests[key]; request != nil {
			e.abandon(request)
			e.startQueued()
		}
	case "page":
		e.sendPage(key, m.element(2))
	}
}

// element returns an element of a message, or "" if the message has fewer elements.
func (m *message) element(i int) string {
	if i < len(m.elements) {
		return m.elements[i]
	}
	return ""
}

// sendPage answers with a page of a result, or with "failed" if the request has no such page. Page 0 was sent with the result. The
// request is removed when as many pages were sent as the result has.
func (e *Engine) sendPage(key requestKey, number string) {
	request := e.requests[key]
	page, err := strconv.Atoi(number)
	if request == nil || !request.isDone || err != nil || page < 1 || page >= len(request.pages) {
		e.answer(key.conn, key.id, "failed", "-", "")
		return
	}
	if page == len(request.pages)-1 {
		e.Log.recordAnswer(key.id, "data", time.Now())
	}
	e.answer(key.conn, key.id, "page", "page="+strconv.Itoa(page), string(request.pages[page]))
	request.pagesSent++
	if request.pagesSent >= len(request.pages)-1 { // the first page was sent with the result
		delete(e.requests, key)
	}
}

// gauges returns the load report of the engine: its requests in flight and its utilization.
func (e *Engine) gauges() string {
	return fmt.Sprintf("inflight:%d;util:%.3f", e.held, min(1, float64(e.running)/max(1, e.behavior.Cores)))
}

// admit queues a request. It rejects a request with an id in use on the connection, and any request while the engine is full.
func (e *Engine) admit(key requestKey, fields, statement string) {
	switch {
	case e.requests[key] != nil:
		e.answer(key.conn, key.id, "failed", "-", "")
		return
	case e.behavior.MaxHeld > 0 && e.held >= e.behavior.MaxHeld:
		e.Log.recordAnswer(key.id, "full", time.Now())
		e.answer(key.conn, key.id, "full", "-", "")
		return
	}
	request := e.newRequest(key, string(resp.FindField([]byte(fields), "kind")), statement)
	e.Log.recordAccepted(e.Name, request.service)
	e.requests[key] = request
	e.held++
	e.mostHeld = max(e.mostHeld, e.held)
	e.queue = append(e.queue, request)
	e.startQueued()
}

func (e *Engine) newRequest(key requestKey, class, statement string) *request {
	work := findWork(e.behavior.Works, class, statement)
	r := &request{key: key, work: work, class: class, service: work.Service.draw(key.id)}
	if e.behavior.Planner == nil {
		return r
	}
	if service, memoryMB, ok := e.behavior.Planner.DrawCost(statement, key.id); ok {
		r.service, r.work.MemoryMB, r.statement = service, memoryMB, statement
	}
	return r
}

// currentSpeed returns the engine's speed as a fraction of full speed. It includes the warm-up, in which the speed grows linearly,
// and the speed set by SetSpeed.
func (e *Engine) currentSpeed() float64 {
	cold, warmUp := e.behavior.ColdSpeed, e.behavior.WarmUp
	if cold <= 0 || warmUp <= 0 {
		return e.faults.speed
	}
	return e.faults.speed * min(1, cold+(1-cold)*float64(e.clock.now()-e.clock.startedAt)/float64(warmUp))
}

// startQueued starts queued requests, oldest first, while there are free threads.
func (e *Engine) startQueued() {
	for e.running < e.behavior.Threads && len(e.queue) > 0 {
		request := e.queue[0]
		e.queue = e.queue[1:]
		if e.requests[request.key] == request { // else it was abandoned
			e.start(request)
		}
	}
}

func (e *Engine) start(r *request) {
	r.isRunning, r.beganAt = true, e.clock.now()
	e.Log.recordStart(r.key.id, r.class)
	e.running++
	speed := e.currentSpeed()
	e.memoryMB += r.work.MemoryMB
	if e.behavior.MemoryMB > 0 && e.memoryMB > e.behavior.MemoryMB {
		speed *= swapSpeed
		e.swapped++
	}
	r.endsAt = e.clock.now() + time.Duration(float64(r.service)/speed)
	r.timerID = e.timers.add(timerEntry{request: r})
	r.timer = e.wheel.Add(timerwheel.Tick(r.endsAt/engineTick), uint64(r.timerID))
	e.scheduleNotice(r)
}

// scheduleNotice sets the timer for the next progress notice of a request, unless the request ends before.
func (e *Engine) scheduleNotice(r *request) {
	interval := e.behavior.NoticeInterval
	if interval > 0 && e.clock.now()+interval < r.endsAt {
		id := e.timers.add(timerEntry{request: r, isNotice: true})
		e.wheel.Add(timerwheel.Tick((e.clock.now()+interval)/engineTick), uint64(id))
	}
}

// sendNotice sends the completed fraction of a running request and schedules the next notice.
func (e *Engine) sendNotice(r *request) {
	if !r.isRunning || e.requests[r.key] != r {
		return
	}
	done := float64(e.clock.now()-r.beganAt) / float64(max(1, r.endsAt-r.beganAt))
	e.answer(r.key.conn, r.key.id, "news", fmt.Sprintf("res=so_far,v=%.3f", min(1, done)), "")
	e.scheduleNotice(r)
}

// fireTimer handles a timer that is due: it sends a progress notice or completes a request.
func (e *Engine) fireTimer(id int) {
	entry := e.timers.remove(id)
	switch {
	case entry.request == nil:
	case entry.isNotice:
		e.sendNotice(entry.request)
	case e.requests[entry.request.key] == entry.request:
		e.complete(entry.request)
		e.startQueued()
	}
}

// complete ends a request that ran to its end, and answers it with its result or, by the injected faults, with an error or not at all.
func (e *Engine) complete(r *request) {
	e.running--
	e.held--
	e.memoryMB -= r.work.MemoryMB
	e.Log.recordStop(r.class)
	if r.statement != "" {
		e.behavior.Planner.RecordCompletion(r.statement)
	}
	r.isRunning, r.isDone = false, true
	key := r.key
	e.Log.recordCompletion(key.id)
	switch {
	case e.drawShare(e.faults.dropShare):
		delete(e.requests, key)
	case e.drawShare(e.faults.failShare) || e.drawShare(r.work.FailureShare):
		e.Log.recordAnswer(key.id, "failed", time.Now())
		e.answer(key.conn, key.id, "failed", "-", "")
		delete(e.requests, key)
	default:
		e.sendResult(r)
	}
}

// drawShare returns true with a probability of share. A share of 0 uses no random number, so a fault that is off doesn't change the
// draws for other faults.
func (e *Engine) drawShare(share float64) bool {
	return share > 0 && e.random.Float64() < share
}

// sendResult answers with the first page of a result, and keeps the request if the result has more pages.
func (e *Engine) sendResult(r *request) {
	r.pages = resultPages(r.key.id, r.work.Rows)
	e.Log.recordAnswer(r.key.id, "data", time.Now())
	cost := float64(r.service) / float64(time.Millisecond)
	e.answer(r.key.conn, r.key.id, "data", fmt.Sprintf("pages=%d,cost=%.1f,need=%.0f,gauges=%s", len(r.pages), cost, r.work.MemoryMB, e.gauges()), string(r.pages[0]))
	if len(r.pages) == 1 {
		delete(e.requests, r.key)
	}
}

// abandon removes a request that waits, runs or has unsent pages.
func (e *Engine) abandon(r *request) {
	delete(e.requests, r.key)
	if !r.isDone {
		e.held--
	}
	if r.isRunning {
		e.Log.recordStop(r.class)
		e.running--
		e.memoryMB -= r.work.MemoryMB
		e.wheel.Stop(r.timer)
		e.timers.remove(r.timerID)
	}
}

const (
	// pageBytes is the maximum size of a page. It leaves a margin of more than one row below the wire protocol's limit of 6,000 bytes.
	pageBytes   = 5900
	maxRowBytes = 64
)

// resultPages returns the pages of a result. Each row holds the id of the request, the row's number and the number of rows, and a
// constant text. A result has at least one row.
func resultPages(id string, rows int) (pages [][]byte) {
	rows = max(1, rows)
	var page []byte
	for row := 1; row <= rows; row++ {
		if len(page) > pageBytes-maxRowBytes {
			pages = append(pages, page)
			page = nil
		}
		page = fmt.Appendf(page, "%s\t%d/%d\tacta\n", id, row, rows)
	}
	return append(pages, page)
}
