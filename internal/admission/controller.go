package admission

import (
	"math"
	"math/rand"
)

// tickInterval is the time between two calls of Tick. A queued request is abandoned at most this much too late.
const tickInterval = 20 * Millisecond

// Controller makes the decisions of one gateway. They rest on what the gateway itself observed and, if gateways exchange
// messages, on what its peers observed.
type Controller struct {
	host       Host
	deployment *Deployment
	random     *rand.Rand
	now        Time   // time of the event that the controller is handling
	tickedAt   Time   // when Tick was last called
	sequence   uint64 // sequence number of the latest request
	classOrder []int  // classes, highest priority weight first

	requests     requestTable
	queues       requestQueues
	keys         keyOrder
	tenants      tenantShares
	engines      engineTable
	pools        poolSet
	estimates    estimator
	slots        slotAdjuster
	slowStart    slowStart
	retries      retryBudget
	probes       probeCredit
	peerMessages peerMessageCredit

	pollAt   Time      // when to request the engine list again; 0: no poll is due
	snapshot *Snapshot // snapshot of an earlier process; nil: none
}

// New returns a controller with an empty engine list. The same seed and calls lead to the same actions.
func New(now Time, seed int64, d *Deployment, host Host) *Controller {
	random := rand.New(rand.NewSource(seed))
	c := &Controller{
		host:         host,
		deployment:   d,
		random:       random,
		now:          now,
		tickedAt:     now,
		classOrder:   classesByWeight(d.Classes),
		requests:     newRequestTable(),
		keys:         newKeyOrder(d),
		tenants:      newTenantShares(d),
		engines:      newEngineTable(),
		pools:        newPoolSet(now),
		estimates:    newEstimator(d),
		slots:        slotAdjuster{deployment: d, random: random},
		slowStart:    slowStart{deployment: d},
		retries:      newRetryBudget(d),
		probes:       probeCredit{credit: maxProbeCredit, cost: d.ProbeCost},
		peerMessages: peerMessageCredit{cost: d.PeerMessageCost},
	}
	c.queues = newRequestQueues(len(c.tenants.threads), len(d.Classes))
	if !d.SupportsProbes {
		c.probes.credit = math.Inf(-1)
	}
	if d.PollsEndpoints {
		host.SubscribeEndpoints()
	}
	host.ScheduleTick(now + tickInterval)
	return c
}

// SetPolicy sets the operator's policy. The caller must call it before the first request that has a policy class.
func (c *Controller) SetPolicy(policy Policy) { c.pools.policy = policy }

// HandleCapacityChange releases queued requests after the policy has started to allow a class more than before.
func (c *Controller) HandleCapacityChange(now Time) {
	c.now = now
	c.releaseQueued()
}

// HasRequest reports whether a request with that id is outstanding: queued or in flight.
func (c *Controller) HasRequest(id RequestID) bool {
	_, request := c.requests.find(id)
	return request != nil
}

// Tick does the work that is due by time alone: it sends probes, steps the concurrency limits of engines without a recent report,
// draws the random factors for limits below 1, cancels silent attempts and abandons requests that have waited too long. The host
// calls it at each time that the controller passed to ScheduleTick.
func (c *Controller) Tick(now Time) {
	c.now = now
	c.pollEndpoints()
	c.probeStaleEngines()
	for number := range c.pools.list {
		c.pools.list[number].hasWarm = c.hasWarmEngine(number)
	}
	for i := range c.engines.items {
		if engine := &c.engines.items[i]; engine.State == Live {
			c.tickEngine(engine)
		}
	}
	for i := range c.requests.items {
		c.tickRequest(requestIndex(i))
	}
	c.tickedAt = now
	for number := range c.pools.list {
		c.pools.list[number].adjustMinPrice()
	}
	c.estimates.updatePrices()
	c.keys.removeIdle(now)
	c.releaseQueued()
	c.host.ScheduleTick(now + tickInterval)
}

func (c *Controller) tickEngine(engine *engineState) {
	if !engine.probe.inFlight { // a request that waits for a probe's result keeps the factor that was drawn
		c.drawRandomFactor(engine)
	}
	if c.now-engine.load.reportAt >= staleReportAge && c.now-engine.concurrency.steppedAt >= staleReportAge/3 {
		c.adjustSlots(engine, c.loadSignal(engine), Second)
	}
}

func (c *Controller) tickRequest(index requestIndex) {
	request := c.requests.at(index)
	switch {
	case request.id == "": // an unused entry
	case request.attempt.inFlight:
		c.cancelIfSilent(request)
	default:
		c.shedIfLate(index)
	}
}
