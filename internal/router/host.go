package router

import (
	"magpiebank/internal/admission"
	"magpiebank/internal/storage/requestjournal"
)

// host is what the module's decisions act on.
type host struct{ o *owner }

func (a host) SendAttempt(id admission.RequestID, name admission.EngineID, timeout, sendBy admission.Time) {
	t, e := a.o.requests[id], a.o.engines[name]
	h := &attempt{of: t, to: e, engine: name, request: id, n: t.tries, class: t.className, statement: t.statement, token: t.token, timeout: timeout, sendBy: sendBy,
		memory: t.memory, rank: t.rank, report: admission.NoReport}
	t.tries++
	t.out = h
	h.stop = a.o.clock.After(timeout, func() {
		a.o.tellEnded(h, admission.TimedOut)
	})
	a.o.sent(h)
	if a.o.peers != nil {
		a.o.peers.RecordAttempt(a.o.now, id, name)
		a.o.moved(t, Placement{Present: true, Engine: name})
	}
	if e == nil { // the list took it away within one event
		a.o.tellEnded(h, admission.Unreachable)
		return
	}
	a.o.going(h, name)
}

func (a host) CancelAttempt(id admission.RequestID, n int) {
	if t := a.o.requests[id]; t != nil && t.out != nil && t.out.n == n {
		a.o.tellEnded(t.out, admission.Cancelled)
	}
}

func (a host) RejectRequest(id admission.RequestID, comeBack admission.Time) {
	t := a.o.requests[id]
	a.o.answer(a.o.now, t, requestjournal.Rejected, nil, func() { t.by.rejected(comeBack) })
}

func (a host) FailRequest(id admission.RequestID) {
	t := a.o.requests[id]
	a.o.answer(a.o.now, t, requestjournal.Failed, nil, t.by.failed)
}

func (a host) SetAttemptTerms(id admission.RequestID, memory float64, rank int) {
	t := a.o.requests[id]
	t.memory, t.rank = memory, rank
	if h := t.out; h != nil && !h.carried {
		h.rank = rank
	} else if h != nil {
		t.by.do(func() { h.bump(rank) })
	}
}

func (a host) ProbeEngine(name admission.EngineID) {
	e := a.o.engines[name]
	if e == nil {
		a.o.tell(func(now admission.Time) {
			a.o.module.HandleProbeResult(now, name, admission.Unreachable, admission.NoReport)
		})
		return
	}
	e.probe()
}

// HasColdCapacity asks the peers.
func (a host) HasColdCapacity(name admission.EngineID, part float64) (room, shared bool) {
	if a.o.peers == nil {
		return false, false
	}
	return a.o.peers.TryReserveSlowStart(a.o.now, name, part)
}

// SubscribeEndpoints has nothing to do: the engine list is followed from the start.
func (a host) SubscribeEndpoints() {}

// ReportObservation has nobody to tell where there are no peers.
func (a host) ReportObservation(name admission.EngineID, saw admission.Observation, report admission.Report, room float64) {
	if a.o.peers != nil {
		a.o.peers.RecordObservation(a.o.now, name, saw, report, room)
	}
}

func (a host) ScheduleTick(at admission.Time) {
	a.o.clock.After(at-a.o.clock.Now(), func() {
		a.o.tell(func(now admission.Time) { // the first is asked for before the module is there
			if a.o.desk != nil {
				a.o.desk.Tick(now)
			}
			if a.o.keep != nil {
				a.o.keep.due(now, a.o.module)
			}
			if a.o.peers != nil {
				a.o.peers.Tick(now)
			}
			a.o.module.Tick(now)
		})
	})
}

func (a host) LogEvent(text string) { a.o.log.Info(text) }
