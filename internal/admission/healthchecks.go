package admission

// Probes are paid for by the requests taken, so that all probes together cost at most probeBudget of the service, however
// many gateways there are, and reports come when there are requests to place.
const (
	probeBudget    = 0.005
	maxProbeCredit = 8.0               // so that a gateway that stood still doesn't send a burst of probes
	minProbeGap    = 200 * Millisecond // engines make new reports no faster
	loadTurnover   = 800 * Millisecond // time in which an engine's load turns over; probes every 200 or 400 ms gained nothing
)

// probeCredit counts how many probes the requests taken have paid for.
type probeCredit struct {
	credit float64 // -Inf: the deployment has no probes
	cost   float64 // see Deployment.ProbeCost
}

// earn adds what one request pays for.
func (p *probeCredit) earn() {
	p.credit = min(maxProbeCredit, p.credit+probeBudget/max(probeBudget/maxProbeCredit, p.cost))
}

// affordsOne tells whether a probe that an attempt waits for may be sent.
func (p *probeCredit) affordsOne() bool { return p.credit >= 1 }

// hasSpare tells whether there is credit beyond the half that is reserved for probes that an attempt waits for.
func (p *probeCredit) hasSpare() bool { return p.credit >= maxProbeCredit/2 }

// spend takes the price of one probe.
func (p *probeCredit) spend() { p.credit-- }

// probeState is the latest probe of an engine.
type probeState struct {
	inFlight bool
	sentAt   Time
}

// probeLongestUnseen probes the engines that were not probed for longest, while there is credit to spare.
func (c *Controller) probeLongestUnseen() {
	for c.probes.hasSpare() {
		next := noEngine
		oldest := c.now - loadTurnover + 1
		for i := range c.engines.items {
			engine := &c.engines.items[i]
			if engine.State == Live && !engine.probe.inFlight && engine.probe.sentAt < oldest {
				next = engineIndex(i)
				oldest = engine.probe.sentAt
			}
		}
		if next == noEngine {
			return
		}
		c.probeEngine(c.engines.at(next))
	}
}

func (c *Controller) probeEngine(engine *engineState) {
	c.probes.spend()
	engine.probe.inFlight = true
	engine.probe.sentAt = c.now
	c.host.ProbeEngine(engine.Engine)
}

// HandleProbeResult takes in the result of a probe.
func (c *Controller) HandleProbeResult(now Time, name EngineID, outcome Outcome, report Report) {
	c.now = now
	index, ok := c.engines.byName[name]
	if !ok {
		return
	}
	engine := c.engines.at(index)
	engine.probe.inFlight = false
	if outcome != Served {
		c.addFailure(engine, silencePoints, Unanswered)
		return
	}
	c.applyReport(index, report)
	c.releaseQueued()
}
