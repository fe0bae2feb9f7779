// Package workers shares a schedule among worker processes. Who sends a request depends on its number, its time and the
// workers lost so far, so all agree without talking about requests; leases see to it that a lost worker has stopped before
// others take its share.
package workers

import (
	"fmt"
	"time"
)

// Times of the membership. A worker may send what is intended before its lease ends. The lease is renewed ten times as
// often as it must be, for those that were heard of in half of it; so a silent worker is lost within one and a half
// leases, which is under a second.
const (
	LeasePeriod = 600 * time.Millisecond
	renewal     = LeasePeriod / 10
	silence     = LeasePeriod / 2
	// A worker that is so far behind its schedule is as good as lost: it would offer another load than the one asked for.
	behind = LeasePeriod / 2
	// Processes take a while to start.
	starting = time.Second
	// Orphan is how long workers go on after their coordinator was last proven dead. Another one waits as long for workers
	// that it hasn't seen.
	OrphanPeriod = 5 * time.Second
	// A late heir begins so long after it heard, as its loops may be in the middle of a request.
	handover = 50 * time.Millisecond
)

// Loss is a worker whose requests from a time on are its heirs'.
type Loss struct {
	Worker int           `json:"worker"`
	From   time.Duration `json:"from_ns"`
	Heirs  []int         `json:"heirs"` // none: they are not offered
	Why    string        `json:"why"`
}

// NoWorker sends a request that is not offered.
const NoWorker = -1

// Owner tells who sends a request, and by which loss it came to that one (-1: it was that worker's from the start).
func Owner(n uint64, at time.Duration, workers int, losses []Loss) (owner, by int) {
	owner, by = int(n%uint64(workers)), -1
	for i := range losses {
		l := &losses[i]
		if l.Worker != owner || at < l.From {
			continue
		}
		if by = i; len(l.Heirs) == 0 {
			return NoWorker, i
		}
		owner = l.Heirs[(n/uint64(workers)+uint64(i))%uint64(len(l.Heirs))]
	}
	return owner, by
}

// RegistryHost is what the coordinator's decisions act on.
type RegistryHost interface {
	Grant(worker int, until time.Duration)
	Losses(worker int, losses []Loss) // the whole list so far
	LogEvent(text string)
}

type member struct {
	joined  bool
	here    bool // its connection is open
	lost    bool
	done    bool
	slow    bool // it fell behind, so its lease is not renewed
	waits   bool // it has no lease yet
	heard   time.Duration
	granted time.Duration // until when its lease runs
	took    map[int]time.Duration
}

// Registry decides for the coordinator who is a member and who is lost. All times count from the start of the run. Who is
// lost is decided only when no lease of that worker can run any more, or its process has ended: then it can't take the
// coordinator's death, should that come next, for leave to go on.
type Registry struct {
	host    RegistryHost
	members []member
	losses  []Loss
	drop    bool
	begun   time.Duration
	renewed time.Duration
	resumed bool
}

// NewRegistry begins a run of so many workers. drop: a lost one's requests are not offered. resumed: workers are out there
// that another coordinator had started.
func NewRegistry(now time.Duration, workers int, drop, resumed bool, host RegistryHost) *Registry {
	m := &Registry{host: host, members: make([]member, workers), drop: drop, begun: now, renewed: now, resumed: resumed}
	for i := range m.members {
		m.members[i].heard = now
	}
	return m
}

// HandleJoin takes in that a worker's connection is open. known is the list of losses that it goes by, until is when its own
// lease ends. The coordinator before may have given up one whose lease has ended, and who knows of that may be still to
// come: it gets no lease before all have.
func (m *Registry) HandleJoin(now time.Duration, worker int, known []Loss, until time.Duration) {
	if len(known) > len(m.losses) { // of the coordinator before
		for _, l := range known[len(m.losses):] {
			m.losses = append(m.losses, l)
			m.members[l.Worker].lost = true
		}
		m.tell()
	}
	w := &m.members[worker]
	w.joined, w.here, w.heard = true, true, now
	w.waits = m.resumed && until <= now
	w.granted = max(w.granted, until) // as an orphan it may have a longer one than this coordinator gave
	m.host.Losses(worker, m.losses)
	m.grant(now, worker)
}

func (m *Registry) tell() {
	for i := range m.members {
		if m.members[i].here {
			m.host.Losses(i, m.losses)
		}
	}
}

func (m *Registry) grant(now time.Duration, worker int) {
	if w := &m.members[worker]; !w.lost && !w.waits {
		w.granted = max(w.granted, now+LeasePeriod)
		m.host.Grant(worker, now+LeasePeriod)
	}
}

// HandleHeartbeat takes in a worker's word: how far it is in the schedule, and whether all that it sends has ended.
func (m *Registry) HandleHeartbeat(now time.Duration, worker int, horizon time.Duration, done bool) {
	w := &m.members[worker]
	w.heard, w.done = now, done
	w.slow = w.slow || !done && horizon < min(now, now-behind) && now > behind
}

// HandleDisconnect takes in that a worker's connection ended.
func (m *Registry) HandleDisconnect(now time.Duration, worker int) {
	m.members[worker].here = false
	m.Tick(now)
}

// HandleTakeover takes in from when on a worker sends what a loss brought it.
func (m *Registry) HandleTakeover(worker, loss int, from time.Duration) {
	w := &m.members[worker]
	if w.took == nil {
		w.took = map[int]time.Duration{}
	}
	w.took[loss] = from
}

// settled tells whether nobody can be out there who knows of losses that this coordinator doesn't.
func (m *Registry) settled(now time.Duration) bool {
	if !m.resumed || now >= m.begun+OrphanPeriod {
		return true
	}
	for i := range m.members {
		if !m.members[i].joined {
			return false
		}
	}
	return true
}

// Tick looks for the lost and renews leases; it is called some twenty times a second.
func (m *Registry) Tick(now time.Duration) {
	for i := range m.members {
		w := &m.members[i]
		if w.waits && m.settled(now) {
			w.waits = false
			m.grant(now, i)
		}
		if w.lost || w.done || !m.settled(now) {
			continue
		}
		switch {
		case !w.joined:
			if now >= w.granted && now > max(0, m.begun+starting) {
				m.lose(i, "it never came")
			}
		case !w.here:
			m.lose(i, "its connection ended")
		case now >= w.granted && w.slow:
			m.lose(i, "it fell behind the schedule")
		case now >= w.granted:
			m.lose(i, "nothing was heard of it")
		}
	}
	if now-m.renewed < renewal {
		return
	}
	m.renewed = now
	for i := range m.members {
		if w := &m.members[i]; w.here && !w.done && !w.slow && now-w.heard < silence {
			m.grant(now, i)
		}
	}
}

// lose gives a worker's share away from the end of its lease on.
func (m *Registry) lose(worker int, why string) {
	w := &m.members[worker]
	w.lost = true
	l := Loss{Worker: worker, From: max(w.granted, 0), Why: why}
	if !m.drop {
		for i := range m.members {
			if o := &m.members[i]; !o.lost && o.here && !o.done {
				l.Heirs = append(l.Heirs, i)
			}
		}
	}
	m.losses = append(m.losses, l)
	m.host.LogEvent(fmt.Sprintf("worker %d is lost: %s", worker, why))
	m.tell()
}

// Finished tells whether nobody is left who has something to send or to tell.
func (m *Registry) Finished() bool {
	for i := range m.members {
		if w := &m.members[i]; !w.done && !(w.lost && (!w.here || w.silentFor(m.renewed) > OrphanPeriod)) {
			return false
		}
	}
	return true
}

func (w *member) silentFor(now time.Duration) time.Duration { return now - w.heard }

// Losses is the list of losses.
func (m *Registry) Losses() []Loss { return m.losses }

// MayHaveBeenSent tells what is known of a request that nobody has reported: unknown, when a worker that was lost may have sent it,
// or not offered.
func (m *Registry) MayHaveBeenSent(n uint64, at time.Duration) (unknown bool) {
	owner, by := Owner(n, at, len(m.members), m.losses)
	if owner == NoWorker {
		return false
	}
	w := &m.members[owner]
	if by >= 0 {
		if took, ok := w.took[by]; !ok || at < took {
			return false // it was not the heir's yet
		}
	}
	return true
}

// Assignment decides, for one worker, which requests are its own. Its loops ask from their goroutines; the view that they see
// is changed as a whole.
type Assignment struct {
	Worker, Workers int
	LeaseUntil      time.Duration // of the lease
	Losses          []Loss
	TakeoverFrom    []time.Duration // by loss: from when on this worker sends what came by it
}

// Owns tells whether a request is this worker's, and whether it would be but for the lease.
func (s *Assignment) Owns(n uint64, at time.Duration) (mine, skipped bool) {
	owner, by := Owner(n, at, s.Workers, s.Losses)
	if owner != s.Worker || by >= 0 && at < s.TakeoverFrom[by] {
		return false, false
	}
	if at >= s.LeaseUntil {
		return false, true
	}
	return true, false
}

// WithLease is the share with a lease that a coordinator told.
func (s *Assignment) WithLease(until time.Duration) *Assignment {
	next := *s
	next.LeaseUntil = max(s.LeaseUntil, until)
	return &next
}

// WithoutCoordinator is the share now that no coordinator is there, which is proven. With a lease that still runs this worker can't
// have been given up, and another coordinator, which can't have begun yet, waits for Orphan before it does so.
func (s *Assignment) WithoutCoordinator(now time.Duration) *Assignment {
	if now >= s.LeaseUntil {
		return s
	}
	return s.WithLease(now + OrphanPeriod)
}

// WithLosses is the share with a list of losses that is heard of now; took tells from when on this worker sends what the
// new ones bring.
func (s *Assignment) WithLosses(now time.Duration, losses []Loss) (next *Assignment, took map[int]time.Duration) {
	if len(losses) < len(s.Losses) { // an older list
		return s, nil
	}
	n := *s
	n.Losses = losses
	n.TakeoverFrom = append([]time.Duration(nil), s.TakeoverFrom...)
	took = map[int]time.Duration{}
	for i := len(s.TakeoverFrom); i < len(losses); i++ {
		from := max(losses[i].From, now+handover) // it may have passed some of them by already
		n.TakeoverFrom = append(n.TakeoverFrom, from)
		took[i] = from
	}
	return &n, took
}
