package resourcegroup

import "slices"

// Intersect returns a plan that allows only what both plans allow. Classes that have the same name in both plans get the lower of each
// two limits and the engines that are in both pools, and are rejected if either plan rejects them. A class of a that b lacks is rejected.
// The conditions are those of a's classes, so the caller has to make sure that both plans put a request into the same class.
func Intersect(a, b *Plan) *Plan {
	out := &Plan{}
	for _, class := range a.Classes {
		i := slices.IndexFunc(b.Classes, func(other Class) bool { return other.Name == class.Name })
		if i < 0 {
			class.RejectText = "its class is changing"
			class.Pool, class.ClusterWide = "", false
			out.Classes = append(out.Classes, class)
			continue
		}
		other := &b.Classes[i]
		class.limitBy(other)
		pool, restricted, empty := intersectPools(a.poolByName(class.Pool), b.poolByName(other.Pool))
		class.Pool = ""
		switch {
		case empty:
			class.RejectText = "its engines are changing"
		case restricted:
			class.Pool = "both of " + class.Name
			pool.Name = class.Pool
			out.Pools = append(out.Pools, pool)
		}
		out.Classes = append(out.Classes, class)
	}
	return out
}

// limitBy lowers the limits of a class to those of another class. The class becomes ClusterWide if the other one is, and gets the other's
// RejectText if it has none.
func (c *Class) limitBy(other *Class) {
	c.MaxThreads = lowerLimit(c.MaxThreads, other.MaxThreads)
	c.WorkMillisPerSecond = lowerLimit(c.WorkMillisPerSecond, other.WorkMillisPerSecond)
	c.MaxWaiting = lowerLimit(c.MaxWaiting, other.MaxWaiting)
	c.ClusterWide = c.ClusterWide || other.ClusterWide
	if c.RejectText == "" {
		c.RejectText = other.RejectText
	}
}

// lowerLimit returns the lower of two limits, where 0 means no limit.
func lowerLimit[T int | float64](x, y T) T {
	if x == 0 || y == 0 {
		return x + y
	}
	return min(x, y)
}

// poolByName returns the pool with the given name, or a pool of all engines if the plan has no such pool.
func (p *Plan) poolByName(name string) Pool {
	for _, pool := range p.Pools {
		if pool.Name == name {
			return pool
		}
	}
	return Pool{}
}

// intersectPools returns a pool, without a name, of the engines that are in both pools. restricted reports whether the pool excludes
// any zone or kind, and empty whether no engine can be in both.
func intersectPools(x, y Pool) (pool Pool, restricted, empty bool) {
	var noZone, noKind bool
	pool.Zones, noZone = intersectNames(x.Zones, y.Zones)
	pool.Kinds, noKind = intersectNames(x.Kinds, y.Kinds)
	return pool, len(pool.Zones)+len(pool.Kinds) > 0, noZone || noKind
}

// intersectNames returns the names that are in both lists. An empty list allows all names. empty reports whether no name is allowed.
func intersectNames(x, y []string) (names []string, empty bool) {
	if len(x) == 0 || len(y) == 0 {
		return append(slices.Clone(x), y...), false
	}
	for _, name := range x {
		if slices.Contains(y, name) {
			names = append(names, name)
		}
	}
	return names, len(names) == 0
}
