package admission

import (
	"fmt"
	"math"
)

// Failures add points to an engine's failure score, which halves every failureHalfLife. An engine's bound and its weight in the
// draw halve with each point, and at ejectionScore it is ejected: it gets no attempts until the score has decayed. Scores
// count above the lowest one of the pool, so a fault that strikes all engines alike ejects none. Time-outs and cancelled
// attempts add points only at a bound of zero; above that the bound steps down instead.
const (
	failureHalfLife = 1500 * Millisecond // so that an engine that failed is tried again within some three seconds
	ejectionScore   = 3.0
	maxFailureScore = 8.0

	connectionFailurePoints = 2   // two in a row eject an engine
	silencePoints           = 1.5 // of a probe or a running attempt; one alone may be chance
	errorPoints             = 0.5 // single errors are common
	timeoutPoints           = 1
)

// ejectionLogInterval is the shortest time between two log lines on an engine's ejection, because a person acts on the first.
const ejectionLogInterval = 10 * Second

// failureScore is what this gateway's own failed attempts and probes count against an engine.
type failureScore struct {
	points   float64 // as of addedAt
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

// failureScore returns an engine's score by our own failures, plus what peers' failures count for while they are fresh: one
// point a witness, so that three eject an engine.
func (c *Controller) failureScore(engine *engineState) float64 {
	own := engine.failures.decayed(c.now)
	if c.now < engine.peers.scoreUntil {
		return own + engine.peers.score
	}
	return own
}

// leastFailureScore returns the lowest score of a pool's live engines.
func (c *Controller) leastFailureScore(pool int) float64 {
	least := maxFailureScore
	for i := range c.engines.items {
		if engine := &c.engines.items[i]; engine.State == Live && c.pools.contains(pool, engine) {
			least = min(least, c.failureScore(engine))
		}
	}
	return least
}
