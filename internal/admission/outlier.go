package admission

import (
	"fmt"
	"math"
)

// Failures add to an engine's score, which halves every failureHalfLife; its bound and its weight in the draw halve with
// each point, and at ejectionScore it is ejected: it gets nothing until the score has decayed. It counts above the least
// of the fleet's: what strikes all engines alike ejects none. A time-out or a hopeless attempt adds a point where the bound
// is at zero: it can't step down from an engine that others have jammed.
const (
	failureHalfLife = 1500 * Millisecond // a struck engine is back under ejectionScore within some three seconds
	ejectionScore   = 3.0
	maxFailureScore = 8.0

	connectionFailurePoints = 2   // so that two in a row eject an engine
	silencePoints           = 1.5 // of a probe or of a running attempt, as one may be chance
	errorPoints             = 0.5 // as single errors are common
	timeoutPoints           = 1
)

// ejectionLogInterval is how often an ejection is logged again: a person acts on the first line.
const ejectionLogInterval = 10 * Second

// failureScore is what this gateway's own failed attempts and probes count against an engine.
type failureScore struct {
	points   float64 // as of updatedAt
	addedAt  Time
	loggedAt Time // when its ejection was last logged; 0: never
}

// decayed is what is left of the score.
func (s *failureScore) decayed(now Time) float64 {
	if s.points == 0 {
		return 0
	}
	return s.points * math.Exp2(-float64(now-s.addedAt)/float64(failureHalfLife))
}

// add adds points to what is left of the score.
func (s *failureScore) add(points float64, now Time) {
	s.points = min(maxFailureScore, s.decayed(now)+points)
	s.addedAt = now
}

// shouldLog tells whether an ejection now deserves a line of the log, and counts it as logged.
func (s *failureScore) shouldLog(now Time) bool {
	if s.loggedAt != 0 && now-s.loggedAt < ejectionLogInterval {
		return false
	}
	s.loggedAt = now
	return true
}

// addFailure counts points against an engine, tells peers what was seen, and logs an ejection.
func (c *Controller) addFailure(engine *engineState, points float64, saw Observation) {
	engine.failures.add(points, c.now)
	if points > 0 {
		c.reportObservation(engine, saw)
	}
	if engine.failures.points-c.leastFailureScore(0) >= ejectionScore && engine.failures.shouldLog(c.now) {
		c.host.LogEvent(fmt.Sprintf("engine %s ejected: no new requests until its failure score decays", engine.Engine))
	}
}

// failureScore is an engine's own score and, while it counts, what peers say: one point a witness, so three eject.
func (c *Controller) failureScore(engine *engineState) float64 {
	own := engine.failures.decayed(c.now)
	if c.now < engine.peers.scoreUntil {
		return own + engine.peers.score
	}
	return own
}

// leastFailureScore is the least score of a pool's live engines.
func (c *Controller) leastFailureScore(pool int) float64 {
	least := maxFailureScore
	for i := range c.engines.items {
		if engine := &c.engines.items[i]; engine.State == Live && c.pools.contains(pool, engine) {
			least = min(least, c.failureScore(engine))
		}
	}
	return least
}
