package configfile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// getField is a field's value where it is there, and whether it is.
func getField[T any](o *Object, name, want string) (v T, ok bool) {
	o.known[name] = true
	raw := o.value[name]
	if raw == nil {
		return v, false
	}
	if v, ok = raw.(T); !ok {
		o.file.addError(o.fieldPath(name), want, formatValue(raw))
	}
	return v, ok
}

// Text is a text, or what stands for it where there is none.
func (o *Object) Text(name, usual string) string {
	if v, ok := getField[string](o, name, "a text"); ok {
		return v
	}
	return usual
}

// RequiredText is a text that must be there.
func (o *Object) RequiredText(name string) string {
	v := o.Text(name, "")
	if v == "" && o.value[name] == nil {
		o.file.addError(o.fieldPath(name), "a text", "nothing")
	}
	return v
}

// OneOf is one of some words.
func (o *Object) OneOf(name, usual string, words ...string) string {
	v := o.Text(name, usual)
	if !slices.Contains(words, v) {
		known := map[string]bool{}
		for _, w := range words {
			known[w] = true
		}
		want := "one of " + strings.Join(words, ", ")
		if near := nearestName(v, known); near != "" {
			want = fmt.Sprintf("%q (the nearest of %s)", near, strings.Join(words, ", "))
		}
		o.file.addError(o.fieldPath(name), want, strconv.Quote(v))
	}
	return v
}

// Bool is true or false.
func (o *Object) Bool(name string, usual bool) bool {
	if v, ok := getField[bool](o, name, "true or false"); ok {
		return v
	}
	return usual
}

// Number is a number between two bounds.
func (o *Object) Number(name string, usual, least, most float64) float64 {
	v, ok := getField[float64](o, name, "a number")
	if !ok {
		return usual
	}
	o.checkRange(name, v, least, most)
	return v
}

func (o *Object) checkRange(name string, v, least, most float64) {
	if !(v >= least && v <= most) {
		o.file.addError(o.fieldPath(name), fmt.Sprintf("a number from %g to %g", least, most), formatValue(v))
	}
}

// Int is a whole number between two bounds.
func (o *Object) Int(name string, usual, least, most int) int {
	v := o.Number(name, float64(usual), float64(least), float64(most))
	if v != math.Trunc(v) {
		o.file.addError(o.fieldPath(name), "a whole number", formatValue(v))
	}
	return int(v)
}

// Fraction is a number from 0 to 1.
func (o *Object) Fraction(name string, usual float64) float64 { return o.Number(name, usual, 0, 1) }

// Duration is a time with its unit, as in "250ms"; a bare number is refused.
func (o *Object) Duration(name string, usual time.Duration) time.Duration {
	o.known[name] = true
	switch v := o.value[name].(type) {
	case nil:
		return usual
	case string:
		if d, err := time.ParseDuration(v); err == nil && d >= 0 {
			return d
		}
	}
	o.file.addError(o.fieldPath(name), `a time with its unit, as in "250ms" or "1m30s"`, formatValue(o.value[name]))
	return usual
}

// The units of sizes; a megabyte is 2^20 bytes, as the platform counts memory.
var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"kB", 1 << 10}, {"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}

// Size is an amount of memory with its unit, as in "64MB", in bytes; a bare number is refused.
func (o *Object) Size(name string, usual int64) int64 {
	o.known[name] = true
	switch v := o.value[name].(type) {
	case nil:
		return usual
	case string:
		for _, s := range sizeUnits {
			if digits, ok := strings.CutSuffix(v, s.unit); ok {
				if n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64); err == nil && n >= 0 && n*float64(s.bytes) < 1<<60 {
					return int64(n * float64(s.bytes))
				}
				break
			}
		}
	}
	o.file.addError(o.fieldPath(name), `a size with its unit, as in "64MB"`, formatValue(o.value[name]))
	return usual
}

// getList reads a list of plain values.
func getList[T any](o *Object, name, want string) (out []T) {
	values, _ := getField[[]any](o, name, "a list")
	for i, raw := range values {
		v, ok := raw.(T)
		if !ok {
			o.file.addError(append(o.fieldPath(name), i), want, formatValue(raw))
			continue
		}
		out = append(out, v)
	}
	return out
}

// Texts is a list of texts.
func (o *Object) Texts(name string) []string { return getList[string](o, name, "a text") }

// Numbers is a list of numbers between two bounds.
func (o *Object) Numbers(name string, least, most float64) []float64 {
	out := getList[float64](o, name, "a number")
	for i, v := range out {
		if !(v >= least && v <= most) {
			o.file.addError(append(o.fieldPath(name), i), fmt.Sprintf("a number from %g to %g", least, most), formatValue(v))
		}
	}
	return out
}
