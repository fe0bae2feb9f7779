package admission

// RequestID names a request, as the protocol gives it.
type RequestID string

// EngineID names an engine, as the engine list gives it.
type EngineID string

// Time is a point on the gateway's clock or a length of time, in tenths of a millisecond.
type Time int64

// Lengths of time.
const (
	Millisecond Time = 10
	Second      Time = 1000 * Millisecond
)

// Request is a client's request as it arrives.
type Request struct {
	ID         RequestID
	Deadline   Time   // when the client stops waiting
	Class      int    // index into Deployment.Classes
	Tenant     int    // index into Deployment.Tenants; one that is out of range counts as 0
	Key        string // requests of an ordered class that share it run one after another; "": none
	TableGroup int    // number of the group of tables that it reads or loads
	Estimate   Estimate
}

// Estimate is what is known of a request before it has run; a figure of zero is not known.
type Estimate struct {
	Work        Time    // on one thread, usually
	WorkP90     Time    // that nine of ten such requests stay under
	Memory      float64 // MB
	PolicyClass int     // the class of the operator's policy in force; 0: none
	ShadowClass int     // the class of a policy that is rehearsed; nothing is decided by it
	Prior       PriorAttempt
}

// PriorAttempt is an attempt that may have run. Estimate has the one that a process before this one made; that of a new
// request is zero.
type PriorAttempt struct {
	MayHaveRun  bool // an attempt ended without proof that nothing ran
	SentAt      Time // when the first such attempt was sent
	Zone, Group int  // of its engine
}

// Outcome tells how an attempt or a probe ended.
type Outcome uint8

// The outcomes of attempts and probes.
const (
	Served      Outcome = iota
	Errored             // the engine gave an error; the request may have run
	EngineFull          // the engine rejected it unseen
	TimedOut            // no answer in time; it may still run
	Unreachable         // no connection
	Reset               // the connection broke
	Cancelled           // it was cancelled; it may have run
	Unsent              // it was never sent
	AnswerLost          // the answer was corrupt, cut off or never came, as far as the wire shows; it may have run
)

// NeverRan tells whether the outcome proves that the engine did not begin the request.
func (o Outcome) NeverRan() bool { return o == EngineFull || o == Unreachable || o == Unsent }

// AttemptResult tells how an attempt of a request ended.
type AttemptResult struct {
	Request  RequestID
	Outcome  Outcome
	Answered bool    // the client has its final answer
	Work     Time    // as the answer tells; 0: not told
	Memory   float64 // MB, as the answer tells; 0: not told
	Report   Report  // of the engine, as the answer tells; NoReport: not told
}

// NoticeKind is a kind of notice about a running attempt.
type NoticeKind uint8

// The kinds of notices.
const (
	ProgressNotice NoticeKind = iota // value: the share done, 0 to 1
	SpillNotice                      // value: MB missing
	WaitNotice                       // value: 1 for memory, 2 for a load
)

// RepeatEffect tells what a second run of a request would do.
type RepeatEffect uint8

// The effects of classes.
const (
	Idempotent RepeatEffect = iota
	Deduplicated
	NonIdempotent
)

// DedupScope tells which engines drop repeats of a deduplicated request.
type DedupScope uint8

// The scopes of deduplication.
const (
	AllEngines DedupScope = iota
	SameZone
	SameGroup
)
