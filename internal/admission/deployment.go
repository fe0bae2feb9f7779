package admission

// Deployment describes the gateways, the engines and the clients to a controller at its start. A rule whose values are all
// zero is disabled.
type Deployment struct {
	Gateways     int // number of gateways
	GatewayIndex int // index of this gateway, from 0
	Classes      []Class
	Tenants      []Tenant // empty: all requests belong to one tenant

	// Resources of an engine, by machine kind.
	CoresByKind  []float64
	MemoryByKind []float64 // MB

	// Capabilities of engines and clients.
	SupportsRanks        bool
	SupportsMemoryGrants bool
	EnginesSwap          bool // an engine short of memory still accepts requests but slows down
	ReportsCost          bool // answers report work and memory
	SupportsCancel       bool // attempts can be cancelled
	NoticeInterval       Time // time between notices about a running attempt; 0: engines send none
	RetryAfter           Time // sent with every rejection: the longest wait that clients obey; 0: none
	PollsEndpoints       bool // the engine list arrives only when the gateway requests it
	MaxRequests          int  // maximum number of outstanding requests at the gateway; 0: no limit

	// Costs of messages, as a share of the service.
	SupportsProbes  bool
	ProbeCost       float64 // cost of one probe per request
	PeerMessages    bool    // gateways may send each other messages
	PeerMessageCost float64 // cost of 256 bytes delivered per request

	// During its first WarmUpTime, an engine fails if it is sent more than WarmUpOverloadFactor times its present capacity
	// within WarmUpOverloadTime.
	WarmUpCapacityShare  float64 // lowest share of its full capacity that an engine has while it warms up, 0 to 1
	WarmUpTime           Time
	WarmUpOverloadFactor float64
	WarmUpOverloadTime   Time

	// In any window of RetryWindow, retries are limited to RetryBurst plus RetryRatio times the requests received.
	MaxAttempts int // maximum attempts of one request; 0: no limit
	RetryBurst  float64
	RetryRatio  float64
	RetryWindow Time

	KeyCooldown Time // how long the next request of a key waits after an attempt that may still be running
}

// Class is a class of requests.
type Class struct {
	Threads          int     // threads that a request uses on its engine
	LatencyObjective Time    // time within which a request should be answered
	ObjectivePerWork float64 // the objective grows by this factor times work divided by threads
	Weight           float64 // priority weight: value of a request that is answered in time
	LateWeightShare  float64 // share of the weight that an answer after the objective still has, 0 to 1
	RepeatEffect     RepeatEffect
	DedupScope       DedupScope // in a Deduplicated class: the engines that drop repeats
	DedupWindow      Time       // in a Deduplicated class: how long they drop repeats
	Ordered          bool       // requests that share a key run one after another
	Zones            []int      // the only zones allowed; nil: all
	Kinds            []int      // the only machine kinds allowed; nil: all
	LoadsTables      bool       // a request locks its tables while it runs
	BlockedByLoads   bool       // a request waits while a load locks its tables
}

// Tenant is a tenant of the service.
type Tenant struct {
	Share float64 // share of the capacity that the tenant should get while others wait, 0 to 1
}
