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
	Moot                // never sent
	Lost                // the answer was spoilt, cut off or never came, for what the wire knows; it may have run
)

// NeverRan tells whether the outcome proves that the engine did not begin the request.
func (o Outcome) NeverRan() bool { return o == Full || o == Unreachable || o == Moot }

// Foreseen is what is known of a request before it has run; a figure of zero is not told.
type Foreseen struct {
	Work        Time    // on one thread, usually
	Upper       Time    // that nine of ten stay under
	Memory      float64 // MB
	PolicyClass int     // into which an operator's rules put it,
	Trial       int     // and those that are rehearsed; nothing is decided by it
	Past        Past
}

// Past is what is known of a request's attempts by a process before this one; that of a new request is zero.
type Past struct {
	MayRan      bool // one was out whose end doesn't prove that nothing ran
	DoubtAt     Time // when it went out
	Zone, Group int  // of its engine
}

// State is what the engine list says of an engine.
type State uint8

// The states of a listed engine.
const (
	Live State = iota
	Draining
	Gone
)

// Form tells what a delivery of the engine list holds.
type Form uint8

// The forms of a list.
const (
	Changes    Form = iota // the changed entries only
	Whole                  // all entries
	Remembered             // all entries as last known; may be old
	NoAnswer               // nothing: a call failed, the old list stays
)

// Listing is one entry of the engine list.
type Listing struct {
	Engine            EngineID
	Zone, Kind, Group int
	State             State
	Since             Time // last start; 0: long ago
}

// Report is an engine's load report: queries held, and the shares of its cores, memory and disks that are in use.
// A value below 0 is absent.
type Report struct{ Held, Util, Memory, Disks float64 }

// scarcest is the share of what is used most.
func (r Report) scarcest() float64 { return max(r.Util, r.Memory, r.Disks) }

// NoReport has no value at all.
var NoReport = Report{-1, -1, -1, -1}

// News is a kind of note about a running attempt.
type News uint8

// The kinds of notes.
const (
	Progress News = iota // value: the share done
	Spills               // value: MB missing
	Waits                // value: 1 for memory, 2 for a load
)

// Effect tells what a second run of a request would do.
type Effect uint8

// The effects of classes.
const (
	Idempotent Effect = iota
	Deduplicated
	Unrepeatable
)

// Group tells which engines drop repeats of a deduplicated request.
type Group uint8

// The groups of engines.
const (
	AllEngines Group = iota
	SameZone
	SameCell
)

// Sight is what a router saw of an engine itself.
type Sight uint8

// The kinds of sights. Each comes with the engine's latest report.
const (
	Reported   Sight = iota
	Answered         // a request came back well
	Erred            // the rest count as failure score: an error, or an answer that was spoilt or lost
	Unanswered       // silence, of a request or a probe
	Unreached        // no connection, or a broken one
)

func (s Sight) String() string {
	return [...]string{"reported", "answered", "erred", "unanswered", "unreached"}[s]
}

// Fails tells whether a sight counts as failure score.
func (s Sight) Fails() bool { return s >= Erred }

// Finding is what others' evidence tells of one start of an engine.
type Finding struct {
	Engine    EngineID
	Since     Time
	Report    Report // the latest that was heard
	ReportAt  Time   // and when its teller had it
	Against   float64
	Witnesses int  // gateways whose last try there failed, after anyone's last answer from there; Against: what they weigh
	Until     Time // and until when that counts
}
