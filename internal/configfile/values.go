package configfile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// getField returns a field's value. ok is false if the field is absent or has another type; another type is also recorded as
// an error.
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

// Text returns the string in a field, or fallback if the field is absent.
func (o *Object) Text(name, fallback string) string {
	if value, ok := getField[string](o, name, "a text"); ok {
		return value
	}
	return fallback
}

// RequiredText returns the string in a field. An absent field is an error.
func (o *Object) RequiredText(name string) string {
	value := o.Text(name, "")
	if value == "" && o.value[name] == nil {
		o.file.addError(o.fieldPath(name), "a text", "nothing")
	}
	return value
}

// OneOf returns the string in a field, which must be one of words, or fallback if the field is absent.
func (o *Object) OneOf(name, fallback string, words ...string) string {
	value := o.Text(name, fallback)
	if !slices.Contains(words, value) {
		known := map[string]bool{}
		for _, word := range words {
			known[word] = true
		}
		want := "one of " + strings.Join(words, ", ")
		if nearest := nearestName(value, known); nearest != "" {
			want = fmt.Sprintf("%q (the nearest of %s)", nearest, strings.Join(words, ", "))
		}
		o.file.addError(o.fieldPath(name), want, strconv.Quote(value))
	}
	return value
}

// Bool returns the boolean in a field, or fallback if the field is absent.
func (o *Object) Bool(name string, fallback bool) bool {
	if value, ok := getField[bool](o, name, "true or false"); ok {
		return value
	}
	return fallback
}

// Number returns the number in a field, which must be from minimum to maximum, or fallback if the field is absent.
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

// Int returns the whole number in a field, which must be from minimum to maximum, or fallback if the field is absent.
func (o *Object) Int(name string, fallback, minimum, maximum int) int {
	value := o.Number(name, float64(fallback), float64(minimum), float64(maximum))
	if value != math.Trunc(value) {
		o.file.addError(o.fieldPath(name), "a whole number", formatValue(value))
	}
	return int(value)
}

// Fraction returns the number in a field, which must be from 0 to 1, or fallback if the field is absent.
func (o *Object) Fraction(name string, fallback float64) float64 {
	return o.Number(name, fallback, 0, 1)
}

// Duration returns the duration in a field, or fallback if the field is absent. The field must be a string with a unit, such
// as "250ms"; a number is an error.
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

// sizeUnits are the units of sizes. A megabyte is 2^20 bytes, as the platform counts memory. The unit B must be the last one,
// because parseSize takes the first unit that the text ends with, and the other units end with B, too.
var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"kB", 1 << 10}, {"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}

// maxSize is the number of bytes that a size must be below.
const maxSize = 1 << 60

// Size returns the number of bytes in a field, or fallback if the field is absent. The field must be a string with a unit,
// such as "64MB"; a number is an error.
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

// getList returns the elements of a field that is a list. It records an error for each element of another type and omits it.
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

// Texts returns the strings in a field that is a list. The result is empty if the field is absent.
func (o *Object) Texts(name string) []string { return getList[string](o, name, "a text") }

// Numbers returns the numbers in a field that is a list; each must be from minimum to maximum. The result is empty if the
// field is absent.
func (o *Object) Numbers(name string, minimum, maximum float64) []float64 {
	numbers := getList[float64](o, name, "a number")
	for i, number := range numbers {
		if !(number >= minimum && number <= maximum) {
			o.file.addError(append(o.fieldPath(name), pathStep{index: i, isIndex: true}), fmt.Sprintf("a number from %g to %g", minimum, maximum), formatValue(number))
		}
	}
	return numbers
}
