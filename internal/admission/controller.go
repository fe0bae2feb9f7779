package admission

import (
	"math"
	"math/rand"
)

// tickInterval is the time between two calls of Tick. A queued request is given up at most this late.
const tickInterval = 20 * Millisecond

// Controller decides for one gateway, from what it has seen and, where gateways exchange messages, from what peers observed.
type Controller struct {
	host       Host
	deployment *Deployment
	random     *rand.Rand
	now        Time // of the event that is handled
	tickedAt   Time // when Tick was last called
	sequence   uint64
	classOrder []int // classes, highest priority weight first

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
	peerMessages peerMessages

	pollAt   Time      // when to ask for the engine list again; 0: not
	snapshot *Snapshot // of a process before this one; nil: there is none
}

// New returns a controller that knows no engine yet. The same seed and calls lead to the same actions.
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
		peerMessages: peerMessages{price: d.PeerMessageCost},
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

// SetPolicy hands over what an operator's classes allow, before the first request that has one.
func (c *Controller) SetPolicy(policy Policy) { c.pools.policy = policy }

// HandleCapacityChange releases queued requests after the policy has come to allow a class more than before.
func (c *Controller) HandleCapacityChange(now Time) {
	c.now = now
	c.releaseQueued()
}

// HasRequest tells whether a request of that id is queued or in flight.
func (c *Controller) HasRequest(id RequestID) bool {
	_, request := c.requests.find(id)
	return request != nil
}

// Tick does what is due by time alone: probes, steps of bounds where no report comes, the draw for bounds of zero, silent
// attempts, requests that have waited too long. The host calls it when ScheduleTick asked for it.
func (c *Controller) Tick(now Time) {
	c.now = now
	c.pollEndpoints()
	c.probeLongestUnseen()
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
	if !engine.probe.inFlight { // the request that a probe was sent for waits for its result
		c.drawRandomFactor(engine)
	}
	if c.now-engine.load.reportAt >= staleReportAge && c.now-engine.limit.steppedAt >= staleReportAge/3 {
		c.adjustSlots(engine, c.loadSignal(engine), Second)
	}
}

func (c *Controller) tickRequest(index requestIndex) {
	request := c.requests.at(index)
	switch {
	case request.id == "": // a free place
	case request.attempt.inFlight:
		c.cancelIfSilent(request)
	default:
		c.shedIfLate(index)
	}
}
