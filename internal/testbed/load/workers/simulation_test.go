package workers

import (
	"slices"
	"time"
)

// simulation runs a coordinator and its workers in steps of 10 ms: messages take some steps, workers stall, die and come
// back, the coordinator may die and another take its place.
type simulation struct {
	t                interface{ Fatalf(string, ...any) }
	now              time.Duration
	registry         *Registry // of the coordinator that is or was alive last
	workers          []*simWorker
	queue            []delayedCall
	coordinatorAlive bool
	restartAt        time.Duration  // when another coordinator starts; negative: none is due
	sentBy           map[uint64]int // worker, by request
	skipped          map[uint64]bool
	messageDelay     time.Duration
}

type simWorker struct {
	assignment   *Assignment
	dead         bool
	stalledUntil time.Duration
	nextRequest  uint64
	joined       *Registry     // nil: none
	searchTime   time.Duration // that it takes to look for another coordinator
	searchUntil  time.Duration
}

// delayedCall is a message under way.
type delayedCall struct {
	at  time.Duration
	run func()
}

const (
	simWorkers  = 4
	simRequests = 3000 // one each 2 ms
	simGap      = 2 * time.Millisecond
	simStep     = 10 * time.Millisecond
	simLength   = 12 * time.Second
)

func (s *simulation) sendLater(call func()) {
	s.queue = append(s.queue, delayedCall{s.now + s.messageDelay, call})
}

// sendToWorker has a worker read a message once it isn't stalled; what it hasn't read is lost with the coordinator.
func (s *simulation) sendToWorker(index int, read func(worker *simWorker)) {
	var deliver func()
	deliver = func() {
		switch worker := s.workers[index]; {
		case worker.dead || worker.joined != s.registry:
		case s.now < worker.stalledUntil:
			s.queue = append(s.queue, delayedCall{worker.stalledUntil, deliver})
		default:
			read(worker)
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
		if worker.dead || s.now < worker.stalledUntil {
			continue
		}
		s.sendRequests(index, worker)
		if !s.stayJoined(index, worker) {
			continue
		}
		registry, horizon, done := s.registry, s.now, worker.nextRequest >= simRequests
		s.sendLater(func() {
			if s.registry == registry {
				registry.HandleHeartbeat(s.now, index, horizon, done)
			}
		})
	}
	if s.coordinatorAlive {
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

// sendRequests sends what is due of a worker's requests, and checks that nobody has sent one of them before.
func (s *simulation) sendRequests(index int, worker *simWorker) {
	for ; worker.nextRequest < simRequests && time.Duration(worker.nextRequest)*simGap <= s.now; worker.nextRequest++ {
		number, at := worker.nextRequest, time.Duration(worker.nextRequest)*simGap
		owned, skipped := worker.assignment.Owns(number, at)
		if owned {
			if other, twice := s.sentBy[number]; twice {
				s.t.Fatalf("at %v worker %d sends request %d, which %d has sent; losses %+v", s.now, index, number, other, worker.assignment.Losses)
			}
			s.sentBy[number] = index
		}
		if skipped {
			s.skipped[number] = true
		}
	}
}

// stayJoined has a worker without a coordinator look for one; it tells whether the worker has one now.
func (s *simulation) stayJoined(index int, worker *simWorker) bool {
	if worker.joined != nil && (worker.joined != s.registry || !s.coordinatorAlive) { // its connection has ended
		worker.joined, worker.searchUntil = nil, s.now+worker.searchTime
	}
	if worker.joined != nil {
		return true
	}
	if s.now < worker.searchUntil {
		return false
	}
	if !s.coordinatorAlive { // refused
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
	workerDies faultKind = iota
	workerStalls
	workerStallsToo // draws that stall a worker are twice as likely as the others
	coordinatorDies // and another starts
)

type fault struct {
	at       time.Duration
	kind     faultKind
	worker   int
	duration time.Duration
}

// inject brings a fault about.
func (s *simulation) inject(injected fault) {
	worker := s.workers[injected.worker]
	switch injected.kind {
	case workerDies:
		worker.dead = true
		if worker.joined == s.registry && s.coordinatorAlive {
			registry := s.registry
			s.sendLater(func() { registry.HandleDisconnect(s.now, injected.worker) })
		}
	case workerStalls, workerStallsToo:
		worker.stalledUntil = s.now + injected.duration
	case coordinatorDies: // with all messages under way
		if s.coordinatorAlive {
			s.coordinatorAlive, s.queue, s.restartAt = false, nil, s.now+injected.duration
		}
	}
}

// run checks that, whatever dies or stalls, no request is sent twice, and each that nobody sent is one that a worker
// reported as skipped, or one that the coordinator counts as not offered or unknown.
func (s *simulation) run(drop bool, searchTimes []time.Duration, faults []fault) {
	s.coordinatorAlive, s.sentBy, s.skipped = true, map[uint64]int{}, map[uint64]bool{}
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
		if !s.coordinatorAlive && s.restartAt >= 0 && s.now >= s.restartAt {
			s.coordinatorAlive, s.restartAt = true, -1
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
		if owner >= 0 && s.registry.MayHaveBeenSent(number, at) && !s.workers[owner].dead && s.workers[owner].nextRequest >= simRequests {
			s.t.Fatalf("request %d at %v was neither sent nor skipped by its live owner %d; losses %+v", number, at, owner, s.registry.Losses())
		}
	}
}
