package admission

// Each request received pays for a share of a probe, so that all probes together cost at most probeBudget of the service, however
// many gateways there are, and reports arrive while there are requests to place.
const (
	probeBudget    = 0.005
	maxProbeCredit = 8.0               // prevents a burst of probes after a stall of the gateway
	minProbeGap    = 200 * Millisecond // engines don't create new reports more often
	loadTurnover   = 800 * Millisecond // time in which an engine's load changes; probes every 200 or 400 ms brought no benefit
)

// probeCredit counts the probes that requests have paid for.
type probeCredit struct {
	credit float64 // number of probes; -Inf: the deployment has no probes
	cost   float64 // Deployment.ProbeCost
}

// earn adds the credit for one request.
func (p *probeCredit) earn() {
	p.credit = min(maxProbeCredit, p.credit+probeBudget/max(probeBudget/maxProbeCredit, p.cost))
}

// affordsOne reports whether there is credit for a probe whose result a queued request waits for.
func (p *probeCredit) affordsOne() bool { return p.credit >= 1 }

// hasSpare reports whether there is credit beyond the half that is reserved for probes whose results queued requests wait for.
func (p *probeCredit) hasSpare() bool { return p.credit >= maxProbeCredit/2 }

// spend deducts one probe.
func (p *probeCredit) spend() { p.credit-- }

// probeState describes the latest probe of an engine.
type probeState struct {
	inFlight bool
	sentAt   Time
}

// probeStaleEngines probes the engines whose last probe is at least loadTurnover old, the oldest first, while there is spare
// credit.
func (c *Controller) probeStaleEngines() {
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

// HandleProbeResult processes the result of a probe.
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
