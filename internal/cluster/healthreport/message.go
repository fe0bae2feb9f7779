package healthreport

import (
	"encoding/binary"
	"errors"
	"math"

	"magpiebank/internal/admission"
)

// MaxMessageBytes is the maximum length of a message. The simulator's network carries no longer messages, and a datagram has
// space for other parts besides a message of this length.
const MaxMessageBytes = 256

const (
	version        = 1
	headBytes      = 5  // version and the sender's clock
	entryHeadBytes = 8  // the engine's hash, its start time, and the flags
	entryFlagsAt   = 7  // offset of the flags in an entry
	entryBytes     = 20 // space reserved for an entry, enough for one with all four load metrics; most entries are shorter
)

// ErrInvalidMessage is returned for bytes that are not a valid message of this version.
var ErrInvalidMessage = errors.New("healthreport: not a valid message of this version")

// The flags of an entry. The lower bits state which fields it has, and the bits from failureUnit on state the kind of the last failure.
const (
	hasAnswer = 1 << iota
	hasFailure
	hasInFlight
	hasUtilization
	hasMemory
	hasDisks
	failureUnit

	hasReport = hasInFlight | hasUtilization | hasMemory | hasDisks
)

// startMask reduces an engine's start time to 24 bits, which distinguish any two start times less than 28 minutes apart.
const startMask = 1<<24 - 1

// encodeStart returns an engine's start time as it is encoded in messages.
func encodeStart(since Time) uint32 { return uint32(since) & startMask }

// An age is sent as a number of steps in one byte. It is rounded up, so that no observation seems newer than it is.
const (
	outcomeStep = 40 * admission.Millisecond // maxSteps of these cover OutcomeLifetime
	reportStep  = 12 * admission.Millisecond // maxSteps of these cover ReportLifetime
	maxSteps    = 254
)

// encodeAge returns the age of an observation in steps. It returns false if the observation is older than maxSteps or is in the future.
func encodeAge(now, at, step Time) (byte, bool) {
	steps := (now - at + step - 1) / step
	return byte(steps), steps >= 0 && steps <= maxSteps
}

// Load metrics are sent in thousandths. The requests in flight are divided by ten before, so that larger numbers fit.
const (
	metricScale   = 1000
	inFlightScale = 10
)

// writer encodes a message up to the maximum length.
type writer struct {
	b     []byte
	count int // number of entries
}

func newWriter(now Time) *writer {
	b := make([]byte, 0, MaxMessageBytes)
	return &writer{b: binary.BigEndian.AppendUint32(append(b, version), uint32(now))}
}

// add adds an entry for an engine, without the observations that are too old to count. It returns false if the entry does not fit.
func (w *writer) add(now Time, hash uint32, since Time, o observations) bool {
	entryAt := len(w.b)
	b := binary.BigEndian.AppendUint32(w.b, hash)
	start := encodeStart(since)
	b = append(b, byte(start>>16), byte(start>>8), byte(start), 0)
	flags := 0
	if age, ok := encodeAge(now, o.answeredAt, outcomeStep); ok {
		flags |= hasAnswer
		b = append(b, age)
	}
	if age, ok := encodeAge(now, o.failedAt, outcomeStep); ok {
		flags |= hasFailure | int(o.failure-admission.Erred)*failureUnit
		b = append(b, age)
	}
	if age, ok := encodeAge(now, o.reportedAt, reportStep); ok {
		b = append(b, age)
		for i, metric := range []float64{o.report.InFlight / inFlightScale, o.report.Utilization, o.report.Memory, o.report.Disks} {
			if metric >= 0 {
				flags |= hasInFlight << i
				b = binary.BigEndian.AppendUint16(b, uint16(min(math.MaxUint16, math.Round(metric*metricScale))))
			}
		}
	}
	b[entryAt+entryFlagsAt] = byte(flags)
	if len(b) > MaxMessageBytes {
		return false
	}
	w.b = b
	w.count++
	return true
}

func (w *writer) bytes() []byte { return w.b }

// reader reads the entries of a message.
type reader struct {
	b    []byte
	sent uint32 // the sender's clock when the message was sent
}

// entry holds the observations of one engine by one gateway. A negative age means that there is no such observation.
type entry struct {
	hash, start                      uint32
	answerAge, failureAge, reportAge Time
	failure                          admission.Observation
	report                           admission.Report
}

// observationsAt returns the observations of an entry, with their times on the receiver's clock.
func (e *entry) observationsAt(now, delay Time) observations {
	o := noObservations
	if e.answerAge >= 0 {
		o.answeredAt = now - delay - e.answerAge
	}
	if e.failureAge >= 0 {
		o.failedAt, o.failure = now-delay-e.failureAge, e.failure
	}
	if e.reportAge >= 0 {
		o.reportedAt, o.report = now-delay-e.reportAge, e.report
	}
	return o
}

// newReader returns a reader for a message, after it has checked that the whole message is valid.
func newReader(b []byte) (*reader, error) {
	if len(b) < headBytes || len(b) > MaxMessageBytes || b[0] != version {
		return nil, ErrInvalidMessage
	}
	r := &reader{b: b[headBytes:], sent: binary.BigEndian.Uint32(b[1:])}
	check := *r
	for len(check.b) > 0 {
		if _, ok := check.next(); !ok {
			return nil, ErrInvalidMessage
		}
	}
	return r, nil
}

// next returns the next entry. It returns false if there is none or if it is invalid.
func (r *reader) next() (e entry, ok bool) {
	if len(r.b) < entryHeadBytes {
		return e, false
	}
	b := r.b
	e = entry{hash: binary.BigEndian.Uint32(b), start: uint32(b[4])<<16 | uint32(b[5])<<8 | uint32(b[6]), answerAge: -1, failureAge: -1, reportAge: -1, report: admission.NoReport}
	flags := int(b[entryFlagsAt])
	e.failure = admission.Erred + admission.Observation(flags/failureUnit)
	if e.failure > admission.Unreached {
		return e, false
	}
	f := fieldReader{b: b[entryHeadBytes:]}
	if flags&hasAnswer != 0 {
		e.answerAge = f.age(outcomeStep)
	}
	if flags&hasFailure != 0 {
		e.failureAge = f.age(outcomeStep)
	}
	if flags&hasReport != 0 {
		e.reportAge = f.age(reportStep)
		for i, metric := range []*float64{&e.report.InFlight, &e.report.Utilization, &e.report.Memory, &e.report.Disks} {
			if flags&(hasInFlight<<i) != 0 {
				*metric = f.metric()
			}
		}
		if flags&hasInFlight != 0 {
			e.report.InFlight = math.Round(e.report.InFlight*(metricScale/inFlightScale)) / inFlightScale
		}
	}
	if f.failed {
		return e, false
	}
	r.b = f.b
	return e, true
}

// fieldReader reads the fields of an entry. After a failed read it returns zeros.
type fieldReader struct {
	b      []byte
	failed bool
}

func (f *fieldReader) age(step Time) Time {
	if f.failed || len(f.b) < 1 {
		f.failed = true
		return 0
	}
	steps := f.b[0]
	f.b = f.b[1:]
	return Time(steps) * step
}

func (f *fieldReader) metric() float64 {
	const size = 2
	if f.failed || len(f.b) < size {
		f.failed = true
		return 0
	}
	v := binary.BigEndian.Uint16(f.b)
	f.b = f.b[size:]
	return float64(v) / metricScale
}
