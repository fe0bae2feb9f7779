package simadapter

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
)

// absent stands on the wire for a field without a value.
const absent = "-"

// fieldReader reads the tab-separated fields of one message after another. It keeps the first error.
type fieldReader struct {
	line    int    // of the input, from 1
	message string // the name of the message
	rest    string // the fields that have not been read yet
	more    bool   // rest holds a field, which may be empty
	err     error
}

func (f *fieldReader) startLine() { f.line++ }

func (f *fieldReader) startMessage(line string) {
	f.message, f.rest, f.more = strings.Cut(line, "\t")
}

// fail records that a field is not what was expected, unless an error was recorded before.
func (f *fieldReader) fail(field, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("line %d: %s: field %s: expected %s", f.line, f.message, field, want)
	}
}

// text reads a field that must have a value; "-" counts as one.
func (f *fieldReader) text(field string) string {
	if !f.more {
		f.fail(field, "a value, found the end of the line")
		return ""
	}
	var value string
	value, f.rest, f.more = strings.Cut(f.rest, "\t")
	if value == "" {
		f.fail(field, "a value")
	}
	return value
}

// optional reads a field and returns "" for an absent value.
func (f *fieldReader) optional(field string) string {
	value := f.text(field)
	if value == absent {
		return ""
	}
	return value
}

// integer reads a whole number; an absent one is 0.
func (f *fieldReader) integer(field string) int64 {
	value := f.optional(field)
	if value == "" {
		return 0
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		f.fail(field, "a whole number")
	}
	return number
}

// number reads a number; an absent one is 0.
func (f *fieldReader) number(field string) float64 {
	value := f.optional(field)
	if value == "" {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) {
		f.fail(field, "a number")
	}
	return number
}

// timestamp reads a time in microseconds and rounds it down to the decisions' unit.
func (f *fieldReader) timestamp(field string) admission.Time {
	return admission.Time(f.integer(field) / microsPerTick)
}

// id reads an identifier, which may be kept beyond the message.
func (f *fieldReader) id(field string) string {
	value := f.optional(field)
	if value == "" {
		f.fail(field, "an id")
	}
	return strings.Clone(value)
}

// firstFailureCode is the wire's lowest code of an outcome other than success, which is 0.
const firstFailureCode = 249

// failureOutcomes are the outcomes with the codes from firstFailureCode on.
var failureOutcomes = [...]admission.Outcome{admission.Unsent, admission.Cancelled, admission.Reset, admission.Unreachable,
	admission.TimedOut, admission.EngineFull, admission.Errored}

func (f *fieldReader) outcome(field string) admission.Outcome {
	code := f.integer(field)
	if code == 0 {
		return admission.Served
	}
	if code < firstFailureCode || code >= firstFailureCode+int64(len(failureOutcomes)) {
		f.fail(field, "0 or 249 to 255")
		return admission.Errored
	}
	return failureOutcomes[code-firstFailureCode]
}

func (f *fieldReader) loadReport(field string) admission.Report {
	report, ok := config.ParseReport(f.optional(field), ",")
	if !ok {
		f.fail(field, "name:value pairs set apart by commas")
	}
	return report
}
