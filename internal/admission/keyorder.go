package admission

import "slices"

// keyOrder has requests that share a key run one after another, in order of arrival. After an attempt that may still run,
// the key rests for a time before the next request starts.
type keyOrder struct {
	restTime Time // length of the rest
	queues   map[string]keyQueue
	spare    [][]requestIndex // emptied queues, to be used again without an allocation
}

// keyQueue is the queue of one key.
type keyQueue struct {
	waiting    []requestIndex // the first may run
	restsUntil Time
}

func newKeyOrder(d *Deployment) keyOrder {
	return keyOrder{restTime: d.KeySettleTime, queues: map[string]keyQueue{}}
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
	o.forgetIfRested(key, queue, now)
	if place == 0 && len(queue.waiting) > 0 {
		return queue.waiting[0], true
	}
	return 0, false
}

// first is the request of a key that may run.
func (o *keyOrder) first(key string) requestIndex { return o.queues[key].waiting[0] }

// rests tells whether a key still rests.
func (o *keyOrder) rests(key string, now Time) bool { return now < o.queues[key].restsUntil }

// rest has a key rest from now on, where the deployment has such a time.
func (o *keyOrder) rest(key string, now Time) {
	if o.restTime == 0 {
		return
	}
	queue := o.queues[key]
	queue.restsUntil = now + o.restTime
	o.queues[key] = queue
}

// forgetRested forgets the keys without requests whose rest is over.
func (o *keyOrder) forgetRested(now Time) {
	if o.restTime == 0 {
		return // leave forgets them at once
	}
	for key, queue := range o.queues {
		o.forgetIfRested(key, queue, now)
	}
}

// forgetIfRested forgets a key that has no request and doesn't rest, and keeps its emptied queue for another key.
func (o *keyOrder) forgetIfRested(key string, queue keyQueue, now Time) {
	if len(queue.waiting) == 0 && queue.restsUntil <= now {
		o.spare = append(o.spare, queue.waiting)
		delete(o.queues, key)
	}
}
