package admission

// peerBudget is the maximum cost of messages to peers, as a share of the service. Budgets of 0.001 and 0.005 scored lower.
const peerBudget = 0.0003

// Observation is what a gateway itself observed of an engine.
type Observation uint8

// The kinds of observations. Each comes with the engine's latest load report.
const (
	Reported   Observation = iota // the engine sent a load report
	Answered                      // the engine served a request
	Erred                         // the engine sent an error, or a corrupt or lost answer; this and the following kinds are failures
	Unanswered                    // an attempt or a probe got no answer in time
	Unreached                     // a connection could not be opened, or it broke
)

func (o Observation) String() string {
	return [...]string{"reported", "answered", "erred", "unanswered", "unreached"}[o]
}

// IsFailure reports whether an observation counts against the engine.
func (o Observation) IsFailure() bool { return o >= Erred }

// PeerReport summarizes what peers observed of an engine since one of its starts.
type PeerReport struct {
	Engine          EngineID
	EngineStartedAt Time    // the engine's start that the observations belong to
	Report          Report  // the latest load report that a peer received
	ReportAt        Time    // when that peer received it
	FailureScore    float64 // points for the witnesses' failures, at most one per witness
	Witnesses       int     // peers whose last attempt at the engine failed after the last answer that any gateway got from it
	ScoreUntil      Time    // when the score expires
}

// Ejects reports whether the peers' score alone ejects the engine, provided that all other engines are healthy.
func (r *PeerReport) Ejects() bool { return r.FailureScore >= ejectionScore }

// peerView holds what peers observed of an engine.
type peerView struct {
	report     Report
	reportAt   Time
	score      float64
	scoreUntil Time
}

// peerMessageCredit counts the bytes of messages to peers that requests have paid for.
type peerMessageCredit struct {
	bytes float64 // bytes that the host was not informed of yet
	cost  float64 // Deployment.PeerMessageCost
}

// earn adds the bytes that one request pays for.
func (m *peerMessageCredit) earn() { m.bytes += peerBudget * 256 / max(peerBudget, m.cost) }

// reportObservation passes to the host what this gateway itself observed of an engine, and the number of bytes that requests have
// paid for since the previous observation.
func (c *Controller) reportObservation(engine *engineState, observed Observation) {
	if !c.deployment.PeerMessages {
		return
	}
	c.host.ReportObservation(engine.Engine, observed, engine.load.report, c.peerMessages.bytes)
	c.peerMessages.bytes = 0
}

// HandlePeerReport processes what peers observed of an engine. Their load reports update the mean busy share and are used to step
// the limit when this gateway's own report is stale. They don't affect placement, because all gateways would choose the same
// engines. Their failures add to the engine's failure score until they expire. A gateway that receives nothing makes the same
// decisions as one without peers.
func (c *Controller) HandlePeerReport(now Time, report *PeerReport) {
	c.now = now
	index, ok := c.engines.byName[report.Engine]
	if !ok || c.engines.at(index).StartedAt != report.EngineStartedAt {
		return
	}
	engine := c.engines.at(index)
	engine.peers.score, engine.peers.scoreUntil = report.FailureScore, report.ScoreUntil
	if report.ReportAt > engine.peers.reportAt {
		engine.peers.report, engine.peers.reportAt = report.Report, report.ReportAt
		c.estimates.learnBusyShare(engine.cores, report.Report, report.Report.scarcest())
	}
	c.releaseQueued()
}
