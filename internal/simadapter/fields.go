package simadapter

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"magpiebank/internal/admission"
	"magpiebank/internal/config"
)

// absentValue is the text of a field without a value.
const absentValue = "-"

// fieldReader reads the tab-separated fields of messages in order. It stores the first error.
type fieldReader struct {
	line    int    // number of the input line, from 1
	message string // name of the message
	rest    string // the fields of the message that have not been read yet
	hasMore bool   // rest contains at least one field, which may be empty
	err     error
}

func (f *fieldReader) startLine() { f.line++ }

func (f *fieldReader) startMessage(line string) {
	f.message, f.rest, f.hasMore = strings.Cut(line, "\t")
}

// fail records that a field is not what was expected, unless an error was recorded before.
func (f *fieldReader) fail(field, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("line %d: %s: field %s: expected %s", f.line, f.message, field, want)
	}
}

// text reads a field that must not be empty; "-" is a valid value.
func (f *fieldReader) text(field string) string {
	if !f.hasMore {
		f.fail(field, "a value, found the end of the line")
		return ""
	}
	var value string
	value, f.rest, f.hasMore = strings.Cut(f.rest, "\t")
	if value == "" {
		f.fail(field, "a value")
	}
	return value
}

// optional reads a field and returns "" if its value is absent ("-").
func (f *fieldReader) optional(field string) string {
	value := f.text(field)
	if value == absentValue {
		return ""
	}
	return value
}

// integer reads a whole number, and returns 0 if the value is absent.
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

// number reads a number, and returns 0 if the value is absent.
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

// timestamp reads a time in microseconds and rounds it to the unit of admission.Time, toward zero.
func (f *fieldReader) timestamp(field string) admission.Time {
	return admission.Time(f.integer(field) / microsPerTick)
}

// id reads an identifier, which must not be absent. It returns a copy, so that an identifier that is stored does not keep the
// whole line in memory.
func (f *fieldReader) id(field string) string {
	value := f.optional(field)
	if value == "" {
		f.fail(field, "an id")
	}
	return strings.Clone(value)
}

// firstFailureCode is the simulator's lowest code for an outcome other than success. Success has the code 0.
const firstFailureCode = 249

// failureOutcomes contains the outcomes with the codes from firstFailureCode on, in order.
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
