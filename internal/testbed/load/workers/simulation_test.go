package workers

import (
	"slices"
	"time"
)

// simulation runs a coordinator and its workers in steps of simStep. Messages take messageDelay. Workers crash, or stall and
// continue. The coordinator may crash, and another takes its place.
type simulation struct {
	t                  interface{ Fatalf(string, ...any) }
	now                time.Duration
	registry           *Registry // registry of the running coordinator, or of the last one that ran
	workers            []*simWorker
	queue              []delayedCall
	coordinatorRunning bool
	restartAt          time.Duration   // when the next coordinator starts; negative: none is scheduled
	sentBy             map[uint64]int  // index of the worker that sent a request, by the request's number
	skipped            map[uint64]bool // numbers of the requests that a worker skipped
	messageDelay       time.Duration
}

// simWorker is the simulated state of a worker.
type simWorker struct {
	assignment   *Assignment
	crashed      bool
	stalledUntil time.Duration
	nextRequest  uint64
	joined       *Registry     // registry of the coordinator that it is connected to; nil: none
	searchTime   time.Duration // how long it takes to find the next coordinator
	searchUntil  time.Duration // it tries to connect from this time on
}

// delayedCall is a message in transit: it calls run at a time.
type delayedCall struct {
	at  time.Duration
	run func()
}

const (
	simWorkers  = 4
	simRequests = 3000 // number of requests in the schedule, one every simGap
	simGap      = 2 * time.Millisecond
	simStep     = 10 * time.Millisecond
	simLength   = 12 * time.Second
)

func (s *simulation) sendLater(call func()) {
	s.queue = append(s.queue, delayedCall{s.now + s.messageDelay, call})
}

// sendToWorker delivers a message to a worker as soon as the worker isn't stalled. Messages that it hasn't read are lost when
// the coordinator is replaced.
func (s *simulation) sendToWorker(index int, handle func(worker *simWorker)) {
	var deliver func()
	deliver = func() {
		switch worker := s.workers[index]; {
		case worker.crashed || worker.joined != s.registry:
		case s.now < worker.stalledUntil:
			s.queue = append(s.queue, delayedCall{worker.stalledUntil, deliver})
		default:
			handle(worker)
		}
	}
	s.sendLater(deliver)
}

func (s *simulation) GrantLease(index int, until time.Duration) {
	s.sendToWorker(index, func(worker *simWorker) { worker.assignment = worker.assignment.WithLease(until) })
}

func (s *simulation) SendLosses(index int, losses []Loss) {
	losses = slices.Clone(losses)
	s.sendToWorker(index, func(worker *simWorker) {
		var takeovers map[int]time.Duration
		worker.assignment, takeovers = worker.assignment.WithLosses(s.now, losses)
		registry := s.registry
		s.sendLater(func() {
			for loss, from := range takeovers {
				registry.HandleTakeover(index, loss, from)
			}
		})
	})
}

func (s *simulation) LogEvent(string) {}

func (s *simulation) step() {
	s.now += simStep
	s.deliverMessages()
	for index, worker := range s.workers {
		if worker.crashed || s.now < worker.stalledUntil {
			continue
		}
		s.sendRequests(index, worker)
		if !s.ensureJoined(index, worker) {
			continue
		}
		registry, horizon, done := s.registry, s.now, worker.nextRequest >= simRequests
		s.sendLater(func() {
			if s.registry == registry {
				registry.HandleHeartbeat(s.now, index, horizon, done)
			}
		})
	}
	if s.coordinatorRunning {
		s.registry.Tick(s.now)
	}
}

func (s *simulation) deliverMessages() {
	queue := s.queue
	s.queue = nil
	for _, call := range queue {
		if call.at <= s.now {
			call.run()
		} else {
			s.queue = append(s.queue, call)
		}
	}
}

// sendRequests sends a worker's requests that are due, and checks that no worker has sent any of them before.
func (s *simulation) sendRequests(index int, worker *simWorker) {
	for ; worker.nextRequest < simRequests && time.Duration(worker.nextRequest)*simGap <= s.now; worker.nextRequest++ {
		number, at := worker.nextRequest, time.Duration(worker.nextRequest)*simGap
		owned, skipped := worker.assignment.Owns(number, at)
		if owned {
			if sender, sentBefore := s.sentBy[number]; sentBefore {
				s.t.Fatalf("at %v worker %d sends request %d, which %d has sent; losses %+v", s.now, index, number, sender, worker.assignment.Losses)
			}
			s.sentBy[number] = index
		}
		if skipped {
			s.skipped[number] = true
		}
	}
}

// ensureJoined lets a worker that has lost its coordinator look for another. It reports whether the worker is connected to a
// coordinator.
func (s *simulation) ensureJoined(index int, worker *simWorker) bool {
	if worker.joined != nil && (worker.joined != s.registry || !s.coordinatorRunning) { // the connection has ended
		worker.joined, worker.searchUntil = nil, s.now+worker.searchTime
	}
	if worker.joined != nil {
		return true
	}
	if s.now < worker.searchUntil {
		return false
	}
	if !s.coordinatorRunning { // the connection is refused
		worker.assignment = worker.assignment.WithoutCoordinator(s.now)
		return false
	}
	worker.joined = s.registry
	known, until, registry := worker.assignment.Losses, worker.assignment.LeaseUntil, s.registry
	s.sendLater(func() { registry.HandleJoin(s.now, index, known, until) })
	return true
}

type faultKind int

const (
	workerCrashes faultKind = iota
	workerStalls
	workerStallsAgain  // the same as workerStalls, so that a random draw stalls a worker twice as often
	coordinatorCrashes // another one starts after the fault's duration
)

type fault struct {
	at       time.Duration
	kind     faultKind
	worker   int           // unused if the coordinator crashes
	duration time.Duration // duration of the stall, or time until the next coordinator starts
}

// inject makes a fault occur.
func (s *simulation) inject(injected fault) {
	worker := s.workers[injected.worker]
	switch injected.kind {
	case workerCrashes:
		worker.crashed = true
		if worker.joined == s.registry && s.coordinatorRunning {
			registry := s.registry
			s.sendLater(func() { registry.HandleDisconnect(s.now, injected.worker) })
		}
	case workerStalls, workerStallsAgain:
		worker.stalledUntil = s.now + injected.duration
	case coordinatorCrashes: // messages in transit are lost
		if s.coordinatorRunning {
			s.coordinatorRunning, s.queue, s.restartAt = false, nil, s.now+injected.duration
		}
	}
}

// run runs the simulation with the given faults. It checks that no request is sent twice, and that each request that no
// worker sent was skipped by a worker or is counted by the coordinator as not sent or unknown.
func (s *simulation) run(drop bool, searchTimes []time.Duration, faults []fault) {
	s.coordinatorRunning, s.sentBy, s.skipped = true, map[uint64]int{}, map[uint64]bool{}
	s.registry = NewRegistry(0, simWorkers, drop, false, s)
	for index := range simWorkers {
		s.workers = append(s.workers, &simWorker{assignment: &Assignment{Worker: index, Workers: simWorkers}, searchTime: searchTimes[index]})
	}
	s.restartAt = -1
	pending := slices.Clone(faults)
	for s.now < simLength {
		for index := range pending {
			if pending[index].at > s.now || pending[index].at < 0 {
				continue
			}
			pending[index].at = -1
			s.inject(pending[index])
		}
		if !s.coordinatorRunning && s.restartAt >= 0 && s.now >= s.restartAt {
			s.coordinatorRunning, s.restartAt = true, -1
			s.registry = NewRegistry(s.now, simWorkers, drop, true, s)
		}
		s.step()
	}
	s.checkUnsent(len(faults) == 0)
}

func (s *simulation) checkUnsent(faultless bool) {
	for number := range uint64(simRequests) {
		at := time.Duration(number) * simGap
		if _, ok := s.sentBy[number]; ok || s.skipped[number] {
			continue
		}
		if faultless {
			s.t.Fatalf("request %d at %v was not sent, though nothing went wrong", number, at)
		}
		owner, _ := Owner(number, at, simWorkers, s.registry.Losses())
		if owner >= 0 && s.registry.MayHaveBeenSent(number, at) && !s.workers[owner].crashed && s.workers[owner].nextRequest >= simRequests {
			s.t.Fatalf("request %d at %v was neither sent nor skipped by its live owner %d; losses %+v", number, at, owner, s.registry.Losses())
		}
	}
}
