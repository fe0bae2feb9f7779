package resourcegroup

import (
	"slices"

	"magpiebank/internal/admission"
)

// pool is the state of one pool.
type pool struct {
	Pool
	inUse        bool  // the number is taken
	zoneNumbers  []int // empty: all
	kindNumbers  []int // empty: all
	liveCores    float64
	maxLiveCores float64 // the most live cores since the pool has these zones and kinds: limits are meant for these
}

// InPool reports whether an engine belongs to a pool.
func (l *Limiter) InPool(number int, engine *admission.Endpoint) bool {
	p := &l.pools[number]
	return (len(p.zoneNumbers) == 0 || slices.Contains(p.zoneNumbers, engine.Zone)) &&
		(len(p.kindNumbers) == 0 || slices.Contains(p.kindNumbers, engine.Kind))
}

// UpdateEndpoints takes in an update of the endpoint list. Thread limits are lowered at once as a pool loses engines; Tick raises
// them again.
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

// countLiveCores sums up, for each pool, the cores of its engines that take new requests.
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

// targetThreadLimit is a class's thread limit with the live engines of its pool: in proportion to the most that the pool had.
func (l *Limiter) targetThreadLimit(c *class) float64 {
	p := &l.pools[c.pool]
	if p.maxLiveCores == 0 {
		return c.MaxThreads
	}
	return c.MaxThreads * p.liveCores / p.maxLiveCores
}
