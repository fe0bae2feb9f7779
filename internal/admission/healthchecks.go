package admission

// Probes are paid for by the requests taken: their price stays at probeBudget of the service, too small to be
// seen in it, however many gateways there are, and reports come when there is something to send.
const (
	probeBudget    = 0.005
	maxProbeCredit = 8.0               // a stalled gateway doesn't probe for all that came meanwhile
	minProbeGap    = 200 * Millisecond // reports are made anew no faster
	loadTurnover   = 800 * Millisecond // of an engine's load, by and large; a look each 200 or 400 ms told no more
)

// probeCredit counts how many probes the requests taken have paid for.
type probeCredit struct {
	credit float64 // -Inf: the deployment has no probes
	cost   float64 // of one probe, in requests' service; see Deployment.ProbePrice
}

// earn adds what one request pays for.
func (p *probeCredit) earn() {
	p.credit = min(maxProbeCredit, p.credit+probeBudget/max(probeBudget/maxProbeCredit, p.cost))
}

// affordsOne tells whether a probe that an attempt waits for may be sent.
func (p *probeCredit) affordsOne() bool { return p.credit >= 1 }

// hasSpare tells whether more is there than is kept for probes that an attempt waits for.
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
