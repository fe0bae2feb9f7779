// Package workers shares a schedule among worker processes. Who sends a request depends on its number, its time and the
// workers lost so far, so all agree without talking about requests; leases see to it that a lost worker has stopped before
// others take its share.
package workers

import (
	"fmt"
	"time"
)

const (
	// LeasePeriod is for how long a lease runs. A worker may send what is intended before its lease ends.
	LeasePeriod = 600 * time.Millisecond
	// renewalInterval is the time between renewals, which come ten times as often as they must; so a silent worker is
	// lost within one and a half leases, which is under a second.
	renewalInterval = LeasePeriod / 10
	// maxSilence is for how long a worker may send no heartbeat and have its lease renewed.
	maxSilence = LeasePeriod / 2
	// maxLag is how far a worker may be behind its schedule. One that is further behind offers another load than the one
	// that was asked for, so it is treated as lost.
	maxLag = LeasePeriod / 2
	// startupPeriod is how long processes may take to start.
	startupPeriod = time.Second
	// OrphanPeriod is how long workers go on after their coordinator was last proven dead. Another one waits as long for
	// workers that it hasn't seen.
	OrphanPeriod = 5 * time.Second
	// handoverDelay is the time between an heir's learning of a loss and its first request by it, because its loops may
	// be in the middle of a request.
	handoverDelay = 50 * time.Millisecond
)

// RegistryHost carries out the registry's decisions.
type RegistryHost interface {
	GrantLease(worker int, until time.Duration)
	SendLosses(worker int, losses []Loss) // the whole list so far
	LogEvent(text string)
}

type member struct {
	joined       bool
	connected    bool
	lost         bool
	done         bool
	slow         bool // it fell behind, so its lease is not renewed
	awaitsLease  bool // it gets no lease before all workers have joined
	lastHeard    time.Duration
	leaseUntil   time.Duration
	takeoverFrom map[int]time.Duration // by the index of the loss
}

// Registry decides for the coordinator who is a member and who is lost. All times count from the start of the run. A
// worker is declared lost only when no lease of it can run any more, or its process has ended: otherwise it could go on
// sending as an orphan, should the coordinator die next.
type Registry struct {
	host      RegistryHost
	members   []member
	losses    []Loss
	drop      bool
	startedAt time.Duration
	renewedAt time.Duration
	resumed   bool
}

// NewRegistry begins a run of so many workers. drop: a lost worker's requests are not offered. resumed: the workers were
// started by another coordinator.
func NewRegistry(now time.Duration, workers int, drop, resumed bool, host RegistryHost) *Registry {
	registry := &Registry{host: host, members: make([]member, workers), drop: drop, startedAt: now, renewedAt: now, resumed: resumed}
	for worker := range registry.members {
		registry.members[worker].lastHeard = now
	}
	return registry
}

// HandleJoin registers a worker whose connection is open. known is the list of losses that it goes by, until is when its
// own lease ends. The coordinator before may have given up a worker whose lease has ended, and those that know of it may
// not have joined yet, so such a worker gets no lease before all have joined.
func (r *Registry) HandleJoin(now time.Duration, worker int, known []Loss, until time.Duration) {
	if len(known) > len(r.losses) { // of the coordinator before
		for _, loss := range known[len(r.losses):] {
			r.losses = append(r.losses, loss)
			r.members[loss.Worker].lost = true
		}
		r.broadcastLosses()
	}
	joined := &r.members[worker]
	joined.joined, joined.connected, joined.lastHeard = true, true, now
	joined.awaitsLease = r.resumed && until <= now
	joined.leaseUntil = max(joined.leaseUntil, until) // as an orphan it may have a longer one than this coordinator granted
	r.host.SendLosses(worker, r.losses)
	r.grantLease(now, worker)
}

func (r *Registry) broadcastLosses() {
	for worker := range r.members {
		if r.members[worker].connected {
			r.host.SendLosses(worker, r.losses)
		}
	}
}

func (r *Registry) grantLease(now time.Duration, worker int) {
	if granted := &r.members[worker]; !granted.lost && !granted.awaitsLease {
		granted.leaseUntil = max(granted.leaseUntil, now+LeasePeriod)
		r.host.GrantLease(worker, now+LeasePeriod)
	}
}

// HandleHeartbeat records how far a worker is in the schedule, and whether all that it sends has ended.
func (r *Registry) HandleHeartbeat(now time.Duration, worker int, horizon time.Duration, done bool) {
	sender := &r.members[worker]
	sender.lastHeard, sender.done = now, done
	sender.slow = sender.slow || !done && horizon < min(now, now-maxLag) && now > maxLag
}

// HandleDisconnect records that a worker's connection ended.
func (r *Registry) HandleDisconnect(now time.Duration, worker int) {
	r.members[worker].connected = false
	r.Tick(now)
}

// HandleTakeover records from when on a worker sends what a loss brought it.
func (r *Registry) HandleTakeover(worker, loss int, from time.Duration) {
	heir := &r.members[worker]
	if heir.takeoverFrom == nil {
		heir.takeoverFrom = map[int]time.Duration{}
	}
	heir.takeoverFrom[loss] = from
}

// knowsAllLosses tells whether no worker can know of losses that this coordinator doesn't know of.
func (r *Registry) knowsAllLosses(now time.Duration) bool {
	if !r.resumed || now >= r.startedAt+OrphanPeriod {
		return true
	}
	for worker := range r.members {
		if !r.members[worker].joined {
			return false
		}
	}
	return true
}

// Tick declares workers lost and renews leases; it is called some twenty times a second.
func (r *Registry) Tick(now time.Duration) {
	for worker := range r.members {
		r.checkMember(now, worker)
	}
	if now-r.renewedAt < renewalInterval {
		return
	}
	r.renewedAt = now
	for worker := range r.members {
		renewed := &r.members[worker]
		if renewed.connected && !renewed.done && !renewed.slow && now-renewed.lastHeard < maxSilence {
			r.grantLease(now, worker)
		}
	}
}

// checkMember grants a worker the lease that it waits for, or declares it lost.
func (r *Registry) checkMember(now time.Duration, worker int) {
	checked := &r.members[worker]
	if checked.awaitsLease && r.knowsAllLosses(now) {
		checked.awaitsLease = false
		r.grantLease(now, worker)
	}
	if checked.lost || checked.done || !r.knowsAllLosses(now) {
		return
	}
	leaseOver := now >= checked.leaseUntil
	switch {
	case !checked.joined:
		if leaseOver && now > max(0, r.startedAt+startupPeriod) {
			r.declareLost(worker, "it never came")
		}
	case !checked.connected:
		r.declareLost(worker, "its connection ended")
	case leaseOver && checked.slow:
		r.declareLost(worker, "it fell behind the schedule")
	case leaseOver:
		r.declareLost(worker, "nothing was heard of it")
	}
}

// declareLost gives a worker's requests to its heirs from the end of its lease on.
func (r *Registry) declareLost(worker int, why string) {
	lost := &r.members[worker]
	lost.lost = true
	loss := Loss{Worker: worker, From: max(lost.leaseUntil, 0), Why: why}
	if !r.drop {
		for heir := range r.members {
			if other := &r.members[heir]; !other.lost && other.connected && !other.done {
				loss.Heirs = append(loss.Heirs, heir)
			}
		}
	}
	r.losses = append(r.losses, loss)
	r.host.LogEvent(fmt.Sprintf("worker %d is lost: %s", worker, why))
	r.broadcastLosses()
}

// Finished tells whether no worker is left that has something to send or to report.
func (r *Registry) Finished() bool {
	for worker := range r.members {
		checked := &r.members[worker]
		gone := checked.lost && (!checked.connected || r.renewedAt-checked.lastHeard > OrphanPeriod)
		if !checked.done && !gone {
			return false
		}
	}
	return true
}

// Losses returns the list of losses.
func (r *Registry) Losses() []Loss { return r.losses }

// MayHaveBeenSent tells of a request that nobody has reported whether a lost worker may have sent it (unknown), or it was
// not offered.
func (r *Registry) MayHaveBeenSent(number uint64, at time.Duration) (unknown bool) {
	owner, byLoss := Owner(number, at, len(r.members), r.losses)
	if owner == NoWorker {
		return false
	}
	if byLoss >= 0 {
		from, ok := r.members[owner].takeoverFrom[byLoss]
		if !ok || at < from {
			return false // it was not the heir's yet
		}
	}
	return true
}
