package resourcegroup

import (
	"slices"

	"magpiebank/internal/admission"
)

// pool is the state of one pool.
type pool struct {
	Pool
	inUse        bool    // false: the number is free for another pool
	zoneNumbers  []int   // empty: all zones
	kindNumbers  []int   // empty: all machine kinds
	liveCores    float64 // of the engines that accept new requests
	maxLiveCores float64 // maximum of liveCores since the zones and kinds last changed; the plan's limits are meant for it
}

// InPool reports whether an engine belongs to the pool with the given number.
func (l *Limiter) InPool(number int, engine *admission.Endpoint) bool {
	p := &l.pools[number]
	return (len(p.zoneNumbers) == 0 || slices.Contains(p.zoneNumbers, engine.Zone)) &&
		(len(p.kindNumbers) == 0 || slices.Contains(p.kindNumbers, engine.Kind))
}

// UpdateEndpoints applies an update of the endpoint list. It lowers thread limits at once when a pool loses engines; Tick raises them
// again.
func (l *Limiter) UpdateEndpoints(now admission.Time, kind admission.UpdateKind, list []admission.Endpoint) {
	if kind == admission.FailedPoll {
		return
	}
	if kind != admission.PartialUpdate {
		l.endpoints = l.endpoints[:0]
	}
	for _, endpoint := range list {
		l.updateEndpoint(endpoint)
	}
	l.countLiveCores()
	for number := 1; number < len(l.classes); number++ {
		c := &l.classes[number]
		if target := l.targetThreadLimit(c); c.threadLimit > target {
			c.threadLimit, c.limitChangedAt = target, now
		}
	}
}

func (l *Limiter) updateEndpoint(endpoint admission.Endpoint) {
	i := slices.IndexFunc(l.endpoints, func(known admission.Endpoint) bool { return known.Engine == endpoint.Engine })
	switch {
	case i >= 0 && endpoint.State == admission.Gone:
		l.endpoints = slices.Delete(l.endpoints, i, i+1)
	case i >= 0:
		l.endpoints[i] = endpoint
	case endpoint.State != admission.Gone:
		l.endpoints = append(l.endpoints, endpoint)
	}
}

// countLiveCores sums up, for each pool, the cores of its engines that accept new requests.
func (l *Limiter) countLiveCores() {
	for number := range l.pools {
		p := &l.pools[number]
		p.liveCores = 0
		for i := range l.endpoints {
			endpoint := &l.endpoints[i]
			if endpoint.State == admission.Live && l.InPool(number, endpoint) {
				p.liveCores += l.coresOf(endpoint)
			}
		}
		p.maxLiveCores = max(p.maxLiveCores, p.liveCores)
	}
}

func (l *Limiter) coresOf(endpoint *admission.Endpoint) float64 {
	if endpoint.Kind < 0 || endpoint.Kind >= len(l.coresByKind) {
		return 1
	}
	return max(1, l.coresByKind[endpoint.Kind])
}

// targetThreadLimit returns a class's thread limit for the live engines of its pool: MaxThreads scaled by the ratio of the pool's live
// cores to the most that it has had.
func (l *Limiter) targetThreadLimit(c *class) float64 {
	p := &l.pools[c.pool]
	if p.maxLiveCores == 0 {
		return c.MaxThreads
	}
	return c.MaxThreads * p.liveCores / p.maxLiveCores
}
