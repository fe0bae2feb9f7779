package admission

// Deployment is what a controller is told at start of the gateways, the engines and the clients. A rule whose figures are
// zero is absent.
type Deployment struct {
	Gateways     int // how many there are
	GatewayIndex int // the number of this one among them, from 0
	Classes      []Class
	Tenants      []Tenant // none: all requests are of one tenant

	// What engines have, by machine kind.
	CoresByKind  []float64
	MemoryByKind []float64 // MB

	// What engines and clients can do.
	SupportsRanks        bool
	SupportsMemoryGrants bool
	EnginesSwap          bool // an engine short of memory lets requests in and slows down
	ReportsCost          bool // answers tell work and memory
	SupportsCancel       bool // attempts can be cancelled
	NoticeInterval       Time // of notices about a running attempt; 0: none come
	RetryAfter           Time // told with every rejection: the longest that clients follow; 0: none
	PollsEndpoints       bool // the engine list comes only when it is asked for
	MaxRequests          int  // requests that the gateway can have in hand; 0: no limit

	// What messages cost, as a share of the service.
	SupportsProbes  bool
	ProbeCost       float64 // of one probe for each request
	PeerMessages    bool    // gateways may send each other messages
	PeerMessageCost float64 // of 256 bytes delivered for each request

	// An engine that has just started fails where it is sent more than WarmUpOverloadFactor times its present capacity
	// within WarmUpOverloadTime, during its first WarmUpTime.
	WarmUpCapacityShare  float64 // the part of its capacity that it has at the least, 0 to 1
	WarmUpTime           Time
	WarmUpOverloadFactor float64
	WarmUpOverloadTime   Time

	// Retries are limited to RetryBurst and RetryRatio of the requests taken, in any window of RetryWindow.
	MaxAttempts int // of one request; 0: no limit
	RetryBurst  float64
	RetryRatio  float64
	RetryWindow Time

	KeyCooldown Time // that requests of a key wait after an attempt that may still run
}

// Class is a class of requests.
type Class struct {
	Threads          int     // that a request takes on its engine
	LatencyObjective Time    // by when a request should be answered
	ObjectivePerWork float64 // the objective grows by this times work over threads
	Weight           float64 // priority weight: what a request answered in time is worth
	LateWeightShare  float64 // the share of the weight that is left after the objective, 0 to 1
	RepeatEffect     RepeatEffect
	DedupScope       DedupScope // of a Deduplicated class: the engines that drop repeats
	DedupWindow      Time       // and for how long
	Ordered          bool       // requests that share a key run one after another
	Zones            []int      // the only zones allowed; nil: all
	Kinds            []int      // the only machine kinds allowed; nil: all
	LoadsTables      bool       // holds its tables while it runs
	BlockedByLoads   bool       // stands still while a load holds its tables
}

// Tenant is a tenant of the service.
type Tenant struct {
	Share float64 // that it should have while others wait, 0 to 1
}
