package requestjournal

import (
	"encoding/binary"
	"errors"

	"magpiebank/internal/admission"
)

// Outcome is a request's final answer. Its numbers are stored.
type Outcome uint8

// The outcomes.
const (
	Pending   Outcome = iota // no answer yet
	Served                   // with its rows
	Rejected                 // it never ran, or may run again
	Failed                   // it may have run, and must not run again
	Abandoned                // its client stopped waiting
)

// outcomeNames are printed by the documented command "store dump", which keeps its words.
var outcomeNames = [...]string{"open", "delivered", "nacked", "written off", "left"}

func (o Outcome) String() string { return outcomeNames[o] }

// Entry is the record of one request. Times are Unix times in units of admission.Time.
type Entry struct {
	Class      int // index of the request class
	AcceptedAt admission.Time
	Deadline   admission.Time // of its client

	Attempts   int
	InFlight   bool // an attempt is in flight, or was when the process died
	MayHaveRun bool // an attempt ended without proof that nothing of it ran

	// Of the first attempt that may have run; of the latest attempt as long as there is none.
	UncertainSince admission.Time
	Zone           int // of its engine
	Group          int // of its engine

	Outcome    Outcome
	AnsweredAt admission.Time // 0 while the request is pending
	Pages      [][]byte       // rows of a served answer, if they are kept

	complete     bool // Pages has all rows of the answer
	acceptedHere bool // by this process; not stored
}

// maxPageBytes bounds the rows that are kept of an answer. Loads return a few bytes; a lookup can simply be repeated.
const maxPageBytes = 8 << 10

// Complete reports whether Pages has all rows of a served answer.
func (e *Entry) Complete() bool { return e.complete }

// setAnswer sets the final answer. The rows are kept if they are those of a served request and small enough.
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

// A stored record consists of the version, the flags and the outcome, a byte each, numberFields signed varints and, if
// flagComplete is set, the number of pages and each page with its length before it, as unsigned varints.
const (
	recordVersion = 1
	fixedBytes    = 3
	numberFields  = 8
)

// The flags of a record.
const (
	flagInFlight = 1 << iota
	flagMayHaveRun
	flagComplete
)

// ErrInvalidRecord is returned for bytes that are not a record of this version.
var ErrInvalidRecord = errors.New("not a record of a request, or of another version")

// maxAnyClass bounds class numbers where the site's classes are not known.
const maxAnyClass = 1 << 16

// Decode decodes a stored record without knowing the site's classes, for tools. The error is ErrInvalidRecord.
func Decode(record []byte) (*Entry, error) { return decode(record, maxAnyClass) }

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

// decodeNumbers reads the numbers at the start of b and returns what follows them.
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

// decodePages reads the pages at the start of b and returns what follows them.
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
