package admission

import (
	"cmp"
	"slices"
)

// requestQueues holds the requests that wait for capacity. There is a queue for each tenant and class, in order of arrival.
type requestQueues struct {
	queues  [][]requestIndex // index: tenant times classes plus class
	classes int
	waiting int // requests in all queues
}

func newRequestQueues(tenants, classes int) requestQueues {
	return requestQueues{queues: make([][]requestIndex, tenants*classes), classes: classes}
}

func (q *requestQueues) queue(tenant, class int) *[]requestIndex {
	return &q.queues[tenant*q.classes+class]
}

// insert adds a request to its queue, at its position in the order of arrival.
func (q *requestQueues) insert(t *requestTable, index requestIndex) {
	request := t.at(index)
	queue := q.queue(request.tenant, request.class)
	position := len(*queue)
	for position > 0 && t.at((*queue)[position-1]).sequence > request.sequence {
		position--
	}
	*queue = slices.Insert(*queue, position, index)
	request.queued = true
	q.waiting++
}

// remove removes a request from its queue, if it is in one.
func (q *requestQueues) remove(t *requestTable, index requestIndex) {
	request := t.at(index)
	if !request.queued {
		return
	}
	queue := q.queue(request.tenant, request.class)
	position := slices.Index(*queue, index)
	*queue = slices.Delete(*queue, position, position+1)
	request.queued = false
	q.waiting--
}

// tenantShares counts the running threads of each tenant, and orders tenants by running threads divided by share.
type tenantShares struct {
	tenants []Tenant
	threads []float64 // running threads by tenant
	order   []int     // tenants, in the order of release
}

func newTenantShares(d *Deployment) tenantShares {
	s := tenantShares{tenants: d.Tenants, threads: make([]float64, max(1, len(d.Tenants)))}
	for tenant := range s.threads {
		s.order = append(s.order, tenant)
	}
	return s
}

// sort updates the order: the tenant with the fewest running threads for its share is first. Ties keep their order.
func (s *tenantShares) sort() {
	if len(s.order) > 1 {
		slices.SortStableFunc(s.order, func(a, b int) int { return cmp.Compare(s.relativeUse(a), s.relativeUse(b)) })
	}
}

func (s *tenantShares) relativeUse(tenant int) float64 {
	return s.threads[tenant] / max(0.001, s.tenants[tenant].Share)
}

// classesByWeight returns the indexes of the classes, the highest priority weight first.
func classesByWeight(classes []Class) (order []int) {
	for class := range classes {
		order = append(order, class)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(classes[b].Weight, classes[a].Weight) })
	return order
}

// releaseQueued sends queued requests while engines have free capacity. The order is by tenant (the one with the fewest running
// threads for its share first), then by priority weight, then by arrival.
func (c *Controller) releaseQueued() {
	for c.queues.waiting > 0 {
		if !c.releaseOne() {
			return
		}
	}
}

func (c *Controller) releaseOne() bool {
	c.tenants.sort()
	for _, tenant := range c.tenants.order {
		for _, class := range c.classOrder {
			if c.releaseFrom(*c.queues.queue(tenant, class)) {
				return true
			}
		}
	}
	return false
}

// releaseFrom sends the first request of a queue for which an engine has free capacity. If a request that may use any engine of
// its pool finds none, it skips the later requests that have the same choice of engines.
func (c *Controller) releaseFrom(queue []requestIndex) bool {
	blocked := uint64(0) // bit set of the policy classes for which no engine was found
	for _, index := range queue {
		request := c.requests.at(index)
		acceptsAnyEngine := request.attempts == 0 && request.orderKey == ""
		if acceptsAnyEngine && blocked>>request.estimate.PolicyClass&1 == 1 {
			continue
		}
		if e := c.pickEngine(request); e != noEngine && c.sendAttempt(index, e) {
			return true
		}
		if !acceptsAnyEngine {
			continue
		}
		if c.pools.policy == nil {
			return false // the later requests have the same choice of engines
		}
		blocked |= 1 << request.estimate.PolicyClass // later requests of this policy class have the same choice of engines
	}
	return false
}
