package admission

import (
	"fmt"
	"math"
)

// Failures add points to an engine's failure score, which halves every failureHalfLife. Each point halves the engine's concurrency
// limit and its placement weight, and at ejectionScore the engine is ejected: it gets no attempts until its score has decayed.
// Scores are relative to the lowest score in the pool, so a fault that affects all engines alike ejects none. Timed-out and
// cancelled attempts add points only at a limit below 1; at higher limits, load signals step the limit down instead.
const (
	failureHalfLife = 1500 * Millisecond // an engine that failed is tried again within about three seconds
	ejectionScore   = 3.0
	maxFailureScore = 8.0

	connectionFailurePoints = 2   // two in a row eject an engine
	silencePoints           = 1.5 // for a probe or a running attempt; one alone may be chance
	errorPoints             = 0.5 // single errors are common
	timeoutPoints           = 1
)

// ejectionLogInterval is the minimum time between two log lines about an engine's ejection, because an operator acts on the first.
const ejectionLogInterval = 10 * Second

// failureScore is an engine's score from this gateway's own failed attempts and probes.
type failureScore struct {
	points   float64 // as of addedAt
	addedAt  Time
	loggedAt Time // when its ejection was last logged; 0: never
}

// decayed returns the score after decay.
func (s *failureScore) decayed(now Time) float64 {
	if s.points == 0 {
		return 0
	}
	return s.points * math.Exp2(-float64(now-s.addedAt)/float64(failureHalfLife))
}

// add adds points to the decayed score.
func (s *failureScore) add(points float64, now Time) {
	s.points = min(maxFailureScore, s.decayed(now)+points)
	s.addedAt = now
}

// shouldLog reports whether to log an ejection that happens now, and if so records it as logged.
func (s *failureScore) shouldLog(now Time) bool {
	if s.loggedAt != 0 && now-s.loggedAt < ejectionLogInterval {
		return false
	}
	s.loggedAt = now
	return true
}

// addFailure adds points to an engine's failure score, reports the observation to peers unless it has no points, and logs an
// ejection.
func (c *Controller) addFailure(engine *engineState, points float64, observed Observation) {
	engine.failures.add(points, c.now)
	if points > 0 {
		c.reportObservation(engine, observed)
	}
	if engine.failures.points-c.leastFailureScore(0) >= ejectionScore && engine.failures.shouldLog(c.now) {
		c.host.LogEvent(fmt.Sprintf("engine %s ejected: no new requests until its failure score decays", engine.Engine))
	}
}

// failureScore returns an engine's score from this gateway's own failures, plus the score from peers' observations while those
// are fresh. Each witness adds at most one point, so three witnesses can eject an engine.
func (c *Controller) failureScore(engine *engineState) float64 {
	own := engine.failures.decayed(c.now)
	if c.now < engine.peers.scoreUntil {
		return own + engine.peers.score
	}
	return own
}

// leastFailureScore returns the lowest score among a pool's live engines.
func (c *Controller) leastFailureScore(pool int) float64 {
	least := maxFailureScore
	for i := range c.engines.items {
		if engine := &c.engines.items[i]; engine.State == Live && c.pools.contains(pool, engine) {
			least = min(least, c.failureScore(engine))
		}
	}
	return least
}
