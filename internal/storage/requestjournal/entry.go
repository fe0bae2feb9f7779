package requestjournal

import (
	"encoding/binary"
	"errors"

	"magpiebank/internal/admission"
)

// Outcome is the kind of a request's final answer. Its numeric values are stored and must not change.
type Outcome uint8

// The outcomes of a request.
const (
	Pending   Outcome = iota // there is no final answer yet
	Served                   // the client got the rows
	Rejected                 // the request never ran, or it may run again
	Failed                   // the request may have run and must not run again
	Abandoned                // the client stopped waiting
)

// outcomeNames are printed by the documented command "store dump", so they must not change.
var outcomeNames = [...]string{"open", "delivered", "nacked", "written off", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

// Entry is the record of one request. Times are Unix times in units of admission.Time.
type Entry struct {
	Class      int // index of the request class
	AcceptedAt admission.Time
	Deadline   admission.Time // when the client stops waiting for the answer

	Attempts   int  // number of attempts begun so far
	InFlight   bool // an attempt is in flight, or was in flight when the process crashed
	MayHaveRun bool // an attempt ended without proof that the engine executed nothing of it

	// UncertainSince, Zone and Group are the start of the first attempt that may have run and the zone and group of its engine. As
	// long as no attempt may have run, they describe the latest attempt.
	UncertainSince admission.Time
	Zone           int
	Group          int

	Outcome    Outcome
	AnsweredAt admission.Time // 0 while the request is pending
	Pages      [][]byte       // rows of a served answer, if they are stored

	complete     bool // Pages contains all rows of the answer
	acceptedHere bool // this process accepted the request; not stored
}

// maxPageBytes is the maximum size of an answer whose rows are stored. Answers to loads have a few bytes, and lookups, whose answers may
// be larger, can simply be repeated.
const maxPageBytes = 8 << 10

// Complete reports whether Pages contains all rows of a served answer.
func (e *Entry) Complete() bool { return e.complete }

// setAnswer sets the final answer. It keeps the rows if the request was served and the rows don't exceed maxPageBytes.
func (e *Entry) setAnswer(now admission.Time, outcome Outcome, pages [][]byte) {
	e.Outcome, e.AnsweredAt, e.InFlight = outcome, now, false
	size := 0
	for _, page := range pages {
		size += len(page)
	}
	e.complete = outcome == Served && size <= maxPageBytes
	if e.complete {
		e.Pages = pages
	}
}

// A stored record consists of the version, the flags and the outcome in one byte each, and numberFields signed varints. If flagComplete
// is set, the number of pages follows, and then each page, preceded by its length. These numbers are unsigned varints.
const (
	recordVersion = 1
	fixedBytes    = 3
	numberFields  = 8
)

// The bits in the flags of a stored record.
const (
	flagInFlight = 1 << iota
	flagMayHaveRun
	flagComplete
)

// ErrInvalidRecord is returned for bytes that are not a record of this version.
var ErrInvalidRecord = errors.New("not a record of a request, or a record of another version")

// maxDecodeClasses is the number of classes that Decode assumes, because it doesn't know the deployment's classes.
const maxDecodeClasses = 1 << 16

// Decode decodes a stored record for tools, which don't know the deployment's classes. The error is ErrInvalidRecord.
func Decode(record []byte) (*Entry, error) { return decode(record, maxDecodeClasses) }

func (e *Entry) flags() (flags byte) {
	if e.InFlight {
		flags |= flagInFlight
	}
	if e.MayHaveRun {
		flags |= flagMayHaveRun
	}
	if e.complete {
		flags |= flagComplete
	}
	return flags
}

func (e *Entry) encode() []byte {
	b := []byte{recordVersion, e.flags(), byte(e.Outcome)}
	numbers := [numberFields]int64{int64(e.Class), int64(e.AcceptedAt), int64(e.Deadline), int64(e.Attempts),
		int64(e.UncertainSince), int64(e.Zone), int64(e.Group), int64(e.AnsweredAt)}
	for _, number := range numbers {
		b = binary.AppendVarint(b, number)
	}
	if !e.complete {
		return b
	}
	b = binary.AppendUvarint(b, uint64(len(e.Pages)))
	for _, page := range e.Pages {
		b = binary.AppendUvarint(b, uint64(len(page)))
		b = append(b, page...)
	}
	return b
}

// decode decodes a stored record. Records whose class index is not less than classes are invalid.
func decode(b []byte, classes int) (*Entry, error) {
	if len(b) < fixedBytes || b[0] != recordVersion || int(b[2]) >= len(outcomeNames) {
		return nil, ErrInvalidRecord
	}
	flags := b[1]
	e := &Entry{
		InFlight:   flags&flagInFlight != 0,
		MayHaveRun: flags&flagMayHaveRun != 0,
		complete:   flags&flagComplete != 0,
		Outcome:    Outcome(b[2]),
	}
	rest, err := e.decodeNumbers(b[fixedBytes:])
	if err != nil {
		return nil, err
	}
	if e.Class < 0 || e.Class >= classes {
		return nil, ErrInvalidRecord
	}
	if e.complete {
		rest, err = e.decodePages(rest)
		if err != nil {
			return nil, err
		}
	}
	if len(rest) > 0 {
		return nil, ErrInvalidRecord
	}
	return e, nil
}

// decodeNumbers decodes the numbers at the start of b and returns the bytes after them.
func (e *Entry) decodeNumbers(b []byte) (rest []byte, err error) {
	var numbers [numberFields]int64
	for i := range numbers {
		number, size := binary.Varint(b)
		if size <= 0 {
			return nil, ErrInvalidRecord
		}
		numbers[i] = number
		b = b[size:]
	}
	e.Class = int(numbers[0])
	e.AcceptedAt = admission.Time(numbers[1])
	e.Deadline = admission.Time(numbers[2])
	e.Attempts = int(numbers[3])
	e.UncertainSince = admission.Time(numbers[4])
	e.Zone = int(numbers[5])
	e.Group = int(numbers[6])
	e.AnsweredAt = admission.Time(numbers[7])
	return b, nil
}

// decodePages decodes the pages at the start of b and returns the bytes after them.
func (e *Entry) decodePages(b []byte) (rest []byte, err error) {
	pages, size := binary.Uvarint(b)
	if size <= 0 || pages > uint64(len(b)) {
		return nil, ErrInvalidRecord
	}
	b = b[size:]
	for range pages {
		length, size := binary.Uvarint(b)
		if size <= 0 || length > uint64(len(b)-size) {
			return nil, ErrInvalidRecord
		}
		end := size + int(length)
		e.Pages = append(e.Pages, append([]byte(nil), b[size:end]...))
		b = b[end:]
	}
	return b, nil
}
