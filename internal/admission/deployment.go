package admission

// Deployment is what a router is told at start. A rule whose figures are zero is absent.
type Deployment struct {
	Gateways int
	Me       int // the number of this one among them, from 0
	Classes  []Class
	Tenants  []Tenant
	Cores    []float64 // by machine kind
	Memory   []float64 // MB, by machine kind

	Ranked      bool // engines heed ranks
	Grants      bool // engines heed memory grants
	Swaps       bool // an engine short of memory lets requests in and slows down
	TellsCost   bool // answers tell work and memory
	Cancels     bool // attempts can be called off
	Probes      bool
	ProbePrice  float64 // for one probe a request
	Peers       bool    // routers may send each other messages
	PeerPrice   float64 // for 256 bytes delivered a request
	MaxAttempts int     // attempts of one request
	Seats       int     // requests that the gateway can have in hand; 0: no limit
	RetryAfter  Time    // the longest retry-after time that clients follow; 0: they are told none
	Asks        bool    // the list comes only when asked for

	ColdShare   float64 // part of its capacity that a cold engine has at the least
	WarmAfter   Time
	TipFactor   float64 // multiple of its present capacity that makes a cold engine fall over
	TipAfter    Time
	RetryBurst  float64 // retries: this many and
	RetryRatio  float64 // this share of the requests taken
	RetryWindow Time    // in any window of this length
	Settle      Time    // rest of a key after a doubtful attempt
	Pace        Time    // of notes on a running attempt; 0: none come
}

// Class is a class of requests.
type Class struct {
	Threads        int
	LatencyTarget  Time
	Stretch        float64 // the latency target grows by this times work over threads
	Value          float64
	LateShare      float64 // share of the value after the latency target
	Effect         Effect
	DedupWithin    Group // engines that drop repeats
	DedupWindow    Time  // and how long
	InOrder        bool
	Zones          []int // the only zones allowed; nil: all
	Kinds          []int // the only machine kinds allowed; nil: all
	Load           bool  // holds its tables while it runs
	BlockedByLoads bool  // stands still while a load holds its tables
}

// Tenant has a share of the service.
type Tenant struct {
	Share float64
}
