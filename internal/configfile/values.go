package configfile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// getField returns a field's value; ok is false if it is absent or of another type, which is an error.
func getField[T any](o *Object, name, want string) (value T, ok bool) {
	o.known[name] = true
	raw := o.value[name]
	if raw == nil {
		return value, false
	}
	value, ok = raw.(T)
	if !ok {
		o.file.addError(o.fieldPath(name), want, formatValue(raw))
	}
	return value, ok
}

// Text returns a field that is a text, or fallback if it is absent.
func (o *Object) Text(name, fallback string) string {
	if value, ok := getField[string](o, name, "a text"); ok {
		return value
	}
	return fallback
}

// RequiredText returns a field that is a text; it is an error if the field is absent.
func (o *Object) RequiredText(name string) string {
	value := o.Text(name, "")
	if value == "" && o.value[name] == nil {
		o.file.addError(o.fieldPath(name), "a text", "nothing")
	}
	return value
}

// OneOf returns a field that is one of some words, or fallback if it is absent.
func (o *Object) OneOf(name, fallback string, words ...string) string {
	value := o.Text(name, fallback)
	if !slices.Contains(words, value) {
		known := map[string]bool{}
		for _, word := range words {
			known[word] = true
		}
		want := "one of " + strings.Join(words, ", ")
		if near := nearestName(value, known); near != "" {
			want = fmt.Sprintf("%q (the nearest of %s)", near, strings.Join(words, ", "))
		}
		o.file.addError(o.fieldPath(name), want, strconv.Quote(value))
	}
	return value
}

// Bool returns a field that is true or false, or fallback if it is absent.
func (o *Object) Bool(name string, fallback bool) bool {
	if value, ok := getField[bool](o, name, "true or false"); ok {
		return value
	}
	return fallback
}

// Number returns a field that is a number from minimum to maximum, or fallback if it is absent.
func (o *Object) Number(name string, fallback, minimum, maximum float64) float64 {
	value, ok := getField[float64](o, name, "a number")
	if !ok {
		return fallback
	}
	o.checkRange(name, value, minimum, maximum)
	return value
}

func (o *Object) checkRange(name string, value, minimum, maximum float64) {
	if !(value >= minimum && value <= maximum) {
		o.file.addError(o.fieldPath(name), fmt.Sprintf("a number from %g to %g", minimum, maximum), formatValue(value))
	}
}

// Int returns a field that is a whole number from minimum to maximum, or fallback if it is absent.
func (o *Object) Int(name string, fallback, minimum, maximum int) int {
	value := o.Number(name, float64(fallback), float64(minimum), float64(maximum))
	if value != math.Trunc(value) {
		o.file.addError(o.fieldPath(name), "a whole number", formatValue(value))
	}
	return int(value)
}

// Fraction returns a field that is a number from 0 to 1, or fallback if it is absent.
func (o *Object) Fraction(name string, fallback float64) float64 {
	return o.Number(name, fallback, 0, 1)
}

// Duration returns a field that is a time with its unit, as in "250ms", or fallback if it is absent. A bare number is an
// error.
func (o *Object) Duration(name string, fallback time.Duration) time.Duration {
	o.known[name] = true
	switch value := o.value[name].(type) {
	case nil:
		return fallback
	case string:
		if duration, err := time.ParseDuration(value); err == nil && duration >= 0 {
			return duration
		}
	}
	o.file.addError(o.fieldPath(name), `a time with its unit, as in "250ms" or "1m30s"`, formatValue(o.value[name]))
	return fallback
}

// sizeUnits are the units of sizes. A megabyte is 2^20 bytes, as the platform counts memory. The unit B is the last one, as
// the others end in it, too.
var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"kB", 1 << 10}, {"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}

// maxSize bounds sizes.
const maxSize = 1 << 60

// Size returns the bytes of a field that is an amount of memory with its unit, as in "64MB", or fallback if it is absent. A
// bare number is an error.
func (o *Object) Size(name string, fallback int64) int64 {
	o.known[name] = true
	value := o.value[name]
	if value == nil {
		return fallback
	}
	if text, ok := value.(string); ok {
		if size, ok := parseSize(text); ok {
			return size
		}
	}
	o.file.addError(o.fieldPath(name), `a size with its unit, as in "64MB"`, formatValue(value))
	return fallback
}

func parseSize(text string) (size int64, ok bool) {
	for _, s := range sizeUnits {
		digits, ok := strings.CutSuffix(text, s.unit)
		if !ok {
			continue
		}
		number, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		bytes := number * float64(s.bytes)
		if err != nil || !(number >= 0) || bytes >= maxSize {
			return 0, false
		}
		return int64(bytes), true
	}
	return 0, false
}

// getList returns a field that is a list of plain values.
func getList[T any](o *Object, name, want string) (list []T) {
	values, _ := getField[[]any](o, name, "a list")
	for i, raw := range values {
		value, ok := raw.(T)
		if !ok {
			o.file.addError(append(o.fieldPath(name), pathStep{index: i, isIndex: true}), want, formatValue(raw))
			continue
		}
		list = append(list, value)
	}
	return list
}

// Texts returns a field that is a list of texts, empty if it is absent.
func (o *Object) Texts(name string) []string { return getList[string](o, name, "a text") }

// Numbers returns a field that is a list of numbers from minimum to maximum, empty if it is absent.
func (o *Object) Numbers(name string, minimum, maximum float64) []float64 {
	numbers := getList[float64](o, name, "a number")
	for i, number := range numbers {
		if !(number >= minimum && number <= maximum) {
			o.file.addError(append(o.fieldPath(name), pathStep{index: i, isIndex: true}), fmt.Sprintf("a number from %g to %g", minimum, maximum), formatValue(number))
		}
	}
	return numbers
}
