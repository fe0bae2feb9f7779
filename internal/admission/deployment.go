package admission

// Deployment is what a router is told at start. A rule whose figures are zero is absent.
type Deployment struct {
	Gateways     int
	GatewayIndex int // the number of this one among them, from 0
	Classes      []Class
	Tenants      []Tenant
	CoresByKind  []float64 // by machine kind
	MemoryByKind []float64 // MB, by machine kind

	SupportsRanks        bool // engines heed ranks
	SupportsMemoryGrants bool // engines heed memory grants
	EnginesSwap          bool // an engine short of memory lets requests in and slows down
	ReportsCost          bool // answers tell work and memory
	SupportsCancel       bool // attempts can be called off
	SupportsProbes       bool
	ProbePrice           float64 // for one probe a request
	PeerMessages         bool    // routers may send each other messages
	PeerMessagePrice     float64 // for 256 bytes delivered a request
	MaxAttempts          int     // attempts of one request
	MaxRequests          int     // requests that the gateway can have in hand; 0: no limit
	RetryAfter           Time    // the longest retry-after time that clients follow; 0: they are told none
	PollsEndpoints       bool    // the list comes only when asked for

	WarmUpCapacityShare  float64 // part of its capacity that a cold engine has at the least
	WarmUpTime           Time
	WarmUpOverloadFactor float64 // multiple of its present capacity that makes a cold engine fall over
	WarmUpOverloadTime   Time
	RetryBurst           float64 // retries: this many and
	RetryRatio           float64 // this share of the requests taken
	RetryWindow          Time    // in any window of this length
	KeySettleTime        Time    // rest of a key after a doubtful attempt
	NoticeInterval       Time    // of notes on a running attempt; 0: none come
}

// Class is a class of requests.
type Class struct {
	Threads          int
	LatencyObjective Time
	ObjectivePerWork float64 // the latency target grows by this times work over threads
	Weight           float64
	LateWeightShare  float64 // share of the value after the latency target
	Effect           Effect
	DedupScope       DedupScope // engines that drop repeats
	DedupWindow      Time       // and how long
	Ordered          bool
	Zones            []int // the only zones allowed; nil: all
	Kinds            []int // the only machine kinds allowed; nil: all
	LoadsTables      bool  // holds its tables while it runs
	BlockedByLoads   bool  // stands still while a load holds its tables
}

// Tenant has a share of the service.
type Tenant struct {
	Share float64
}
