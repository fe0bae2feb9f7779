package admission

import "slices"

// keyOrder runs requests that share a key one after another, in order of arrival. After an attempt that may still be running, the
// next request of the key starts only after a cooldown.
type keyOrder struct {
	cooldown Time // duration; 0: no cooldown
	queues   map[string]keyQueue
	spare    [][]requestIndex // emptied queues, reused to avoid allocations
}

// keyQueue is the queue of one key.
type keyQueue struct {
	waiting       []requestIndex // in order of arrival; only the first may run
	cooldownUntil Time
}

func newKeyOrder(d *Deployment) keyOrder {
	return keyOrder{cooldown: d.KeyCooldown, queues: map[string]keyQueue{}}
}

// join appends a request to its key's queue and reports whether it is the first there.
func (o *keyOrder) join(key string, request requestIndex) bool {
	queue := o.queues[key]
	if n := len(o.spare); queue.waiting == nil && n > 0 {
		queue.waiting = o.spare[n-1]
		o.spare = o.spare[:n-1]
	}
	queue.waiting = append(queue.waiting, request)
	o.queues[key] = queue
	return len(queue.waiting) == 1
}

// leave removes a request from its key's queue. If it was the first and others wait, leave returns the new first request.
func (o *keyOrder) leave(key string, request requestIndex, now Time) (nextIndex requestIndex, ok bool) {
	queue := o.queues[key]
	position := slices.Index(queue.waiting, request)
	queue.waiting = slices.Delete(queue.waiting, position, position+1)
	o.queues[key] = queue
	o.removeIfIdle(key, queue, now)
	if position == 0 && len(queue.waiting) > 0 {
		return queue.waiting[0], true
	}
	return 0, false
}

// first returns the request of a key that may run.
func (o *keyOrder) first(key string) requestIndex { return o.queues[key].waiting[0] }

// isCoolingDown reports whether a key's cooldown is still in progress.
func (o *keyOrder) isCoolingDown(key string, now Time) bool { return now < o.queues[key].cooldownUntil }

// startCooldown starts a key's cooldown if the deployment has one.
func (o *keyOrder) startCooldown(key string, now Time) {
	if o.cooldown == 0 {
		return
	}
	queue := o.queues[key]
	queue.cooldownUntil = now + o.cooldown
	o.queues[key] = queue
}

// removeIdle removes the keys that have no requests and whose cooldown has ended.
func (o *keyOrder) removeIdle(now Time) {
	if o.cooldown == 0 {
		return // without cooldowns, leave removes idle keys at once
	}
	for key, queue := range o.queues {
		o.removeIfIdle(key, queue, now)
	}
}

// removeIfIdle removes a key that has no requests and no cooldown, and stores its emptied queue for reuse.
func (o *keyOrder) removeIfIdle(key string, queue keyQueue, now Time) {
	if len(queue.waiting) == 0 && queue.cooldownUntil <= now {
		o.spare = append(o.spare, queue.waiting)
		delete(o.queues, key)
	}
}
