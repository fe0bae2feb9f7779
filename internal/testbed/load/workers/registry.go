// Package workers divides a schedule among worker processes. Which worker sends a request depends only on the request's
// number, its intended time and the list of lost workers, so the workers agree without exchanging messages about requests.
// Leases ensure that a lost worker has stopped sending before other workers take over its requests.
package workers

import (
	"fmt"
	"time"
)

const (
	// LeasePeriod is the length of a lease. A worker may send the requests whose intended time is before the end of its lease.
	LeasePeriod = 600 * time.Millisecond
	// renewalInterval is the time between lease renewals, which come ten times as often as necessary. A silent worker is
	// declared lost within one and a half lease periods, which is under a second: its lease is renewed for maxSilence and
	// then runs out.
	renewalInterval = LeasePeriod / 10
	// maxSilence is the time without a heartbeat after which a worker's lease is no longer renewed.
	maxSilence = LeasePeriod / 2
	// maxLag is the most that a worker may be behind its schedule. A worker further behind produces a different load from
	// the one configured, so its lease is not renewed and it is declared lost.
	maxLag = LeasePeriod / 2
	// startupPeriod is the time that worker processes have to start.
	startupPeriod = time.Second
	// OrphanPeriod is how long a worker goes on sending after it last had proof that no coordinator is running. A coordinator
	// that resumes a run waits as long for workers that haven't joined it.
	OrphanPeriod = 5 * time.Second
	// handoverDelay is the time between an heir's notification of a loss and the first request that it sends for the lost
	// worker, because the heir's loops may be in the middle of a request.
	handoverDelay = 50 * time.Millisecond
)

// RegistryHost carries out the registry's decisions.
type RegistryHost interface {
	GrantLease(worker int, until time.Duration)
	SendLosses(worker int, losses []Loss) // losses is the complete list
	LogEvent(text string)
}

// member is the registry's state of one worker.
type member struct {
	joined         bool // it has joined this coordinator at least once
	connected      bool
	lost           bool
	done           bool          // it has reported that all its requests have ended
	behindSchedule bool          // it fell behind its schedule, so its lease is not renewed
	awaitsLease    bool          // it gets no lease until knowsAllLosses
	lastContact    time.Duration // time of its last heartbeat or join
	leaseUntil     time.Duration
	takeoverFrom   map[int]time.Duration // by index of the loss: the intended time of the first requests that it sends as an heir
}

// Registry keeps track of the workers for the coordinator: it grants leases and declares workers lost. All times count from
// the start of the run. A worker is declared lost only when its last lease is over, or when its connection has ended, as it
// does when its process ends. Otherwise the worker could go on sending as an orphan if the coordinator crashed next.
type Registry struct {
	host      RegistryHost
	members   []member
	losses    []Loss
	drop      bool          // a lost worker's requests get no heirs
	startedAt time.Duration // when this coordinator started
	renewedAt time.Duration // when leases were last renewed
	resumed   bool          // another coordinator started the workers
}

// NewRegistry returns the registry of a run. If drop is set, a lost worker's requests are not sent. resumed says that another
// coordinator started the workers.
func NewRegistry(now time.Duration, workers int, drop, resumed bool, host RegistryHost) *Registry {
	registry := &Registry{host: host, members: make([]member, workers), drop: drop, startedAt: now, renewedAt: now, resumed: resumed}
	for worker := range registry.members {
		registry.members[worker].lastContact = now
	}
	return registry
}

// HandleJoin registers a worker that has connected. known is the list of losses that the worker applies, until the end of its
// lease. After a resumption, a worker whose lease has ended gets no lease until all workers have joined or OrphanPeriod has
// passed: the previous coordinator may have declared it lost, and the workers that were told may not have joined yet.
func (r *Registry) HandleJoin(now time.Duration, worker int, known []Loss, until time.Duration) {
	if len(known) > len(r.losses) { // the previous coordinator declared them
		for _, loss := range known[len(r.losses):] {
			r.losses = append(r.losses, loss)
			r.members[loss.Worker].lost = true
		}
		r.broadcastLosses()
	}
	joined := &r.members[worker]
	joined.joined, joined.connected, joined.lastContact = true, true, now
	joined.awaitsLease = r.resumed && until <= now
	joined.leaseUntil = max(joined.leaseUntil, until) // as an orphan it may have extended its lease beyond what this coordinator granted
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

// HandleHeartbeat records a worker's heartbeat. horizon is the time up to which the worker has handed out its schedule, and
// done reports that all its requests have ended.
func (r *Registry) HandleHeartbeat(now time.Duration, worker int, horizon time.Duration, done bool) {
	sender := &r.members[worker]
	sender.lastContact, sender.done = now, done
	sender.behindSchedule = sender.behindSchedule || !done && horizon < min(now, now-maxLag) && now > maxLag
}

// HandleDisconnect records that a worker's connection ended.
func (r *Registry) HandleDisconnect(now time.Duration, worker int) {
	r.members[worker].connected = false
	r.Tick(now)
}

// HandleTakeover records the intended time from which a worker sends the requests that it inherited through a loss.
func (r *Registry) HandleTakeover(worker, lossIndex int, from time.Duration) {
	heir := &r.members[worker]
	if heir.takeoverFrom == nil {
		heir.takeoverFrom = map[int]time.Duration{}
	}
	heir.takeoverFrom[lossIndex] = from
}

// knowsAllLosses reports whether the list of losses is complete. After a resumption it may lack losses that the previous
// coordinator declared, until all workers have joined or OrphanPeriod has passed.
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

// Tick declares workers lost and renews leases. The coordinator calls it about every renewalInterval/2.
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
		if renewed.connected && !renewed.done && !renewed.behindSchedule && now-renewed.lastContact < maxSilence {
			r.grantLease(now, worker)
		}
	}
}

// checkMember grants a worker the lease that it awaits once the losses are known, and declares the worker lost if it is.
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
	case leaseOver && checked.behindSchedule:
		r.declareLost(worker, "it fell behind the schedule")
	case leaseOver:
		r.declareLost(worker, "nothing was heard of it")
	}
}

// declareLost adds a worker to the list of losses. Its requests from the end of its lease on go to the connected workers that
// have not finished, unless drop is set.
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

// Finished reports whether no worker has anything left to send or to report: each has finished, or is lost and either
// disconnected or silent for longer than OrphanPeriod.
func (r *Registry) Finished() bool {
	for worker := range r.members {
		checked := &r.members[worker]
		departed := checked.lost && (!checked.connected || r.renewedAt-checked.lastContact > OrphanPeriod)
		if !checked.done && !departed {
			return false
		}
	}
	return true
}

// Losses returns the list of losses.
func (r *Registry) Losses() []Loss { return r.losses }

// MayHaveBeenSent reports, for a request that no worker has reported, whether the worker that owns it may have sent it. If
// not, the request was not sent.
func (r *Registry) MayHaveBeenSent(number uint64, at time.Duration) (unknown bool) {
	owner, byLoss := Owner(number, at, len(r.members), r.losses)
	if owner == NoWorker {
		return false
	}
	if byLoss >= 0 {
		from, ok := r.members[owner].takeoverFrom[byLoss]
		if !ok || at < from {
			return false // the heir had not taken it over yet
		}
	}
	return true
}
