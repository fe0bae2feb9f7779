package router

import (
	"magpiebank/internal/admission"
)

// host is what the module's decisions act on.
type host struct{ o *owner }

func (a host) HandOff(task admission.TaskID, name admission.EngineID, patience admission.Time) {
	s, e := a.o.tasks[task], a.o.engines[name]
	h := &handOff{session: s, task: task, n: s.tries, lane: s.lane, statement: s.statement,
		patience: patience, memory: s.memory, rank: s.rank}
	s.tries++
	s.out = h
	h.stop = a.o.clock.After(patience, func() {
		a.o.tellEnded(h, admission.TimedOut)
	})
	a.o.sent(h)
	if e == nil { // the list took it away within one event
		a.o.tellEnded(h, admission.Unreachable)
		return
	}
	s.mail.put(func() {
		s.made = append(s.made, h)
		e.send(h)
	})
}

func (a host) Cancel(task admission.TaskID, n int) {
	if s := a.o.tasks[task]; s != nil && s.out != nil && s.out.n == n {
		h := s.out
		a.o.tellEnded(h, admission.Cancelled)
	}
}

func (a host) Nack(task admission.TaskID, comeBack admission.Time) {
	s := a.o.tasks[task]
	a.o.answer(s, func() { s.nack(int64(comeBack / admission.Millisecond)) })
}

func (a host) WriteOff(task admission.TaskID) {
	s := a.o.tasks[task]
	a.o.answer(s, s.writeOff)
}

func (a host) Terms(task admission.TaskID, memory float64, rank int) {
	s := a.o.tasks[task]
	s.memory, s.rank = memory, rank
	if h := s.out; h != nil {
		s.mail.put(func() { h.bump(rank) })
	}
}

func (a host) Probe(name admission.EngineID) {
	e := a.o.engines[name]
	if e == nil {
		a.o.tell(func(now admission.Time) {
			a.o.module.Probed(now, name, admission.Unreachable, admission.NoReport)
		})
		return
	}
	select {
	case e.bell <- struct{}{}:
	default: // one is under way
	}
}

// Subscribe has nothing to do: the engine list is followed from the start.
func (a host) Subscribe() {}

func (a host) Wake(at admission.Time) {
	a.o.clock.After(at-a.o.clock.Now(), func() {
		a.o.tell(func(now admission.Time) { // the first is asked for before the module is there
			if a.o.desk != nil {
				a.o.desk.Due(now)
			}
			a.o.module.Due(now)
		})
	})
}

func (a host) Say(text string) { a.o.log.Info(text) }
