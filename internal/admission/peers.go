package admission

// peerBudget is the share of the service that messages to peers may cost. Budgets of 0.001 and 0.005 scored lower.
const peerBudget = 0.0003

// Observation is what a gateway saw of an engine itself.
type Observation uint8

// The kinds of observations. Each comes with the engine's latest report.
const (
	Reported   Observation = iota
	Answered               // a request was served
	Erred                  // an error, or an answer that was corrupt or lost; from here on they count against the engine
	Unanswered             // no answer in time, of an attempt or a probe
	Unreached              // no connection, or a broken one
)

func (o Observation) String() string {
	return [...]string{"reported", "answered", "erred", "unanswered", "unreached"}[o]
}

// IsFailure tells whether an observation counts against the engine.
func (o Observation) IsFailure() bool { return o >= Erred }

// PeerReport sums up what peers observed of one start of an engine.
type PeerReport struct {
	Engine          EngineID
	EngineStartedAt Time    // the engine's start that they observed
	Report          Report  // the latest load report that a peer had
	ReportAt        Time    // when the peer had it
	FailureScore    float64 // what the witnesses' failures count for: a point each, or less
	Witnesses       int     // peers whose last attempt there failed after the last answer that anyone had from there
	ScoreUntil      Time    // until when the score counts
}

// Ejects tells whether what peers say ejects an engine by itself, where all others are sound.
func (f *PeerReport) Ejects() bool { return f.FailureScore >= ejectionScore }

// peerView is what peers observed of an engine.
type peerView struct {
	report     Report
	reportAt   Time
	score      float64
	scoreUntil Time
}

// peerMessages counts the bytes to peers that the requests taken have paid for.
type peerMessages struct {
	bytes float64 // not handed on yet
	price float64 // see Deployment.PeerMessageCost
}

// earn adds what one request pays for.
func (m *peerMessages) earn() { m.bytes += peerBudget * 256 / max(peerBudget, m.price) }

// reportObservation hands on to peers what this gateway saw of an engine itself, and how many bytes the requests taken since
// the last one have paid for.
func (c *Controller) reportObservation(engine *engineState, saw Observation) {
	if !c.deployment.PeerMessages {
		return
	}
	c.host.ReportObservation(engine.Engine, saw, engine.load.report, c.peerMessages.bytes)
	c.peerMessages.bytes = 0
}

// HandlePeerReport takes in what peers saw of an engine. Their load reports go into the mean busy share, and step a
// bound where our own report is stale; they don't enter the draw, where all gateways would choose the same engines. Their
// failures add to the engine's failure score until they are old. A gateway that receives nothing decides as one without peers.
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
