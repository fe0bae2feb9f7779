package admission

// RequestID identifies a request; it comes from the protocol.
type RequestID string

// EngineID identifies an engine; it comes from the engine list.
type EngineID string

// Time is a point on the gateway's clock or a duration, in tenths of a millisecond.
type Time int64

// Common durations.
const (
	Millisecond Time = 10
	Second      Time = 1000 * Millisecond
)

// Request is a client's request on arrival.
type Request struct {
	ID         RequestID
	Deadline   Time   // when the client stops waiting for the answer
	Class      int    // index into Deployment.Classes
	Tenant     int    // index into Deployment.Tenants; an index out of range counts as 0
	Key        string // in an ordered class, requests with the same key run one after another; "": no key
	TableGroup int    // number of the group of tables that the request reads or loads
	Estimate   Estimate
}

// Estimate is what the gateway knows of a request before it runs. A value of zero is unknown.
type Estimate struct {
	Work        Time    // expected time on one thread
	WorkP90     Time    // 90th percentile of the time on one thread
	Memory      float64 // MB
	PolicyClass int     // class in the operator's policy that is in force; 0: none
	ShadowClass int     // class in a policy under rehearsal; it affects no decision
	Prior       PriorAttempt
}

// PriorAttempt describes an attempt that may have run. Estimate.Prior is set only if an earlier process of this gateway already
// sent the request.
type PriorAttempt struct {
	MayHaveRun  bool // an attempt ended without proof that the engine did not run it
	SentAt      Time // when the first such attempt was sent
	Zone, Group int  // zone and group of that attempt's engine
}

// Outcome is how an attempt or a probe ended.
type Outcome uint8

// The outcomes of attempts and probes.
const (
	Served      Outcome = iota
	Errored             // the engine returned an error; the request may have run
	EngineFull          // the engine rejected the request without starting it
	TimedOut            // no answer arrived in time; the request may still be running
	Unreachable         // no connection could be opened
	Reset               // the connection broke
	Cancelled           // the attempt was cancelled; the request may have run
	Unsent              // the attempt was never sent
	AnswerLost          // the answer was corrupt, cut off or never arrived; the request may have run
)

// NeverRan reports whether the outcome proves that the engine did not begin the request.
func (o Outcome) NeverRan() bool { return o == EngineFull || o == Unreachable || o == Unsent }

// AttemptResult describes how an attempt of a request ended.
type AttemptResult struct {
	Request  RequestID
	Outcome  Outcome
	Answered bool    // the client has received its final answer
	Work     Time    // work reported in the answer; 0: not reported
	Memory   float64 // MB, reported in the answer; 0: not reported
	Report   Report  // the engine's load report in the answer; NoReport: none
}

// NoticeKind is a kind of notice about a running attempt.
type NoticeKind uint8

// The kinds of notices. Each comment describes the value that comes with the notice.
const (
	ProgressNotice NoticeKind = iota // fraction of the work done, 0 to 1
	SpillNotice                      // missing memory in MB
	WaitNotice                       // what the attempt waits for: 1 for memory, 2 for a load
)

// RepeatEffect is what a second run of a request does.
type RepeatEffect uint8

// The effects of a second run.
const (
	Idempotent RepeatEffect = iota
	Deduplicated
	NonIdempotent
)

// DedupScope determines which engines recognize and drop a repeat of a deduplicated request. Zone and group are those of the
// first attempt that may have run.
type DedupScope uint8

// The scopes of deduplication.
const (
	AllEngines DedupScope = iota
	SameZone
	SameGroup
)
