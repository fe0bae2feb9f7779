// Package admission decides, for one router, which request runs where and when.
package admission

// RequestID names a request and EngineID an engine, as the protocol gives them.
type (
	RequestID string
	EngineID  string
)

// Time is a point on the router's clock or a length of time, in tenths of a millisecond.
type Time int64

// Lengths of time.
const (
	Millisecond Time = 10
	Second      Time = 1000 * Millisecond
)

// Outcome tells how a attempt ended.
type Outcome uint8

// The outcomes of attempts and probes.
const (
	Served      Outcome = iota
	Errored             // the engine gave an error; it may have run
	Full                // turned away unseen
	TimedOut            // no answer in time; it may still run
	Unreachable         // no connection
	Reset               // the connection broke
	Cancelled           // called off; it may have run
	Unsent              // never sent
	Lost                // the answer was spoilt, cut off or never came, for what the wire knows; it may have run
)

// NeverRan tells whether the outcome proves that the engine did not begin the request.
func (o Outcome) NeverRan() bool { return o == Full || o == Unreachable || o == Unsent }

// Request is a client's request as it arrives.
type Request struct {
	ID       RequestID
	Deadline Time // when the client stops waiting
	Class    int  // index into Deployment.Classes
	Tenant   int  // index into Deployment.Tenants; one that is out of range counts as 0
	Key      string
	Tables   int // number of the group of tables that it reads or loads
	Estimate Estimate
}

// AttemptResult tells how an attempt of a request ended.
type AttemptResult struct {
	Request  RequestID
	Outcome  Outcome
	Answered bool    // the client has its final answer
	Work     Time    // as the answer tells; 0: not told
	Memory   float64 // MB, as the answer tells; 0: not told
	Report   Report  // of the engine, as the answer tells; NoReport: not told
}

// Estimate is what is known of a request before it has run; a figure of zero is not told.
type Estimate struct {
	Work        Time    // on one thread, usually
	WorkP90     Time    // that nine of ten stay under
	Memory      float64 // MB
	PolicyClass int     // into which an operator's rules put it,
	ShadowClass int     // and those that are rehearsed; nothing is decided by it
	Prior       PriorAttempt
}

// PriorAttempt is what is known of a request's attempts by a process before this one; that of a new request is zero.
type PriorAttempt struct {
	MayHaveRun  bool // one was out whose end doesn't prove that nothing ran
	SentAt      Time // when it went out
	Zone, Group int  // of its engine
}

// EndpointState is what the engine list says of an engine.
type EndpointState uint8

// The states of a listed engine.
const (
	Live EndpointState = iota
	Draining
	Gone
)

// UpdateKind tells what a delivery of the engine list holds.
type UpdateKind uint8

// The forms of a list.
const (
	PartialUpdate UpdateKind = iota // the changed entries only
	FullUpdate                      // all entries
	CachedUpdate                    // all entries as last known; may be old
	FailedPoll                      // nothing: a call failed, the old list stays
)

// Endpoint is one entry of the engine list.
type Endpoint struct {
	Engine            EngineID
	Zone, Kind, Group int
	State             EndpointState
	Since             Time // last start; 0: long ago
}

// Report is an engine's load report: queries held, and the shares of its cores, memory and disks that are in use.
// A value below 0 is absent.
type Report struct {
	InFlight    float64 `json:"Held"` // stored snapshots have the names of before
	Utilization float64 `json:"Util"`
	Memory      float64
	Disks       float64
}

// scarcest is the share of what is used most.
func (r Report) scarcest() float64 { return max(r.Utilization, r.Memory, r.Disks) }

// NoReport has no value at all.
var NoReport = Report{-1, -1, -1, -1}

// NoticeKind is a kind of note about a running attempt.
type NoticeKind uint8

// The kinds of notes.
const (
	ProgressNotice NoticeKind = iota // value: the share done
	SpillNotice                      // value: MB missing
	WaitNotice                       // value: 1 for memory, 2 for a load
)

// Effect tells what a second run of a request would do.
type Effect uint8

// The effects of classes.
const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// DedupScope tells which engines drop repeats of a deduplicated request.
type DedupScope uint8

// The groups of engines.
const (
	AllEngines DedupScope = iota
	SameZone
	SameCell
)

// Observation is what a router saw of an engine itself.
type Observation uint8

// The kinds of sights. Each comes with the engine's latest report.
const (
	Reported   Observation = iota
	Answered               // a request came back well
	Erred                  // the rest count as failure score: an error, or an answer that was spoilt or lost
	Unanswered             // silence, of a request or a probe
	Unreached              // no connection, or a broken one
)

func (s Observation) String() string {
	return [...]string{"reported", "answered", "erred", "unanswered", "unreached"}[s]
}

// IsFailure tells whether a sight counts as failure score.
func (s Observation) IsFailure() bool { return s >= Erred }

// PeerReport is what others' evidence tells of one start of an engine.
type PeerReport struct {
	Engine       EngineID
	Since        Time
	Report       Report // the latest that was heard
	ReportAt     Time   // and when its teller had it
	FailureScore float64
	Witnesses    int  // gateways whose last try there failed, after anyone's last answer from there; Against: what they weigh
	ScoreUntil   Time // and until when that counts
}
