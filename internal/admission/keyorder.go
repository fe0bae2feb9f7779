package admission

import "slices"

// keyOrder has requests that share a key run one after another, in order of arrival. After an attempt that may still run,
// the key has a cooldown before the next request starts.
type keyOrder struct {
	cooldown Time // length; 0: none
	queues   map[string]keyQueue
	spare    [][]requestIndex // emptied queues, to be used again without an allocation
}

// keyQueue is the queue of one key.
type keyQueue struct {
	waiting       []requestIndex // the first may run
	cooldownUntil Time
}

func newKeyOrder(d *Deployment) keyOrder {
	return keyOrder{cooldown: d.KeyCooldown, queues: map[string]keyQueue{}}
}

// join puts a request at the end of its key's queue and tells whether it is the first there.
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

// leave takes a request out of its key's queue. If it was the first and others wait, it returns the one that is first now.
func (o *keyOrder) leave(key string, request requestIndex, now Time) (nextIndex requestIndex, ok bool) {
	queue := o.queues[key]
	place := slices.Index(queue.waiting, request)
	queue.waiting = slices.Delete(queue.waiting, place, place+1)
	o.queues[key] = queue
	o.removeIfIdle(key, queue, now)
	if place == 0 && len(queue.waiting) > 0 {
		return queue.waiting[0], true
	}
	return 0, false
}

// first is the request of a key that may run.
func (o *keyOrder) first(key string) requestIndex { return o.queues[key].waiting[0] }

// isCoolingDown tells whether a key still has its cooldown.
func (o *keyOrder) isCoolingDown(key string, now Time) bool { return now < o.queues[key].cooldownUntil }

// startCooldown begins a key's cooldown, where the deployment has one.
func (o *keyOrder) startCooldown(key string, now Time) {
	if o.cooldown == 0 {
		return
	}
	queue := o.queues[key]
	queue.cooldownUntil = now + o.cooldown
	o.queues[key] = queue
}

// removeIdle removes the keys that have no request and whose cooldown is over.
func (o *keyOrder) removeIdle(now Time) {
	if o.cooldown == 0 {
		return // leave removes them at once
	}
	for key, queue := range o.queues {
		o.removeIfIdle(key, queue, now)
	}
}

// removeIfIdle removes a key that has no request and no cooldown, and keeps its emptied queue for another key.
func (o *keyOrder) removeIfIdle(key string, queue keyQueue, now Time) {
	if len(queue.waiting) == 0 && queue.cooldownUntil <= now {
		o.spare = append(o.spare, queue.waiting)
		delete(o.queues, key)
	}
}
